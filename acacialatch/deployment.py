"""Deployment of the query tier: routes, services and limits."""

import enum
import random
import typing

RECORD_BYTES = 16
"""Size of one record in the reply of a shard."""


class RequestKind(enum.Enum):
    """Whether a request may be sent again after a server may have run it."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


class SingleTarget(typing.NamedTuple):
    """Target: any replica of one service answers."""

    service: str


class SplitTarget(typing.NamedTuple):
    """Target: a replica of one service answers, which is drawn by weight.

    Attributes
    ----------
    shares : tuple of (str, float)
        Services with their positive weights.
    """

    shares: tuple[tuple[str, float], ...]


class ShardTarget(typing.NamedTuple):
    """Target: one replica of each shard answers, and the replies are merged.

    Attributes
    ----------
    services : tuple of str
        The shards; each is a service.
    records_max : int
        Most records of a merged answer.
    coverage_min : float
        Smallest share of shards that an answer must cover, from 0 to 1.
    """

    services: tuple[str, ...]
    records_max: int
    coverage_min: float


Target = SingleTarget | SplitTarget | ShardTarget


def choose_services(target: Target, source: random.Random) -> tuple[str, ...]:
    """Return the services to call for one request: one, or all shards.

    Parameters
    ----------
    target : Target
        Target of the route.
    source : random.Random
        Source of the draw among the parts of a split.
    """
    if isinstance(target, SingleTarget):
        return (target.service,)
    if isinstance(target, SplitTarget):
        names = [name for name, _ in target.shares]
        weights = [weight for _, weight in target.shares]
        return (source.choices(names, weights)[0],)
    return target.services


class Route(typing.NamedTuple):
    """Handling of the requests for one host and path prefix.

    Attributes
    ----------
    name, host, prefix : str
        Name for logs, host and path prefix of the requests. The prefix begins and ends
        with a slash.
    kind : RequestKind
        Whether requests are idempotent.
    timeout_s : float
        Longest duration of a request in seconds.
    objective_s : float
        Latency objective in seconds.
    priority : int
        Priority of the requests; 0 is the highest.
    attempts_max : int
        Most backend servers that may run one request, for each shard.
    target : Target
        Services that answer.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    priority: int
    attempts_max: int
    target: Target


class Service(typing.NamedTuple):
    """Limits of the backend servers of one service.

    Attributes
    ----------
    name : str
        Name of the service.
    connections_max : int
        Connections that one backend server accepts from all entry instances together.
    cold_requests_per_s : float
        Requests per second that a cold backend server may get from all entry instances
        together; 0 for no limit.
    """

    name: str
    connections_max: int
    cold_requests_per_s: float


class CallerLimits(typing.NamedTuple):
    """Limits on the requests and connections of callers.

    Attributes
    ----------
    header_bytes_max, body_bytes_max : int
        Largest header and body of a request in bytes.
    header_timeout_s : float
        Time in seconds within which a header must arrive.
    idle_timeout_s : float
        Time in seconds after which an idle connection is closed.
    """

    header_bytes_max: int = 16_384
    body_bytes_max: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Deployment(typing.NamedTuple):
    """One version of the configuration of the query tier.

    Attributes
    ----------
    version : int
        Version; a greater one replaces a smaller one.
    routes : tuple of Route
        Routes of the requests.
    services : dict of str to Service
        Limits of the services, by name.
    limits : CallerLimits
        Limits on callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits


class RouteTable:
    """Lookup of the route of a request: by host, then by the longest path prefix.

    Parameters
    ----------
    routes : iterable of Route
        Routes; of two with the same host and prefix the later one is used.
    """

    def __init__(self, routes: typing.Iterable[Route]):
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self._hosts.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None.

        Parameters
        ----------
        host : str
            Host of the request, with or without a port.
        path : str
            Path without the query.
        """
        prefixes = self._hosts.get(host.lower())
        if prefixes is None:
            prefixes = self._hosts.get(host.rpartition(":")[0].lower())
        if not prefixes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
