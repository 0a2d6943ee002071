"""Spacing of the requests of one process to one backend server."""

BURST_S = 0.5
"""Time in seconds for which an unused share accumulates; at least one request does."""


class Pace:
    """Token bucket that spaces the requests of this process to one server.

    Attributes
    ----------
    share : float
        Requests per second of this process.

    Parameters
    ----------
    now : float
        Time in seconds.
    share : float
        Requests per second of this process.
    phase : float
        Part of a request that is allowed at once, from 0 to 1. A random one keeps the
        instances from sending their first requests at the same time.
    """

    def __init__(self, now: float, share: float, phase: float):
        self.share = share
        self._tokens = phase
        self._updated_at = now

    def set_share(self, now: float, share: float) -> None:
        """Change the share and keep what has accumulated."""
        self._refill(now)
        self.share = share

    def record_send(self, now: float) -> None:
        """Count a request."""
        self._refill(now)
        self._tokens -= 1.0

    def next_send_at(self, now: float) -> float:
        """Return the earliest time of the next request, in seconds; at least `now`."""
        self._refill(now)
        return now + max(0.0, 1.0 - self._tokens) / self.share

    def count_until(self, now: float, until: float) -> int:
        """Return how many requests are allowed from `now` to `until`."""
        self._refill(now)
        return max(0, int(self._tokens + self.share * max(0.0, until - now)))

    def _refill(self, now: float) -> None:
        tokens = self._tokens + self.share * max(0.0, now - self._updated_at)
        self._tokens = min(tokens, max(1.0, BURST_S * self.share))
        self._updated_at = max(now, self._updated_at)
