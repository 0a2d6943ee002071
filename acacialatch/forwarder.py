"""Core of the forwarding interface: where requests go, and what callers are told.

Events come in as method calls with a time; what is to be done comes back as a list of
actions. Nothing here reads a clock, a socket or a file.
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
    latencies,
    placement,
    resends,
)

HEDGE_MEDIANS = 1.8
"""Multiple of the median latency after which a second server is asked."""

HEDGE_OBJECTIVES = 0.3
"""Largest delay of a hedge for a shard, as a share of the latency objective."""

SINGLE_HEDGE_OBJECTIVES = 0.5
"""The same for a request that one server answers, which may take its time."""

WAIT_STEP_S = 0.01
"""Period in seconds at which a request without a usable server looks again."""

LINGER_S = 0.5
"""Time in seconds that unneeded sends have to end without losing their connection."""

RETRY_AFTER_S = 0.5
"""When callers may come back after a refusal, in seconds, plus up to as much again."""

DEADLINE_MARGIN_S = 0.005
"""An answer leaves this long before the time at which the caller stops waiting."""


QUEUE_MAX = 1
"""Requests that this process lets wait at one server beyond its slots."""

HOP_S = 0.01
"""Time in seconds for a batch to another entry instance and back."""

PEER_CONNECTIONS_MAX = 4
"""Idle connections kept to another entry instance."""


class Budgets(typing.NamedTuple):
    """Bounds on repeated sends for each service, over all entry instances."""

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
        Bounds on repeated sends.
    seed : int
        Seed of random choices.
    started : float
        Start of the process.
    """

    def __init__(
        self, zone: str, budgets: Budgets, seed: int, started: float = -math.inf
    ):
        self._started = started
        self._zone = zone
        self.backends = backends.BackendTable(zone)
        # Other entry instances that take batches; the service is their zone.
        self.peers = backends.BackendTable(zone)
        self._delegations: dict[int, exchanges.Exchange] = {}
        self.deployment: deployment.Deployment | None = None
        self._routes = deployment.RouteTable(())
        self._budgets = budgets
        self._resends: dict[str, resends.ResendBudget] = {}
        self._latencies: dict[str, latencies.LatencyWindow] = {}
        self._random = random.Random(seed)
        self._instances = 1
        self._numbers = 0
        self._exchanges: dict[int, exchanges.Exchange] = {}
        self._sends: dict[int, tuple[exchanges.Exchange, exchanges.Leg]] = {}
        # Sends of answered exchanges, which may end on their own until the time given.
        self._lingering: dict[int, tuple[backends.Backend, float, float, str]] = {}
        self._timers: list[tuple[float, int]] = []
        self.sends_made = 0
        self.counts: collections.Counter[str] = collections.Counter()

    # State of the world.

    @property
    def open_count(self) -> int:
        """Number of requests without an answer."""
        return len(self._exchanges)

    def set_instances(self, count: int) -> None:
        """Set how many entry instances share limits and budgets."""
        self._instances = max(1, count)

    def set_peers(self, now: float, entries: typing.Iterable[backends.Entry]) -> None:
        """Replace the other entry instances that take batches."""
        present = set()
        for entry in entries:
            self.peers.put(now, entry)
            present.add(entry.identity)
        for identity in self.peers.list_identities() - present:
            self.peers.remove(identity)

    def set_budgets(self, budgets: Budgets) -> None:
        """Change the bounds on repeated sends."""
        self._budgets = budgets
        for one in self._resends.values():
            one.set_bounds(*budgets)

    def apply_deployment(self, new: deployment.Deployment) -> bool:
        """Put a newer version in force; return whether it was newer."""
        if self.deployment is not None and new.version <= self.deployment.version:
            return False
        self.deployment = new
        self._routes = deployment.RouteTable(new.routes)
        return True

    # Requests.

    def accept(
        self, now: float, request: forwarding.Request
    ) -> tuple[int, list[forwarding.Action]]:
        """Take a request of a caller; return its number and what to do."""
        self._numbers += 1
        number = self._numbers
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
            [exchanges.Leg(name) for name in self._choose_services(route.target)],
        )
        if timeout_s <= 0 or not self._can_serve(now, exchange):
            return number, self._refuse_new(number, request, errors.ErrorKind.NOT_RUN)
        self._exchanges[number] = exchange
        actions: list[forwarding.Action] = []
        for leg in exchange.legs:
            self._find_resends(leg.service).record_request(now)
        if exchange.may_repeat and isinstance(route.target, deployment.ShardTarget):
            self._delegate_far(now, exchange, route.target, actions)
        for leg in exchange.legs:
            if not leg.delegated:
                self._advance(now, exchange, leg, actions)
        self._settle(now, exchange, actions)
        self._schedule(now, exchange)
        return number, actions

    def accept_batch(
        self, now: float, batch: forwarding.Batch
    ) -> tuple[int, list[forwarding.Action]]:
        """Take shards of a query from another entry instance.

        Each shard is asked once; repeated sends are left to the instance that has the
        whole query. Return the number of the request and what to do.
        """
        self._numbers += 1
        number = self._numbers
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
            [exchanges.Leg(name) for name in batch.services],
            gather_until=now + batch.wait_s,
        )
        self._exchanges[number] = exchange
        actions: list[forwarding.Action] = []
        for leg in exchange.legs:
            if leg.service in self.deployment.services:
                self._advance(now, exchange, leg, actions)
            else:
                self._lose(exchange, leg, "unknown service")
        self._settle(now, exchange, actions)
        self._schedule(now, exchange)
        return number, actions

    def accept_continuation(
        self, now: float, rest: forwarding.BatchContinuation
    ) -> tuple[int, list[forwarding.Action]]:
        """Take a question for the rest of a batch, from the instance that sent it."""
        exchange = self._exchanges.get(rest.batch)
        if (
            exchange is None
            or not exchange.parked
            or exchange.request.identity != rest.identity
        ):
            self._numbers += 1
            refused = forwarding.ErrorReply(errors.ErrorKind.OUTCOME_UNKNOWN)
            return self._numbers, [forwarding.Respond(self._numbers, refused)]
        exchange.parked = False
        exchange.gather_until = now + rest.wait_s
        actions: list[forwarding.Action] = []
        self._settle(now, exchange, actions)
        self._schedule(now, exchange)
        return exchange.number, actions

    def _find_route(
        self, request: forwarding.Request
    ) -> deployment.Route | errors.ErrorKind:
        if self.deployment is None:
            return errors.ErrorKind.NO_CONFIGURATION
        route = self._routes.find(request.host, request.path)
        return errors.ErrorKind.UNKNOWN_PATH if route is None else route

    def handle_caller_gone(self, now: float, number: int) -> list[forwarding.Action]:
        """Drop a request whose caller has left."""
        exchange = self._exchanges.get(number)
        return [] if exchange is None else self._drop(now, exchange, "caller gone")

    def _drop(
        self, now: float, exchange: exchanges.Exchange, outcome: str
    ) -> list[forwarding.Action]:
        """End a request without an answer."""
        del self._exchanges[exchange.number]
        exchange.answered = True
        self.counts[outcome.replace(" ", "_")] += 1
        actions: list[forwarding.Action] = []
        for leg in exchange.legs:
            self._cancel_open(leg, actions)
        self._cancel_delegations(exchange, actions)
        actions.append(exchange.describe(now, outcome, self._instances))
        return actions

    def handle_reply(
        self, now: float, number: int, reply: forwarding.Reply
    ) -> list[forwarding.Action]:
        """Take the whole reply to a send."""
        found = self._sends.pop(number, None)
        if found is None:
            self._end_lingering(now, number, reply.is_success)
            return []
        exchange, leg = found
        attempt = leg.open.pop(number)
        attempt.backend.end(number)
        latency_s = now - attempt.started
        leg.trace.append(f"{attempt.backend.entry.identity} {reply.status}")
        actions: list[forwarding.Action] = []
        if reply.is_success:
            self._note_latency(now, exchange.route.name, attempt.backend, latency_s)
            leg.reply = reply
            exchange.arrived += 1
            self._linger(now, leg, exchange.route.name)
        else:
            leg.failure = reply
            attempt.backend.record_error(now)
            self._resume(now, exchange, leg, actions)
        self._settle(now, exchange, actions)
        if not reply.is_success:
            # A success only removes times.
            self._schedule(now, exchange)
        return actions

    def handle_failure(
        self, now: float, number: int, failure: forwarding.SendFailure
    ) -> list[forwarding.Action]:
        """Take the failure of a send."""
        found = self._sends.pop(number, None)
        if found is None:
            self._end_lingering(now, number, None)
            return []
        exchange, leg = found
        attempt = leg.open.pop(number)
        backend = attempt.backend
        backend.end(number)
        leg.trace.append(f"{backend.entry.identity} {failure.kind.value}")
        self.counts[f"failed_{failure.kind.value}"] += 1
        if failure.kind in forwarding.NOT_RUN_KINDS:
            leg.runs -= 1
        if failure.kind is forwarding.FailureKind.NOT_SENT:
            backend.record_unreachable(now)
            if leg.runs == 0 and len(leg.tried) == 1:
                leg.reached = False
        elif failure.kind is forwarding.FailureKind.SHED:
            backend.shed_until = now + backends.SHED_S
            backend.record_error(now)
            leg.tried.discard(backend.entry.identity)
        elif failure.kind is forwarding.FailureKind.WRONG_SERVER:
            backend.replaced = True
        else:
            backend.record_error(now)
        actions: list[forwarding.Action] = []
        self._resume(now, exchange, leg, actions)
        self._settle(now, exchange, actions)
        self._schedule(now, exchange)
        return actions

    def handle_batch_reply(
        self, now: float, number: int, reply: forwarding.BatchReply
    ) -> list[forwarding.Action]:
        """Take the reply of another entry instance to a batch."""
        exchange, delegation = self._end_delegation(number)
        delegation.peer.record_success(now, 1.0)
        delegation.confirmed = True
        if exchange.answered:
            return []
        actions: list[forwarding.Action] = []
        if reply.arrived:
            exchange.gathered.append(reply.body)
        for index, signature in reply.arrived:
            leg = delegation.legs[index]
            if leg.reply is None:
                exchange.arrived += 1
            leg.delegated = False
            # The records of the shard are among the gathered ones.
            leg.reply = forwarding.Reply(200, signature, (), b"")
            self._linger(now, leg, exchange.route.name)
        pending = False
        for shard in reply.open:
            leg = delegation.legs[shard.index]
            if leg.reply is not None or not leg.delegated:
                # Another server replied, or an earlier reply said that it has ended.
                leg.delegated = False
                continue
            leg.tried.update(shard.tried)
            leg.delegated = shard.pending
            if shard.pending:
                pending = True
                leg.hedge_at = min(leg.hedge_at, now)
                self._advance_due(now, exchange, leg, actions)
                continue
            if not shard.may_have_run:
                leg.runs -= 1
            if not leg.open:
                leg.reached = shard.reached
            self._resume(now, exchange, leg, actions)
        if pending:
            self._ask_for_rest(now, exchange, delegation, reply.batch, actions)
        self._settle(now, exchange, actions)
        self._schedule(now, exchange)
        return actions

    def handle_batch_failure(
        self, now: float, number: int, failure: forwarding.SendFailure
    ) -> list[forwarding.Action]:
        """Take the failure of a batch that was sent to another entry instance."""
        exchange, delegation = self._end_delegation(number)
        self.counts[f"batches_{failure.kind.value}"] += 1
        delegation.peer.record_unreachable(now)
        if exchange.answered:
            return []
        actions: list[forwarding.Action] = []
        not_run = failure.kind in forwarding.NOT_RUN_KINDS and not delegation.confirmed
        for leg in delegation.legs:
            if not leg.delegated:
                continue
            leg.delegated = False
            if not_run:
                leg.runs -= 1
                if not leg.open:
                    leg.reached = False
            self._resume(now, exchange, leg, actions)
        self._settle(now, exchange, actions)
        self._schedule(now, exchange)
        return actions

    def handle_timers(self, now: float) -> list[forwarding.Action]:
        """Do what is due at this time."""
        actions: list[forwarding.Action] = []
        due: list[int] = []
        while self._timers and self._timers[0][0] <= now:
            due.append(heapq.heappop(self._timers)[1])
        for number in due:
            exchange = self._exchanges.get(number)
            if exchange is None:
                continue
            exchange.scheduled_at = math.inf
            for leg in exchange.legs:
                if not leg.is_settled:
                    self._advance_due(now, exchange, leg, actions)
            self._settle(now, exchange, actions)
            self._schedule(now, exchange)
        for number, (backend, until, _, _) in list(self._lingering.items()):
            if until <= now:
                del self._lingering[number]
                backend.end(number)
                actions.append(forwarding.Cancel(number))
        return actions

    def next_time(self) -> float:
        """Return when `handle_timers` is due; infinity if it is not."""
        linger = min(
            (until for _, until, _, _ in self._lingering.values()), default=math.inf
        )
        return min(self._timers[0][0] if self._timers else math.inf, linger)

    def stop(self, now: float) -> list[forwarding.Action]:
        """Answer all requests that are still open, since the process ends."""
        actions: list[forwarding.Action] = []
        for exchange in list(self._exchanges.values()):
            self._give_up(now, exchange, errors.ErrorKind.SHUTTING_DOWN, actions)
        return actions

    # Sends.

    def _choose_services(self, target: deployment.Target) -> tuple[str, ...]:
        if isinstance(target, deployment.SingleTarget):
            return (target.service,)
        if isinstance(target, deployment.SplitTarget):
            names = [name for name, _ in target.shares]
            weights = [weight for _, weight in target.shares]
            return (self._random.choices(names, weights)[0],)
        return target.services

    def _find_resends(self, service: str) -> resends.ResendBudget:
        budget = self._resends.get(service)
        if budget is None:
            budget = resends.ResendBudget(*self._budgets, self._started)
            self._resends[service] = budget
        return budget

    def _connection_share(self, service: str) -> int:
        """Return the connections to one server that this process may hold."""
        assert self.deployment is not None
        known = self.deployment.services.get(service)
        if known is None:
            return 1
        return max(1, known.connections_max // self._instances)

    def _accepts(
        self, now: float, service: str
    ) -> typing.Callable[[backends.Backend], bool]:
        share = self._connection_share(service)
        assert self.deployment is not None
        known = self.deployment.services.get(service)
        cold_rate = known.cold_requests_per_s if known else 0.0
        gap_s = self._instances / cold_rate if cold_rate > 0 else 0.0

        def accept(backend: backends.Backend) -> bool:
            if backend.in_flight >= min(share, backend.entry.slots + QUEUE_MAX):
                return False
            if gap_s and now < backend.cold_until and backend.cold_sends:
                return now - backend.cold_sends[-1] >= gap_s
            return True

        return accept

    def _advance_due(
        self,
        now: float,
        exchange: exchanges.Exchange,
        leg: exchanges.Leg,
        actions: list[forwarding.Action],
    ) -> None:
        if leg.open or leg.delegated:
            if now >= leg.hedge_at:
                leg.hedge_at = math.inf
                self._hedge(now, exchange, leg, actions)
        elif now >= leg.retry_at:
            self._advance(now, exchange, leg, actions)

    def _hedge(
        self,
        now: float,
        exchange: exchanges.Exchange,
        leg: exchanges.Leg,
        actions: list[forwarding.Action],
    ) -> None:
        if leg.runs >= exchange.route.attempts_max or now >= exchange.deadline:
            return
        backend = self.backends.choose(
            now, leg.service, leg.tried, self._accepts(now, leg.service)
        )
        if backend is None:
            leg.hedge_at = now + WAIT_STEP_S
            return
        if not self._find_resends(leg.service).try_spend(
            now, self._instances, hedge=True
        ):
            self.counts["hedges_without_budget"] += 1
            return
        exchange.hedges += 1
        self.counts["hedges"] += 1
        self._send(now, exchange, leg, backend, True, actions)

    def _delegate_far(
        self,
        now: float,
        exchange: exchanges.Exchange,
        target: deployment.ShardTarget,
        actions: list[forwarding.Action],
    ) -> None:
        """Ask entry instances elsewhere for shards without a server in this zone."""
        zones = self.peers.list_services()
        self._random.shuffle(zones)
        groups = placement.group_by_zone(
            [self.backends.list_zones(now, leg.service) for leg in exchange.legs],
            self._zone,
            zones,
        )
        wait_s = self._hedge_delay(exchange.route)
        for zone, indexes in groups.items():
            peer = self.peers.choose(now, zone, (), lambda one: not one.is_stalled(now))
            if peer is None:
                continue
            legs = [exchange.legs[index] for index in indexes]
            exchange.batches += 1
            self.counts["batches"] += 1
            for leg in legs:
                leg.delegated = leg.reached = True
                leg.runs += 1
                leg.hedge_at = now + wait_s + HOP_S
            batch = forwarding.Batch(
                exchange.request,
                tuple(leg.service for leg in legs),
                target.records_max,
                wait_s,
                exchange.deadline - now,
            )
            delegation = exchanges.Delegation(peer, legs)
            self._delegate(now, exchange, delegation, batch, actions)

    def _ask_for_rest(
        self,
        now: float,
        exchange: exchanges.Exchange,
        delegation: exchanges.Delegation,
        batch: int,
        actions: list[forwarding.Action],
    ) -> None:
        """Ask for replies that a batch has not returned, in time for the answer."""
        target = exchange.route.target
        assert isinstance(target, deployment.ShardTarget)
        times = completion.answer_times(exchange.progress(target))
        until = min([at for at in times if at - HOP_S > now], default=exchange.deadline)
        wait_s = max(0.0, min(until, exchange.deadline) - HOP_S - now)
        rest = forwarding.BatchContinuation(batch, exchange.request.identity, wait_s)
        self._delegate(now, exchange, delegation, rest, actions)

    def _delegate(
        self,
        now: float,
        exchange: exchanges.Exchange,
        delegation: exchanges.Delegation,
        message: forwarding.Batch | forwarding.BatchContinuation,
        actions: list[forwarding.Action],
    ) -> None:
        self._numbers += 1
        number = self._numbers
        delegation.peer.begin(number, now + message.wait_s + HOP_S)
        exchange.delegations[number] = delegation
        self._delegations[number] = exchange
        actions.append(
            forwarding.SendBatch(
                number,
                delegation.peer.entry.address,
                message,
                len(delegation.legs),
                PEER_CONNECTIONS_MAX,
            )
        )

    def _end_delegation(
        self, number: int
    ) -> tuple[exchanges.Exchange, exchanges.Delegation]:
        exchange = self._delegations.pop(number)
        delegation = exchange.delegations.pop(number)
        delegation.peer.end(number)
        return exchange, delegation

    def _resume(
        self,
        now: float,
        exchange: exchanges.Exchange,
        leg: exchanges.Leg,
        actions: list[forwarding.Action],
    ) -> None:
        """Go on with a leg after a send or a batch that did not settle it."""
        if not (leg.is_settled or leg.open or leg.delegated):
            self._advance(now, exchange, leg, actions)

    def _cancel_delegations(
        self, exchange: exchanges.Exchange, actions: list[forwarding.Action]
    ) -> None:
        for number in list(exchange.delegations):
            _, delegation = self._end_delegation(number)
            for leg in delegation.legs:
                leg.delegated = False
            actions.append(forwarding.Cancel(number))

    def _advance(
        self,
        now: float,
        exchange: exchanges.Exchange,
        leg: exchanges.Leg,
        actions: list[forwarding.Action],
    ) -> None:
        """Send a leg that has no open send, or find that it is lost."""
        leg.retry_at = leg.hedge_at = math.inf
        spent = leg.runs >= exchange.route.attempts_max
        if spent or (leg.runs and not exchange.may_repeat):
            self._lose(exchange, leg, f"{leg.runs} runs are allowed")
            return
        backend = self.backends.choose(
            now, leg.service, leg.tried, self._accepts(now, leg.service)
        )
        if backend is None:
            if self._can_wait(now, exchange, leg):
                leg.retry_at = now + WAIT_STEP_S
            else:
                self._lose(exchange, leg, "no usable server")
            return
        if leg.reached:
            if not self._find_resends(leg.service).try_spend(now, self._instances):
                self.counts["retries_without_budget"] += 1
                self._lose(exchange, leg, "no budget for a resend")
                return
            exchange.retries += 1
            self.counts["retries"] += 1
        self._send(now, exchange, leg, backend, False, actions)

    def _can_serve(self, now: float, exchange: exchanges.Exchange) -> bool:
        """Return whether enough shards of a query have a server to ask."""
        target = exchange.route.target
        if not isinstance(target, deployment.ShardTarget):
            return True
        hoped = sum(
            bool(self.backends.list_zones(now, leg.service))
            or self._can_wait(now, exchange, leg)
            for leg in exchange.legs
        )
        return hoped >= completion.count_needed(len(exchange.legs), target.coverage_min)

    def _can_wait(
        self, now: float, exchange: exchanges.Exchange, leg: exchanges.Leg
    ) -> bool:
        """Return whether a server may become usable soon enough."""
        until = exchange.started + exchange.route.objective_s
        until = min(until, exchange.deadline)
        known = self.backends.list_servers(leg.service)
        return any(
            not one.entry.draining
            and not one.replaced
            and max(now + WAIT_STEP_S, one.retry_at, one.shed_until) < until
            and one.entry.identity not in leg.tried
            for one in known
        )

    def _send(
        self,
        now: float,
        exchange: exchanges.Exchange,
        leg: exchanges.Leg,
        backend: backends.Backend,
        hedge: bool,
        actions: list[forwarding.Action],
    ) -> None:
        self._numbers += 1
        self.sends_made += 1
        number = self._numbers
        delay_s = self._hedge_delay(exchange.route)
        backend.begin(number, now + delay_s)
        if now < backend.cold_until:
            backend.cold_sends.append(now)
            while len(backend.cold_sends) > 1:
                backend.cold_sends.popleft()
        leg.open[number] = exchanges.Attempt(number, backend, now, hedge)
        leg.tried.add(backend.entry.identity)
        leg.runs += 1
        leg.reached = True
        if exchange.may_repeat and leg.runs < exchange.route.attempts_max:
            leg.hedge_at = now + delay_s
        self._sends[number] = (exchange, leg)
        actions.append(
            forwarding.Send(
                number,
                backend.entry.address,
                backend.entry.identity,
                exchange.request,
                exchange.deadline - now,
                not exchange.may_repeat,
                self._connection_share(leg.service),
            )
        )

    def _hedge_delay(self, route: deployment.Route) -> float:
        is_sharded = isinstance(route.target, deployment.ShardTarget)
        share = HEDGE_OBJECTIVES if is_sharded else SINGLE_HEDGE_OBJECTIVES
        longest_s = share * route.objective_s
        window = self._latencies.get(route.name)
        median = window.median() if window is not None else None
        if median is None:
            return longest_s
        return min(longest_s, HEDGE_MEDIANS * median)

    def _note_latency(
        self, now: float, route: str, backend: backends.Backend, latency_s: float
    ) -> None:
        window = self._latencies.get(route)
        if window is None:
            window = self._latencies[route] = latencies.LatencyWindow()
        median = window.median()
        backend.record_success(now, latency_s / median if median else 1.0)
        window.add(latency_s)

    def _linger(self, now: float, leg: exchanges.Leg, route: str) -> None:
        for attempt in leg.open.values():
            del self._sends[attempt.number]
            self._lingering[attempt.number] = (
                attempt.backend,
                now + LINGER_S,
                attempt.started,
                route,
            )
        leg.open.clear()

    def _cancel_open(
        self, leg: exchanges.Leg, actions: list[forwarding.Action]
    ) -> None:
        for attempt in leg.open.values():
            del self._sends[attempt.number]
            attempt.backend.end(attempt.number)
            actions.append(forwarding.Cancel(attempt.number))
        leg.open.clear()

    def _end_lingering(self, now: float, number: int, success: bool | None) -> None:
        found = self._lingering.pop(number, None)
        if found is None:
            return
        backend, _, started, route = found
        backend.end(number)
        if success:
            window = self._latencies.get(route)
            median = window.median() if window is not None else None
            if median:
                backend.record_success(now, (now - started) / median)
        else:
            backend.record_error(now)

    def _lose(
        self, exchange: exchanges.Exchange, leg: exchanges.Leg, reason: str
    ) -> None:
        leg.lost = True
        leg.trace.append(reason)
        exchange.lost += 1

    # Answers.

    def _settle(
        self,
        now: float,
        exchange: exchanges.Exchange,
        actions: list[forwarding.Action],
    ) -> None:
        """Answer the request if that is due."""
        if exchange.answered:
            return
        target = exchange.route.target
        if exchange.gather_until is not None:
            self._settle_batch(now, exchange, actions)
            return
        if not isinstance(target, deployment.ShardTarget):
            self._settle_single(now, exchange, actions)
            return
        verdict = completion.decide(now, exchange.progress(target))
        if verdict is completion.Verdict.ANSWER:
            replies = [leg.reply for leg in exchange.legs if leg.reply is not None]
            answer: forwarding.Answer = forwarding.MergedReply(
                tuple(reply.signature for reply in replies),
                len(exchange.legs) - len(replies),
                exchange.merge(target.records_max),
            )
            self._answer(now, exchange, answer, actions)
        elif verdict is completion.Verdict.GIVE_UP:
            self._give_up(now, exchange, errors.ErrorKind.COVERAGE_BELOW_FLOOR, actions)

    def _settle_batch(
        self,
        now: float,
        exchange: exchanges.Exchange,
        actions: list[forwarding.Action],
    ) -> None:
        """Return what is in of a batch if that is due."""
        target = exchange.route.target
        assert isinstance(target, deployment.ShardTarget)
        assert exchange.gather_until is not None
        due = now >= min(exchange.gather_until, exchange.deadline)
        if exchange.parked:
            if due:
                actions += self._drop(now, exchange, "rest not asked for")
        elif exchange.is_settled or due:
            reply = exchange.gather(target.records_max)
            if any(shard.pending for shard in reply.open):
                exchange.parked = True
                exchange.gather_until = now + LINGER_S
                actions.append(forwarding.Respond(exchange.number, reply))
            else:
                self._answer(now, exchange, reply, actions)

    def _settle_single(
        self,
        now: float,
        exchange: exchanges.Exchange,
        actions: list[forwarding.Action],
    ) -> None:
        leg = exchange.legs[0]
        if leg.reply is not None:
            self._answer(now, exchange, forwarding.ForwardedReply(leg.reply), actions)
        elif leg.lost and leg.failure is not None:
            self._answer(now, exchange, forwarding.ForwardedReply(leg.failure), actions)
        elif leg.lost:
            self._give_up(now, exchange, errors.ErrorKind.BACKEND_FAILED, actions)
        elif now >= exchange.deadline:
            self._give_up(now, exchange, errors.ErrorKind.DEADLINE_EXCEEDED, actions)

    def _give_up(
        self,
        now: float,
        exchange: exchanges.Exchange,
        kind: errors.ErrorKind,
        actions: list[forwarding.Action],
    ) -> None:
        """Answer with an error that is true about what has run."""
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
        exchange.answered = True
        self._exchanges.pop(exchange.number, None)
        refused = isinstance(answer, forwarding.ErrorReply)
        if refused:
            self._cancel_delegations(exchange, actions)
        for leg in exchange.legs:
            if refused:
                self._cancel_open(leg, actions)
            else:
                self._linger(now, leg, exchange.route.name)
        actions.append(forwarding.Respond(exchange.number, answer))
        if isinstance(answer, forwarding.ErrorReply):
            outcome = answer.kind.value
        elif isinstance(answer, forwarding.BatchReply):
            outcome = "gathered"
        else:
            outcome = "answered"
        self.counts[outcome] += 1
        actions.append(exchange.describe(now, outcome, self._instances))

    def _refuse_new(
        self, number: int, request: forwarding.Request, kind: errors.ErrorKind
    ) -> list[forwarding.Action]:
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

    def _schedule(self, now: float, exchange: exchanges.Exchange) -> None:
        if exchange.answered:
            return
        at = exchange.next_time(now)
        if at < exchange.scheduled_at:
            exchange.scheduled_at = at
            heapq.heappush(self._timers, (at, exchange.number))
