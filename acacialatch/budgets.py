"""Budgets that bound hedges and retries.

Both budgets count in integers, so no rounding error accumulates over a long run.
The buckets do not depend on time: their bounds hold in any window, the worst second
included. Only one retry in `RETRY_PERIOD_S` for each service comes on top.
"""

from acacialatch import model

HEDGE_NUMERATOR = 5
HEDGE_DENOMINATOR = 100
# One query of 59 sub-requests earns about 3 tokens. At 8,500 sub-requests a second
# (the two-year size) a burst of 5 adds 0.06% to the 5% of the worst second.
HEDGE_DEPTH = 5

# Values of gRPC A6: a failure costs 1 token, a success returns 0.1.
RETRY_TOKENS = 10
# Time between retries of one service while its throttle allows none, in seconds.
# Without it, a service that only has lookups would never be retried after an outage,
# since nothing would refill the throttle.
RETRY_PERIOD_S = 0.1
_UNITS_PER_TOKEN = 10
_UNITS_PER_SUCCESS = 1


class TokenBucket:
    """Bucket that earns a fraction of a token for each sub-request.

    For any run of consecutive calls in which `refill` counted `n` sub-requests, the
    number of successful `try_spend` calls is at most `depth + n * numerator /
    denominator`. The bucket starts empty, so from the start of the process the bound is
    `n * numerator / denominator`.

    Hedges must not be passed to `refill`: they would earn further hedges.

    Parameters
    ----------
    numerator, denominator : int
        Fraction of a token earned for each sub-request.
    depth : int
        Most whole tokens that the bucket holds.

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
        self._earned = numerator
        self._token = denominator
        self._depth = depth * denominator
        self._units = 0

    @property
    def tokens(self) -> float:
        """Tokens in the bucket, as a number from 0 to the depth."""
        return self._units / self._token

    def refill(self, count: int = 1) -> None:
        """Add the fraction for `count` first sends of sub-requests."""
        self._units = min(self._depth, self._units + count * self._earned)

    def can_spend(self) -> bool:
        """Return whether `try_spend` would succeed."""
        return self._units >= self._token

    def try_spend(self) -> bool:
        """Take one whole token if there is one.

        Returns
        -------
        bool
            Whether the extra sub-request may be sent.
        """
        if not self.can_spend():
            return False
        self._units -= self._token
        return True


class RetryThrottle:
    """Throttle of retries in the manner of gRPC A6.

    A failure costs 1 token and a success returns 0.1 token. A retry is allowed only
    while the bucket is more than half full. If every retry is preceded by
    `record_failure` for the failure that causes it, then over any run of calls with `s`
    successes at most `tokens / 2 + s / 10` retries are allowed; with no success at
    most `tokens / 2`, however long the outage lasts.

    Parameters
    ----------
    tokens : int
        Size of the bucket. It starts full.

    Raises
    ------
    ValueError
        If `tokens` is below 1.
    """

    def __init__(self, tokens: int = RETRY_TOKENS) -> None:
        if tokens < 1:
            raise ValueError("The bucket must hold at least 1 token.")
        self._full = tokens * _UNITS_PER_TOKEN
        self._units = self._full

    @property
    def tokens(self) -> float:
        """Tokens in the bucket, as a number from 0 to the size."""
        return self._units / _UNITS_PER_TOKEN

    def record_success(self) -> None:
        """Return 0.1 token for a sub-request that was answered."""
        self._units = min(self._full, self._units + _UNITS_PER_SUCCESS)

    def record_failure(self) -> None:
        """Take 1 token for a sub-request that failed, retries included."""
        self._units = max(0, self._units - _UNITS_PER_TOKEN)

    def allows_retry(self) -> bool:
        """Return whether the failure just noted may be retried."""
        return 2 * self._units > self._full


class SubRequestBudgets:
    """Budgets of extra sub-requests: hedges in all, retries for each service.

    Parameters
    ----------
    policy : model.Policy
        Limits of the configuration.
    """

    def __init__(self, policy: model.Policy) -> None:
        self._hedges = TokenBucket(*policy.hedge_budget)
        self._tokens = policy.retry_tokens
        self._throttles: dict[str, RetryThrottle] = {}
        self._last_allowed: dict[str, float] = {}

    def record_first_send(self) -> None:
        """Note the first send of a sub-request, which earns part of a hedge."""
        self._hedges.refill()

    def allows_hedge(self) -> bool:
        """Return whether `try_spend_hedge` would succeed."""
        return self._hedges.can_spend()

    def try_spend_hedge(self) -> bool:
        """Take the token for a hedge if there is one."""
        return self._hedges.try_spend()

    def record_reply(self, service: str) -> None:
        """Note a sub-request that was answered."""
        self._find(service).record_success()

    def record_failure(self, service: str) -> None:
        """Note a sub-request that failed."""
        self._find(service).record_failure()

    def allows_retry(self, now: float, service: str) -> bool:
        """Return whether a failed sub-request may be sent again.

        Parameters
        ----------
        now : float
            Time in seconds.
        service : str
            Name of the leaf service.
        """
        if self._find(service).allows_retry():
            return True
        if now - self._last_allowed.get(service, float("-inf")) < RETRY_PERIOD_S:
            return False
        self._last_allowed[service] = now
        return True

    def _find(self, service: str) -> RetryThrottle:
        throttle = self._throttles.get(service)
        if throttle is None:
            throttle = self._throttles[service] = RetryThrottle(self._tokens)
        return throttle
