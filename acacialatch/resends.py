"""Budget of repeated sends of one service, in sum over all entry instances."""

import collections
import math

MARGIN_S = 0.5
"""Added to the window, since sends arrive later than they are counted."""

HEDGE_SHARE = 0.7
"""Share of the budget that hedges may use; the rest is for requests that failed."""

SAFETY = 0.9
"""Share of the budget that is used; the rest covers sends that arrive late."""


class ResendBudget:
    """Sliding window over the requests for a service and their repeated sends.

    Each entry instance may repeat a share of its own requests and its part of the
    fixed allowance, so the sum holds whatever the others do.

    Parameters
    ----------
    ratio : float
        Repeated sends for each request.
    allowance : float
        Repeated sends of all entry instances in a window beyond the ratio.
    window_s : float
        Length of the window in seconds.
    started : float
        Start of the process. What it spent before is not known, so the allowance
        grows from 0 over the first window.
    """

    def __init__(
        self,
        ratio: float,
        allowance: float,
        window_s: float,
        started: float = -math.inf,
    ):
        self._started = started
        self._requests: collections.deque[float] = collections.deque()
        self._resends: collections.deque[float] = collections.deque()
        self.set_bounds(ratio, allowance, window_s)

    def set_bounds(self, ratio: float, allowance: float, window_s: float) -> None:
        """Change the bounds; what was counted stays."""
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s + MARGIN_S

    def record_request(self, now: float) -> None:
        """Count a request for the service."""
        self._requests.append(now)
        self._expire(now)

    def available(self, now: float, instances: int) -> float:
        """Return how many more sends may be repeated now.

        Parameters
        ----------
        now : float
            Time in seconds.
        instances : int
            Entry instances that share the allowance, at least 1.
        """
        return self._limit(now, instances) - len(self._resends)

    def _limit(self, now: float, instances: int) -> float:
        self._expire(now)
        known = min(1.0, (now - self._started) / self._window_s)
        limit = self._ratio * len(self._requests) + known * self._allowance / instances
        return SAFETY * limit

    def try_spend(self, now: float, instances: int, hedge: bool = False) -> bool:
        """Count a repeated send if there is room; return whether there was.

        Parameters
        ----------
        now : float
            Time in seconds.
        instances : int
            Entry instances that share the allowance, at least 1.
        hedge : bool
            Whether the first send may still succeed.
        """
        limit = (HEDGE_SHARE if hedge else 1.0) * self._limit(now, instances)
        if limit - len(self._resends) < 1:
            return False
        self._resends.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self._window_s
        for times in (self._requests, self._resends):
            while times and times[0] < oldest:
                times.popleft()
