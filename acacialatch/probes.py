"""Status probes of backend servers."""

from acacialatch import dispatch, events, model

PROBE_INTERVAL_S = 1.2
"""Time without a reply after which a server of a service in use is probed."""

IDLE_PROBE_INTERVAL_S = 10.0
"""Time without a reply after which one server of an unused service is probed."""

PROBE_ROUND_TICKS = 10
"""Number of ticks in which all leaf services are checked once.

Each tick checks only this fraction of them, to bound its processor time. One round
takes 1 s. With `PROBE_INTERVAL_S` it stays below `dispatch.STATUS_MAX_AGE_S`.
"""

PROBE_TIMEOUT_S = 1.0


class Prober:
    """Sends status probes to servers whose state should be refreshed.

    Parameters
    ----------
    dispatcher : dispatch.Dispatcher
        Sends to backend servers.
    """

    def __init__(self, dispatcher: dispatch.Dispatcher):
        self._dispatcher = dispatcher
        self._table = dispatcher.table
        self._probes: dict[int, str] = {}
        self._next_slice = 0
        self._leaf_services: list[model.Service] = []

    def apply_configuration(self, configuration: model.Configuration) -> None:
        """Adopt the leaf services of a new configuration."""
        self._leaf_services = [
            service for service in configuration.services.values() if service.is_leaf()
        ]

    def owns_send(self, send_id: int) -> bool:
        """Return whether a send is a status probe."""
        return send_id in self._probes

    def end(self, send_id: int) -> None:
        """Remove a status probe that ended; the dispatcher has recorded its result."""
        self._probes.pop(send_id, None)

    def send_wanted(self, now: float) -> list[events.Action]:
        """Probe the servers whose last reply is too old for the work that waits."""
        wanted, self._dispatcher.wanted_probes = self._dispatcher.wanted_probes, set()
        probed = set(self._probes.values())
        actions: list[events.Action] = []
        for address in sorted(wanted - probed):
            service = self._dispatcher.find_service(address)
            if service is not None:
                actions += self._send_probe(now, service, address)
        return actions

    def tick(self, now: float) -> list[events.Action]:
        """Send the probes that are due in the next slice of the leaf services."""
        actions: list[events.Action] = []
        probed = set(self._probes.values())
        for service in self._leaf_services[self._next_slice :: PROBE_ROUND_TICKS]:
            for address in self._list_due(now, service):
                if address not in probed:
                    actions += self._send_probe(now, service, address)
        self._next_slice = (self._next_slice + 1) % PROBE_ROUND_TICKS
        return actions

    def _list_due(self, now: float, service: model.Service) -> list[str]:
        """Return the addresses of the servers of a leaf service to probe.

        If probes of servers that are not ready are due, only these are returned.
        Otherwise ready servers without a recent reply are: all of them if the service
        is in use, else one, once no server of it has replied for
        `IDLE_PROBE_INTERVAL_S`.

        This runs for every leaf service once a second. Under load nearly all servers
        replied recently, and for those the state is not looked up.
        """
        due: list[str] = []
        ready_without_reply: list[str] = []
        for replica in service.replicas:
            address = replica.address
            if self._time_since_reply(now, address) <= PROBE_INTERVAL_S:
                continue
            if self._table.state(now, address) is model.ServerState.READY:
                ready_without_reply.append(address)
            elif self._is_probe_useful(now, address):
                due.append(address)
        if due or not ready_without_reply:
            return due
        if self._dispatcher.is_in_use(now, service.name):
            return ready_without_reply
        times_since_reply = [
            self._time_since_reply(now, replica.address) for replica in service.replicas
        ]
        return (
            ready_without_reply[:1]
            if min(times_since_reply) > IDLE_PROBE_INTERVAL_S
            else []
        )

    def _time_since_reply(self, now: float, address: str) -> float:
        """Return the time since the last reply of a server, in seconds."""
        last_reply = self._table.last_reply_at(address)
        return float("inf") if last_reply is None else now - last_reply

    def _is_probe_useful(self, now: float, address: str) -> bool:
        """Return whether a probe of a server that is not ready is due and useful.

        Only answered requests warm up a server, so a probe of a cold server would
        waste its budget unless its incarnation is still unknown.
        """
        state = self._table.state(now, address)
        if state is model.ServerState.SHEDDING:
            # A status request does not show whether the server accepts work again.
            return False
        if state is model.ServerState.COLD and self._table.incarnation(address):
            return False
        return self._table.is_probe_due(now, address)

    def _send_probe(
        self, now: float, service: model.Service, address: str
    ) -> list[events.Action]:
        """Return the actions that send a status probe, or none if it may not start."""
        started_send = self._dispatcher.start_send(
            now, service, address, is_request=False
        )
        if started_send is None:
            return []
        send_id = started_send.send_id
        self._probes[send_id] = address
        headers = (("x-request-id", f"probe-{send_id}"),)
        return [
            events.SendToServer(
                send_id,
                address,
                "GET",
                "/status",
                headers,
                b"",
                PROBE_TIMEOUT_S,
                may_connect=started_send.may_connect,
            ),
            events.CountMetric("probes"),
        ]
