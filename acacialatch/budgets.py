"""Budgets that limit hedges and retries.

Tokens are counted in integer units, so no rounding error accumulates. The buckets are
filled by requests, not by time, so their limits hold in every time window. The only
exception is one extra retry of each service in every `RETRY_PERIOD_S`.
"""

from acacialatch import model

HEDGE_NUMERATOR = 5
HEDGE_DENOMINATOR = 100
# One query of 59 sub-requests adds about 3 tokens. At 8,500 sub-requests per second
# (the load expected in two years), a burst of 5 raises the limit of 5% in the worst
# second by 0.06 percentage points.
HEDGE_DEPTH = 5

# Values from gRPC A6: a failure removes 1 token, a success adds 0.1.
RETRY_TOKENS = 10
# Interval at which one retry of a service is allowed although its throttle allows none,
# in seconds. Without it, a service that only gets lookups would never be retried after
# an outage, since no success would refill the throttle.
RETRY_PERIOD_S = 0.1
_UNITS_PER_TOKEN = 10
_UNITS_PER_SUCCESS = 1


class TokenBucket:
    """Token bucket that gains a fraction of a token for each sub-request.

    In any sequence of calls in which `refill` counts `n` sub-requests, at most
    `depth + n * numerator / denominator` calls of `try_spend` succeed. The bucket
    starts empty, so the limit since the start of the process is `n * numerator /
    denominator`.

    Hedges must not be passed to `refill`, since they would allow further hedges.

    Parameters
    ----------
    numerator, denominator : int
        Fraction of a token gained for each sub-request.
    depth : int
        Capacity of the bucket, in tokens.

    Raises
    ------
    ValueError
        If the fraction is not between 0 and 1 or the depth is below 1.
    """

    def __init__(
        self,
        numerator: int = HEDGE_NUMERATOR,
        denominator: int = HEDGE_DENOMINATOR,
        depth: int = HEDGE_DEPTH,
    ) -> None:
        if denominator < 1 or not 0 <= numerator <= denominator:
            raise ValueError("The fraction must be between 0 and 1.")
        if depth < 1:
            raise ValueError("The depth must be at least 1 token.")
        self._units_per_send = numerator
        self._units_per_token = denominator
        self._depth = depth * denominator
        self._units = 0

    @property
    def tokens(self) -> float:
        """Tokens in the bucket, as a number from 0 to the depth."""
        return self._units / self._units_per_token

    def refill(self, count: int = 1) -> None:
        """Add the fraction of a token for each of `count` first attempts."""
        self._units = min(self._depth, self._units + count * self._units_per_send)

    def can_spend(self) -> bool:
        """Return whether `try_spend` would succeed."""
        return self._units >= self._units_per_token

    def try_spend(self) -> bool:
        """Remove one token if there is one.

        Returns
        -------
        bool
            Whether a token was removed, so that a hedge may be sent.
        """
        if not self.can_spend():
            return False
        self._units -= self._units_per_token
        return True


class RetryThrottle:
    """Retry throttle as in gRPC A6.

    A failure removes 1 token and a success adds 0.1. Retries are allowed only while the
    bucket is more than half full. If `record_failure` is called for each failure before
    its retry, any sequence of calls with `s` successes allows at most
    `tokens / 2 + s / 10` retries. An outage without any success thus allows at most
    `tokens / 2`, however long it lasts.

    Parameters
    ----------
    tokens : int
        Capacity of the bucket, which starts full.

    Raises
    ------
    ValueError
        If `tokens` is below 1.
    """

    def __init__(self, tokens: int = RETRY_TOKENS) -> None:
        if tokens < 1:
            raise ValueError("The bucket must hold at least 1 token.")
        self._capacity = tokens * _UNITS_PER_TOKEN
        self._units = self._capacity

    @property
    def tokens(self) -> float:
        """Tokens in the bucket, as a number from 0 to the capacity."""
        return self._units / _UNITS_PER_TOKEN

    def record_success(self) -> None:
        """Add 0.1 token for a sub-request that was answered."""
        self._units = min(self._capacity, self._units + _UNITS_PER_SUCCESS)

    def record_failure(self) -> None:
        """Remove 1 token for a sub-request that failed, be it a retry or not."""
        self._units = max(0, self._units - _UNITS_PER_TOKEN)

    def allows_retry(self) -> bool:
        """Return whether the last recorded failure may be retried."""
        return 2 * self._units > self._capacity


class SubRequestBudgets:
    """Budgets of one entry instance: one of hedges, and one of retries per service.

    Parameters
    ----------
    policy : model.Policy
        Limits from the configuration.
    """

    def __init__(self, policy: model.Policy) -> None:
        self._hedges = TokenBucket(*policy.hedge_budget)
        self._tokens = policy.retry_tokens
        self._throttles: dict[str, RetryThrottle] = {}
        self._last_periodic_retry: dict[str, float] = {}

    def record_first_send(self) -> None:
        """Record a first attempt, which adds a fraction of a token for hedges."""
        self._hedges.refill()

    def allows_hedge(self) -> bool:
        """Return whether `try_spend_hedge` would succeed."""
        return self._hedges.can_spend()

    def try_spend_hedge(self) -> bool:
        """Remove the token for a hedge; return whether there was one."""
        return self._hedges.try_spend()

    def record_reply(self, service: str) -> None:
        """Record a sub-request that was answered."""
        self._get_throttle(service).record_success()

    def record_failure(self, service: str) -> None:
        """Record a sub-request that failed."""
        self._get_throttle(service).record_failure()

    def allows_retry(self, now: float, service: str) -> bool:
        """Return whether a failed sub-request may be retried.

        While the throttle allows none, one retry is allowed every `RETRY_PERIOD_S`, and
        a result of True uses it up.

        Parameters
        ----------
        now : float
            Time in seconds.
        service : str
            Name of the leaf service.
        """
        if self._get_throttle(service).allows_retry():
            return True
        if now - self._last_periodic_retry.get(service, float("-inf")) < RETRY_PERIOD_S:
            return False
        self._last_periodic_retry[service] = now
        return True

    def _get_throttle(self, service: str) -> RetryThrottle:
        throttle = self._throttles.get(service)
        if throttle is None:
            throttle = self._throttles[service] = RetryThrottle(self._tokens)
        return throttle
