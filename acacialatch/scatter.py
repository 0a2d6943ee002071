"""One query from its start to its answer, as a pure state machine."""

import itertools
import math

from acacialatch import (
    attempts,
    coverage,
    errors,
    model,
    outcomes,
    parts,
    plans,
    routing,
    timers,
)

HEDGE_RECHECK_MIN_S = 0.005
"""Shortest time before a refused hedge is checked again, in seconds."""

RESTARTS_MAX = 3
"""Most restarts at a newer snapshot, each of which repeats all sub-requests."""


class Scatter:
    """State of one query.

    The engine feeds events in the order in which they happen and carries out the
    returned decisions in their order. After `Finish`, every event is ignored.

    Parameters
    ----------
    query : model.Query
        The query; its deadline is on the clock of `handle`.
    floor : tuple of int
        Numerator and denominator of the smallest coverage of a full page.
    seed : int
        Seed of retry jitter and of ties between replicas.
    policy : routing.ReplicaPolicy, optional
        Choice of replicas; `routing.LeastLoaded` by default.

    Raises
    ------
    ValueError
        If the floor is not a fraction between 0 and 1.
    """

    def __init__(
        self,
        query: model.Query,
        floor: tuple[int, int],
        seed: int,
        policy: routing.ReplicaPolicy | None = None,
    ) -> None:
        if not 0 <= floor[0] <= floor[1] or floor[1] == 0:
            raise ValueError(f"floor {floor} is not a fraction between 0 and 1")
        self._query = query
        self._floor = floor
        self._seed = seed
        self._policy = policy or routing.LeastLoaded()
        self._plan = attempts.Plan(0, (), ())
        self._started = False
        self._finished = False
        self._restarts = 0
        self._replanning = False
        self._lacks_version = False
        self._versions: dict[str, int] = {}
        self._parts: list[parts.Progress] = []
        self._coverage = coverage.Coverage(())
        self._rows = 0
        self._running: dict[int, attempts.Send] = {}
        self._numbers = itertools.count(1)
        self._timers = timers.TimerQueue(self._is_wanted)
        self._armed: float | None = None
        self._decisions: list[attempts.Decision] = []

    @property
    def finished(self) -> bool:
        """Whether `Finish` has been decided."""
        return self._finished

    def handle(self, now: float, event: attempts.Event) -> list[attempts.Decision]:
        """Take an event and return the decisions that follow from it.

        Parameters
        ----------
        now : float
            Time of the event, in seconds.
        event : attempts.Event
            What happened.
        """
        if self._finished:
            return []
        if isinstance(event, attempts.CallerGone):
            self._finish(errors.Failure(errors.ErrorKind.CALLER_GONE))
        elif now >= self._query.deadline:
            self._finish_at_deadline()
        else:
            self._dispatch(now, event)
            self._arm()
        decisions, self._decisions = self._decisions, []
        return decisions

    @property
    def plan(self) -> attempts.Plan:
        """Plan in use; the engine makes views from it."""
        return self._plan

    def explain(self, now: float, event: attempts.Event) -> tuple[str, ...]:
        """Return the reasons behind an event that is handled next.

        Parameters
        ----------
        now : float
            Time of the event, in seconds.
        event : attempts.Event
            The event.

        Returns
        -------
        tuple of str
            For a `View`, why each candidate is not asked, or an empty text. For a
            `Reply` that is not verified, the reason.
        """
        if isinstance(event, attempts.View) and event.part in range(len(self._parts)):
            return self._parts[event.part].explain(now, event)
        if isinstance(event, attempts.Reply):
            send = self._running.get(event.attempt)
            if send is None:
                return ("the attempt has ended",)
            spec = self._parts[send.part].spec
            difference = attempts.check_reply(event, send, spec)
            return (difference[1],) if difference else ()
        return ()

    def _dispatch(self, now: float, event: attempts.Event) -> None:
        match event:
            case attempts.Start():
                self._start(now, event.plan)
            case attempts.View():
                self._view(now, event)
            case attempts.Reply():
                self._reply(now, event)
            case attempts.Failed():
                self._failed(now, event)
            case attempts.Timer():
                self._timer(now)
            case attempts.Replan():
                self._replan(now, event.plan)

    def _start(self, now: float, plan: attempts.Plan) -> None:
        if self._started:
            return
        problem = plans.check_plan(plan)
        if problem is None:
            self._started = True
            self._adopt(plan)
        else:
            self._finish(errors.Failure(errors.ErrorKind.INTERNAL, f"plan: {problem}"))

    def _adopt(self, plan: attempts.Plan) -> None:
        self._plan = plan
        self._versions = dict(plan.versions)
        self._parts = [parts.Progress(*item) for item in enumerate(plan.parts)]
        self._coverage = coverage.Coverage((p.service, p.keys) for p in plan.parts)
        self._rows = 0
        self._timers.clear()
        for part in self._parts:
            self._ask(part)
        self._check_complete()

    def _ask(self, part: parts.Progress) -> None:
        part.retry_at = None
        part.expects = part.next_purpose()
        self._decide(attempts.Choose(part.number, part.expects))

    def _decide(self, decision: attempts.Decision) -> None:
        self._decisions.append(decision)

    def _view(self, now: float, view: attempts.View) -> None:
        if view.part not in range(len(self._parts)):
            return
        part = self._parts[view.part]
        if part.expects is not view.purpose:
            return
        part.expects = None
        if view.purpose is attempts.Purpose.HEDGE:
            if part.running:
                self._view_hedge(now, part, view)
            return
        eligible = part.list_eligible(now, view)
        if not eligible:
            self._lack_replica(now, part, view)
        elif view.purpose is attempts.Purpose.RETRY and not view.budget_allows:
            part.reason = parts.RETRY_BUDGET
            self._retry_later(now, part)
        else:
            self._send(now, part, view, eligible)

    def _view_hedge(
        self, now: float, part: parts.Progress, view: attempts.View
    ) -> None:
        eligible = part.list_eligible(now, view)
        if eligible and view.budget_allows:
            self._send(now, part, view, eligible)
        elif view.hedge_delay_s is not None:
            # The budget often runs out on requests that are only slightly slow.
            # Asking again lets a true straggler have a later token. The delay
            # doubles, so that slowness everywhere causes few checks.
            pause = max(view.hedge_delay_s, HEDGE_RECHECK_MIN_S) * 2**part.refusals
            part.refusals += 1
            number = min(part.running)
            self._timers.schedule(now + pause, timers.TimerKind.HEDGE, number)

    def _send(
        self,
        now: float,
        part: parts.Progress,
        view: attempts.View,
        eligible: list[routing.Candidate],
    ) -> None:
        chosen = self._policy.choose(eligible, self._seed)
        if chosen is None:
            self._lack_replica(now, part, view)
            return
        number = next(self._numbers)
        send = attempts.Send(
            part.number,
            number,
            eligible[chosen].address,
            view.purpose,
            f"{self._query.answer_id}-{number}",
            self._versions[part.spec.index],
            min(self._query.deadline, now + view.attempt_timeout_s),
            self._coverage.missing_of(part.spec.service),
        )
        self._running[number] = part.running[number] = send
        part.sent += 1
        part.hedged |= view.purpose is attempts.Purpose.HEDGE
        self._timers.schedule(send.deadline, timers.TimerKind.ATTEMPT, number)
        if view.hedge_delay_s is not None and not part.hedged:
            hedge_at = now + view.hedge_delay_s
            self._timers.schedule(hedge_at, timers.TimerKind.HEDGE, number)
        self._decide(send)

    def _lack_replica(
        self, now: float, part: parts.Progress, view: attempts.View
    ) -> None:
        if view.purpose is attempts.Purpose.HEDGE:
            return
        if part.gone:
            self._leave_snapshot(now, part, view)
            return
        part.reason = parts.NO_USABLE_REPLICA
        allowed_at = part.next_allowed(now)
        if allowed_at is not None and any(c.usable for c in view.candidates):
            # Asking again soon also finds another replica that became usable.
            self._retry_at(part, min(allowed_at, now + parts.RETRY_DELAY_MAX_S))
            return
        part.expects = view.purpose
        self._decide(attempts.Wait(part.number))

    def _reply(self, now: float, reply: attempts.Reply) -> None:
        send = self._running.get(reply.attempt)
        if send is None:
            return
        part = self._parts[send.part]
        rejection = attempts.check_reply(reply, send, part.spec)
        self._end(send)
        if rejection is not None:
            self._decide(attempts.Cancel(send.attempt))
            self._note_failure(now, part, send, rejection[0])
        elif self._accept(part, reply):
            self._continue_part(now, part, send)
        else:
            self._note_failure(now, part, send, attempts.Cause.BAD_REPLY)

    def _accept(self, part: parts.Progress, reply: attempts.Reply) -> bool:
        before = sum(len(piece.rows) for piece in part.pieces)
        if not part.accept(reply):
            return False
        for keys in reply.ranges:
            self._coverage.add(part.spec.service, keys).unwrap()
        self._rows += sum(len(piece.rows) for piece in part.pieces) - before
        return True

    def _continue_part(
        self, now: float, part: parts.Progress, send: attempts.Send
    ) -> None:
        if not self._coverage.missing_of(part.spec.service):
            for other in list(part.running.values()):
                self._cancel(other)
        else:
            part.reason = parts.PARTIAL_REPLY
            part.tries = 0
            part.avoid(send.address, now)
            self._retry(now, part)
        self._check_complete()

    def _failed(self, now: float, event: attempts.Failed) -> None:
        send = self._running.get(event.attempt)
        if send is None:
            return
        part = self._parts[send.part]
        self._end(send)
        if event.cause is attempts.Cause.NOT_SENT:
            part.sent -= 1
        self._note_failure(now, part, send, event.cause, event.retry_after_s)

    def _note_failure(
        self,
        now: float,
        part: parts.Progress,
        send: attempts.Send,
        cause: attempts.Cause,
        retry_after_s: float = 0.0,
    ) -> None:
        part.reason = cause.value
        part.avoid(send.address, now + retry_after_s)
        if cause not in attempts.SNAPSHOT_CAUSES:
            self._retry(now, part)
            return
        part.gone.add(send.address)
        if not part.running:
            self._ask(part)

    def _end(self, send: attempts.Send) -> None:
        del self._running[send.attempt]
        del self._parts[send.part].running[send.attempt]

    def _cancel(self, send: attempts.Send) -> None:
        self._end(send)
        self._decide(attempts.Cancel(send.attempt))

    def _retry(self, now: float, part: parts.Progress) -> None:
        if part.running:
            # The attempts in progress were asked for all that is still missing.
            return
        is_lookup = self._query.kind is model.QueryKind.LOOKUP
        if part.tries == 0 and not is_lookup:
            part.tries = 1
            self._ask(part)
        else:
            self._retry_later(now, part)

    def _retry_later(self, now: float, part: parts.Progress) -> None:
        part.tries += 1
        remaining_s = self._query.deadline - now
        delay = parts.delay_retry(self._seed, part.number, part.tries, remaining_s)
        self._retry_at(part, now + delay)

    def _retry_at(self, part: parts.Progress, time: float) -> None:
        part.retry_at = time
        self._timers.schedule(time, timers.TimerKind.RETRY, part.number)

    def _is_wanted(self, entry: timers.Timer) -> bool:
        if entry.kind is timers.TimerKind.RETRY:
            return self._parts[entry.number].retry_at == entry.time
        return entry.number in self._running

    def _timer(self, now: float) -> None:
        self._armed = None
        while (entry := self._timers.pop(now)) is not None:
            if entry.kind is timers.TimerKind.RETRY:
                self._ask(self._parts[entry.number])
            elif entry.kind is timers.TimerKind.HEDGE:
                self._hedge(self._parts[self._running[entry.number].part])
            else:
                self._time_out(now, self._running[entry.number])

    def _hedge(self, part: parts.Progress) -> None:
        if not part.hedged:
            part.expects = attempts.Purpose.HEDGE
            self._decide(attempts.Choose(part.number, part.expects))

    def _time_out(self, now: float, send: attempts.Send) -> None:
        self._cancel(send)
        part = self._parts[send.part]
        self._note_failure(now, part, send, attempts.Cause.TIMEOUT)

    def _arm(self) -> None:
        """Ask for a timer if the next one is earlier than the one asked for."""
        if self._finished:
            return
        earliest = self._timers.peek()
        wake = min(self._query.deadline, earliest.time if earliest else math.inf)
        if self._armed is None or wake < self._armed:
            self._armed = wake
            self._decide(attempts.WakeAt(wake))

    def _leave_snapshot(
        self, now: float, part: parts.Progress, view: attempts.View
    ) -> None:
        if self._replanning:
            part.blocked = True
            return
        patience = min(view.hedge_delay_s or 0.0, view.attempt_timeout_s)
        late = now + patience >= self._query.deadline
        if late or self._restarts >= RESTARTS_MAX or self._keeps_rows():
            self._stay(now, part)
            return
        part.blocked = self._replanning = True
        self._decide(attempts.Restart(f"{part.spec.service}: {part.reason}"))

    def _keeps_rows(self) -> bool:
        # An urgent query answers with its verified rows rather than drop them.
        return self._query.kind is model.QueryKind.URGENT and self._rows > 0

    def _stay(self, now: float, part: parts.Progress) -> None:
        # A replica that lags behind the snapshot may have caught up later.
        part.gone.clear()
        part.blocked = False
        self._retry_later(now, part)

    def _replan(self, now: float, plan: attempts.Plan | None) -> None:
        if not self._replanning:
            return
        self._replanning = False
        refused = plan is None or plans.check_successor(self._plan, plan) is not None
        self._lacks_version = refused
        if refused or self._keeps_rows():
            for part in self._parts:
                if part.blocked:
                    self._stay(now, part)
            return
        self._restarts += 1
        for send in list(self._running.values()):
            self._cancel(send)
        self._adopt(plan)

    def _check_complete(self) -> None:
        if outcomes.is_complete(self._query, self._floor, self._coverage, self._rows):
            self._finish(None)

    def _finish_at_deadline(self) -> None:
        failure = errors.Failure(errors.ErrorKind.DEADLINE_EXCEEDED, "not started")
        if self._started:
            failure = outcomes.judge_at_deadline(
                self._query, self._floor, self._coverage, self._lacks_version
            )
        self._finish(failure)

    def _finish(self, failure: errors.Failure | None) -> None:
        self._finished = True
        outcome = outcomes.build(
            failure, self._query.limit, self._plan.versions, self._coverage, self._parts
        )
        for send in list(self._running.values()):
            self._cancel(send)
        self._decide(attempts.Finish(outcome))
