"""Settings of a process that serves the forwarding interface."""

import typing

from acacialatch import forwarder


class EntrySettings(typing.NamedTuple):
    """Checked settings.

    Attributes
    ----------
    name, zone : str
        Name and availability zone of this entry instance.
    caller_address : str
        IP address and port for requests of callers.
    readiness_address : str
        Where the platform asks whether callers may be sent here.
    directory_address : str
        Where callers ask for addresses; empty if this process does not tell them.
    metrics_address, metrics_path : str
        Where metrics are served; an empty address turns them off.
    gossip_address : str
        Address for datagrams between entry instances.
    seeds : tuple of str
        Gossip addresses to start with.
    store_address : str
        Address of the platform's store.
    watch_s : float
        Longest wait of one read of changes from the store, in seconds.
    pause_s : float
        Pause between a change and the next read, in seconds.
    budgets : forwarder.Budgets
        Bounds on repeated sends.
    address_lifetime_s : float
        How long callers may use the addresses that they were told.
    capacity : float
        Processor cores that the process may use.
    stop_s : float
        Time from a stop signal to the end of the process, at most.
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
    watch_s: float
    pause_s: float
    budgets: forwarder.Budgets
    address_lifetime_s: float
    capacity: float
    stop_s: float
