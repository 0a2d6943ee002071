"""Scatter-gather of one query, as a state machine without I/O.

`Scatter` is given events, such as a reply or a timer, and returns decisions, such as a
sub-request to send. It reads no clock, so the same query, seed, policy and events give
the same decisions, and a recorded query can be replayed.
"""

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
"""Shortest time before a hedge that could not be sent is tried again, in seconds."""

RESTARTS_MAX = 3
"""Most restarts of a query at a newer snapshot; each repeats all sub-requests."""


class Scatter:
    """State machine of one query.

    `queries.QueryRunner` passes events to `handle` in the order in which they happen
    and executes the returned decisions in order. Events after `Finish` are ignored.

    Parameters
    ----------
    query : model.Query
        The query; its deadline is on the same clock as `now` of `handle`.
    floor : tuple of int
        Numerator and denominator of the smallest coverage with which a full-page
        query is answered.
    seed : int
        Seed of the retry jitter and of the choice between equal replicas.
    policy : routing.ReplicaPolicy, optional
        Policy that chooses replicas; `routing.LeastLoaded` by default.

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
        self._awaiting_replan = False
        self._no_newer_snapshot = False
        self._versions: dict[str, int] = {}
        self._parts: list[parts.Progress] = []
        self._coverage = coverage.Coverage(())
        self._rows = 0
        self._running: dict[int, attempts.Send] = {}
        self._attempt_numbers = itertools.count(1)
        self._timers = timers.TimerQueue(self._is_timer_valid)
        self._next_wake_up: float | None = None
        self._decisions: list[attempts.Decision] = []

    @property
    def finished(self) -> bool:
        """Whether `Finish` has been decided."""
        return self._finished

    def handle(self, now: float, event: attempts.Event) -> list[attempts.Decision]:
        """Process an event and return the decisions that follow from it.

        From the deadline on, any event finishes the query, except that a caller that
        is gone is reported as such.

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
            self._handle_event(now, event)
            self._request_wake_up()
        decisions, self._decisions = self._decisions, []
        return decisions

    @property
    def plan(self) -> attempts.Plan:
        """Plan in use; views are built from its parts."""
        return self._plan

    def explain(self, now: float, event: attempts.Event) -> tuple[str, ...]:
        """Return why replicas or a reply would not be used; changes no state.

        Called before `handle` with the same arguments.

        Parameters
        ----------
        now : float
            Time of the event, in seconds.
        event : attempts.Event
            The event.

        Returns
        -------
        tuple of str
            For a `View`, one text for each candidate: why it may not be chosen, or
            an empty text. For a `Reply` that fails verification or whose attempt
            has ended, one text with the reason. Otherwise no text.
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

    def _handle_event(self, now: float, event: attempts.Event) -> None:
        match event:
            case attempts.Start():
                self._handle_start(now, event.plan)
            case attempts.View():
                self._handle_view(now, event)
            case attempts.Reply():
                self._handle_reply(now, event)
            case attempts.Failed():
                self._handle_failed(now, event)
            case attempts.Timer():
                self._handle_timer(now)
            case attempts.Replan():
                self._handle_replan(now, event.plan)

    def _handle_start(self, now: float, plan: attempts.Plan) -> None:
        """Start with a plan; an invalid one fails the query with `INTERNAL`."""
        if self._started:
            return
        problem = plans.check_plan(plan)
        if problem is None:
            self._started = True
            self._apply_plan(plan)
        else:
            self._finish(errors.Failure(errors.ErrorKind.INTERNAL, f"plan: {problem}"))

    def _apply_plan(self, plan: attempts.Plan) -> None:
        """Discard all replies and timers and request a view of each part of a plan."""
        self._plan = plan
        self._versions = dict(plan.versions)
        self._parts = [parts.Progress(*item) for item in enumerate(plan.parts)]
        self._coverage = coverage.Coverage((p.service, p.keys) for p in plan.parts)
        self._rows = 0
        self._timers.clear()
        for part in self._parts:
            self._request_view(part)
        self._finish_if_complete()

    def _request_view(self, part: parts.Progress) -> None:
        part.retry_at = None
        part.awaited_purpose = part.next_purpose()
        self._add_decision(attempts.Choose(part.number, part.awaited_purpose))

    def _add_decision(self, decision: attempts.Decision) -> None:
        self._decisions.append(decision)

    def _handle_view(self, now: float, view: attempts.View) -> None:
        """Send the sub-request for which the view was requested, if possible.

        Otherwise the part waits, is retried later or needs a newer snapshot. A view
        that was not requested is ignored.
        """
        if view.part not in range(len(self._parts)):
            return
        part = self._parts[view.part]
        if part.awaited_purpose is not view.purpose:
            return
        part.awaited_purpose = None
        if view.purpose is attempts.Purpose.HEDGE:
            if part.running:
                self._handle_hedge_view(now, part, view)
            return
        eligible = part.list_eligible(now, view)
        if not eligible:
            self._handle_no_replica(now, part, view)
        elif view.purpose is attempts.Purpose.RETRY and not view.budget_allows:
            part.reason = parts.RETRY_BUDGET
            self._retry_after_backoff(now, part)
        else:
            self._send(now, part, view, eligible)

    def _handle_hedge_view(
        self, now: float, part: parts.Progress, view: attempts.View
    ) -> None:
        """Send the hedge, or check again later if there is no budget or replica."""
        eligible = part.list_eligible(now, view)
        if eligible and view.budget_allows:
            self._send(now, part, view, eligible)
        elif view.hedge_delay_s is not None:
            # Requests that are only slightly slow often use up the hedge budget.
            # A later check lets a real straggler get a token. The delay doubles, so
            # that general slowness causes few checks.
            delay_s = (
                max(view.hedge_delay_s, HEDGE_RECHECK_MIN_S) * 2**part.hedge_refusals
            )
            part.hedge_refusals += 1
            number = min(part.running)
            self._timers.schedule(now + delay_s, timers.TimerKind.HEDGE, number)

    def _send(
        self,
        now: float,
        part: parts.Progress,
        view: attempts.View,
        eligible: list[routing.Candidate],
    ) -> None:
        """Send a sub-request for all missing ranges to the replica the policy chooses.

        Its timeout is set, and the time of its hedge unless the part was hedged.
        """
        chosen = self._policy.choose(eligible, self._seed)
        if chosen is None:
            self._handle_no_replica(now, part, view)
            return
        number = next(self._attempt_numbers)
        send = attempts.Send(
            part.number,
            number,
            eligible[chosen].address,
            view.purpose,
            f"{self._query.answer_id}-{number}",
            self._versions[part.spec.index],
            min(self._query.deadline, now + view.attempt_timeout_s),
            self._coverage.list_missing(part.spec.service),
        )
        self._running[number] = part.running[number] = send
        part.sent_count += 1
        part.hedged |= view.purpose is attempts.Purpose.HEDGE
        self._timers.schedule(send.deadline, timers.TimerKind.ATTEMPT, number)
        if view.hedge_delay_s is not None and not part.hedged:
            hedge_at = now + view.hedge_delay_s
            self._timers.schedule(hedge_at, timers.TimerKind.HEDGE, number)
        self._add_decision(send)

    def _handle_no_replica(
        self, now: float, part: parts.Progress, view: attempts.View
    ) -> None:
        """Wait for a usable replica, retry later or restart at a newer snapshot.

        A hedge is dropped.
        """
        if view.purpose is attempts.Purpose.HEDGE:
            return
        if part.lacking_snapshot:
            self._handle_missing_snapshot(now, part, view)
            return
        part.reason = parts.NO_USABLE_REPLICA
        allowed_at = part.find_next_allowed(now)
        if allowed_at is not None and any(c.usable for c in view.candidates):
            # The delay is capped, so that a replica that becomes usable in the
            # meantime is found soon.
            self._schedule_retry(part, min(allowed_at, now + parts.RETRY_DELAY_MAX_S))
            return
        part.awaited_purpose = view.purpose
        self._add_decision(attempts.Wait(part.number))

    def _handle_reply(self, now: float, reply: attempts.Reply) -> None:
        """Use a verified reply; count any other as a failed attempt."""
        send = self._running.get(reply.attempt)
        if send is None:
            return
        part = self._parts[send.part]
        rejection = attempts.check_reply(reply, send, part.spec)
        self._remove_attempt(send)
        if rejection is not None:
            self._add_decision(attempts.Cancel(send.attempt))
            self._handle_attempt_failure(now, part, send, rejection[0])
        elif self._accept_rows(part, reply):
            self._advance_part(now, part, send)
        else:
            self._handle_attempt_failure(now, part, send, attempts.Cause.BAD_REPLY)

    def _accept_rows(self, part: parts.Progress, reply: attempts.Reply) -> bool:
        """Add the rows and the coverage of a reply; return whether it was accepted."""
        before = sum(len(earlier.rows) for earlier in part.replies)
        if not part.add_reply(reply):
            return False
        for keys in reply.ranges:
            self._coverage.add(part.spec.service, keys).unwrap()
        self._rows += sum(len(earlier.rows) for earlier in part.replies) - before
        return True

    def _advance_part(
        self, now: float, part: parts.Progress, send: attempts.Send
    ) -> None:
        """Cancel the other attempts of a complete part, or retry the missing ranges."""
        if not self._coverage.list_missing(part.spec.service):
            for other in list(part.running.values()):
                self._cancel_attempt(other)
        else:
            part.reason = parts.PARTIAL_REPLY
            part.failed_tries = 0
            part.deprioritize(send.address, now)
            self._retry_part(now, part)
        self._finish_if_complete()

    def _handle_failed(self, now: float, event: attempts.Failed) -> None:
        send = self._running.get(event.attempt)
        if send is None:
            return
        part = self._parts[send.part]
        self._remove_attempt(send)
        if event.cause is attempts.Cause.NOT_SENT:
            part.sent_count -= 1
        self._handle_attempt_failure(now, part, send, event.cause, event.retry_after_s)

    def _handle_attempt_failure(
        self,
        now: float,
        part: parts.Progress,
        send: attempts.Send,
        cause: attempts.Cause,
        retry_after_s: float = 0.0,
    ) -> None:
        """Record a failed attempt and decide when the part is tried again.

        After a cause in `attempts.SNAPSHOT_CAUSES`, the next replica is asked at once,
        since another one may still have the snapshot.
        """
        part.reason = cause.value
        part.deprioritize(send.address, now + retry_after_s)
        if cause not in attempts.SNAPSHOT_CAUSES:
            self._retry_part(now, part)
            return
        part.lacking_snapshot.add(send.address)
        if not part.running:
            self._request_view(part)

    def _remove_attempt(self, send: attempts.Send) -> None:
        del self._running[send.attempt]
        del self._parts[send.part].running[send.attempt]

    def _cancel_attempt(self, send: attempts.Send) -> None:
        self._remove_attempt(send)
        self._add_decision(attempts.Cancel(send.attempt))

    def _retry_part(self, now: float, part: parts.Progress) -> None:
        """Try a part again: at once after its first failure, else after a backoff.

        A lookup always waits for the backoff.
        """
        if part.running:
            # Each attempt in progress already asks for every missing range.
            return
        is_lookup = self._query.kind is model.QueryKind.LOOKUP
        if part.failed_tries == 0 and not is_lookup:
            part.failed_tries = 1
            self._request_view(part)
        else:
            self._retry_after_backoff(now, part)

    def _retry_after_backoff(self, now: float, part: parts.Progress) -> None:
        part.failed_tries += 1
        remaining_s = self._query.deadline - now
        delay = parts.compute_retry_delay(
            self._seed, part.number, part.failed_tries, remaining_s
        )
        self._schedule_retry(part, now + delay)

    def _schedule_retry(self, part: parts.Progress, time: float) -> None:
        part.retry_at = time
        self._timers.schedule(time, timers.TimerKind.RETRY, part.number)

    def _is_timer_valid(self, entry: timers.Timer) -> bool:
        """Return whether the retry is still scheduled or the attempt in progress."""
        if entry.kind is timers.TimerKind.RETRY:
            return self._parts[entry.number].retry_at == entry.time
        return entry.number in self._running

    def _handle_timer(self, now: float) -> None:
        self._next_wake_up = None
        while (entry := self._timers.pop(now)) is not None:
            if entry.kind is timers.TimerKind.RETRY:
                self._request_view(self._parts[entry.number])
            elif entry.kind is timers.TimerKind.HEDGE:
                self._request_hedge_view(self._parts[self._running[entry.number].part])
            else:
                self._handle_attempt_timeout(now, self._running[entry.number])

    def _request_hedge_view(self, part: parts.Progress) -> None:
        if not part.hedged:
            part.awaited_purpose = attempts.Purpose.HEDGE
            self._add_decision(attempts.Choose(part.number, part.awaited_purpose))

    def _handle_attempt_timeout(self, now: float, send: attempts.Send) -> None:
        self._cancel_attempt(send)
        part = self._parts[send.part]
        self._handle_attempt_failure(now, part, send, attempts.Cause.TIMEOUT)

    def _request_wake_up(self) -> None:
        """Request a timer event if the next one is due before the requested one."""
        if self._finished:
            return
        earliest = self._timers.peek()
        due = min(self._query.deadline, earliest.time if earliest else math.inf)
        if self._next_wake_up is None or due < self._next_wake_up:
            self._next_wake_up = due
            self._add_decision(attempts.WakeAt(due))

    def _handle_missing_snapshot(
        self, now: float, part: parts.Progress, view: attempts.View
    ) -> None:
        """Request a newer snapshot for a part whose replicas lack the pinned one.

        The part is retried on the pinned snapshot if the replies after a restart would
        come after the deadline, if the restarts are used up, or if the verified rows
        of an urgent query must be kept.
        """
        if self._awaiting_replan:
            part.awaiting_replan = True
            return
        reply_time_s = min(view.hedge_delay_s or 0.0, view.attempt_timeout_s)
        late = now + reply_time_s >= self._query.deadline
        if late or self._restarts >= RESTARTS_MAX or self._must_keep_rows():
            self._retry_on_snapshot(now, part)
            return
        part.awaiting_replan = self._awaiting_replan = True
        self._add_decision(attempts.Restart(f"{part.spec.service}: {part.reason}"))

    def _must_keep_rows(self) -> bool:
        # A restart discards all rows. An urgent query is answered with the verified
        # rows that it has instead.
        return self._query.kind is model.QueryKind.URGENT and self._rows > 0

    def _retry_on_snapshot(self, now: float, part: parts.Progress) -> None:
        # Replicas without the snapshot become eligible again, since one that lagged
        # behind may have loaded it by the next retry.
        part.lacking_snapshot.clear()
        part.awaiting_replan = False
        self._retry_after_backoff(now, part)

    def _handle_replan(self, now: float, plan: attempts.Plan | None) -> None:
        """Restart with the new plan, or continue on the pinned snapshot."""
        if not self._awaiting_replan:
            return
        self._awaiting_replan = False
        refused = plan is None or plans.check_successor(self._plan, plan) is not None
        self._no_newer_snapshot = refused
        if refused or self._must_keep_rows():
            for part in self._parts:
                if part.awaiting_replan:
                    self._retry_on_snapshot(now, part)
            return
        self._restarts += 1
        for send in list(self._running.values()):
            self._cancel_attempt(send)
        self._apply_plan(plan)

    def _finish_if_complete(self) -> None:
        if outcomes.is_complete(self._query, self._floor, self._coverage, self._rows):
            self._finish(None)

    def _finish_at_deadline(self) -> None:
        failure = errors.Failure(errors.ErrorKind.DEADLINE_EXCEEDED, "not started")
        if self._started:
            failure = outcomes.find_deadline_failure(
                self._query, self._floor, self._coverage, self._no_newer_snapshot
            )
        self._finish(failure)

    def _finish(self, failure: errors.Failure | None) -> None:
        self._finished = True
        outcome = outcomes.build_outcome(
            failure, self._query.limit, self._plan.versions, self._coverage, self._parts
        )
        for send in list(self._running.values()):
            self._cancel_attempt(send)
        self._add_decision(attempts.Finish(outcome))
