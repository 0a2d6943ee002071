"""Compares replica policies and hedging over simulated servers in virtual time.

Run as `python -m bench policies`. Only replica choice, hedging and the hedge budget are
simulated: there are no sockets, no entry instances and no failures.
"""

import bisect
import collections
import heapq
import itertools
import math
import random
import statistics
import typing

from acacialatch import budgets, model, routing

SERVICES = 50
REPLICAS = 2
SLOTS = 3
QUERIES = 2_000
# A service has no hedge delay before its first 20 replies. Without this warm-up, the
# first 20 of 2,000 queries would determine the 99th percentile.
WARM_UP_QUERIES = 100
SEEDS = (1, 2, 3, 4, 5)
# Two replicas with 3 slots of 10 ms each serve 600 sub-requests per second. This rate
# is a sixth of that, so that queues are short and stragglers dominate.
QUERIES_PER_S = 100.0
MEAN_WORK_S = 0.010
STRAGGLER_FRACTION = 0.01
STRAGGLER_FACTOR = 20
ROUND_TRIP_S = 0.003
CONNECT_S = 0.006
CONNECTIONS = 3
DEADLINE_S = 1.0
HEDGE_QUANTILE = 0.95
LATENCY_WINDOW = 200
LATENCY_SAMPLES_MIN = 20
LATENCY_AVERAGE_WEIGHT = 0.1


class Variant(typing.NamedTuple):
    """Replica policy, with or without hedging."""

    name: str
    policy: routing.ReplicaPolicy
    has_hedges: bool


VARIANTS = (
    Variant("naive", routing.FirstReplica(), False),
    Variant("least loaded", routing.LeastLoaded(), False),
    Variant("least loaded, hedged", routing.LeastLoaded(), True),
    Variant("sticky, hedged", routing.Sticky(), True),
)


class Figures(typing.NamedTuple):
    """Results of one run: times in seconds, coverage and extra load as fractions."""

    p50_s: float
    p99_s: float
    p999_s: float
    coverage: float
    extra_load: float


class Server:
    """Simulated server with slots, a queue and the entry instance's view of it."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.running = 0
        self.waiting: collections.deque[Attempt] = collections.deque()
        self.in_flight = 0
        self.latency_average_s = 0.0
        self.idle_connections = 0

    def describe(self, usable: bool = True) -> routing.Candidate:
        """Return the server as a candidate of a replica policy.

        Parameters
        ----------
        usable : bool
            False if the part was sent to this server before.
        """
        return routing.Candidate(
            address=self.address,
            zone="a",
            state=model.ServerState.READY,
            in_flight=self.in_flight,
            latency_s=self.latency_average_s,
            usable=usable,
            reason="" if usable else "already asked",
            is_local=True,
            connected=self.idle_connections > 0,
        )


class Query:
    """Query that waits for its parts."""

    def __init__(self, number: int, started_at: float) -> None:
        self.number = number
        self.started_at = started_at
        self.parts_missing = SERVICES


class Part:
    """Part of a query that one service answers, with its sub-request and hedge."""

    def __init__(self, query: Query, service: int, seed: int) -> None:
        self.query = query
        self.service = service
        self.seed = seed
        self.answered = False
        self.attempts: list[Attempt] = []


class Attempt:
    """Sub-request or hedge that was sent to a server."""

    def __init__(
        self, part: Part, server: Server, started_at: float, work_s: float
    ) -> None:
        self.part = part
        self.server = server
        self.started_at = started_at
        self.work_s = work_s
        self.is_running = False
        self.is_ended = False


class Latencies:
    """The last `LATENCY_WINDOW` latencies of one service, for its hedge delay."""

    def __init__(self) -> None:
        self._latest: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []

    def add(self, latency_s: float) -> None:
        """Add a latency and drop the oldest if the window is full."""
        self._latest.append(latency_s)
        bisect.insort(self._sorted, latency_s)
        if len(self._latest) > LATENCY_WINDOW:
            oldest = self._latest.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]

    def find_delay(self) -> float:
        """Return the hedge delay in seconds; infinite with too few samples."""
        if len(self._sorted) < LATENCY_SAMPLES_MIN:
            return math.inf
        return self._sorted[int(HEDGE_QUANTILE * len(self._sorted))]


class Simulation:
    """Simulation of one variant with one seed."""

    def __init__(self, variant: Variant, seed: int) -> None:
        self._variant = variant
        self._arrival_rng = random.Random(seed)
        # Each service has a random generator for the work times of first sends, so
        # that these have the same stragglers in all variants.
        self._work_rngs = [random.Random(f"{seed}/{n}") for n in range(SERVICES)]
        self._hedge_rng = random.Random(f"{seed}/hedges")
        self._servers = [
            [Server(f"10.0.{n}.{r}:1") for r in range(REPLICAS)]
            for n in range(SERVICES)
        ]
        self._latencies = [Latencies() for _ in range(SERVICES)]
        self._hedge_bucket = budgets.TokenBucket()
        self._events: list[tuple[float, int, typing.Callable, tuple]] = []
        self._event_numbers = itertools.count()
        self._now = 0.0
        self._sent_count = 0
        self._hedge_count = 0
        self._query_times_s: list[float] = []
        self._parts_covered = 0

    def run(self) -> Figures:
        """Run all queries and return the figures."""
        arrival = 0.0
        for number in range(QUERIES):
            arrival += self._arrival_rng.expovariate(QUERIES_PER_S)
            self._schedule(arrival, self._start_query, number)
        while self._events:
            self._now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        times = sorted(self._query_times_s)
        return Figures(
            *(times[int(fraction * len(times))] for fraction in (0.5, 0.99, 0.999)),
            coverage=self._parts_covered / (len(times) * SERVICES),
            extra_load=self._hedge_count / self._sent_count,
        )

    def _schedule(
        self, time: float, action: typing.Callable, *arguments: typing.Any
    ) -> None:
        heapq.heappush(
            self._events, (time, next(self._event_numbers), action, arguments)
        )

    def _start_query(self, number: int) -> None:
        query = Query(number, self._now)
        if number == WARM_UP_QUERIES:
            self._sent_count = self._hedge_count = 0
        self._schedule(self._now + DEADLINE_S, self._handle_deadline, query)
        self._hedge_bucket.refill(SERVICES)
        for service in range(SERVICES):
            part = Part(query, service, number * SERVICES + service)
            self._sent_count += 1
            self._send(part, self._draw_work_s(self._work_rngs[service]))
            if self._variant.has_hedges:
                delay_s = self._latencies[service].find_delay()
                if delay_s < DEADLINE_S:
                    self._schedule(self._now + delay_s, self._try_hedge, part)

    def _draw_work_s(self, rng: random.Random) -> float:
        work_s = rng.uniform(0.5, 1.5) * MEAN_WORK_S
        is_straggler = rng.random() < STRAGGLER_FRACTION
        return work_s * (STRAGGLER_FACTOR if is_straggler else 1)

    def _send(self, part: Part, work_s: float) -> None:
        servers = self._servers[part.service]
        used_servers = {attempt.server for attempt in part.attempts}
        candidates = [server.describe(server not in used_servers) for server in servers]
        index = self._variant.policy.choose(candidates, part.seed)
        if index is None:
            return
        server = servers[index]
        attempt = Attempt(part, server, self._now, work_s)
        part.attempts.append(attempt)
        server.in_flight += 1
        connect_s = 0.0 if server.idle_connections else CONNECT_S
        server.idle_connections = max(0, server.idle_connections - 1)
        arrival = self._now + connect_s + ROUND_TRIP_S / 2
        self._schedule(arrival, self._handle_arrival, attempt)

    def _try_hedge(self, part: Part) -> None:
        if part.answered or part.query.parts_missing <= 0:
            return
        if self._hedge_bucket.try_spend():
            self._hedge_count += 1
            self._send(part, self._draw_work_s(self._hedge_rng))
            return
        # With a delay at the 95th percentile, about as many parts want a hedge as the
        # budget allows. A part without a hedge tries again after another delay, when
        # mostly stragglers are left.
        delay_s = self._latencies[part.service].find_delay()
        self._schedule(self._now + delay_s, self._try_hedge, part)

    def _handle_arrival(self, attempt: Attempt) -> None:
        if not attempt.is_ended:
            attempt.server.waiting.append(attempt)
            self._start_waiting(attempt.server)

    def _start_waiting(self, server: Server) -> None:
        while server.waiting and server.running < SLOTS:
            attempt = server.waiting.popleft()
            if not attempt.is_ended:
                server.running += 1
                attempt.is_running = True
                self._schedule(self._now + attempt.work_s, self._finish_work, attempt)

    def _finish_work(self, attempt: Attempt) -> None:
        if attempt.is_running:
            self._free_slot(attempt)
            self._schedule(self._now + ROUND_TRIP_S / 2, self._handle_reply, attempt)

    def _free_slot(self, attempt: Attempt) -> None:
        attempt.is_running = False
        attempt.server.running -= 1
        self._start_waiting(attempt.server)

    def _handle_reply(self, attempt: Attempt) -> None:
        part, server = attempt.part, attempt.server
        if attempt.is_ended:
            return
        self._end_attempt(attempt)
        server.idle_connections = min(CONNECTIONS, server.idle_connections + 1)
        latency_s = self._now - attempt.started_at
        self._record_latency(server, part.service, latency_s)
        part.answered = True
        for other in part.attempts:
            if not other.is_ended:
                self._cancel_attempt(other)
        if part.query.parts_missing > 0:
            part.query.parts_missing -= 1
            if not part.query.parts_missing:
                self._finish_query(part.query, self._now - part.query.started_at)

    def _record_latency(self, server: Server, service: int, latency_s: float) -> None:
        self._latencies[service].add(latency_s)
        weight = LATENCY_AVERAGE_WEIGHT if server.latency_average_s else 1.0
        server.latency_average_s += weight * (latency_s - server.latency_average_s)

    def _cancel_attempt(self, attempt: Attempt) -> None:
        # The connection is closed, which the server notices after the network latency.
        self._end_attempt(attempt)
        self._schedule(self._now + ROUND_TRIP_S / 2, self._handle_cancel, attempt)

    def _handle_cancel(self, attempt: Attempt) -> None:
        if attempt.is_running:
            self._free_slot(attempt)

    def _end_attempt(self, attempt: Attempt) -> None:
        attempt.is_ended = True
        attempt.server.in_flight -= 1

    def _finish_query(self, query: Query, time_s: float) -> None:
        if query.number >= WARM_UP_QUERIES:
            self._query_times_s.append(time_s)
            self._parts_covered += SERVICES - query.parts_missing

    def _handle_deadline(self, query: Query) -> None:
        # Parts that are still running go on, but no longer count for the query.
        if query.parts_missing > 0:
            self._finish_query(query, DEADLINE_S)
            query.parts_missing = 0


def compare() -> dict[str, Figures]:
    """Return the median figures of each variant over all seeds."""
    medians = {}
    for variant in VARIANTS:
        runs = [Simulation(variant, seed).run() for seed in SEEDS]
        medians[variant.name] = Figures(
            *map(statistics.median, zip(*runs, strict=True))
        )
    return medians


def main() -> None:
    """Print the comparison of all variants."""
    medians = compare()
    naive = medians["naive"]
    print(
        f"{QUERIES - WARM_UP_QUERIES} queries to {SERVICES} services "
        f"with {REPLICAS} replicas, "
        f"{STRAGGLER_FRACTION:.0%} stragglers {STRAGGLER_FACTOR} times as slow, "
        f"medians of {len(SEEDS)} seeds."
    )
    print("variant                p50 ms  p99 ms  p99.9 ms  coverage  extra  p99/naive")
    for name, row in medians.items():
        print(
            f"{name:<22}{row.p50_s * 1e3:7.1f} {row.p99_s * 1e3:7.1f} "
            f"{row.p999_s * 1e3:9.1f} {row.coverage:9.5f} {row.extra_load:6.2%} "
            f"{row.p99_s / naive.p99_s:10.3f}"
        )
