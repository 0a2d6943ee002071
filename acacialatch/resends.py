"""Budget for the retries and hedges of one service, over all entry instances."""

import collections
import math

WINDOW_MARGIN_S = 0.5
"""Time in seconds added to the window, since requests arrive after they are counted."""

HEDGE_SHARE = 0.7
"""Share of the budget that hedges may use; the rest is for requests that failed."""

USABLE_SHARE = 0.9
"""Share of the budget that is used; the rest covers requests that arrive late."""


class ResendBudget:
    """Sliding window over the requests for a service, and their retries and hedges.

    Each entry instance may resend a share of its own requests, and uses an equal part
    of the fixed allowance. The bound on the sum therefore holds without coordination.

    Parameters
    ----------
    ratio : float
        Retries and hedges for each request.
    allowance : float
        Retries and hedges of all entry instances in a window beyond the ratio.
    window_s : float
        Length of the window in seconds.
    started : float
        Start of the process in seconds. What an earlier process spent is not known, so
        the allowance grows from 0 over the first window.
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
        """Change the bounds and keep the requests and resends that were counted."""
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s + WINDOW_MARGIN_S

    def record_request(self, now: float) -> None:
        """Count a request for the service, which allows `ratio` more resends."""
        self._requests.append(now)
        self._expire(now)

    def count_available(self, now: float, instances: int) -> float:
        """Return how many more resends are allowed now.

        Parameters
        ----------
        now : float
            Time in seconds.
        instances : int
            Entry instances that share the allowance, at least 1.
        """
        return self._compute_limit(now, instances) - len(self._resends)

    def _compute_limit(self, now: float, instances: int) -> float:
        """Return the resends that this instance may make in the current window."""
        self._expire(now)
        growth = min(1.0, (now - self._started) / self._window_s)
        limit = self._ratio * len(self._requests) + growth * self._allowance / instances
        return USABLE_SHARE * limit

    def try_acquire(self, now: float, instances: int, hedge: bool = False) -> bool:
        """Count a retry or a hedge if the budget allows it; return whether it does.

        Parameters
        ----------
        now : float
            Time in seconds.
        instances : int
            Entry instances that share the allowance, at least 1.
        hedge : bool
            Whether it is a hedge, which may use only `HEDGE_SHARE` of the budget.
        """
        limit = (HEDGE_SHARE if hedge else 1.0) * self._compute_limit(now, instances)
        if limit - len(self._resends) < 1:
            return False
        self._resends.append(now)
        return True

    def _expire(self, now: float) -> None:
        """Drop what is older than the window."""
        oldest = now - self._window_s
        for times in (self._requests, self._resends):
            while times and times[0] < oldest:
                times.popleft()
