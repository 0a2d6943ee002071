"""Attempts of calls at backend servers: limits, budgets, hedges and retries.

Events are method calls with the current time; the actions to perform are appended to a
list. Nothing here reads a clock, a socket or a file.
"""

import collections
import math
import random
import typing

from acacialatch import (
    backends,
    completion,
    deployment,
    exchanges,
    forwarding,
    hedging,
    latencies,
    ratelimits,
    resends,
    waiting,
)

GRACE_PERIOD_S = 0.5
"""Time in seconds after which work that nobody waits for is cancelled.

Superfluous attempts may finish within it, which keeps their connections open. A batch
that was answered in part ends after it unless a continuation arrives.
"""

SERVER_QUEUE_MAX = 1
"""Requests that this process sends to one server beyond its slots."""


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


class AttemptSender:
    """Attempts in flight to backend servers, and the limits that hold for new ones.

    Attributes
    ----------
    backends : backends.BackendTable
        Registered backend servers.
    deployment : deployment.Deployment or None
        Deployment in force.
    instance_count : int
        Entry instances that share limits and budgets.
    sends_made : int
        Attempts sent since the start of the process.
    counts : collections.Counter of str
        Number of events of each kind, for the metrics.
    send_counts : collections.Counter of str
        Number of attempts by `ratelimits.SendKind`, for the metrics.
    limits : ratelimits.LimitTable
        Rate limits that the servers name.

    Parameters
    ----------
    zone : str
        Availability zone of this entry instance.
    budgets : Budgets
        Bounds on retries and hedges.
    started : float
        Start of the process in seconds. The retry budgets of a process that has just
        started are smaller; see `resends.ResendBudget`.
    source : random.Random
        Source of random choices.
    """

    def __init__(
        self, zone: str, budgets: Budgets, started: float, source: random.Random
    ):
        self._started = started
        self.backends = backends.BackendTable(zone)
        self.deployment: deployment.Deployment | None = None
        self.instance_count = 1
        self.sends_made = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self.send_counts: collections.Counter[str] = collections.Counter()
        self.limits = ratelimits.LimitTable(source)
        self._limited_calls = waiting.LimitedCalls(self.limits)
        self._budget_bounds = budgets
        self._resend_budgets: dict[str, resends.ResendBudget] = {}
        self._latency_windows: dict[str, latencies.LatencyWindow] = {}
        self._last_number = 0
        self._attempts: dict[int, tuple[exchanges.Exchange, exchanges.ServiceCall]] = {}
        # Attempts whose result is no longer needed: server, time in seconds at which
        # the attempt is cancelled, start, name of the route.
        self._detached_attempts: dict[
            int, tuple[backends.Backend, float, float, str]
        ] = {}

    def set_budgets(self, budgets: Budgets) -> None:
        """Replace the bounds on retries and hedges."""
        self._budget_bounds = budgets
        for budget in self._resend_budgets.values():
            budget.set_bounds(*budgets)

    def take_number(self) -> int:
        """Return a new number, for a request, an attempt or a message to a peer."""
        self._last_number += 1
        return self._last_number

    def record_request(self, now: float, service: str) -> None:
        """Count a request for a service, which allows more resends to it."""
        self._get_resend_budget(service).record_request(now)

    def end_attempt(
        self, number: int
    ) -> tuple[exchanges.Exchange, exchanges.ServiceCall, exchanges.Attempt] | None:
        """Remove an attempt from the ones in flight and return it.

        Returns None for one that was detached or cancelled.
        """
        found = self._attempts.pop(number, None)
        if found is None:
            return None
        exchange, call = found
        attempt = call.open_attempts.pop(number)
        attempt.backend.end_send(number)
        return exchange, call, attempt

    def record_limit(
        self,
        now: float,
        number: int,
        rate: float | None,
        actions: list[forwarding.Action],
    ) -> None:
        """Record what a reply says of the rate limit of its server.

        Call this before the attempt ends.

        Parameters
        ----------
        now : float
            Time in seconds.
        number : int
            Number of the attempt, which may be detached; a cancelled one is ignored.
        rate : float or None
            Rate limit of the reply; see `forwarding.Reply`.
        actions : list of Action
            Gets the log entries.
        """
        if rate is None:
            return
        if number in self._attempts:
            attempt = self._attempts[number][1].open_attempts[number]
            backend, sent_at = attempt.backend, attempt.started
        elif number in self._detached_attempts:
            backend, _, sent_at, _ = self._detached_attempts[number]
        else:
            return
        actions += self.limits.record_reply(now, backend.entry.identity, rate, sent_at)

    def cancel_overdue(self, now: float, actions: list[forwarding.Action]) -> None:
        """Cancel the detached attempts whose time is up."""
        for number, (backend, until, _, _) in list(self._detached_attempts.items()):
            if until <= now:
                del self._detached_attempts[number]
                backend.end_send(number)
                actions.append(forwarding.Cancel(number))

    def next_time(self) -> float:
        """Return when `cancel_overdue` is due; infinity if it is not."""
        return min(
            (until for _, until, _, _ in self._detached_attempts.values()),
            default=math.inf,
        )

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
        return max(1, service_limits.connections_max // self.instance_count)

    def _make_limit_check(
        self, now: float, service: str, call: exchanges.ServiceCall | None
    ) -> typing.Callable[[backends.Backend], bool]:
        """Return a check whether a server may get one more request from this process.

        It bounds the requests in flight by the share of the connections and by the
        server's slots. For a cold server, and one that names a rate limit, it also
        spaces the requests, so that all entry instances together stay within the rate.
        Calls that wait for a limited server go before a hedge.

        Parameters
        ----------
        now : float
            Time in seconds.
        service : str
            Service of the request.
        call : exchanges.ServiceCall or None
            The waiting call to be sent; None for a hedge.
        """
        connection_share = self._compute_connection_share(service)
        assert self.deployment is not None
        service_limits = self.deployment.services.get(service)
        cold_rate = service_limits.cold_requests_per_s if service_limits else 0.0

        def is_within_limits(backend: backends.Backend) -> bool:
            if backend.in_flight >= min(
                connection_share, backend.entry.slots + SERVER_QUEUE_MAX
            ):
                return False
            if not self._limited_calls.may_send(now, backend, call):
                return False
            if cold_rate > 0 and now < backend.cold_until:
                if backend.cold_pace is None:
                    backend.cold_pace = self.limits.make_pace(
                        now, backend.entry.identity, cold_rate
                    )
                return backend.cold_pace.next_send_at(now) <= now
            return True

        return is_within_limits

    def hedge_or_retry_if_due(
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
            self.start_attempt(now, exchange, call, actions)

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
            now,
            call.service,
            call.tried,
            self._make_limit_check(now, call.service, None),
        )
        if backend is None:
            call.hedge_at = now + waiting.RECHECK_INTERVAL_S
            return
        if not self._get_resend_budget(call.service).try_acquire(
            now, self.instance_count, hedge=True
        ):
            self.counts["hedges_without_budget"] += 1
            return
        exchange.hedges += 1
        self.counts["hedges"] += 1
        self._send(now, exchange, call, backend, True, actions)

    def retry_if_idle(
        self,
        now: float,
        exchange: exchanges.Exchange,
        call: exchanges.ServiceCall,
        actions: list[forwarding.Action],
    ) -> None:
        """Start another attempt if the call has not finished and none is open."""
        if not (call.is_finished or call.open_attempts or call.awaits_peer):
            self.start_attempt(now, exchange, call, actions)

    def start_attempt(
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
        priority = exchange.route.priority
        exhausted = call.possible_runs >= exchange.route.attempts_max
        if exhausted or (call.possible_runs and not exchange.is_idempotent):
            self.fail_call(exchange, call, f"{call.possible_runs} runs are allowed")
            return
        self._limited_calls.queues.add(call, priority)
        backend = self.backends.choose(
            now,
            call.service,
            call.tried,
            self._make_limit_check(now, call.service, call),
        )
        if backend is None:
            if self._can_wait_for_server(now, exchange, call):
                call.retry_at = now + self._limited_calls.compute_recheck_delay(
                    now, priority, call, self._list_candidates(call)
                )
            else:
                self.fail_call(exchange, call, "no usable server")
            return
        if call.may_have_arrived:
            if not self._get_resend_budget(call.service).try_acquire(
                now, self.instance_count
            ):
                self.counts["retries_without_budget"] += 1
                self.fail_call(exchange, call, "no budget for a resend")
                return
            exchange.retries += 1
            self.counts["retries"] += 1
        self._limited_calls.queues.grant(call)
        self._send(now, exchange, call, backend, False, actions)

    def fail_call(
        self, exchange: exchanges.Exchange, call: exchanges.ServiceCall, reason: str
    ) -> None:
        """End a call without a successful reply; the reason goes to the log."""
        self._limited_calls.queues.remove(call)
        call.failed = True
        call.trace.append(reason)
        exchange.failed_count += 1

    def can_reach_coverage(self, now: float, exchange: exchanges.Exchange) -> bool:
        """Return whether enough shards have a server, or may soon have one."""
        target = exchange.route.target
        if not isinstance(target, deployment.ShardTarget):
            return True
        reachable = sum(
            bool(self.list_free_zones(now, call.service))
            or self._can_wait_for_server(now, exchange, call)
            for call in exchange.calls
        )
        return reachable >= completion.count_needed(
            len(exchange.calls), target.coverage_min
        )

    def list_free_zones(self, now: float, service: str) -> frozenset[str]:
        """Return the zones with a usable server of a service that names no limit."""
        return frozenset(
            one.entry.zone
            for one in self.backends.list_servers(service)
            if one.is_usable(now) and not self.limits.has_limit(one.entry.identity)
        )

    def _can_wait_for_server(
        self, now: float, exchange: exchanges.Exchange, call: exchanges.ServiceCall
    ) -> bool:
        """Return whether an untried server may be usable in time.

        In time is before the objective. A request to a single service also waits until
        its deadline for a server that names a rate limit, if the limits allow the
        requests that wait before it.
        """
        until = min(exchange.started + exchange.route.objective_s, exchange.deadline)
        limited: list[backends.Backend] = []
        for one in self._list_candidates(call):
            if self.limits.has_limit(one.entry.identity):
                limited.append(one)
                continue
            next_look_at = now + waiting.RECHECK_INTERVAL_S
            if max(next_look_at, one.retry_at, one.shed_until) < until:
                return True
        last_send_at = self._compute_last_send_at(exchange)
        return self._limited_calls.can_send_until(
            now, last_send_at, exchange.route.priority, call, limited
        )

    def _list_candidates(self, call: exchanges.ServiceCall) -> list[backends.Backend]:
        """Return the servers that a call has not tried and that are not leaving."""
        return [
            one
            for one in self.backends.list_servers(call.service)
            if not one.entry.draining
            and not one.replaced
            and one.entry.identity not in call.tried
        ]

    def _compute_last_send_at(self, exchange: exchanges.Exchange) -> float:
        """Return until when a request may wait for a rate limit, in seconds.

        A server needs the rest of the time to reply.
        """
        until = exchange.deadline
        if isinstance(exchange.route.target, deployment.ShardTarget):
            until = min(until, exchange.started + exchange.route.objective_s)
        return until - self.compute_hedge_delay(exchange.route)

    def compute_wait(self, now: float, exchange: exchanges.Exchange) -> float:
        """Return the time until the rate limits allow a new request of this kind.

        It is 0 seconds if no limit binds, and the time until enough shards can be
        called for a query over many shards.
        """
        waits_s = sorted(
            self._limited_calls.compute_wait(
                now,
                call.service,
                exchange.route.priority,
                self.backends.list_servers(call.service),
            )
            for call in exchange.calls
        )
        target = exchange.route.target
        needed = len(waits_s)
        if isinstance(target, deployment.ShardTarget):
            needed = completion.count_needed(needed, target.coverage_min)
        return waits_s[needed - 1]

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
        self.sends_made += 1
        kind = _classify_send(exchange, call, hedge)
        self.send_counts[f"sends_{kind.value}"] += 1
        self.limits.record_send(now, backend.entry.identity, kind)
        number = self.take_number()
        delay_s = self.compute_hedge_delay(exchange.route)
        backend.start_send(number, now + delay_s)
        if now >= backend.cold_until:
            backend.cold_pace = None
        elif backend.cold_pace is not None:
            backend.cold_pace.record_send(now)
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

    def compute_hedge_delay(self, route: deployment.Route) -> float:
        """Return the time in seconds after which an attempt on a route is hedged."""
        window = self._latency_windows.get(route.name)
        return hedging.compute_delay(
            hedging.Pace(
                route.objective_s,
                window.median() if window is not None else None,
                isinstance(route.target, deployment.ShardTarget),
            )
        )

    def record_latency(
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

    def detach_attempts(
        self, now: float, call: exchanges.ServiceCall, route_name: str
    ) -> None:
        """Leave the open attempts of a call to finish within `GRACE_PERIOD_S`.

        Their replies are not used, but still tell how fast the servers are. A call that
        waits for a server no longer does.
        """
        self._limited_calls.queues.remove(call)
        for attempt in call.open_attempts.values():
            del self._attempts[attempt.number]
            self._detached_attempts[attempt.number] = (
                attempt.backend,
                now + GRACE_PERIOD_S,
                attempt.started,
                route_name,
            )
        call.open_attempts.clear()

    def cancel_attempts(
        self, call: exchanges.ServiceCall, actions: list[forwarding.Action]
    ) -> None:
        """Cancel the attempts of a call that are in flight, or end its wait."""
        self._limited_calls.queues.remove(call)
        for attempt in call.open_attempts.values():
            del self._attempts[attempt.number]
            attempt.backend.end_send(attempt.number)
            actions.append(forwarding.Cancel(attempt.number))
        call.open_attempts.clear()

    def end_detached_attempt(
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


def _classify_send(
    exchange: exchanges.Exchange, call: exchanges.ServiceCall, hedge: bool
) -> ratelimits.SendKind:
    """Return the kind of the next attempt of a call."""
    if exchange.batch_due_at is not None:
        return ratelimits.SendKind.BATCH
    if hedge:
        return ratelimits.SendKind.HEDGE
    if call.may_have_arrived:
        return ratelimits.SendKind.RETRY
    return ratelimits.SendKind.FIRST
