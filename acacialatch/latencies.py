"""Latency averages and percentiles."""

import bisect
import collections

# Weight of the newest value in the average.
AVERAGE_WEIGHT = 0.2
# Latencies kept for the percentile.
WINDOW = 200
# With fewer values the percentile is not used.
WINDOW_MIN = 20
# Percentile used as the hedge delay. The 95th asks for more hedges than the budget of
# 5% allows, so that stragglers found no token.
HEDGE_PERCENTILE = 98
# Largest ratio of the hedge delay to the median. A few stragglers in a short window
# are enough to make the percentile a straggler itself.
MEDIAN_FACTOR = 2.5


def average(previous: float | None, latency_s: float) -> float:
    """Return the exponentially weighted average, in seconds."""
    if previous is None:
        return latency_s
    return previous + AVERAGE_WEIGHT * (latency_s - previous)


class LatencyWindow:
    """The last latencies of one service, in seconds."""

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque()
        self._sorted: list[float] = []

    def add(self, latency_s: float) -> None:
        """Add a latency and drop the oldest one beyond the window."""
        self._recent.append(latency_s)
        bisect.insort(self._sorted, latency_s)
        if len(self._recent) > WINDOW:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]

    def median(self) -> float | None:
        """Return the median, or None with too few values."""
        count = len(self._sorted)
        return self._sorted[count // 2] if count >= WINDOW_MIN else None

    def percentile(self) -> float | None:
        """Return the bounded percentile, or None with too few values."""
        count = len(self._sorted)
        if count < WINDOW_MIN:
            return None
        median = self._sorted[count // 2]
        percentile = self._sorted[(count * HEDGE_PERCENTILE + 99) // 100 - 1]
        return min(percentile, MEDIAN_FACTOR * median)
