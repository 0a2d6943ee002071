"""Core of the query tier: selects servers, hedges, retries and answers callers.

Events are method calls with the current time; each returns the actions to perform.
Nothing here reads a clock, a socket or a file.
"""

import collections
import heapq
import math
import random
import typing

from acacialatch import (
    backends,
    completion,
    deployment,
    errors,
    exchanges,
    forwarding,
    hedging,
    latencies,
    placement,
    resends,
)

RECHECK_INTERVAL_S = 0.01
"""Interval in seconds at which a call without a usable server looks for one again."""

GRACE_PERIOD_S = 0.5
"""Time in seconds after which work that nobody waits for is cancelled.

Superfluous attempts may finish within it, which keeps their connections open. A batch
that was answered in part ends after it unless a continuation arrives.
"""

RETRY_AFTER_S = 0.5
"""Smallest delay in seconds that refused callers are told to wait before a retry.

A random delay of up to the same length is added, to spread the retries.
"""

DEADLINE_MARGIN_S = 0.005
"""Time in seconds before the caller's timeout at which its request ends here."""

SERVER_QUEUE_MAX = 1
"""Requests that this process sends to one server beyond its slots."""

PEER_ROUND_TRIP_S = 0.01
"""Time in seconds for a message to another entry instance and its reply."""

PEER_IDLE_CONNECTIONS_MAX = 4
"""Most idle connections that are kept to another entry instance."""


class Budgets(typing.NamedTuple):
    """Bounds on retries and hedges of a service, summed over all entry instances.

    Attributes
    ----------
    ratio : float
        Retries and hedges for each request.
    allowance : float
        Retries and hedges in a window beyond the ratio.
    window_s : float
        Length of the sliding window in seconds.
    """

    ratio: float = 0.2
    allowance: float = 10.0
    window_s: float = 10.0


class Forwarder:
    """Requests of callers in progress at one entry instance.

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
    """

    def __init__(
        self, zone: str, budgets: Budgets, seed: int, started: float = -math.inf
    ):
        self._started = started
        self._zone = zone
        self.backends = backends.BackendTable(zone)
        # Other entry instances that accept batches; their service is their zone.
        self.peers = backends.BackendTable(zone)
        self._batch_calls: dict[int, exchanges.Exchange] = {}
        self.deployment: deployment.Deployment | None = None
        self._route_table = deployment.RouteTable(())
        self._budget_bounds = budgets
        self._resend_budgets: dict[str, resends.ResendBudget] = {}
        self._latency_windows: dict[str, latencies.LatencyWindow] = {}
        self._random = random.Random(seed)
        self._instance_count = 1
        self._last_number = 0
        self._exchanges: dict[int, exchanges.Exchange] = {}
        self._attempts: dict[int, tuple[exchanges.Exchange, exchanges.ServiceCall]] = {}
        # Attempts whose result is no longer needed: server, time in seconds at which
        # the attempt is cancelled, start, name of the route.
        self._detached_attempts: dict[
            int, tuple[backends.Backend, float, float, str]
        ] = {}
        self._timers: list[tuple[float, int]] = []
        self.sends_made = 0
        self.counts: collections.Counter[str] = collections.Counter()

    # Deployment, peers and limits.

    @property
    def open_count(self) -> int:
        """Number of requests in progress."""
        return len(self._exchanges)

    def set_instances(self, count: int) -> None:
        """Set how many entry instances share limits and budgets."""
        self._instance_count = max(1, count)

    def set_peers(self, now: float, entries: typing.Iterable[backends.Entry]) -> None:
        """Replace the list of other entry instances that accept batches."""
        present = set()
        for entry in entries:
            self.peers.put(now, entry)
            present.add(entry.identity)
        for identity in self.peers.list_identities() - present:
            self.peers.remove(identity)

    def set_budgets(self, budgets: Budgets) -> None:
        """Replace the bounds on retries and hedges."""
        self._budget_bounds = budgets
        for budget in self._resend_budgets.values():
            budget.set_bounds(*budgets)

    def apply_deployment(self, new: deployment.Deployment) -> bool:
        """Apply a deployment unless its version is old; return whether it applies."""
        if self.deployment is not None and new.version <= self.deployment.version:
            return False
        self.deployment = new
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
        shards have a server.
        """
        self._last_number += 1
        number = self._last_number
        route = self._find_route(request)
        if isinstance(route, errors.ErrorKind):
            return number, self._refuse_new(number, request, route)
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
            now + timeout_s,
            [
                exchanges.ServiceCall(name)
                for name in self._choose_services(route.target)
            ],
        )
        if timeout_s <= 0 or not self._can_reach_coverage(now, exchange):
            return number, self._refuse_new(number, request, errors.ErrorKind.NOT_RUN)
        self._exchanges[number] = exchange
        actions: list[forwarding.Action] = []
        for call in exchange.calls:
            self._get_resend_budget(call.service).record_request(now)
        if exchange.is_idempotent and isinstance(route.target, deployment.ShardTarget):
            self._send_batches(now, exchange, route.target, actions)
        for call in exchange.calls:
            if not call.awaits_peer:
                self._start_attempt(now, exchange, call, actions)
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
        self._last_number += 1
        number = self._last_number
        route = self._find_route(batch.request)
        if isinstance(route, errors.ErrorKind):
            return number, self._refuse_new(number, batch.request, route)
        assert self.deployment is not None
        target = deployment.ShardTarget(batch.services, batch.records_max, 0.0)
        exchange = exchanges.Exchange(
            number,
            batch.request,
            route._replace(attempts_max=1, target=target),
            self.deployment.version,
            now,
            now + batch.timeout_s,
            [exchanges.ServiceCall(name) for name in batch.services],
            batch_due_at=now + batch.wait_s,
        )
        self._exchanges[number] = exchange
        actions: list[forwarding.Action] = []
        for call in exchange.calls:
            if call.service in self.deployment.services:
                self._start_attempt(now, exchange, call, actions)
            else:
                self._fail_call(exchange, call, "unknown service")
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
            self._last_number += 1
            refused = forwarding.ErrorReply(errors.ErrorKind.OUTCOME_UNKNOWN)
            return self._last_number, [forwarding.Respond(self._last_number, refused)]
        exchange.awaits_continuation = False
        exchange.batch_due_at = now + continuation.wait_s
        actions: list[forwarding.Action] = []
        self._answer_if_due(now, exchange, actions)
        self._set_timer(now, exchange)
        return exchange.number, actions

    def _find_route(
        self, request: forwarding.Request
    ) -> deployment.Route | errors.ErrorKind:
        if self.deployment is None:
            return errors.ErrorKind.NO_CONFIGURATION
        route = self._route_table.find(request.host, request.path)
        return errors.ErrorKind.UNKNOWN_PATH if route is None else route

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
            self._cancel_attempts(call, actions)
        self._cancel_batch_calls(exchange, actions)
        actions.append(exchange.make_log_entry(now, outcome, self._instance_count))
        return actions

    def handle_reply(
        self, now: float, number: int, reply: forwarding.Reply
    ) -> list[forwarding.Action]:
        """Record the reply to an attempt, and answer or retry as it requires.

        A success finishes the call, and its other attempts are detached. After an
        error status another server is tried, if the route and the budget allow it.
        """
        found = self._attempts.pop(number, None)
        if found is None:
            self._end_detached_attempt(now, number, reply.is_success)
            return []
        exchange, call = found
        attempt = call.open_attempts.pop(number)
        attempt.backend.end_send(number)
        latency_s = now - attempt.started
        call.trace.append(f"{attempt.backend.entry.identity} {reply.status}")
        actions: list[forwarding.Action] = []
        if reply.is_success:
            self._record_latency(now, exchange.route.name, attempt.backend, latency_s)
            call.reply = reply
            exchange.arrived += 1
            self._detach_attempts(now, call, exchange.route.name)
        else:
            call.error_reply = reply
            attempt.backend.record_error(now)
            self._retry_if_idle(now, exchange, call, actions)
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
        found = self._attempts.pop(number, None)
        if found is None:
            self._end_detached_attempt(now, number, None)
            return []
        exchange, call = found
        attempt = call.open_attempts.pop(number)
        backend = attempt.backend
        backend.end_send(number)
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
        actions: list[forwarding.Action] = []
        self._retry_if_idle(now, exchange, call, actions)
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
        exchange, batch_call = self._end_batch_call(number)
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
            self._detach_attempts(now, call, exchange.route.name)
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
                self._hedge_or_retry_if_due(now, exchange, call, actions)
                continue
            if not shard.may_have_run:
                call.possible_runs -= 1
            if not call.open_attempts:
                call.may_have_arrived = shard.may_have_arrived
            self._retry_if_idle(now, exchange, call, actions)
        if pending:
            self._send_continuation(now, exchange, batch_call, reply.batch, actions)
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
        exchange, batch_call = self._end_batch_call(number)
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
            self._retry_if_idle(now, exchange, call, actions)
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
                    self._hedge_or_retry_if_due(now, exchange, call, actions)
            self._answer_if_due(now, exchange, actions)
            self._set_timer(now, exchange)
        for number, (backend, until, _, _) in list(self._detached_attempts.items()):
            if until <= now:
                del self._detached_attempts[number]
                backend.end_send(number)
                actions.append(forwarding.Cancel(number))
        return actions

    def next_time(self) -> float:
        """Return when `handle_timers` is due; infinity if it is not."""
        cancel_at = min(
            (until for _, until, _, _ in self._detached_attempts.values()),
            default=math.inf,
        )
        return min(self._timers[0][0] if self._timers else math.inf, cancel_at)

    def stop(self, now: float) -> list[forwarding.Action]:
        """Refuse all requests in progress, since the process ends."""
        actions: list[forwarding.Action] = []
        for exchange in list(self._exchanges.values()):
            self._refuse(now, exchange, errors.ErrorKind.SHUTTING_DOWN, actions)
        return actions

    # Attempts and batches.

    def _choose_services(self, target: deployment.Target) -> tuple[str, ...]:
        """Return the services to call: one, or all shards."""
        if isinstance(target, deployment.SingleTarget):
            return (target.service,)
        if isinstance(target, deployment.SplitTarget):
            names = [name for name, _ in target.shares]
            weights = [weight for _, weight in target.shares]
            return (self._random.choices(names, weights)[0],)
        return target.services

    def _get_resend_budget(self, service: str) -> resends.ResendBudget:
        budget = self._resend_budgets.get(service)
        if budget is None:
            budget = resends.ResendBudget(*self._budget_bounds, self._started)
            self._resend_budgets[service] = budget
        return budget

    def _compute_connection_share(self, service: str) -> int:
        """Return this process's share of the connections to one server, at least 1."""
        assert self.deployment is not None
        service_limits = self.deployment.services.get(service)
        if service_limits is None:
            return 1
        return max(1, service_limits.connections_max // self._instance_count)

    def _make_limit_check(
        self, now: float, service: str
    ) -> typing.Callable[[backends.Backend], bool]:
        """Return a check whether a server may get one more request from this process.

        It bounds the requests in flight by the share of the connections and by the
        server's slots. For a cold server it also spaces the requests, so that all
        entry instances together stay within the rate of the service.
        """
        connection_share = self._compute_connection_share(service)
        assert self.deployment is not None
        service_limits = self.deployment.services.get(service)
        cold_rate = service_limits.cold_requests_per_s if service_limits else 0.0
        interval_s = self._instance_count / cold_rate if cold_rate > 0 else 0.0

        def is_within_limits(backend: backends.Backend) -> bool:
            if backend.in_flight >= min(
                connection_share, backend.entry.slots + SERVER_QUEUE_MAX
            ):
                return False
            if interval_s and now < backend.cold_until and backend.cold_sends:
                return now - backend.cold_sends[-1] >= interval_s
            return True

        return is_within_limits

    def _hedge_or_retry_if_due(
        self,
        now: float,
        exchange: exchanges.Exchange,
        call: exchanges.ServiceCall,
        actions: list[forwarding.Action],
    ) -> None:
        """Hedge a call in progress, or look for a server for one that waits."""
        if call.open_attempts or call.awaits_peer:
            if now >= call.hedge_at:
                call.hedge_at = math.inf
                self._hedge(now, exchange, call, actions)
        elif now >= call.retry_at:
            self._start_attempt(now, exchange, call, actions)

    def _hedge(
        self,
        now: float,
        exchange: exchanges.Exchange,
        call: exchanges.ServiceCall,
        actions: list[forwarding.Action],
    ) -> None:
        """Ask a second server if the attempts and the budget allow it.

        Without a usable server the hedge is tried again after `RECHECK_INTERVAL_S`.
        """
        if (
            call.possible_runs >= exchange.route.attempts_max
            or now >= exchange.deadline
        ):
            return
        backend = self.backends.choose(
            now, call.service, call.tried, self._make_limit_check(now, call.service)
        )
        if backend is None:
            call.hedge_at = now + RECHECK_INTERVAL_S
            return
        if not self._get_resend_budget(call.service).try_acquire(
            now, self._instance_count, hedge=True
        ):
            self.counts["hedges_without_budget"] += 1
            return
        exchange.hedges += 1
        self.counts["hedges"] += 1
        self._send(now, exchange, call, backend, True, actions)

    def _send_batches(
        self,
        now: float,
        exchange: exchanges.Exchange,
        target: deployment.ShardTarget,
        actions: list[forwarding.Action],
    ) -> None:
        """Send the shards without a usable server in this zone to peers, as batches.

        A peer that is overdue with a reply gets no batch.
        """
        zones = self.peers.list_services()
        self._random.shuffle(zones)
        groups = placement.group_by_zone(
            [
                self.backends.list_usable_zones(now, call.service)
                for call in exchange.calls
            ],
            self._zone,
            zones,
        )
        wait_s = self._compute_hedge_delay(exchange.route)
        for zone, indexes in groups.items():
            peer = self.peers.choose(now, zone, (), lambda one: not one.is_stalled(now))
            if peer is None:
                continue
            calls = [exchange.calls[index] for index in indexes]
            exchange.batches += 1
            self.counts["batches"] += 1
            for call in calls:
                call.awaits_peer = call.may_have_arrived = True
                call.possible_runs += 1
                call.hedge_at = now + wait_s + PEER_ROUND_TRIP_S
            batch = forwarding.Batch(
                exchange.request,
                tuple(call.service for call in calls),
                target.records_max,
                wait_s,
                exchange.deadline - now,
            )
            batch_call = exchanges.BatchCall(peer, calls)
            self._send_to_peer(now, exchange, batch_call, batch, actions)

    def _send_continuation(
        self,
        now: float,
        exchange: exchanges.Exchange,
        batch_call: exchanges.BatchCall,
        batch: int,
        actions: list[forwarding.Action],
    ) -> None:
        """Ask a peer for the rest of a batch, in time for the next answer time."""
        target = exchange.route.target
        assert isinstance(target, deployment.ShardTarget)
        times = completion.compute_answer_times(exchange.build_progress(target))
        until = min(
            [at for at in times if at - PEER_ROUND_TRIP_S > now],
            default=exchange.deadline,
        )
        wait_s = max(0.0, min(until, exchange.deadline) - PEER_ROUND_TRIP_S - now)
        continuation = forwarding.BatchContinuation(
            batch, exchange.request.identity, wait_s
        )
        self._send_to_peer(now, exchange, batch_call, continuation, actions)

    def _send_to_peer(
        self,
        now: float,
        exchange: exchanges.Exchange,
        batch_call: exchanges.BatchCall,
        message: forwarding.Batch | forwarding.BatchContinuation,
        actions: list[forwarding.Action],
    ) -> None:
        """Send a batch or a continuation; the peer counts as stalled if it is late."""
        self._last_number += 1
        number = self._last_number
        batch_call.peer.start_send(number, now + message.wait_s + PEER_ROUND_TRIP_S)
        exchange.batch_calls[number] = batch_call
        self._batch_calls[number] = exchange
        actions.append(
            forwarding.SendBatch(
                number,
                batch_call.peer.entry.address,
                message,
                len(batch_call.calls),
                PEER_IDLE_CONNECTIONS_MAX,
            )
        )

    def _end_batch_call(
        self, number: int
    ) -> tuple[exchanges.Exchange, exchanges.BatchCall]:
        """Remove a message to a peer from the ones in progress, and return it."""
        exchange = self._batch_calls.pop(number)
        batch_call = exchange.batch_calls.pop(number)
        batch_call.peer.end_send(number)
        return exchange, batch_call

    def _retry_if_idle(
        self,
        now: float,
        exchange: exchanges.Exchange,
        call: exchanges.ServiceCall,
        actions: list[forwarding.Action],
    ) -> None:
        """Start another attempt if the call has not finished and none is open."""
        if not (call.is_finished or call.open_attempts or call.awaits_peer):
            self._start_attempt(now, exchange, call, actions)

    def _cancel_batch_calls(
        self, exchange: exchanges.Exchange, actions: list[forwarding.Action]
    ) -> None:
        for number in list(exchange.batch_calls):
            _, batch_call = self._end_batch_call(number)
            for call in batch_call.calls:
                call.awaits_peer = False
            actions.append(forwarding.Cancel(number))

    def _start_attempt(
        self,
        now: float,
        exchange: exchanges.Exchange,
        call: exchanges.ServiceCall,
        actions: list[forwarding.Action],
    ) -> None:
        """Send an attempt of a call that has none in flight, or fail the call.

        The call fails if its attempts are used up, if the request may have run and is
        not idempotent, if no server will be usable soon enough, or if the budget does
        not allow a retry. While a server may become usable, the call waits.
        """
        call.retry_at = call.hedge_at = math.inf
        exhausted = call.possible_runs >= exchange.route.attempts_max
        if exhausted or (call.possible_runs and not exchange.is_idempotent):
            self._fail_call(exchange, call, f"{call.possible_runs} runs are allowed")
            return
        backend = self.backends.choose(
            now, call.service, call.tried, self._make_limit_check(now, call.service)
        )
        if backend is None:
            if self._can_wait_for_server(now, exchange, call):
                call.retry_at = now + RECHECK_INTERVAL_S
            else:
                self._fail_call(exchange, call, "no usable server")
            return
        if call.may_have_arrived:
            if not self._get_resend_budget(call.service).try_acquire(
                now, self._instance_count
            ):
                self.counts["retries_without_budget"] += 1
                self._fail_call(exchange, call, "no budget for a resend")
                return
            exchange.retries += 1
            self.counts["retries"] += 1
        self._send(now, exchange, call, backend, False, actions)

    def _can_reach_coverage(self, now: float, exchange: exchanges.Exchange) -> bool:
        """Return whether enough shards have a server, or may soon have one."""
        target = exchange.route.target
        if not isinstance(target, deployment.ShardTarget):
            return True
        reachable = sum(
            bool(self.backends.list_usable_zones(now, call.service))
            or self._can_wait_for_server(now, exchange, call)
            for call in exchange.calls
        )
        return reachable >= completion.count_needed(
            len(exchange.calls), target.coverage_min
        )

    def _can_wait_for_server(
        self, now: float, exchange: exchanges.Exchange, call: exchanges.ServiceCall
    ) -> bool:
        """Return whether an untried server may be usable in time for the objective."""
        until = exchange.started + exchange.route.objective_s
        until = min(until, exchange.deadline)
        servers = self.backends.list_servers(call.service)
        return any(
            not one.entry.draining
            and not one.replaced
            and max(now + RECHECK_INTERVAL_S, one.retry_at, one.shed_until) < until
            and one.entry.identity not in call.tried
            for one in servers
        )

    def _send(
        self,
        now: float,
        exchange: exchanges.Exchange,
        call: exchanges.ServiceCall,
        backend: backends.Backend,
        hedge: bool,
        actions: list[forwarding.Action],
    ) -> None:
        """Send an attempt to a server and set the time of the next hedge."""
        self._last_number += 1
        self.sends_made += 1
        number = self._last_number
        delay_s = self._compute_hedge_delay(exchange.route)
        backend.start_send(number, now + delay_s)
        if now < backend.cold_until:
            backend.cold_sends.append(now)
            while len(backend.cold_sends) > 1:
                backend.cold_sends.popleft()
        call.open_attempts[number] = exchanges.Attempt(number, backend, now, hedge)
        call.tried.add(backend.entry.identity)
        call.possible_runs += 1
        call.may_have_arrived = True
        if exchange.is_idempotent and call.possible_runs < exchange.route.attempts_max:
            call.hedge_at = now + delay_s
        self._attempts[number] = (exchange, call)
        actions.append(
            forwarding.Send(
                number,
                backend.entry.address,
                backend.entry.identity,
                exchange.request,
                exchange.deadline - now,
                not exchange.is_idempotent,
                self._compute_connection_share(call.service),
            )
        )

    def _compute_hedge_delay(self, route: deployment.Route) -> float:
        """Return the time in seconds after which an attempt on a route is hedged."""
        window = self._latency_windows.get(route.name)
        return hedging.compute_delay(
            hedging.Pace(
                route.objective_s,
                window.median() if window is not None else None,
                isinstance(route.target, deployment.ShardTarget),
            )
        )

    def _record_latency(
        self, now: float, route_name: str, backend: backends.Backend, latency_s: float
    ) -> None:
        """Add a latency to its route, and to its server relative to the median."""
        window = self._latency_windows.get(route_name)
        if window is None:
            window = self._latency_windows[route_name] = latencies.LatencyWindow()
        median = window.median()
        ratio = latency_s / median if median else 1.0
        backend.record_success(now, ratio, now - latency_s)
        window.add(latency_s)

    def _detach_attempts(
        self, now: float, call: exchanges.ServiceCall, route_name: str
    ) -> None:
        """Leave the open attempts of a call to finish within `GRACE_PERIOD_S`.

        Their replies are not used, but still tell how fast the servers are.
        """
        for attempt in call.open_attempts.values():
            del self._attempts[attempt.number]
            self._detached_attempts[attempt.number] = (
                attempt.backend,
                now + GRACE_PERIOD_S,
                attempt.started,
                route_name,
            )
        call.open_attempts.clear()

    def _cancel_attempts(
        self, call: exchanges.ServiceCall, actions: list[forwarding.Action]
    ) -> None:
        for attempt in call.open_attempts.values():
            del self._attempts[attempt.number]
            attempt.backend.end_send(attempt.number)
            actions.append(forwarding.Cancel(attempt.number))
        call.open_attempts.clear()

    def _end_detached_attempt(
        self, now: float, number: int, success: bool | None
    ) -> None:
        """Record the result of a detached attempt for its server.

        Parameters
        ----------
        now : float
            Time in seconds.
        number : int
            Number of the attempt; a cancelled one is ignored.
        success : bool or None
            Whether the reply is a success; None if there is no reply.
        """
        found = self._detached_attempts.pop(number, None)
        if found is None:
            return
        backend, _, started, route_name = found
        backend.end_send(number)
        if success:
            window = self._latency_windows.get(route_name)
            median = window.median() if window is not None else None
            if median:
                backend.record_success(now, (now - started) / median, started)
        else:
            backend.record_error(now)

    def _fail_call(
        self, exchange: exchanges.Exchange, call: exchanges.ServiceCall, reason: str
    ) -> None:
        call.failed = True
        call.trace.append(reason)
        exchange.failed_count += 1

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
        after `GRACE_PERIOD_S` without one.
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
                    self._fail_call(exchange, call, "given back")
            if any(shard.pending for shard in reply.open):
                exchange.awaits_continuation = True
                exchange.batch_due_at = now + GRACE_PERIOD_S
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
            retry_after_s = RETRY_AFTER_S * (1 + self._random.random())
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
            self._cancel_batch_calls(exchange, actions)
        for call in exchange.calls:
            if refused:
                self._cancel_attempts(call, actions)
            else:
                self._detach_attempts(now, call, exchange.route.name)
        actions.append(forwarding.Respond(exchange.number, answer))
        if isinstance(answer, forwarding.ErrorReply):
            outcome = answer.kind.value
        elif isinstance(answer, forwarding.BatchReply):
            outcome = "gathered"
        else:
            outcome = "answered"
        self.counts[outcome] += 1
        actions.append(exchange.make_log_entry(now, outcome, self._instance_count))

    def _refuse_new(
        self, number: int, request: forwarding.Request, kind: errors.ErrorKind
    ) -> list[forwarding.Action]:
        """Refuse a request before any attempt; return the actions."""
        self.counts[kind.value] += 1
        retryable = errors.ANSWERS[kind].retryable
        retry_after_s = (
            RETRY_AFTER_S * (1 + self._random.random()) if retryable else 0.0
        )
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
