"""Core of the query tier: selects servers, hedges, retries and answers callers.

Events are method calls with the current time; each returns the actions to perform.
Nothing here reads a clock, a socket or a file.
"""

import heapq
import math
import random
import typing

from acacialatch import (
    backends,
    batching,
    completion,
    deployment,
    errors,
    exchanges,
    forwarding,
    freshness,
    members,
    sending,
)

RETRY_AFTER_S = 0.5
"""Smallest delay in seconds that refused callers are told to wait before a retry.

A random delay of up to the same length is added, to spread the retries.
"""

STOP_RETRY_AFTER_S = 0.05
"""Delay in seconds after which other entry instances take what a stopping one refuses.
"""

DEADLINE_MARGIN_S = 0.005
"""Time in seconds before the caller's timeout at which its request ends here."""


class Forwarder:
    """Requests of callers in progress at one entry instance.

    Attributes
    ----------
    backends : backends.BackendTable
        Registered backend servers.
    peers : backends.BackendTable
        Other entry instances that accept batches; their service is their zone.
    deployment : deployment.Deployment or None
        Deployment in force.
    counts : collections.Counter of str
        Number of events of each kind, for the metrics.
    send_counts : collections.Counter of str
        Number of attempts by `ratelimits.SendKind`, for the metrics.
    limits : ratelimits.LimitTable
        Rate limits that the servers name.
    calls_requested : int
        Calls of services that requests have asked for, refused ones included.

    Parameters
    ----------
    zone : str
        Availability zone of this entry instance.
    budgets : Budgets
        Bounds on retries and hedges.
    seed : int
        Seed of random choices.
    started : float
        Start of the process in seconds. The retry budgets of a process that has just
        started are smaller; see `resends.ResendBudget`.
    evidence : freshness.Evidence or None
        Tells whether there may be a newer deployment; without it there is none.
    """

    def __init__(
        self,
        zone: str,
        budgets: sending.Budgets,
        seed: int,
        started: float = -math.inf,
        evidence: freshness.Evidence | None = None,
    ):
        self._evidence = evidence or freshness.Evidence()
        self._random = random.Random(seed)
        self._sender = sending.AttemptSender(zone, budgets, started, self._random)
        self._batches = batching.BatchSender(zone, self._sender, self._random)
        self.backends = self._sender.backends
        self.peers = self._batches.peers
        self.counts = self._sender.counts
        self.send_counts = self._sender.send_counts
        self.limits = self._sender.limits
        self.deployment: deployment.Deployment | None = None
        self.calls_requested = 0
        self._route_table = deployment.RouteTable(())
        self._exchanges: dict[int, exchanges.Exchange] = {}
        self._timers: list[tuple[float, int]] = []
        self._stops_at = math.inf

    # Deployment, peers and limits.

    @property
    def open_count(self) -> int:
        """Number of requests in progress."""
        return len(self._exchanges)

    @property
    def sends_made(self) -> int:
        """Attempts sent to backend servers since the start of the process."""
        return self._sender.sends_made

    def set_sharing(self, now: float, sharing: members.Sharing) -> None:
        """Set which entry instances share limits and budgets."""
        self._sender.instance_count = max(1, sharing.count)
        self.limits.set_sharing(now, sharing)

    def set_peers(self, now: float, entries: typing.Iterable[backends.Entry]) -> None:
        """Replace the list of other entry instances that accept batches."""
        self._batches.set_peers(now, entries)

    def set_budgets(self, budgets: sending.Budgets) -> None:
        """Replace the bounds on retries and hedges."""
        self._sender.set_budgets(budgets)

    def apply_deployment(self, new: deployment.Deployment) -> bool:
        """Apply a deployment unless its version is old; return whether it applies."""
        if self.deployment is not None and new.version <= self.deployment.version:
            return False
        self.deployment = self._sender.deployment = new
        self._route_table = deployment.RouteTable(new.routes)
        return True

    # Requests.

    def accept(
        self, now: float, request: forwarding.Request
    ) -> tuple[int, list[forwarding.Action]]:
        """Start a request of a caller; return its number and the actions.

        Shards of an idempotent query without a usable server in this zone are sent as
        batches to entry instances in the zones of their servers, unless a batch would
        be too small. All other calls go directly to the servers. The request is refused
        without an attempt if it has no route, if its deadline has passed or if too few
        shards have a server. While the process stops, it is also refused if the time
        left is too short for it. A path without a route is unknown only if the
        deployment is the newest one; otherwise the caller may retry.
        """
        number = self._sender.take_number()
        route = self._find_route(now, request)
        if isinstance(route, errors.ErrorKind):
            return number, self._refuse_new(number, request, route)
        if not self._can_end_before_stop(now, route):
            refused = errors.ErrorKind.SHUTTING_DOWN
            return number, self._refuse_new(number, request, refused)
        assert self.deployment is not None
        timeout_s = route.timeout_s
        if request.timeout_s is not None:
            timeout_s = min(timeout_s, request.timeout_s - DEADLINE_MARGIN_S)
        exchange = exchanges.Exchange(
            number,
            request,
            route,
            self.deployment.version,
            now,
            min(now + timeout_s, self._stops_at),
            [
                exchanges.ServiceCall(name)
                for name in deployment.choose_services(route.target, self._random)
            ],
        )
        self.calls_requested += len(exchange.calls)
        if timeout_s <= 0 or not self._sender.can_reach_coverage(now, exchange):
            wait_s = self._sender.compute_wait(now, exchange)
            refused = errors.ErrorKind.NOT_RUN
            return number, self._refuse_new(number, request, refused, wait_s)
        self._exchanges[number] = exchange
        actions: list[forwarding.Action] = []
        for call in exchange.calls:
            self._sender.record_request(now, call.service)
        if exchange.is_idempotent and isinstance(route.target, deployment.ShardTarget):
            self._batches.send_batches(now, exchange, route.target, actions)
        for call in exchange.calls:
            if not call.awaits_peer:
                self._sender.start_attempt(now, exchange, call, actions)
        self._answer_if_due(now, exchange, actions)
        self._set_timer(now, exchange)
        return number, actions

    def accept_batch(
        self, now: float, batch: forwarding.Batch
    ) -> tuple[int, list[forwarding.Action]]:
        """Start a batch of shards for another entry instance.

        Each shard is asked once; retries and hedges are left to the instance that has
        the whole query. Return the number of the batch and the actions.
        """
        number = self._sender.take_number()
        route = self._find_route(now, batch.request)
        if isinstance(route, errors.ErrorKind):
            return number, self._refuse_new(number, batch.request, route)
        if now + batch.wait_s > self._stops_at:
            refused = errors.ErrorKind.SHUTTING_DOWN
            return number, self._refuse_new(number, batch.request, refused)
        assert self.deployment is not None
        target = deployment.ShardTarget(batch.services, batch.records_max, 0.0)
        exchange = exchanges.Exchange(
            number,
            batch.request,
            route._replace(attempts_max=1, target=target),
            self.deployment.version,
            now,
            min(now + batch.timeout_s, self._stops_at),
            [exchanges.ServiceCall(name) for name in batch.services],
            batch_due_at=now + batch.wait_s,
        )
        self._exchanges[number] = exchange
        self.calls_requested += len(exchange.calls)
        actions: list[forwarding.Action] = []
        for call in exchange.calls:
            if call.service in self.deployment.services:
                self._sender.start_attempt(now, exchange, call, actions)
            else:
                self._sender.fail_call(exchange, call, "unknown service")
        self._answer_if_due(now, exchange, actions)
        self._set_timer(now, exchange)
        return number, actions

    def accept_continuation(
        self, now: float, continuation: forwarding.BatchContinuation
    ) -> tuple[int, list[forwarding.Action]]:
        """Resume a batch that was answered in part; return its number and the actions.

        A continuation of an unknown batch, or of a batch of another request, is
        refused under a new number: the batch may have run, so the outcome is unknown.
        """
        exchange = self._exchanges.get(continuation.batch)
        if (
            exchange is None
            or not exchange.awaits_continuation
            or exchange.request.identity != continuation.identity
        ):
            number = self._sender.take_number()
            refused = forwarding.ErrorReply(errors.ErrorKind.OUTCOME_UNKNOWN)
            return number, [forwarding.Respond(number, refused)]
        exchange.awaits_continuation = False
        exchange.batch_due_at = now + continuation.wait_s
        actions: list[forwarding.Action] = []
        self._answer_if_due(now, exchange, actions)
        self._set_timer(now, exchange)
        return exchange.number, actions

    def _find_route(
        self, now: float, request: forwarding.Request
    ) -> deployment.Route | errors.ErrorKind:
        if self.deployment is None:
            return errors.ErrorKind.NO_CONFIGURATION
        route = self._route_table.find(request.host, request.path)
        if route is not None:
            return route
        if self._evidence.is_behind(now, self.deployment.version):
            return errors.ErrorKind.NOT_CURRENT
        return errors.ErrorKind.UNKNOWN_PATH

    def handle_caller_gone(self, now: float, number: int) -> list[forwarding.Action]:
        """Cancel the work for a request whose caller has disconnected."""
        exchange = self._exchanges.get(number)
        return [] if exchange is None else self._discard(now, exchange, "caller gone")

    def _discard(
        self, now: float, exchange: exchanges.Exchange, outcome: str
    ) -> list[forwarding.Action]:
        """End a request without an answer and cancel its attempts and batches."""
        del self._exchanges[exchange.number]
        exchange.answered = True
        self.counts[outcome.replace(" ", "_")] += 1
        actions: list[forwarding.Action] = []
        for call in exchange.calls:
            self._sender.cancel_attempts(call, actions)
        self._batches.cancel(exchange, actions)
        actions.append(
            exchange.make_log_entry(now, outcome, self._sender.instance_count)
        )
        return actions

    def handle_reply(
        self, now: float, number: int, reply: forwarding.Reply
    ) -> list[forwarding.Action]:
        """Record the reply to an attempt, and answer or retry as it requires.

        A success finishes the call, and its other attempts are detached. After an
        error status another server is tried, if the route and the budget allow it.
        """
        actions: list[forwarding.Action] = []
        self._sender.record_limit(now, number, reply.rate_limit, actions)
        found = self._sender.end_attempt(number)
        if found is None:
            self._sender.end_detached_attempt(now, number, reply.is_success)
            return actions
        exchange, call, attempt = found
        latency_s = now - attempt.started
        call.trace.append(f"{attempt.backend.entry.identity} {reply.status}")
        if reply.is_success:
            self._sender.record_latency(
                now, exchange.route.name, attempt.backend, latency_s
            )
            call.reply = reply
            exchange.arrived += 1
            self._sender.detach_attempts(now, call, exchange.route.name)
        else:
            call.error_reply = reply
            attempt.backend.record_error(now)
            self._sender.retry_if_idle(now, exchange, call, actions)
        self._answer_if_due(now, exchange, actions)
        if not reply.is_success:
            # A success makes no timer due earlier.
            self._set_timer(now, exchange)
        return actions

    def handle_failure(
        self, now: float, number: int, failure: forwarding.SendFailure
    ) -> list[forwarding.Action]:
        """Record the failure of an attempt, and retry or answer as it requires.

        A failure that shows that the server did not run the request does not count
        against the attempts of the route. A server that shed the request may be tried
        again after a pause; one that is gone from its address is not used any more.
        """
        actions: list[forwarding.Action] = []
        self._sender.record_limit(now, number, failure.rate_limit, actions)
        found = self._sender.end_attempt(number)
        if found is None:
            self._sender.end_detached_attempt(now, number, None)
            return actions
        exchange, call, attempt = found
        backend = attempt.backend
        call.trace.append(f"{backend.entry.identity} {failure.kind.value}")
        self.counts[f"failed_{failure.kind.value}"] += 1
        if failure.kind in forwarding.NOT_RUN_KINDS:
            call.possible_runs -= 1
        if failure.kind is forwarding.FailureKind.NOT_SENT:
            backend.record_unreachable(now)
            if call.possible_runs == 0 and len(call.tried) == 1:
                call.may_have_arrived = False
        elif failure.kind is forwarding.FailureKind.SHED:
            backend.shed_until = now + backends.SHED_PAUSE_S
            backend.record_error(now)
            call.tried.discard(backend.entry.identity)
        elif failure.kind is forwarding.FailureKind.WRONG_SERVER:
            backend.replaced = True
        else:
            backend.record_error(now)
        self._sender.retry_if_idle(now, exchange, call, actions)
        self._answer_if_due(now, exchange, actions)
        self._set_timer(now, exchange)
        return actions

    def handle_batch_reply(
        self, now: float, number: int, reply: forwarding.BatchReply
    ) -> list[forwarding.Action]:
        """Record the reply of another entry instance to a batch or a continuation.

        The replies of the shards replace those of direct attempts. Shards that may
        still reply are hedged and the rest is asked for; the others are retried.
        """
        exchange, batch_call = self._batches.end(number)
        batch_call.peer.record_success(now, 1.0, now)
        batch_call.acknowledged = True
        if exchange.answered:
            return []
        actions: list[forwarding.Action] = []
        if reply.arrived:
            exchange.batch_bodies.append(reply.body)
        for index, signature in reply.arrived:
            call = batch_call.calls[index]
            if call.reply is None:
                exchange.arrived += 1
            call.awaits_peer = False
            # The body of the batch holds the records of this shard.
            call.reply = forwarding.Reply(200, signature, (), b"")
            self._sender.detach_attempts(now, call, exchange.route.name)
        pending = False
        for shard in reply.open:
            call = batch_call.calls[shard.index]
            if call.reply is not None or not call.awaits_peer:
                # Another server has replied, or the peer's attempt has already ended.
                call.awaits_peer = False
                continue
            call.tried.update(shard.tried)
            call.awaits_peer = shard.pending
            if shard.pending:
                pending = True
                call.hedge_at = min(call.hedge_at, now)
                self._sender.hedge_or_retry_if_due(now, exchange, call, actions)
                continue
            if not shard.may_have_run:
                call.possible_runs -= 1
            if not call.open_attempts:
                call.may_have_arrived = shard.may_have_arrived
            self._sender.retry_if_idle(now, exchange, call, actions)
        if pending:
            self._batches.send_continuation(
                now, exchange, batch_call, reply.batch, actions
            )
        self._answer_if_due(now, exchange, actions)
        self._set_timer(now, exchange)
        return actions

    def handle_batch_failure(
        self, now: float, number: int, failure: forwarding.SendFailure
    ) -> list[forwarding.Action]:
        """Retry the shards of a batch or a continuation that failed.

        The shards count as not run only if the peer never replied before and the
        failure shows that this message was not processed.
        """
        exchange, batch_call = self._batches.end(number)
        self.counts[f"batches_{failure.kind.value}"] += 1
        batch_call.peer.record_unreachable(now)
        if exchange.answered:
            return []
        actions: list[forwarding.Action] = []
        not_run = (
            failure.kind in forwarding.NOT_RUN_KINDS and not batch_call.acknowledged
        )
        for call in batch_call.calls:
            if not call.awaits_peer:
                continue
            call.awaits_peer = False
            if not_run:
                call.possible_runs -= 1
                if not call.open_attempts:
                    call.may_have_arrived = False
            self._sender.retry_if_idle(now, exchange, call, actions)
        self._answer_if_due(now, exchange, actions)
        self._set_timer(now, exchange)
        return actions

    def handle_timers(self, now: float) -> list[forwarding.Action]:
        """Send the hedges and retries, give the answers and cancel what is due."""
        actions: list[forwarding.Action] = []
        due: list[int] = []
        while self._timers and self._timers[0][0] <= now:
            due.append(heapq.heappop(self._timers)[1])
        for number in due:
            exchange = self._exchanges.get(number)
            if exchange is None:
                continue
            exchange.timer_at = math.inf
            for call in exchange.calls:
                if not call.is_finished:
                    self._sender.hedge_or_retry_if_due(now, exchange, call, actions)
            self._answer_if_due(now, exchange, actions)
            self._set_timer(now, exchange)
        self._sender.cancel_overdue(now, actions)
        return actions

    def next_time(self) -> float:
        """Return when `handle_timers` is due; infinity if it is not."""
        exchange_at = self._timers[0][0] if self._timers else math.inf
        return min(exchange_at, self._sender.next_time())

    def _can_end_before_stop(self, now: float, route: deployment.Route) -> bool:
        """Return whether a new request is expected to end before the process stops.

        A request that must not be repeated needs its whole latency objective, since
        its outcome would otherwise be unknown.
        """
        if math.isinf(self._stops_at):
            return self._stops_at > now
        if route.kind is deployment.RequestKind.NON_IDEMPOTENT:
            duration_s = min(route.objective_s, route.timeout_s)
        else:
            duration_s = self._sender.compute_hedge_delay(route)
        return now + duration_s <= self._stops_at

    def announce_stop(self, at: float) -> None:
        """Take only requests that are expected to end before the process stops.

        `at` is the time in seconds at which `stop` is going to be called.
        """
        self._stops_at = at

    def stop(self, now: float) -> list[forwarding.Action]:
        """Refuse all requests, also later ones, since the process ends."""
        self._stops_at = -math.inf
        actions: list[forwarding.Action] = []
        for exchange in list(self._exchanges.values()):
            self._refuse(now, exchange, errors.ErrorKind.SHUTTING_DOWN, actions)
        return actions

    # Answers.

    def _answer_if_due(
        self,
        now: float,
        exchange: exchanges.Exchange,
        actions: list[forwarding.Action],
    ) -> None:
        """Answer the request if its replies or the time require it."""
        if exchange.answered:
            return
        target = exchange.route.target
        if exchange.batch_due_at is not None:
            self._return_batch_if_due(now, exchange, actions)
            return
        if not isinstance(target, deployment.ShardTarget):
            self._answer_single_if_due(now, exchange, actions)
            return
        decision = completion.decide(now, exchange.build_progress(target))
        if decision is completion.Decision.ANSWER:
            replies = [call.reply for call in exchange.calls if call.reply is not None]
            answer: forwarding.Answer = forwarding.MergedReply(
                tuple(reply.signature for reply in replies),
                len(exchange.calls) - len(replies),
                exchange.merge_replies(target.records_max),
            )
            self._answer(now, exchange, answer, actions)
        elif decision is completion.Decision.GIVE_UP:
            self._refuse(now, exchange, errors.ErrorKind.COVERAGE_BELOW_FLOOR, actions)

    def _return_batch_if_due(
        self,
        now: float,
        exchange: exchanges.Exchange,
        actions: list[forwarding.Action],
    ) -> None:
        """Return the replies of a batch if all calls have finished or the time is up.

        If shards may still reply, the batch stays open for a continuation and ends
        after `sending.GRACE_PERIOD_S` without one.
        """
        target = exchange.route.target
        assert isinstance(target, deployment.ShardTarget)
        assert exchange.batch_due_at is not None
        due = now >= min(exchange.batch_due_at, exchange.deadline)
        if exchange.awaits_continuation:
            if due:
                actions += self._discard(now, exchange, "rest not asked for")
        elif exchange.is_finished or due:
            reply = exchange.make_batch_reply(target.records_max)
            # The instance with the caller now calls the shards that are not in flight;
            # they must not run here as well.
            for call in exchange.calls:
                if not call.is_finished and not call.open_attempts:
                    self._sender.fail_call(exchange, call, "given back")
            if any(shard.pending for shard in reply.open):
                exchange.awaits_continuation = True
                exchange.batch_due_at = now + sending.GRACE_PERIOD_S
                actions.append(forwarding.Respond(exchange.number, reply))
            else:
                self._answer(now, exchange, reply, actions)

    def _answer_single_if_due(
        self,
        now: float,
        exchange: exchanges.Exchange,
        actions: list[forwarding.Action],
    ) -> None:
        """Pass on the reply of the one service, or refuse without any.

        A reply with an error status is passed on once no further attempt is possible.
        """
        call = exchange.calls[0]
        if call.reply is not None:
            self._answer(now, exchange, forwarding.ForwardedReply(call.reply), actions)
        elif call.failed and call.error_reply is not None:
            self._answer(
                now, exchange, forwarding.ForwardedReply(call.error_reply), actions
            )
        elif call.failed:
            self._refuse(now, exchange, errors.ErrorKind.BACKEND_FAILED, actions)
        elif now >= exchange.deadline:
            self._refuse(now, exchange, errors.ErrorKind.DEADLINE_EXCEEDED, actions)

    def _refuse(
        self,
        now: float,
        exchange: exchanges.Exchange,
        kind: errors.ErrorKind,
        actions: list[forwarding.Action],
    ) -> None:
        """Answer with an error whose claim about what has run is true.

        If nothing has run, the error says so and the caller may retry. If a server may
        have run the request, an error that says "not run" is replaced by one that says
        that the outcome is unknown.
        """
        if not exchange.may_have_run:
            retry_after_s = self._choose_retry_after(
                self._sender.compute_wait(now, exchange)
            )
            if errors.ANSWERS[kind].run_state is not errors.RunState.NOT_RUN:
                kind = errors.ErrorKind.NOT_RUN
            answer = forwarding.ErrorReply(kind, retry_after_s)
        elif errors.ANSWERS[kind].run_state is errors.RunState.NOT_RUN:
            answer = forwarding.ErrorReply(errors.ErrorKind.OUTCOME_UNKNOWN)
        else:
            answer = forwarding.ErrorReply(kind)
        self._answer(now, exchange, answer, actions)

    def _answer(
        self,
        now: float,
        exchange: exchanges.Exchange,
        answer: forwarding.Answer,
        actions: list[forwarding.Action],
    ) -> None:
        """End a request with an answer.

        After an error the open attempts and batches are cancelled. Otherwise the
        attempts are detached, and late replies to batches are ignored.
        """
        exchange.answered = True
        self._exchanges.pop(exchange.number, None)
        refused = isinstance(answer, forwarding.ErrorReply)
        if refused:
            self._batches.cancel(exchange, actions)
        for call in exchange.calls:
            if refused:
                self._sender.cancel_attempts(call, actions)
            else:
                self._sender.detach_attempts(now, call, exchange.route.name)
        actions.append(forwarding.Respond(exchange.number, answer))
        if isinstance(answer, forwarding.ErrorReply):
            outcome = answer.kind.value
        elif isinstance(answer, forwarding.BatchReply):
            outcome = "gathered"
        else:
            outcome = "answered"
        self.counts[outcome] += 1
        actions.append(
            exchange.make_log_entry(now, outcome, self._sender.instance_count)
        )

    def _choose_retry_after(self, wait_s: float) -> float:
        """Return after which time in seconds a caller should retry.

        Parameters
        ----------
        wait_s : float
            Time in seconds until rate limits of servers allow a request.
        """
        return max(wait_s, RETRY_AFTER_S) + RETRY_AFTER_S * self._random.random()

    def _refuse_new(
        self,
        number: int,
        request: forwarding.Request,
        kind: errors.ErrorKind,
        wait_s: float = 0.0,
    ) -> list[forwarding.Action]:
        """Refuse a request before any attempt; return the actions.

        `wait_s` is the time in seconds until rate limits of servers allow it.
        """
        self.counts[kind.value] += 1
        retryable = errors.ANSWERS[kind].retryable
        retry_after_s = self._choose_retry_after(wait_s) if retryable else 0.0
        if kind is errors.ErrorKind.SHUTTING_DOWN:
            retry_after_s = STOP_RETRY_AFTER_S
        version = self.deployment.version if self.deployment else 0
        return [
            forwarding.Respond(number, forwarding.ErrorReply(kind, retry_after_s)),
            forwarding.LogEntry(
                "request:",
                "refused",
                {
                    "id": request.identity,
                    "error": kind.value,
                    "host": request.host,
                    "path": request.path,
                    "version": version,
                },
            ),
        ]

    def _set_timer(self, now: float, exchange: exchanges.Exchange) -> None:
        """Set a timer for the next hedge, retry or answer unless one is due earlier."""
        if exchange.answered:
            return
        at = exchange.next_time(now)
        if at < exchange.timer_at:
            exchange.timer_at = at
            heapq.heappush(self._timers, (at, exchange.number))
