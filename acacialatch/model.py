"""Types of configurations, queries and instances that many modules share."""

import enum
import typing


class KeyRange(typing.NamedTuple):
    """Half-open range of keys of one index, `start` included, `end` excluded."""

    start: int
    end: int

    def size(self) -> int:
        """Return the number of keys in the range."""
        return max(0, self.end - self.start)


class QueryKind(enum.Enum):
    """Kinds of query, each with its own policy."""

    FULL_PAGE = "full_page"
    URGENT = "urgent"
    LOOKUP = "lookup"


class Replica(typing.NamedTuple):
    """One backend server of a service.

    Attributes
    ----------
    address : str
        IP address and port, as `"127.0.0.1:7001"`.
    zone : str
        Availability zone of the backend server.
    """

    address: str
    zone: str


class Shape(typing.NamedTuple):
    """Limits of one backend server.

    Attributes
    ----------
    slots : int
        Requests that the server runs concurrently.
    connections : int
        Connections that the server accepts from all entry instances together.
    connect_s : float
        Time to set up a connection, in seconds.
    cold_requests : int
        Requests, probes and connection set-ups that all entry instances together
        may send to a cold server in one window.
    cold_window_s : float
        Length of that window, in seconds.
    warm_up_s : float
        Shortest time from the start of a server to the end of its warm-up, in seconds.
    warm_after_requests : int
        Requests that a server must answer before it counts as warm.
    """

    slots: int
    connections: int
    connect_s: float
    cold_requests: int
    cold_window_s: float
    warm_up_s: float
    warm_after_requests: int


class Index(typing.NamedTuple):
    """An index whose keys `[0, keys)` are split over leaf services.

    Attributes
    ----------
    name : str
        Name in the configuration.
    keys : int
        Number of keys.
    partition_map : int
        Number of the partition map, which increases with each repartitioning.
    """

    name: str
    keys: int
    partition_map: int


class Service(typing.NamedTuple):
    """A service of the configuration.

    A leaf service has an index, a key range, a shape and replicas. A composite
    service has only dependencies.
    """

    name: str
    depends_on: tuple[str, ...] = ()
    index: str = ""
    keys: KeyRange = KeyRange(0, 0)
    shape: Shape | None = None
    replicas: tuple[Replica, ...] = ()

    def is_leaf(self) -> bool:
        """Return whether the service has replicas of its own."""
        return bool(self.replicas)


class KindPolicy(typing.NamedTuple):
    """Policy for one kind of query.

    Attributes
    ----------
    deadline_s : float
        Deadline of a query for which the caller sets none, in seconds.
    deadline_max_s : float
        Largest deadline that a caller may set, in seconds.
    floor : tuple of int
        Numerator and denominator of the smallest coverage that an answer may have.
    """

    deadline_s: float
    deadline_max_s: float
    floor: tuple[int, int]


class Policy(typing.NamedTuple):
    """Limits that hold for the whole deployment.

    Attributes
    ----------
    hedge_budget : tuple of int
        Numerator and denominator of the share of sub-requests that may be hedged.
    retry_tokens : int
        Size of the token bucket that limits retries, in tokens.
    entry_lifetime_s : int
        Time for which callers may keep addresses of entry instances, in seconds.
    """

    hedge_budget: tuple[int, int] = (1, 20)
    retry_tokens: int = 10
    entry_lifetime_s: int = 2


class Configuration(typing.NamedTuple):
    """A validated configuration.

    Attributes
    ----------
    title : str
        Name shown to operators.
    entry_instances_max : int
        Most entry instances that may run at the same time, paused ones included.
    zones : tuple of str
        All availability zones.
    zones_out : frozenset of str
        Availability zones taken out of service.
    kinds : dict
        Policy of each kind of query.
    indexes : dict
        Indexes by name.
    services : dict
        Services by name.
    policy : Policy
        Limits that hold for the whole deployment.
    """

    title: str
    entry_instances_max: int
    zones: tuple[str, ...]
    zones_out: frozenset[str]
    kinds: dict[QueryKind, KindPolicy]
    indexes: dict[str, Index]
    services: dict[str, Service]
    policy: Policy = Policy()

    def list_leaves(self, name: str) -> tuple[Service, ...]:
        """Return the leaf services that `name` reaches, in order of the text.

        Parameters
        ----------
        name : str
            Name of an existing service.
        """
        seen: set[str] = set()
        pending = [name]
        while pending:
            current = pending.pop()
            if current not in seen:
                seen.add(current)
                pending.extend(self.services[current].depends_on)
        return tuple(
            service
            for service in self.services.values()
            if service.name in seen and service.is_leaf()
        )


class Query(typing.NamedTuple):
    """A query as received from a caller.

    Attributes
    ----------
    answer_id : str
        Identifier of the answer and of its record.
    service : str
        Name of the service.
    kind : QueryKind
        Kind of query.
    deadline : float
        Time on the runtime clock by which the answer must be sent, in seconds.
    key : int or None
        Key of a lookup; None queries every key range.
    limit : int
        Most rows that the caller wants.
    body : str
        Query text, passed to the backend servers unchanged.
    """

    answer_id: str
    service: str
    kind: QueryKind
    deadline: float
    key: int | None
    limit: int
    body: str


class ServerState(enum.Enum):
    """State of a backend server as one entry instance sees it."""

    READY = "ready"
    COLD = "cold"
    LEAVING = "leaving"
    SHEDDING = "shedding"
    SILENT = "silent"
    DEAD = "dead"
    UNLISTED = "unlisted"


class InstanceRole(enum.Enum):
    """Role of an instance in the platform's list."""

    ENTRY = "entry"
    SERVER = "server"


class InstanceState(enum.Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(typing.NamedTuple):
    """One instance of the platform's list, which lags behind the real state.

    Attributes
    ----------
    name : str
        Name of the instance.
    role : InstanceRole
        Entry instance or backend server.
    zone : str
        Availability zone.
    address : str
        IP address and port for callers of an entry instance, or for queries to a
        backend server.
    peer_address : str
        IP address and port for peers; empty for a backend server.
    state : InstanceState
        Live or leaving.
    """

    name: str
    role: InstanceRole
    zone: str
    address: str
    peer_address: str
    state: InstanceState


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address such as `"127.0.0.1:7001"`.

    Raises
    ------
    ValueError
        If the address has no numeric port.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def join_address(host: str, port: int) -> str:
    """Return the address of a host and port; an IPv6 host is put in brackets."""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
