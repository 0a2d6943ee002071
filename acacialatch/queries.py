"""Runs queries: joins scatter, server states, limits, budgets and queues."""

import collections
import heapq
import random
import typing

from acacialatch import (
    activequery,
    admission,
    attempts,
    budgets,
    dispatch,
    errors,
    events,
    model,
    planner,
    records,
    routing,
    subrequests,
)

QUERIES_MAX = 2_000
"""Queries in progress above which new ones are refused."""

QUEUE_MAX = 3_000
QUEUE_PER_KIND_MAX = 1_000

ATTEMPT_TIMEOUT_MIN_S = 0.25
ATTEMPT_TIMEOUT_FACTOR = 10.0
"""An attempt is given up after this many hedge delays."""

WAIT_POLL_S = 0.25
"""Time after which parts that wait without a usable replica look again."""

_METRICS = {
    attempts.Purpose.FIRST: "sub_requests",
    attempts.Purpose.HEDGE: "hedges",
    attempts.Purpose.RETRY: "retries",
}


class _Sent(typing.NamedTuple):
    answer_id: str
    attempt: int
    service: str
    index: str


class QueryRunner:
    """Runs all queries of one entry instance.

    Parameters
    ----------
    dispatcher : dispatch.Dispatcher
        Sends to backend servers.
    list_members : callable
        Returns the entry instances that are known, for explanation records.
    policy : routing.ReplicaPolicy
        Choice of replicas.
    seed : int
        Seed of all pseudo-random choices.
    """

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        list_members: typing.Callable[[], tuple[str, ...]],
        policy: routing.ReplicaPolicy,
        seed: int,
    ):
        self._dispatcher = dispatcher
        self._store = dispatcher.store
        self._list_members = list_members
        self._policy = policy
        self._seed = seed
        self._active: dict[str, activequery.ActiveQuery] = {}
        self._unplanned: dict[str, model.Query] = {}
        self._sent: dict[int, _Sent] = {}
        self._queues: admission.ServiceQueues[tuple[str, int]]
        self._queues = admission.ServiceQueues(QUEUE_MAX, QUEUE_PER_KIND_MAX)
        self._timers: list[tuple[float, str]] = []
        self._budgets = budgets.SubRequestBudgets(model.Policy())
        self._actions: list[events.Action] = []
        self._next_look = float("inf")

    def list_gauges(self) -> list[events.Action]:
        """Return gauges of the parts that wait and of those in progress."""
        return [
            events.SetMetric("waiting", len(self._queues)),
            events.SetMetric("in_flight", len(self._sent)),
        ]

    def count(self) -> int:
        """Return the number of queries in progress."""
        return len(self._active) + len(self._unplanned)

    def next_timer(self) -> float:
        """Return the time in seconds at which `handle_timers` must be called."""
        first = self._timers[0][0] if self._timers else float("inf")
        return min(first, self._next_look)

    def owns_send(self, send_id: int) -> bool:
        """Return whether a send belongs to a query."""
        return send_id in self._sent

    def apply_configuration(self, configuration: model.Configuration) -> None:
        """Take the budgets of a configuration that came into force."""
        self._budgets = budgets.SubRequestBudgets(configuration.policy)

    def handle_query(self, now: float, query: model.Query) -> list[events.Action]:
        """Start a query, or answer it with the reason for the refusal."""
        refusal = self._find_refusal(now)
        if refusal is not None:
            return [
                activequery.make_failure_answer(query, self._store.revision, refusal),
                events.CountMetric("queries"),
                events.CountMetric("queries_failed"),
            ]
        self._actions.append(events.CountMetric("queries"))
        self._unplanned[query.answer_id] = query
        heapq.heappush(self._timers, (query.deadline, query.answer_id))
        self._plan_query(now, query)
        return self._take_actions()

    def handle_caller_gone(self, now: float, answer_id: str) -> list[events.Action]:
        """Stop a query whose caller is gone."""
        self._unplanned.pop(answer_id, None)
        active = self._active.get(answer_id)
        if active is not None:
            self._feed(now, active, attempts.CallerGone())
        return self._take_actions()

    def shut_down(self, now: float) -> list[events.Action]:
        """Answer every query in progress with `shutting_down`."""
        failure = errors.Failure(errors.ErrorKind.SHUTTING_DOWN)
        revision = self._store.revision
        for query in list(self._unplanned.values()):
            self._actions.append(
                activequery.make_failure_answer(query, revision, failure)
            )
        self._unplanned.clear()
        for active in list(self._active.values()):
            self._actions.append(
                activequery.make_failure_answer(active.query, revision, failure)
            )
            active.finished = True
            self._close(now, active)
        return self._take_actions()

    def handle_reply(
        self, now: float, event: events.ServerReplied
    ) -> list[events.Action]:
        """Take the reply of a backend server to a sub-request."""
        sent = self._sent.pop(event.send_id)
        self._actions.append(events.TimeMetric("sub_request_time", event.latency_s))
        if event.status == 200:
            self._budgets.record_reply(sent.service)
        elif event.status != subrequests.CONFLICT_STATUS:
            self._budgets.record_failure(sent.service)
        reply = subrequests.read_reply(sent.attempt, sent.index, event)
        self._feed_sent(now, sent, reply)
        self._grant(now, sent.service)
        return self._take_actions()

    def handle_failure(
        self, now: float, event: events.SendFailed
    ) -> list[events.Action]:
        """Take the failure of a sub-request."""
        sent = self._sent.pop(event.send_id)
        if event.bytes_sent:
            self._budgets.record_failure(sent.service)
        self._feed_sent(now, sent, subrequests.read_failure(sent.attempt, event))
        self._grant(now, sent.service)
        return self._take_actions()

    def handle_timers(self, now: float) -> list[events.Action]:
        """Handle timers that are due and parts that wait for a replica."""
        while self._timers and self._timers[0][0] <= now:
            _, answer_id = heapq.heappop(self._timers)
            if answer_id in self._unplanned:
                self._refuse_unplanned(answer_id)
            active = self._active.get(answer_id)
            if active is not None and active.wake_at <= now:
                self._feed(now, active, attempts.Timer())
        if now >= self._next_look:
            self._retry_waiting(now)
        return self._take_actions()

    def retry_waiting(self, now: float) -> list[events.Action]:
        """Plan waiting queries and offer replicas to waiting parts."""
        self._retry_waiting(now)
        return self._take_actions()

    def _retry_waiting(self, now: float) -> None:
        self._next_look = float("inf")
        for query in list(self._unplanned.values()):
            self._plan_query(now, query)
        for service in self._queues.list_services():
            self._grant(now, service)

    # Planning.

    def _find_refusal(self, now: float) -> errors.Failure | None:
        kind = errors.ErrorKind
        if self._store.configuration is None:
            return errors.Failure(kind.NO_CONFIGURATION)
        if not self._dispatcher.is_current(now):
            return errors.Failure(kind.NOT_CURRENT)
        if self.count() >= QUERIES_MAX:
            return errors.Failure(kind.OVERLOADED, f"{QUERIES_MAX} queries in progress")
        return None

    def _plan_query(self, now: float, query: model.Query) -> None:
        configuration = self._store.configuration
        if configuration is None or query.service not in configuration.services:
            return
        plan = self._make_plan(configuration, query, {})
        if plan is None:
            self._schedule_look(now)
            return
        del self._unplanned[query.answer_id]
        active = self._activate(now, query, configuration, plan)
        self._feed(now, active, attempts.Start(plan))

    def _make_plan(
        self,
        configuration: model.Configuration,
        query: model.Query,
        lowest: typing.Mapping[str, int],
    ) -> attempts.Plan | None:
        return planner.make_plan(
            configuration,
            self._store.revision,
            query,
            self._dispatcher.table.versions,
            lowest,
        )

    def _activate(
        self,
        now: float,
        query: model.Query,
        configuration: model.Configuration,
        plan: attempts.Plan,
    ) -> activequery.ActiveQuery:
        # The seed depends on the query alone, so a record can repeat it.
        seed = random.Random(f"{self._seed} {query.answer_id}").getrandbits(32)
        active = activequery.ActiveQuery(
            now, query, configuration, plan, seed, self._policy
        )
        active.writer = self._open_record(active)
        self._active[query.answer_id] = active
        return active

    def _open_record(self, active: activequery.ActiveQuery) -> records.RecordWriter:
        store = self._store
        header = records.Header(
            answer_id=active.query.answer_id,
            entry_instance=self._dispatcher.identity.caller_address,
            incarnation=self._dispatcher.identity.incarnation,
            revision=store.revision,
            configuration_sha256=store.digest,
            membership=self._list_members(),
            query=active.query,
            floor=active.floor,
            seed=active.seed,
            policy=type(self._policy).__name__,
        )
        return records.RecordWriter(header)

    def _refuse_unplanned(self, answer_id: str) -> None:
        query = self._unplanned.pop(answer_id)
        failure = errors.Failure(
            errors.ErrorKind.NO_COMMON_VERSION, "no index version is known yet"
        )
        revision = self._store.revision
        self._actions.append(activequery.make_failure_answer(query, revision, failure))

    # Decisions of scatter.

    def _feed_sent(self, now: float, sent: _Sent, event: attempts.Event) -> None:
        active = self._active.get(sent.answer_id)
        if active is not None:
            active.sends.pop(sent.attempt, None)
            self._feed(now, active, event)

    def _feed(
        self, now: float, active: activequery.ActiveQuery, event: attempts.Event
    ) -> None:
        """Feed an event; a defect ends this query, not the process with all others."""
        try:
            self._feed_all(now, active, event)
        except Exception as error:
            text = f"{active.query.answer_id} failed: {error!r}"
            self._actions.append(events.WriteLog("query:", text))
            if not active.finished:
                failure = errors.Failure(errors.ErrorKind.INTERNAL)
                self._actions.append(
                    activequery.make_failure_answer(
                        active.query, self._store.revision, failure
                    )
                )
                self._actions.append(events.CountMetric("queries_failed"))
                self._close(now, active)

    def _feed_all(
        self, now: float, active: activequery.ActiveQuery, event: attempts.Event
    ) -> None:
        """Feed an event, and every event that its decisions cause at once."""
        pending = collections.deque([event])
        while pending and not active.finished:
            current = pending.popleft()
            decisions = active.scatter.handle(now, current)
            if isinstance(current, attempts.Replan):
                self._adopt(active, current.plan)
            if active.writer is not None:
                active.writer.add(now, current, decisions)
            for decision in decisions:
                follow_up = self._carry_out(now, active, decision)
                if follow_up is not None:
                    pending.append(follow_up)

    def _carry_out(
        self, now: float, active: activequery.ActiveQuery, decision: attempts.Decision
    ) -> attempts.Event | None:
        match decision:
            case attempts.Choose():
                active.purposes[decision.part] = decision.purpose
                return self._make_view(now, active, decision.part, decision.purpose)
            case attempts.Send():
                return self._send(now, active, decision)
            case attempts.Cancel():
                self._cancel(now, active, decision.attempt)
            case attempts.Wait():
                self._queue(now, active, decision.part)
            case attempts.WakeAt():
                active.wake_at = decision.time
                entry = (decision.time, active.query.answer_id)
                heapq.heappush(self._timers, entry)
            case attempts.Restart():
                return attempts.Replan(self._replan(active))
            case attempts.Finish():
                self._finish(now, active, decision.outcome)
        return None

    def _make_view(
        self,
        now: float,
        active: activequery.ActiveQuery,
        number: int,
        purpose: attempts.Purpose,
    ) -> attempts.View:
        service = active.configuration.services[active.plan.parts[number].service]
        candidates = tuple(
            self._dispatcher.make_candidate(now, replica)
            for replica in service.replicas
        )
        self._dispatcher.record_use(now, service.name)
        self._dispatcher.add_permit_demand(now, candidates)
        delay_s = self._dispatcher.table.hedge_delay(service.name)
        return attempts.View(
            number,
            purpose,
            candidates,
            self._allows(now, service.name, purpose),
            delay_s if len(candidates) > 1 else None,
            max(ATTEMPT_TIMEOUT_MIN_S, ATTEMPT_TIMEOUT_FACTOR * delay_s),
        )

    def _allows(self, now: float, service: str, purpose: attempts.Purpose) -> bool:
        if purpose is attempts.Purpose.HEDGE:
            return self._budgets.allows_hedge()
        if purpose is attempts.Purpose.RETRY:
            return self._budgets.allows_retry(now, service)
        return True

    def _send(
        self, now: float, active: activequery.ActiveQuery, send: attempts.Send
    ) -> attempts.Event | None:
        part = active.plan.parts[send.part]
        service = active.configuration.services[part.service]
        # The state may have changed since the view, for example the permit is spent.
        started_send = self._dispatcher.start_send(now, service, send.address)
        if started_send is None:
            return attempts.Failed(send.attempt, attempts.Cause.NOT_SENT)
        if send.purpose is attempts.Purpose.FIRST:
            self._budgets.record_first_send()
        elif send.purpose is attempts.Purpose.HEDGE:
            self._budgets.try_spend_hedge()
        send_id = started_send.send_id
        active.sends[send.attempt] = send_id
        if send.deadline < active.query.deadline:
            active.timeouts[send.attempt] = send.deadline - now
        self._sent[send_id] = _Sent(
            active.query.answer_id, send.attempt, part.service, part.index
        )
        self._actions.append(
            subrequests.make_send(now, started_send, send, part, active.query)
        )
        self._actions.append(events.CountMetric(_METRICS[send.purpose]))
        return None

    def _cancel(
        self, now: float, active: activequery.ActiveQuery, attempt: int
    ) -> None:
        send_id = active.sends.pop(attempt, None)
        sent = None if send_id is None else self._sent.pop(send_id, None)
        if send_id is None or sent is None:
            return
        limit_s = active.timeouts.pop(attempt, float("inf"))
        self._give_up_send(now, send_id, sent.service, limit_s)
        self._schedule_look(now, 0.0)

    def _give_up_send(
        self, now: float, send_id: int, service: str, limit_s: float
    ) -> None:
        """End a send whose reply is no longer needed.

        One past its time limit went silent. A younger one than the hedge delay is left
        to finish, since closing its connection costs more than the reply.
        """
        started = self._dispatcher.started_at(send_id)
        age_s = 0.0 if started is None else now - started
        if age_s < min(limit_s, self._dispatcher.table.hedge_delay(service)):
            return
        self._actions.append(events.CancelSend(send_id))
        if age_s >= limit_s:
            self._actions += self._dispatcher.handle_timeout(now, send_id)
        else:
            self._actions += self._dispatcher.handle_cancel(now, send_id)

    def _queue(self, now: float, active: activequery.ActiveQuery, part: int) -> None:
        service = active.plan.parts[part].service
        query = active.query
        item = (query.answer_id, part)
        pushed = self._queues.push(now, service, item, query.kind, query.deadline)
        if pushed.is_err():
            # The part stays missing; the query says so at its deadline.
            self._actions.append(events.CountMetric("refused"))
        self._schedule_look(now)

    def _grant(self, now: float, service: str) -> None:
        """Offer replicas to waiting parts until one finds none."""
        while (item := self._queues.pop(now, service)) is not None:
            active = self._active.get(item[0])
            if active is None:
                continue
            before = self._queues.count(service)
            view = self._make_view(now, active, item[1], active.purposes[item[1]])
            self._feed(now, active, view)
            if self._queues.count(service) > before:
                break

    def _replan(self, active: activequery.ActiveQuery) -> attempts.Plan | None:
        configuration = self._store.configuration
        assert configuration is not None
        if active.query.service not in configuration.services:
            return None
        lowest = dict(active.plan.versions)
        active.next_configuration = configuration
        return self._make_plan(configuration, active.query, lowest)

    def _adopt(
        self, active: activequery.ActiveQuery, plan: attempts.Plan | None
    ) -> None:
        """Follow scatter to a new plan, unless scatter refused it."""
        if plan is None or active.scatter.plan is not plan:
            return
        for number, part in enumerate(active.plan.parts):
            self._queues.remove(part.service, (active.query.answer_id, number))
        active.plan = plan
        active.configuration = active.next_configuration

    def _finish(
        self, now: float, active: activequery.ActiveQuery, outcome: attempts.Outcome
    ) -> None:
        revision = active.plan.revision
        answer_id = active.query.answer_id
        self._actions.append(events.AnswerQuery(answer_id, revision, outcome))
        if outcome.failure is not None:
            self._actions.append(events.CountMetric("queries_failed"))
        elif outcome.covered < outcome.total:
            self._actions.append(events.CountMetric("queries_partial"))
        self._actions.append(events.TimeMetric("query_time", now - active.started))
        self._close(now, active)

    def _close(self, now: float, active: activequery.ActiveQuery) -> None:
        active.finished = True
        answer_id = active.query.answer_id
        del self._active[answer_id]
        for attempt, send_id in active.sends.items():
            sent = self._sent.pop(send_id, None)
            if sent is not None:
                limit_s = active.timeouts.get(attempt, float("inf"))
                self._give_up_send(now, send_id, sent.service, limit_s)
        if active.writer is not None:
            data = active.writer.finish()
            self._actions.append(events.WriteRecord(answer_id, data))

    # Helpers.

    def _schedule_look(self, now: float, delay_s: float = WAIT_POLL_S) -> None:
        self._next_look = min(self._next_look, now + delay_s)

    def _take_actions(self) -> list[events.Action]:
        actions, self._actions = self._actions, []
        return actions
