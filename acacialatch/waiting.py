"""Calls that wait for servers that name rate limits, and the order of their turns."""

import typing

from acacialatch import backends, exchanges, ratelimits

OLDEST_FIRST_INTERVAL = 4
"""Every n-th request goes to the call that has waited longest."""

RECHECK_INTERVAL_S = 0.01
"""Interval in seconds at which a call without a usable server looks for one again."""

LIMITED_RECHECK_INTERVAL_S = 0.1
"""Longest interval in seconds between these looks while rate limits bind."""


class _Waiter(typing.NamedTuple):
    """Place of a waiting call: priority (0 is the highest), number of its arrival."""

    priority: int
    serial: int


class WaitQueues:
    """Calls that wait for a server, by service.

    Calls of a higher priority go first, but none waits for ever. Each has its turn at
    the servers that it has not tried.
    """

    def __init__(self) -> None:
        self._waiters: dict[str, dict[exchanges.ServiceCall, _Waiter]] = {}
        self._grants: dict[str, int] = {}
        self._serial = 0

    def add(self, call: exchanges.ServiceCall, priority: int) -> None:
        """Add a call unless it waits already."""
        self._serial += 1
        waiters = self._waiters.setdefault(call.service, {})
        waiters.setdefault(call, _Waiter(priority, self._serial))

    def remove(self, call: exchanges.ServiceCall) -> None:
        """Remove a call, if it waits."""
        waiters = self._waiters.get(call.service)
        if waiters is not None:
            waiters.pop(call, None)
            if not waiters:
                del self._waiters[call.service]

    def grant(self, call: exchanges.ServiceCall) -> None:
        """Remove a call that is sent."""
        self._grants[call.service] = self._grants.get(call.service, 0) + 1
        self.remove(call)

    def is_empty(self, service: str) -> bool:
        """Return whether no call of a service waits."""
        return service not in self._waiters

    def is_next(self, call: exchanges.ServiceCall, server: str) -> bool:
        """Return whether a waiting call is the next one to be sent to a server.

        `server` is the identity of a server of its service.
        """
        waiters = {
            one: place
            for one, place in self._waiters.get(call.service, {}).items()
            if server not in one.tried
        }
        turn = self._grants.get(call.service, 0) % OLDEST_FIRST_INTERVAL
        if turn == OLDEST_FIRST_INTERVAL - 1:
            best = min(waiters, key=lambda one: waiters[one].serial, default=None)
        else:
            best = min(waiters, key=lambda one: waiters[one], default=None)
        return best is call

    def count_ahead(
        self, service: str, priority: int, call: exchanges.ServiceCall | None = None
    ) -> int:
        """Return how many calls are sent before a call that waits or would wait.

        Parameters
        ----------
        service : str
            Service of the call.
        priority : int
            Priority of the call.
        call : exchanges.ServiceCall or None
            The call; one that does not wait comes after all of its priority.
        """
        waiters = self._waiters.get(service, {})
        own = _Waiter(priority, self._serial + 1)
        if call is not None:
            own = waiters.get(call, own)
        return sum(one < own for one in waiters.values())


class LimitedCalls:
    """Decides when calls may be sent to servers that name rate limits.

    Attributes
    ----------
    queues : WaitQueues
        The calls that wait.

    Parameters
    ----------
    limits : ratelimits.LimitTable
        Rate limits of the servers.
    """

    def __init__(self, limits: ratelimits.LimitTable):
        self._limits = limits
        self.queues = WaitQueues()

    def may_send(
        self, now: float, backend: backends.Backend, call: exchanges.ServiceCall | None
    ) -> bool:
        """Return whether the rate limit of a server allows a request now.

        Parameters
        ----------
        now : float
            Time in seconds.
        backend : backends.Backend
            The server.
        call : exchanges.ServiceCall or None
            The waiting call; None for a hedge, which comes after all waiting calls.
        """
        identity = backend.entry.identity
        if not self._limits.has_limit(identity):
            return True
        if self._limits.next_send_at(now, identity) > now:
            return False
        if call is None:
            return self.queues.is_empty(backend.entry.service)
        return self.queues.is_next(call, identity)

    def can_send_until(
        self,
        now: float,
        until: float,
        priority: int,
        call: exchanges.ServiceCall,
        limited: typing.Iterable[backends.Backend],
    ) -> bool:
        """Return whether a call has its turn at one of limited servers in time.

        Parameters
        ----------
        now, until : float
            Time now, and the latest time of a useful request, in seconds.
        priority : int
            Priority of the call.
        call : exchanges.ServiceCall
            The call, which may wait already.
        limited : iterable of backends.Backend
            Servers that name a limit.
        """
        ahead = self.queues.count_ahead(call.service, priority, call)
        allowed = sum(
            self._limits.count_until(now, until, one.entry.identity)
            for one in limited
            if max(one.retry_at, one.shed_until) < until
        )
        return allowed > ahead

    def compute_recheck_delay(
        self,
        now: float,
        priority: int,
        call: exchanges.ServiceCall,
        candidates: typing.Iterable[backends.Backend],
    ) -> float:
        """Return after which time in seconds a waiting call looks for a server again.

        A call that waits for rate limits does so less often, until its turn may come.
        """
        identities = [one.entry.identity for one in candidates]
        if not all(map(self._limits.has_limit, identities)):
            return RECHECK_INTERVAL_S
        ahead = self.queues.count_ahead(call.service, priority, call)
        wait_s = self._limits.compute_wait(now, identities, ahead)
        return min(max(wait_s, RECHECK_INTERVAL_S), LIMITED_RECHECK_INTERVAL_S)

    def compute_wait(
        self,
        now: float,
        service: str,
        priority: int,
        servers: typing.Iterable[backends.Backend],
    ) -> float:
        """Return the time in seconds until a new call has its turn.

        It is 0 unless all usable servers of the service name a limit.
        """
        identities = [one.entry.identity for one in servers if one.is_usable(now)]
        if not identities or not all(map(self._limits.has_limit, identities)):
            return 0.0
        ahead = self.queues.count_ahead(service, priority)
        return self._limits.compute_wait(now, identities, ahead)
