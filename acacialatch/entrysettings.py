"""Settings of a process that serves the forwarding interface."""

import typing

from acacialatch import freshness, registry, sending


class EntrySettings(typing.NamedTuple):
    """Validated settings.

    Attributes
    ----------
    name, zone : str
        Name and availability zone of this entry instance.
    caller_address : str
        IP address and port for requests of callers.
    readiness_address : str
        Address at which the platform checks whether this process takes callers.
    directory_address : str
        Address at which callers look up entry instances; empty disables the lookup.
    metrics_address, metrics_path : str
        Address and path at which metrics are served; an empty address disables them.
    gossip_address : str
        Address for datagrams between entry instances.
    seeds : tuple of str
        Gossip addresses of the peers to contact first.
    store_address : str
        Address of the platform's store.
    reads : freshness.ReadSchedule
        Times of the reads of the store.
    budgets : sending.Budgets
        Limits of repeated sends.
    address_lifetime_s : float
        Time for which callers may use the addresses that they looked up, in seconds.
    capacity : float
        Number of processor cores that the process may use.
    stop_s : float
        Longest time from a stop signal to the end of the process, in seconds.
    registration_lifetime_s : float
        Time in seconds within which the store drops registrations of servers that
        ended.
    lapse_s : float
        Shortest outage of the store in which registrations of live servers can lapse,
        in seconds.
    """

    name: str
    zone: str
    caller_address: str
    readiness_address: str
    directory_address: str
    metrics_address: str
    metrics_path: str
    gossip_address: str
    seeds: tuple[str, ...]
    store_address: str
    reads: freshness.ReadSchedule
    budgets: sending.Budgets
    address_lifetime_s: float
    capacity: float
    stop_s: float
    registration_lifetime_s: float = registry.REGISTRATION_LIFETIME_S
    lapse_s: float = registry.LAPSE_S
