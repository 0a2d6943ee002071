"""Counters, gauges and latency histograms in the text format of Prometheus."""

import bisect
import importlib
import typing

BUCKETS_S = (0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
"""Upper bounds of the latency buckets, in seconds."""


class Histogram:
    """Latency histogram of one route.

    Attributes
    ----------
    counts : list of int
        Latencies in each bucket of `BUCKETS_S`, and in a last one without a bound.
    sum_s : float
        Sum of all latencies, in seconds.
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.sum_s = 0.0

    def add(self, latency_s: float) -> None:
        """Add a latency to its bucket."""
        self.counts[bisect.bisect_left(BUCKETS_S, latency_s)] += 1
        self.sum_s += latency_s

    def list_buckets(self) -> list[tuple[str, float]]:
        """Return pairs of upper bound and cumulative count, as Prometheus expects."""
        total = 0
        rows: list[tuple[str, float]] = []
        for bound, count in zip((*BUCKETS_S, "+Inf"), self.counts, strict=True):
            total += count
            rows.append((str(bound), float(total)))
        return rows


class Sample(typing.NamedTuple):
    """Values of all metrics at one time.

    Attributes
    ----------
    counters, gauges : dict of str to float
        Values by name.
    latencies : dict of str to Histogram
        Latencies by route.
    """

    counters: dict[str, float]
    gauges: dict[str, float]
    latencies: dict[str, Histogram]


def render(sample: Sample) -> bytes:
    """Return a sample in the text format of Prometheus."""
    # Imported on first use: the import takes as long as the rest of the start-up, and
    # few processes are scraped.
    exposition = importlib.import_module("prometheus_client")
    core = importlib.import_module("prometheus_client.core")
    families: list[typing.Any] = [
        core.CounterMetricFamily(f"acacialatch_{name}", name, value=value)
        for name, value in sorted(sample.counters.items())
    ]
    families += [
        core.GaugeMetricFamily(f"acacialatch_{name}", name, value=value)
        for name, value in sorted(sample.gauges.items())
    ]
    latency = core.HistogramMetricFamily(
        "acacialatch_request_seconds", "Latency of answered requests", labels=["route"]
    )
    for route, histogram in sorted(sample.latencies.items()):
        latency.add_metric([route], histogram.list_buckets(), histogram.sum_s)
    families.append(latency)

    class _Collector(exposition.registry.Collector):
        def collect(self) -> typing.Iterable[typing.Any]:
            return families

    registry = exposition.CollectorRegistry(auto_describe=False)
    registry.register(_Collector())
    return exposition.generate_latest(registry)
