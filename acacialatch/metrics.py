"""Metrics sent to statsd over UDP. Recording never blocks and never raises."""

import abc
import collections
import enum
import math
import typing

import statsd
import trio

from acacialatch import model

FLUSH_PERIOD_S = 1.0
# At the fleet size planned for two years ahead, an instance makes 8,500 sub-requests a
# second and may use 7 KB/s for control traffic. 100 timings of at most 30 bytes a
# second use 3 KB/s of that.
TIMINGS_PER_FLUSH_MAX = 100
PREFIX = "acacialatch"


class Kind(enum.Enum):
    """How the values of a metric within one flush period are combined."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMING = "timing"


class Metric(typing.NamedTuple):
    """Kind, unit and description of a metric."""

    kind: Kind
    unit: str
    meaning: str


METRICS: dict[str, Metric] = {
    "queries": Metric(Kind.COUNTER, "queries", "queries received"),
    "queries_failed": Metric(Kind.COUNTER, "queries", "queries answered by an error"),
    "queries_partial": Metric(
        Kind.COUNTER, "queries", "answers with less than the whole coverage"
    ),
    "query_time": Metric(Kind.TIMING, "s", "time from a query to its answer"),
    "sub_requests": Metric(
        Kind.COUNTER, "sub-requests", "first sends, without hedges and retries"
    ),
    "sub_request_time": Metric(Kind.TIMING, "s", "time from a send to its reply"),
    "hedges": Metric(Kind.COUNTER, "sub-requests", "hedges sent"),
    "retries": Metric(Kind.COUNTER, "sub-requests", "retries sent"),
    "probes": Metric(Kind.COUNTER, "probes", "probes sent to backend servers"),
    "requests": Metric(Kind.COUNTER, "requests", "non-idempotent requests received"),
    "requests_unknown": Metric(
        Kind.COUNTER, "requests", "non-idempotent requests with an unknown outcome"
    ),
    "waiting": Metric(Kind.GAUGE, "sub-requests", "entries in the admission queues"),
    "refused": Metric(Kind.COUNTER, "sub-requests", "refused because of full queues"),
    "in_flight": Metric(Kind.GAUGE, "sub-requests", "sub-requests in progress"),
    "server_changes": Metric(
        Kind.COUNTER, "changes", "changes of the state of a backend server"
    ),
    "revision": Metric(Kind.GAUGE, "revision", "revision of the configuration"),
    "configuration_refused": Metric(
        Kind.COUNTER, "texts", "configuration texts that were refused"
    ),
    "service_age": Metric(
        Kind.GAUGE, "s", "time since a known read of the configuration service"
    ),
    "source_failures": Metric(Kind.COUNTER, "reads", "failed reads of the platform"),
    "peers": Metric(Kind.GAUGE, "instances", "peers heard from within 3 s"),
    "peer_failures": Metric(Kind.COUNTER, "calls", "failed calls to peers"),
    "peer_refused": Metric(Kind.COUNTER, "messages", "refused messages of peers"),
    "permits": Metric(Kind.COUNTER, "permits", "permits given for cold servers"),
    "log_dropped": Metric(Kind.COUNTER, "messages", "log messages dropped"),
    "metrics_dropped": Metric(Kind.COUNTER, "values", "metric values not sent"),
}


class Metrics(abc.ABC):
    """Destination of metric values.

    Values with an unknown name, of the wrong kind or not finite are dropped.

    Attributes
    ----------
    dropped : int
        Values dropped so far.
    """

    def __init__(self) -> None:
        self.dropped = 0

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self._record(name, Kind.COUNTER, value)

    def set(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._record(name, Kind.GAUGE, value)

    def time(self, name: str, value_s: float) -> None:
        """Record a time in seconds."""
        self._record(name, Kind.TIMING, value_s)

    def _record(self, name: str, kind: Kind, value: float) -> None:
        metric = METRICS.get(name)
        if metric is None or metric.kind is not kind or not math.isfinite(value):
            self.dropped += 1
        else:
            self._store(name, kind, value)

    @abc.abstractmethod
    def _store(self, name: str, kind: Kind, value: float) -> None:
        """Store one valid value until it is sent."""


class MemoryMetrics(Metrics):
    """Stores all values in memory, for tests."""

    def __init__(self) -> None:
        super().__init__()
        self.values: collections.defaultdict[str, list[float]]
        self.values = collections.defaultdict(list)

    def _store(self, name: str, kind: Kind, value: float) -> None:
        self.values[name].append(value)


class StatsdMetrics(Metrics):
    """Sends the values of each flush period in few packets.

    Counters are summed up and gauges keep their last value. Only the first
    `TIMINGS_PER_FLUSH_MAX` timings of a period are sent; the others are dropped.

    Parameters
    ----------
    address : str
        IP address and port of the statsd server.

    Raises
    ------
    OSError
        If the address is not valid.
    """

    def __init__(self, address: str) -> None:
        super().__init__()
        self._client = _NonBlockingClient(address)
        self._counters: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}
        self._timings: list[tuple[str, float]] = []

    @property
    def failures(self) -> int:
        """Number of packets that could not be sent so far."""
        return self._client.failures

    async def run(self) -> None:
        """Send the values of each period until cancelled, then the remaining ones."""
        try:
            while True:
                await trio.sleep(FLUSH_PERIOD_S)
                self.flush()
        finally:
            self.flush()

    def flush(self) -> None:
        """Send the values recorded since the last call."""
        pipeline = self._client.pipeline()
        for name, count in self._counters.items():
            pipeline.incr(name, count)
        for name, value in self._gauges.items():
            pipeline.gauge(name, value)
        for name, value_s in self._timings:
            pipeline.timing(name, value_s * 1_000)
        self._counters.clear()
        self._gauges.clear()
        self._timings.clear()
        pipeline.send()

    def _store(self, name: str, kind: Kind, value: float) -> None:
        if kind is Kind.COUNTER:
            self._counters[name] += int(value)
        elif kind is Kind.GAUGE:
            self._gauges[name] = value
        elif len(self._timings) < TIMINGS_PER_FLUSH_MAX:
            self._timings.append((name, value))
        else:
            self.dropped += 1


class _NonBlockingClient(statsd.StatsClient):
    """statsd client that never blocks and counts packets that cannot be sent."""

    def __init__(self, address: str) -> None:
        host, port = model.split_address(address)
        super().__init__(host, port, prefix=PREFIX, ipv6=":" in host)
        self._sock.setblocking(False)
        self.failures = 0

    def _send(self, data: str) -> None:
        try:
            self._sock.sendto(data.encode("ascii"), self._addr)
        except OSError:
            self.failures += 1
