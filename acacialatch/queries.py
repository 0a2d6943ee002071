"""Execution of all queries of an entry instance.

`QueryRunner` executes the decisions of the `scatter.Scatter` of each query. It supplies
what they need: plans, candidates with their states, budgets and admission queues.
"""

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
"""Most queries in progress; further ones are answered with `overloaded`."""

QUEUE_MAX = 3_000
QUEUE_PER_KIND_MAX = 1_000
"""Most waiting parts of one service, in all and of one query kind."""

ATTEMPT_TIMEOUT_MIN_S = 0.25
ATTEMPT_TIMEOUT_FACTOR = 10.0
"""An attempt times out after this many hedge delays, but not below the minimum."""

WAIT_POLL_S = 0.25
"""Time after which waiting queries and parts are tried again, in seconds."""

_SEND_METRICS = {
    attempts.Purpose.FIRST: "sub_requests",
    attempts.Purpose.HEDGE: "hedges",
    attempts.Purpose.RETRY: "retries",
}


class _SubRequest(typing.NamedTuple):
    """Sub-request in flight: the query and attempt that its reply belongs to."""

    answer_id: str
    attempt: int
    service: str
    index: str


class QueryRunner:
    """Runs all queries of one entry instance, without doing I/O itself.

    Methods that handle an event return the actions to carry out, such as sends.

    Parameters
    ----------
    dispatcher : dispatch.Dispatcher
        Sends to backend servers.
    list_members : callable
        Returns the known entry instances, for explanation records.
    policy : routing.ReplicaPolicy
        Policy that chooses replicas.
    seed : int
        Seed of all random choices.
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
        self._in_flight: dict[int, _SubRequest] = {}
        self._queues: admission.ServiceQueues[tuple[str, int]]
        self._queues = admission.ServiceQueues(QUEUE_MAX, QUEUE_PER_KIND_MAX)
        self._timers: list[tuple[float, str]] = []
        self._budgets = budgets.SubRequestBudgets(model.Policy())
        self._actions: list[events.Action] = []
        self._next_poll = float("inf")

    def list_gauges(self) -> list[events.Action]:
        """Return the gauges of waiting parts and of sub-requests in progress."""
        return [
            events.SetMetric("waiting", len(self._queues)),
            events.SetMetric("in_flight", len(self._in_flight)),
        ]

    def count(self) -> int:
        """Return the number of queries in progress."""
        return len(self._active) + len(self._unplanned)

    def next_timer(self) -> float:
        """Return the time in seconds at which `handle_timers` must be called."""
        first = self._timers[0][0] if self._timers else float("inf")
        return min(first, self._next_poll)

    def owns_send(self, send_id: int) -> bool:
        """Return whether a send belongs to a query."""
        return send_id in self._in_flight

    def apply_configuration(self, configuration: model.Configuration) -> None:
        """Replace the budgets by new ones with the limits of a configuration."""
        self._budgets = budgets.SubRequestBudgets(configuration.policy)

    def handle_query(self, now: float, query: model.Query) -> list[events.Action]:
        """Start a query, or answer it with an error.

        It is refused without a configuration, if the configuration is not current, and
        if `QUERIES_MAX` queries are in progress.
        """
        refusal = self._check_admission(now)
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
        return self._pop_actions()

    def handle_caller_gone(self, now: float, answer_id: str) -> list[events.Action]:
        """Stop a query whose caller closed its connection."""
        self._unplanned.pop(answer_id, None)
        active = self._active.get(answer_id)
        if active is not None:
            self._handle_event(now, active, attempts.CallerGone())
        return self._pop_actions()

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
            self._remove_query(now, active)
        return self._pop_actions()

    def handle_reply(
        self, now: float, event: events.ServerReplied
    ) -> list[events.Action]:
        """Pass a reply to its query, and send parts that wait for the same service.

        A reply with status 200 counts as success for the retry budget, any other as
        failure, except that of a server without the snapshot.
        """
        sub_request = self._in_flight.pop(event.send_id)
        self._actions.append(events.TimeMetric("sub_request_time", event.latency_s))
        if event.status == 200:
            self._budgets.record_reply(sub_request.service)
        elif event.status != subrequests.CONFLICT_STATUS:
            self._budgets.record_failure(sub_request.service)
        reply = subrequests.read_reply(sub_request.attempt, sub_request.index, event)
        self._handle_attempt_event(now, sub_request, reply)
        self._serve_queue(now, sub_request.service)
        return self._pop_actions()

    def handle_failure(
        self, now: float, event: events.SendFailed
    ) -> list[events.Action]:
        """Pass a failure to its query, and send parts that wait for the same service.

        It counts as failure for the retry budget only if bytes were sent.
        """
        sub_request = self._in_flight.pop(event.send_id)
        if event.bytes_sent:
            self._budgets.record_failure(sub_request.service)
        self._handle_attempt_event(
            now, sub_request, subrequests.read_failure(sub_request.attempt, event)
        )
        self._serve_queue(now, sub_request.service)
        return self._pop_actions()

    def handle_timers(self, now: float) -> list[events.Action]:
        """Handle due timers, and retry waiting queries and parts if a poll is due."""
        while self._timers and self._timers[0][0] <= now:
            _, answer_id = heapq.heappop(self._timers)
            if answer_id in self._unplanned:
                self._fail_unplanned(answer_id)
            active = self._active.get(answer_id)
            if active is not None and active.wake_at <= now:
                self._handle_event(now, active, attempts.Timer())
        if now >= self._next_poll:
            self._dispatch_waiting(now)
        return self._pop_actions()

    def retry_waiting(self, now: float) -> list[events.Action]:
        """Plan queries that wait for a version, and send parts that wait in queues."""
        self._dispatch_waiting(now)
        return self._pop_actions()

    def _dispatch_waiting(self, now: float) -> None:
        self._next_poll = float("inf")
        for query in list(self._unplanned.values()):
            self._plan_query(now, query)
        for service in self._queues.list_services():
            self._serve_queue(now, service)

    # Planning.

    def _check_admission(self, now: float) -> errors.Failure | None:
        kind = errors.ErrorKind
        if self._store.configuration is None:
            return errors.Failure(kind.NO_CONFIGURATION)
        if not self._dispatcher.is_current(now):
            return errors.Failure(kind.NOT_CURRENT)
        if self.count() >= QUERIES_MAX:
            return errors.Failure(kind.OVERLOADED, f"{QUERIES_MAX} queries in progress")
        return None

    def _plan_query(self, now: float, query: model.Query) -> None:
        """Plan and start a query, or try again later if a version is not yet known."""
        configuration = self._store.configuration
        if configuration is None or query.service not in configuration.services:
            return
        plan = self._make_plan(configuration, query, {})
        if plan is None:
            self._schedule_poll(now)
            return
        del self._unplanned[query.answer_id]
        active = self._add_active_query(now, query, configuration, plan)
        self._handle_event(now, active, attempts.Start(plan))

    def _make_plan(
        self,
        configuration: model.Configuration,
        query: model.Query,
        min_versions: typing.Mapping[str, int],
    ) -> attempts.Plan | None:
        return planner.make_plan(
            configuration,
            self._store.revision,
            query,
            self._dispatcher.table.versions,
            min_versions,
        )

    def _add_active_query(
        self,
        now: float,
        query: model.Query,
        configuration: model.Configuration,
        plan: attempts.Plan,
    ) -> activequery.ActiveQuery:
        # The seed depends on no other query, so that a recorded query can be replayed.
        seed = random.Random(f"{self._seed} {query.answer_id}").getrandbits(32)
        active = activequery.ActiveQuery(
            now, query, configuration, plan, seed, self._policy
        )
        active.writer = self._create_record_writer(active)
        self._active[query.answer_id] = active
        return active

    def _create_record_writer(
        self, active: activequery.ActiveQuery
    ) -> records.RecordWriter:
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

    def _fail_unplanned(self, answer_id: str) -> None:
        """Answer a query that could not be planned until its deadline."""
        query = self._unplanned.pop(answer_id)
        failure = errors.Failure(
            errors.ErrorKind.NO_COMMON_VERSION, "no index version is known yet"
        )
        revision = self._store.revision
        self._actions.append(activequery.make_failure_answer(query, revision, failure))

    # Events and decisions of `scatter.Scatter`.

    def _handle_attempt_event(
        self, now: float, sub_request: _SubRequest, event: attempts.Event
    ) -> None:
        active = self._active.get(sub_request.answer_id)
        if active is not None:
            active.send_ids.pop(sub_request.attempt, None)
            self._handle_event(now, active, event)

    def _handle_event(
        self, now: float, active: activequery.ActiveQuery, event: attempts.Event
    ) -> None:
        """Process an event; an exception fails this query but not the process."""
        try:
            self._process_event(now, active, event)
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
                self._remove_query(now, active)

    def _process_event(
        self, now: float, active: activequery.ActiveQuery, event: attempts.Event
    ) -> None:
        """Process an event and all events that follow directly from its decisions."""
        pending = collections.deque([event])
        while pending and not active.finished:
            current = pending.popleft()
            decisions = active.scatter.handle(now, current)
            if isinstance(current, attempts.Replan):
                self._apply_plan(active, current.plan)
            if active.writer is not None:
                active.writer.add(now, current, decisions)
            for decision in decisions:
                follow_up = self._execute(now, active, decision)
                if follow_up is not None:
                    pending.append(follow_up)

    def _execute(
        self, now: float, active: activequery.ActiveQuery, decision: attempts.Decision
    ) -> attempts.Event | None:
        match decision:
            case attempts.Choose():
                active.purposes[decision.part] = decision.purpose
                return self._build_view(now, active, decision.part, decision.purpose)
            case attempts.Send():
                return self._send_sub_request(now, active, decision)
            case attempts.Cancel():
                self._cancel_attempt(now, active, decision.attempt)
            case attempts.Wait():
                self._queue_part(now, active, decision.part)
            case attempts.WakeAt():
                active.wake_at = decision.time
                entry = (decision.time, active.query.answer_id)
                heapq.heappush(self._timers, entry)
            case attempts.Restart():
                return attempts.Replan(self._make_newer_plan(active))
            case attempts.Finish():
                self._finish_query(now, active, decision.outcome)
        return None

    def _build_view(
        self,
        now: float,
        active: activequery.ActiveQuery,
        number: int,
        purpose: attempts.Purpose,
    ) -> attempts.View:
        """Return the current state of a part's replicas, its budget and timeouts.

        A service with one replica gets no hedge delay, so it is not hedged.
        """
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
            self._is_within_budget(now, service.name, purpose),
            delay_s if len(candidates) > 1 else None,
            max(ATTEMPT_TIMEOUT_MIN_S, ATTEMPT_TIMEOUT_FACTOR * delay_s),
        )

    def _is_within_budget(
        self, now: float, service: str, purpose: attempts.Purpose
    ) -> bool:
        if purpose is attempts.Purpose.HEDGE:
            return self._budgets.allows_hedge()
        if purpose is attempts.Purpose.RETRY:
            return self._budgets.allows_retry(now, service)
        return True

    def _send_sub_request(
        self, now: float, active: activequery.ActiveQuery, send: attempts.Send
    ) -> attempts.Event | None:
        """Send a sub-request, or return the failure if the dispatcher refuses it."""
        part = active.plan.parts[send.part]
        service = active.configuration.services[part.service]
        # The replica's state may have changed since the view: its permit may be used.
        started_send = self._dispatcher.start_send(now, service, send.address)
        if started_send is None:
            return attempts.Failed(send.attempt, attempts.Cause.NOT_SENT)
        if send.purpose is attempts.Purpose.FIRST:
            self._budgets.record_first_send()
        elif send.purpose is attempts.Purpose.HEDGE:
            self._budgets.try_spend_hedge()
        send_id = started_send.send_id
        active.send_ids[send.attempt] = send_id
        if send.deadline < active.query.deadline:
            active.timeouts_s[send.attempt] = send.deadline - now
        self._in_flight[send_id] = _SubRequest(
            active.query.answer_id, send.attempt, part.service, part.index
        )
        self._actions.append(
            subrequests.make_send(now, started_send, send, part, active.query)
        )
        self._actions.append(events.CountMetric(_SEND_METRICS[send.purpose]))
        return None

    def _cancel_attempt(
        self, now: float, active: activequery.ActiveQuery, attempt: int
    ) -> None:
        send_id = active.send_ids.pop(attempt, None)
        sub_request = None if send_id is None else self._in_flight.pop(send_id, None)
        if send_id is None or sub_request is None:
            return
        limit_s = active.timeouts_s.pop(attempt, float("inf"))
        self._end_send(now, send_id, sub_request.service, limit_s)
        # Waiting parts may use the replica that this frees.
        self._schedule_poll(now, 0.0)

    def _end_send(self, now: float, send_id: int, service: str, limit_s: float) -> None:
        """End a send whose reply is no longer needed.

        A send that reached its time limit counts as timed out. One younger than the
        hedge delay is left to finish, since closing its connection would cost more than
        the reply.
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

    def _queue_part(
        self, now: float, active: activequery.ActiveQuery, part: int
    ) -> None:
        service = active.plan.parts[part].service
        query = active.query
        item = (query.answer_id, part)
        pushed = self._queues.push(now, service, item, query.kind, query.deadline)
        if pushed.is_err():
            # The part stays missing, which the answer reports at the deadline.
            self._actions.append(events.CountMetric("refused"))
        self._schedule_poll(now)

    def _serve_queue(self, now: float, service: str) -> None:
        """Send the waiting parts of a service until one has to be queued again."""
        while (item := self._queues.pop(now, service)) is not None:
            active = self._active.get(item[0])
            if active is None:
                continue
            before = self._queues.count(service)
            view = self._build_view(now, active, item[1], active.purposes[item[1]])
            self._handle_event(now, active, view)
            if self._queues.count(service) > before:
                break

    def _make_newer_plan(self, active: activequery.ActiveQuery) -> attempts.Plan | None:
        """Return a plan from the current configuration, or None if there is none.

        Its index versions are not older than those of the present plan. There is no
        such plan if the service was removed or an index has no such version.
        """
        configuration = self._store.configuration
        assert configuration is not None
        if active.query.service not in configuration.services:
            return None
        min_versions = dict(active.plan.versions)
        active.offered_configuration = configuration
        return self._make_plan(configuration, active.query, min_versions)

    def _apply_plan(
        self, active: activequery.ActiveQuery, plan: attempts.Plan | None
    ) -> None:
        """Use a new plan and its configuration, unless `scatter` refused the plan."""
        if plan is None or active.scatter.plan is not plan:
            return
        for number, part in enumerate(active.plan.parts):
            self._queues.remove(part.service, (active.query.answer_id, number))
        active.plan = plan
        active.configuration = active.offered_configuration

    def _finish_query(
        self, now: float, active: activequery.ActiveQuery, outcome: attempts.Outcome
    ) -> None:
        revision = active.plan.revision
        answer_id = active.query.answer_id
        self._actions.append(events.AnswerQuery(answer_id, revision, outcome))
        if outcome.failure is not None:
            self._actions.append(events.CountMetric("queries_failed"))
        elif outcome.covered < outcome.total:
            self._actions.append(events.CountMetric("queries_partial"))
        self._actions.append(events.TimeMetric("query_time", now - active.started_at))
        self._remove_query(now, active)

    def _remove_query(self, now: float, active: activequery.ActiveQuery) -> None:
        """Forget an answered query, end its sends and write its record."""
        active.finished = True
        answer_id = active.query.answer_id
        del self._active[answer_id]
        for attempt, send_id in active.send_ids.items():
            sub_request = self._in_flight.pop(send_id, None)
            if sub_request is not None:
                limit_s = active.timeouts_s.get(attempt, float("inf"))
                self._end_send(now, send_id, sub_request.service, limit_s)
        if active.writer is not None:
            data = active.writer.finish()
            self._actions.append(events.WriteRecord(answer_id, data))

    def _schedule_poll(self, now: float, delay_s: float = WAIT_POLL_S) -> None:
        self._next_poll = min(self._next_poll, now + delay_s)

    def _pop_actions(self) -> list[events.Action]:
        actions, self._actions = self._actions, []
        return actions
