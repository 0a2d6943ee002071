"""Routes, services and limits of the forwarding interface."""

import enum
import typing

RECORD_BYTES = 16
"""Size of one record in the reply of a shard."""


class RequestKind(enum.Enum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


class SingleTarget(typing.NamedTuple):
    """Any replica of one service answers."""

    service: str


class SplitTarget(typing.NamedTuple):
    """One of several services answers, drawn by weight.

    Attributes
    ----------
    shares : tuple of (str, float)
        Services with their positive weights.
    """

    shares: tuple[tuple[str, float], ...]


class ShardTarget(typing.NamedTuple):
    """One replica of each shard answers, and the replies are merged.

    Attributes
    ----------
    services : tuple of str
        The shards; each is a service.
    records_max : int
        Most records of a merged answer.
    coverage_min : float
        Smallest share of shards that makes an answer, from 0 to 1.
    """

    services: tuple[str, ...]
    records_max: int
    coverage_min: float


Target = SingleTarget | SplitTarget | ShardTarget


class Route(typing.NamedTuple):
    """Handling of the requests for one host and path prefix.

    Attributes
    ----------
    name, host, prefix : str
        Label and match; the prefix begins and ends with a slash.
    kind : RequestKind
        What may be repeated.
    timeout_s : float
        Longest time that a request may take.
    objective_s : float
        Latency within which an answer is worth most.
    rank : int
        Urgency; 0 is the highest.
    attempts_max : int
        Most backend servers that may run one request, for each shard.
    target : Target
        Where requests go.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    rank: int
    attempts_max: int
    target: Target


class Service(typing.NamedTuple):
    """Limits of the backend servers of one service.

    Attributes
    ----------
    name : str
        Name of the service.
    connections_max : int
        Connections that one backend server accepts from all callers together.
    cold_requests_per_s : float
        Load that a cold backend server bears; 0 means that it is not limited.
    """

    name: str
    connections_max: int
    cold_requests_per_s: float


class CallerLimits(typing.NamedTuple):
    """Bounds on what callers may send."""

    header_bytes_max: int = 16_384
    body_bytes_max: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Deployment(typing.NamedTuple):
    """One version of the configuration of the forwarding interface."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits


class RouteTable:
    """Finds the route of a request: by host, then by the longest prefix.

    Parameters
    ----------
    routes : iterable of Route
        Routes; of two with the same host and prefix the later one counts.
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
