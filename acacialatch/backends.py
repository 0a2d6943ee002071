"""State of the backend servers at one entry instance, and load balancing over them."""

import dataclasses
import math
import typing

from acacialatch import pacing, scoring

RETRY_DELAY_MIN_S = 0.25
RETRY_DELAY_MAX_S = 2.0
"""Bounds in seconds of the delay before an unreachable server is tried again.

The delay doubles with each failure and starts again after a reply.
"""

SHED_PAUSE_S = 0.05
"""Time in seconds for which a server that shed a request gets no new ones."""

MISSING_GRACE_S = 2.5
"""Time in seconds after an outage for which servers that are missing stay in use.

The operators of the store guarantee that live servers register again within about 2 s.
"""


class Entry(typing.NamedTuple):
    """Registration of one backend server.

    Attributes
    ----------
    identity : str
        Identity under which the server is registered.
    service, address, zone : str
        Service, IP address with port, availability zone.
    slots : int
        Requests that it processes at once.
    draining : bool
        Whether it is about to stop, so that it gets no new requests.
    cold_s : float
        Time in seconds from the registration for which the server is warming up.
    started_ms : int
        Unix time of its start in milliseconds; 0 if not known.
    sequence : int
        Number of the report of the server that wrote the registration; it rises from
        the start of the server on. 0 if not known.
    """

    identity: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    cold_s: float
    started_ms: int = 0
    sequence: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class Backend:
    """State of one backend server as seen by this process.

    Attributes
    ----------
    entry : Entry
        Its registration.
    cold_until : float
        Time at which it has warmed up, in seconds.
    in_flight : int
        Open requests of this process.
    reputation : scoring.Reputation
        How slow and how reliable the server has been.
    stall_times : dict of int to float
        For each open request, by its number, the time from which it counts as stalled.
    retry_at : float
        Time before which an unreachable server is not tried again.
    retry_delay_s : float
        Current delay of these retries; 0 after a reply.
    shed_until : float
        Time before which a server that shed a request gets no new ones.
    replaced : bool
        Whether another server has taken over the address.
    expires_at : float
        Time at which a server that is missing after a store outage is removed.
    cold_pace : pacing.Pace or None
        Spaces the requests while it warms up; None before the first.
    """

    entry: Entry
    cold_until: float
    in_flight: int = 0
    reputation: scoring.Reputation = scoring.NEW
    stall_times: dict[int, float] = dataclasses.field(default_factory=dict)
    retry_at: float = -math.inf
    retry_delay_s: float = 0.0
    shed_until: float = -math.inf
    replaced: bool = False
    expires_at: float = math.inf
    cold_pace: pacing.Pace | None = None

    def is_usable(self, now: float) -> bool:
        """Return whether the server may get new requests."""
        return (
            not self.entry.draining
            and not self.replaced
            and now >= self.retry_at
            and now >= self.shed_until
            and now < self.expires_at
        )

    def score(self, now: float, is_local: bool) -> float:
        """Return the expected cost of one more request; see `scoring.compute_score`.

        Parameters
        ----------
        now : float
            Time in seconds.
        is_local : bool
            Whether the server is in the availability zone of this process.
        """
        slowness, error_rate, _ = self.reputation.decay(now)
        return scoring.compute_score(
            scoring.Standing(
                slowness,
                error_rate,
                self.in_flight,
                self.entry.slots,
                self.is_stalled(now),
                is_local,
            )
        )

    def is_stalled(self, now: float) -> bool:
        """Return whether any open request takes longer than expected."""
        return any(now >= at for at in self.stall_times.values())

    def start_send(self, number: int, stall_at: float) -> None:
        """Count a request as open; it counts as stalled from `stall_at` on."""
        self.in_flight += 1
        self.stall_times[number] = stall_at

    def end_send(self, number: int) -> None:
        """Count a request as ended, whatever its outcome; idempotent."""
        if self.stall_times.pop(number, None) is not None:
            self.in_flight -= 1

    def record_success(self, now: float, ratio: float, started: float) -> None:
        """Record a reply; see `scoring.Reputation.add_success`."""
        self.reputation = self.reputation.add_success(now, ratio, started)
        self.retry_delay_s = 0.0

    def record_error(self, now: float) -> None:
        """Record a request that failed after it reached the server."""
        self.reputation = self.reputation.add_error(now)

    def record_unreachable(self, now: float) -> None:
        """Record that the server was not reached; pause before the next attempt."""
        delay_s = max(RETRY_DELAY_MIN_S, min(RETRY_DELAY_MAX_S, 2 * self.retry_delay_s))
        self.retry_delay_s = delay_s
        self.retry_at = now + delay_s
        self.record_error(now)


class BackendTable:
    """Registered backend servers by service.

    Parameters
    ----------
    zone : str
        Availability zone of this entry instance.
    """

    def __init__(self, zone: str):
        self._zone = zone
        self._backends: dict[str, Backend] = {}
        self._services: dict[str, dict[str, Backend]] = {}
        self._excluded_zones: frozenset[str] = frozenset()

    def __len__(self) -> int:
        return len(self._backends)

    def find(self, identity: str) -> Backend | None:
        """Return a registered server by its identity, or None."""
        return self._backends.get(identity)

    def set_zones_out(self, zones: typing.Iterable[str]) -> None:
        """Replace the set of availability zones that get no requests."""
        self._excluded_zones = frozenset(zones)

    def put(self, now: float, entry: Entry) -> bool:
        """Add or update a registration; return whether it changed anything.

        A server that restarted or moved to another service gets requests at once, and
        the state of a server that moved starts anew.
        """
        registered = self._backends.get(entry.identity)
        if registered is not None and registered.entry.service == entry.service:
            restarted = entry.started_ms != registered.entry.started_ms
            is_same = entry == registered.entry
            changed = not is_same or registered.expires_at < math.inf
            registered.expires_at = math.inf
            if is_same:
                # Read once more; the time for which it warms up has begun before.
                return changed
            registered.entry = entry
            registered.cold_until = now + entry.cold_s
            if restarted:
                registered.cold_pace = None
                registered.retry_at = registered.shed_until = -math.inf
                registered.retry_delay_s = 0.0
                registered.replaced = False
            return changed
        if registered is not None:
            self.remove(entry.identity)
        backend = Backend(entry, now + entry.cold_s)
        self._backends[entry.identity] = backend
        self._services.setdefault(entry.service, {})[entry.identity] = backend
        return True

    def remove(self, identity: str) -> bool:
        """Remove a server; return whether it was registered."""
        registered = self._backends.pop(identity, None)
        if registered is None:
            return False
        del self._services[registered.entry.service][identity]
        return True

    def keep(self, identity: str) -> None:
        """Do not remove a server whose registration was found again."""
        registered = self._backends.get(identity)
        if registered is not None:
            registered.expires_at = math.inf

    def schedule_expiry(self, identity: str, at: float) -> None:
        """Remove a server at a time, in seconds, unless it is registered again."""
        registered = self._backends.get(identity)
        if registered is not None:
            registered.expires_at = min(registered.expires_at, at)

    def remove_expired(self, now: float) -> list[str]:
        """Remove servers that did not register again; return their identities."""
        expired = [key for key, one in self._backends.items() if one.expires_at <= now]
        for identity in expired:
            self.remove(identity)
        return expired

    def list_identities(self) -> set[str]:
        """Return the identities of all registered servers."""
        return set(self._backends)

    def list_services(self) -> list[str]:
        """Return the services with a registered server, sorted by name."""
        return sorted(name for name, servers in self._services.items() if servers)

    def list_servers(self, service: str) -> list[Backend]:
        """Return the servers of a service outside the excluded zones."""
        return [
            one
            for one in self._services.get(service, {}).values()
            if one.entry.zone not in self._excluded_zones
        ]

    def choose(
        self,
        now: float,
        service: str,
        excluded: typing.Container[str],
        accepts: typing.Callable[[Backend], bool],
    ) -> Backend | None:
        """Return the usable server with the lowest score, or None.

        Parameters
        ----------
        now : float
            Time in seconds.
        service : str
            Service of the request.
        excluded : container of str
            Identities that must not be chosen.
        accepts : callable
            Further condition, such as a limit.
        """
        best: Backend | None = None
        best_score = math.inf
        servers = self.list_servers(service)
        for is_local in (True, False):
            if not is_local and best_score <= scoring.OTHER_ZONE_SCORE_MIN:
                break
            for backend in servers:
                if (backend.entry.zone == self._zone) is not is_local:
                    continue
                if backend.entry.identity in excluded or not backend.is_usable(now):
                    continue
                if not accepts(backend):
                    continue
                score = backend.score(now, is_local)
                if score < best_score:
                    best, best_score = backend, score
        return best
