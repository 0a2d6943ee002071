"""Order in which calls get the requests that rate limits of servers allow."""

import typing

OLDEST_FIRST_INTERVAL = 4
"""Every n-th request goes to the call that has waited longest."""


class _Waiter(typing.NamedTuple):
    """A waiting call: priority (0 is the highest), serial number of its arrival."""

    priority: int
    serial: int


class WaitQueues:
    """Calls that wait for a server, by service.

    Calls of a higher priority go first, but none waits for ever. A call is any hashable
    value.
    """

    def __init__(self) -> None:
        self._waiters: dict[str, dict[typing.Hashable, _Waiter]] = {}
        self._grants: dict[str, int] = {}
        self._serial = 0

    def add(self, service: str, call: typing.Hashable, priority: int) -> None:
        """Add a call unless it waits already."""
        self._serial += 1
        waiters = self._waiters.setdefault(service, {})
        waiters.setdefault(call, _Waiter(priority, self._serial))

    def remove(self, service: str, call: typing.Hashable) -> None:
        """Remove a call, if it waits."""
        waiters = self._waiters.get(service)
        if waiters is not None:
            waiters.pop(call, None)
            if not waiters:
                del self._waiters[service]

    def grant(self, service: str, call: typing.Hashable) -> None:
        """Remove a call that is sent."""
        self._grants[service] = self._grants.get(service, 0) + 1
        self.remove(service, call)

    def is_empty(self, service: str) -> bool:
        """Return whether no call of a service waits."""
        return service not in self._waiters

    def is_next(self, service: str, call: typing.Hashable) -> bool:
        """Return whether a waiting call is the next one of its service to be sent."""
        waiters = self._waiters.get(service, {})
        turn = self._grants.get(service, 0) % OLDEST_FIRST_INTERVAL
        if turn == OLDEST_FIRST_INTERVAL - 1:
            best = min(waiters, key=lambda one: waiters[one].serial, default=None)
        else:
            best = min(waiters, key=lambda one: waiters[one], default=None)
        return best is not None and best == call

    def count_ahead(
        self, service: str, priority: int, call: typing.Hashable = None
    ) -> int:
        """Return how many calls are sent before a call that waits or would wait.

        Parameters
        ----------
        service : str
            Service of the call.
        priority : int
            Priority of the call.
        call : hashable
            The call; one that does not wait comes after all of its priority.
        """
        waiters = self._waiters.get(service, {})
        own = waiters.get(call, _Waiter(priority, self._serial + 1))
        return sum(one < own for one in waiters.values())
