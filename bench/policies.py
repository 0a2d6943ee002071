"""Compares replica choice and hedging over fake servers in virtual time.

Run as `python -m bench policies`. It covers only replica choice, hedging and the hedge
budget: there are no sockets, no entry instances and no failures.
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
# A service gives no hedge delay before 20 replies. Without this warm-up the first 20
# of 2,000 queries would be the slowest hundredth.
WARM_UP_QUERIES = 100
SEEDS = (1, 2, 3, 4, 5)
# 3 slots for 10 ms each serve 300 sub-requests a second; 2 replicas serve 600. This
# rate is a sixth of it, so that queues are short and stragglers dominate.
QUERIES_PER_S = 100.0
WORK_S = 0.010
STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 20
NETWORK_S = 0.003
CONNECT_S = 0.006
CONNECTIONS = 3
DEADLINE_S = 1.0
HEDGE_QUANTILE = 0.95
LATENCIES_KEPT = 200
LATENCIES_MIN = 20
AVERAGE_WEIGHT = 0.1


class Variant(typing.NamedTuple):
    """One strategy of the comparison."""

    name: str
    policy: routing.ReplicaPolicy
    hedges: bool


VARIANTS = (
    Variant("naive", routing.FirstReplica(), False),
    Variant("least loaded", routing.LeastLoaded(), False),
    Variant("least loaded, hedged", routing.LeastLoaded(), True),
    Variant("sticky, hedged", routing.Sticky(), True),
)


class Figures(typing.NamedTuple):
    """Results of one run; times in seconds, shares as fractions."""

    p50: float
    p99: float
    p999: float
    coverage: float
    extra_load: float


class Server:
    """A fake server with slots, a queue and the entry instance's view of it."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.running = 0
        self.waiting: collections.deque[Attempt] = collections.deque()
        self.in_flight = 0
        self.average_s = 0.0
        self.idle_connections = 0

    def describe(self, usable: bool = True) -> routing.Candidate:
        """Return the server as a candidate."""
        return routing.Candidate(
            address=self.address,
            zone="a",
            state=model.ServerState.READY,
            in_flight=self.in_flight,
            latency_s=self.average_s,
            usable=usable,
            reason="" if usable else "already asked",
            is_local=True,
            connected=self.idle_connections > 0,
        )


class Query:
    """A query waiting for all its parts."""

    def __init__(self, number: int, start: float) -> None:
        self.number = number
        self.start = start
        self.missing = SERVICES


class Part:
    """The sub-request of a query to one service, with its hedge."""

    def __init__(self, query: Query, service: int, seed: int) -> None:
        self.query = query
        self.service = service
        self.seed = seed
        self.answered = False
        self.attempts: list[Attempt] = []


class Attempt:
    """One send to one server."""

    def __init__(self, part: Part, server: Server, start: float, work_s: float) -> None:
        self.part = part
        self.server = server
        self.start = start
        self.work_s = work_s
        self.is_running = False
        self.is_over = False


class Latencies:
    """Latest latencies of one service, for the adaptive hedge delay."""

    def __init__(self) -> None:
        self._latest: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []

    def add(self, latency_s: float) -> None:
        """Add one latency and forget the oldest."""
        self._latest.append(latency_s)
        bisect.insort(self._sorted, latency_s)
        if len(self._latest) > LATENCIES_KEPT:
            oldest = self._latest.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]

    def find_delay(self) -> float:
        """Return the hedge delay in seconds; infinite while too little is known."""
        if len(self._sorted) < LATENCIES_MIN:
            return math.inf
        return self._sorted[int(HEDGE_QUANTILE * len(self._sorted))]


class Run:
    """One run of one variant with one seed."""

    def __init__(self, variant: Variant, seed: int) -> None:
        self._variant = variant
        self._arrivals = random.Random(seed)
        # Work times have a generator of their own for each service, so that the
        # variants meet the same stragglers in their first sends.
        self._work = [random.Random(f"{seed}/{n}") for n in range(SERVICES)]
        self._hedge_work = random.Random(f"{seed}/hedges")
        self._servers = [
            [Server(f"10.0.{n}.{r}:1") for r in range(REPLICAS)]
            for n in range(SERVICES)
        ]
        self._latencies = [Latencies() for _ in range(SERVICES)]
        self._bucket = budgets.TokenBucket()
        self._events: list[tuple[float, int, typing.Callable, tuple]] = []
        self._serial = itertools.count()
        self._now = 0.0
        self._sent = 0
        self._hedged = 0
        self._times: list[float] = []
        self._covered = 0

    def measure(self) -> Figures:
        """Run all queries and return the figures."""
        start = 0.0
        for number in range(QUERIES):
            start += self._arrivals.expovariate(QUERIES_PER_S)
            self._schedule(start, self._start_query, number)
        while self._events:
            self._now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        times = sorted(self._times)
        return Figures(
            *(times[int(share * len(times))] for share in (0.5, 0.99, 0.999)),
            coverage=self._covered / (len(times) * SERVICES),
            extra_load=self._hedged / self._sent,
        )

    def _schedule(
        self, time: float, action: typing.Callable, *arguments: typing.Any
    ) -> None:
        heapq.heappush(self._events, (time, next(self._serial), action, arguments))

    def _start_query(self, number: int) -> None:
        query = Query(number, self._now)
        if number == WARM_UP_QUERIES:
            self._sent = self._hedged = 0
        self._schedule(self._now + DEADLINE_S, self._expire, query)
        self._bucket.refill(SERVICES)
        for service in range(SERVICES):
            part = Part(query, service, number * SERVICES + service)
            self._sent += 1
            self._send(part, self._draw_work(self._work[service]))
            if self._variant.hedges:
                delay_s = self._latencies[service].find_delay()
                if delay_s < DEADLINE_S:
                    self._schedule(self._now + delay_s, self._hedge, part)

    def _draw_work(self, rng: random.Random) -> float:
        work_s = rng.uniform(0.5, 1.5) * WORK_S
        is_straggler = rng.random() < STRAGGLER_SHARE
        return work_s * (STRAGGLER_FACTOR if is_straggler else 1)

    def _send(self, part: Part, work_s: float) -> None:
        servers = self._servers[part.service]
        asked = {attempt.server for attempt in part.attempts}
        candidates = [server.describe(server not in asked) for server in servers]
        index = self._variant.policy.choose(candidates, part.seed)
        if index is None:
            return
        server = servers[index]
        attempt = Attempt(part, server, self._now, work_s)
        part.attempts.append(attempt)
        server.in_flight += 1
        connect_s = 0.0 if server.idle_connections else CONNECT_S
        server.idle_connections = max(0, server.idle_connections - 1)
        arrival = self._now + connect_s + NETWORK_S / 2
        self._schedule(arrival, self._arrive, attempt)

    def _hedge(self, part: Part) -> None:
        if part.answered or part.query.missing <= 0:
            return
        if self._bucket.try_spend():
            self._hedged += 1
            self._send(part, self._draw_work(self._hedge_work))
            return
        # At the 95th percentile about as many parts ask as the budget allows. A part
        # that is refused asks again: after another delay mostly stragglers are left.
        delay_s = self._latencies[part.service].find_delay()
        self._schedule(self._now + delay_s, self._hedge, part)

    def _arrive(self, attempt: Attempt) -> None:
        if not attempt.is_over:
            attempt.server.waiting.append(attempt)
            self._start_work(attempt.server)

    def _start_work(self, server: Server) -> None:
        while server.waiting and server.running < SLOTS:
            attempt = server.waiting.popleft()
            if not attempt.is_over:
                server.running += 1
                attempt.is_running = True
                self._schedule(self._now + attempt.work_s, self._finish_work, attempt)

    def _finish_work(self, attempt: Attempt) -> None:
        if attempt.is_running:
            self._free_slot(attempt)
            self._schedule(self._now + NETWORK_S / 2, self._reply, attempt)

    def _free_slot(self, attempt: Attempt) -> None:
        attempt.is_running = False
        attempt.server.running -= 1
        self._start_work(attempt.server)

    def _reply(self, attempt: Attempt) -> None:
        part, server = attempt.part, attempt.server
        if attempt.is_over:
            return
        self._end(attempt)
        server.idle_connections = min(CONNECTIONS, server.idle_connections + 1)
        latency_s = self._now - attempt.start
        self._note_latency(server, part.service, latency_s)
        part.answered = True
        for other in part.attempts:
            if not other.is_over:
                self._cancel(other)
        if part.query.missing > 0:
            part.query.missing -= 1
            if not part.query.missing:
                self._finish(part.query, self._now - part.query.start)

    def _note_latency(self, server: Server, service: int, latency_s: float) -> None:
        self._latencies[service].add(latency_s)
        weight = AVERAGE_WEIGHT if server.average_s else 1.0
        server.average_s += weight * (latency_s - server.average_s)

    def _cancel(self, attempt: Attempt) -> None:
        # The connection is closed, and the server hears of it after the network time.
        self._end(attempt)
        self._schedule(self._now + NETWORK_S / 2, self._stop_work, attempt)

    def _stop_work(self, attempt: Attempt) -> None:
        if attempt.is_running:
            self._free_slot(attempt)

    def _end(self, attempt: Attempt) -> None:
        attempt.is_over = True
        attempt.server.in_flight -= 1

    def _finish(self, query: Query, time_s: float) -> None:
        if query.number >= WARM_UP_QUERIES:
            self._times.append(time_s)
            self._covered += SERVICES - query.missing

    def _expire(self, query: Query) -> None:
        # A late part keeps running, but no longer counts for its query.
        if query.missing > 0:
            self._finish(query, DEADLINE_S)
            query.missing = 0


def compare() -> dict[str, Figures]:
    """Return the median figures of each variant over all seeds."""
    medians = {}
    for variant in VARIANTS:
        runs = [Run(variant, seed).measure() for seed in SEEDS]
        medians[variant.name] = Figures(
            *map(statistics.median, zip(*runs, strict=True))
        )
    return medians


def main() -> None:
    """Print the comparison."""
    medians = compare()
    naive = medians["naive"]
    print(
        f"{QUERIES - WARM_UP_QUERIES} queries to {SERVICES} services "
        f"with {REPLICAS} replicas, "
        f"{STRAGGLER_SHARE:.0%} stragglers {STRAGGLER_FACTOR} times as slow, "
        f"medians of {len(SEEDS)} seeds."
    )
    print("variant                p50 ms  p99 ms  p99.9 ms  coverage  extra  p99/naive")
    for name, row in medians.items():
        print(
            f"{name:<22}{row.p50 * 1e3:7.1f} {row.p99 * 1e3:7.1f} "
            f"{row.p999 * 1e3:9.1f} {row.coverage:9.5f} {row.extra_load:6.2%} "
            f"{row.p99 / naive.p99:10.3f}"
        )
