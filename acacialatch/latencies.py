"""Latency averages and percentiles."""

import bisect
import collections

# Weight of the newest latency in the average.
AVERAGE_WEIGHT = 0.2
# Latencies that a window keeps.
WINDOW_SIZE = 200
# Fewest latencies for a median or a percentile.
WINDOW_SIZE_MIN = 20
# Percentile that serves as the hedge delay. With the 95th more hedges are due than the
# budget of 5% allows, so that stragglers find no token.
HEDGE_PERCENTILE = 98
# Largest ratio of the hedge delay to the median. In a short window a few stragglers
# suffice to make the percentile the latency of a straggler.
MEDIAN_FACTOR_MAX = 2.5


def average(previous: float | None, latency_s: float) -> float:
    """Return the exponentially weighted moving average, in seconds.

    Parameters
    ----------
    previous : float or None
        Average so far; None before the first latency.
    latency_s : float
        Newest latency in seconds.
    """
    if previous is None:
        return latency_s
    return previous + AVERAGE_WEIGHT * (latency_s - previous)


class LatencyWindow:
    """The last `WINDOW_SIZE` latencies of one service or route, in seconds."""

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []

    def add(self, latency_s: float) -> None:
        """Add a latency; drop the oldest one if the window is full."""
        self._recent.append(latency_s)
        bisect.insort(self._sorted, latency_s)
        if len(self._recent) > WINDOW_SIZE:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]

    def median(self) -> float | None:
        """Return the median in seconds, or None with too few latencies."""
        count = len(self._sorted)
        return self._sorted[count // 2] if count >= WINDOW_SIZE_MIN else None

    def percentile(self) -> float | None:
        """Return the hedge delay in seconds, or None with too few latencies.

        It is the percentile `HEDGE_PERCENTILE`, at most `MEDIAN_FACTOR_MAX` medians.
        """
        count = len(self._sorted)
        if count < WINDOW_SIZE_MIN:
            return None
        median = self._sorted[count // 2]
        percentile = self._sorted[(count * HEDGE_PERCENTILE + 99) // 100 - 1]
        return min(percentile, MEDIAN_FACTOR_MAX * median)
