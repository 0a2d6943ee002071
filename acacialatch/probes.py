"""Status probes of backend servers."""

from acacialatch import dispatch, events, model

NEWS_REFRESH_S = 1.2
"""A server of a service in use gets a status probe after this time without news."""

IDLE_PROBE_INTERVAL_S = 10.0
"""A service that is not in use gets a status probe after this time without news."""

PROBE_ROUND_TICKS = 10
"""Each tick looks at this fraction of the leaves, to bound its processor time.

One round takes 1 s. With `NEWS_REFRESH_S` it stays below `dispatch.NEWS_MAX_S`.
"""

PROBE_TIMEOUT_S = 1.0


class Prober:
    """Sends status probes where news of a server would be of use.

    Parameters
    ----------
    dispatcher : dispatch.Dispatcher
        Sends to backend servers.
    """

    def __init__(self, dispatcher: dispatch.Dispatcher):
        self._dispatcher = dispatcher
        self._table = dispatcher.table
        self._probes: dict[int, str] = {}
        self._turn = 0
        self._leaves: list[model.Service] = []

    def apply_configuration(self, configuration: model.Configuration) -> None:
        """Put a configuration in force."""
        self._leaves = [
            service for service in configuration.services.values() if service.is_leaf()
        ]

    def owns_send(self, send_id: int) -> bool:
        """Return whether a send is a status probe."""
        return send_id in self._probes

    def end(self, send_id: int) -> None:
        """Take the end of a status probe; the dispatcher has accounted for it."""
        self._probes.pop(send_id, None)

    def send_wanted(self, now: float) -> list[events.Action]:
        """Probe the servers whose news are too old for work that waits."""
        wanted, self._dispatcher.wanted_probes = self._dispatcher.wanted_probes, set()
        probed = set(self._probes.values())
        actions: list[events.Action] = []
        for address in sorted(wanted - probed):
            service = self._dispatcher.find_service(address)
            if service is not None:
                actions += self._probe(now, service, address)
        return actions

    def tick(self, now: float) -> list[events.Action]:
        """Send the probes that are due among a fraction of the servers."""
        actions: list[events.Action] = []
        probed = set(self._probes.values())
        for service in self._leaves[self._turn :: PROBE_ROUND_TICKS]:
            for address in self._list_due(now, service):
                if address not in probed:
                    actions += self._probe(now, service, address)
        self._turn = (self._turn + 1) % PROBE_ROUND_TICKS
        return actions

    def _list_due(self, now: float, service: model.Service) -> list[str]:
        """Return the servers of a leaf to probe.

        This runs for every leaf once a second. Under load nearly all servers were
        heard from lately, and for those the state is not looked up.
        """
        due: list[str] = []
        quiet: list[str] = []
        for replica in service.replicas:
            address = replica.address
            if self._silence(now, address) <= NEWS_REFRESH_S:
                continue
            if self._table.state(now, address) is model.ServerState.READY:
                quiet.append(address)
            elif self._is_due(now, address):
                due.append(address)
        if due or not quiet:
            return due
        if self._dispatcher.is_used(now, service.name):
            return quiet
        silences = [self._silence(now, replica.address) for replica in service.replicas]
        return quiet[:1] if min(silences) > IDLE_PROBE_INTERVAL_S else []

    def _silence(self, now: float, address: str) -> float:
        """Return the time since the last reply of a server, in seconds."""
        heard = self._table.last_reply_at(address)
        return float("inf") if heard is None else now - heard

    def _is_due(self, now: float, address: str) -> bool:
        """Return whether a status probe would tell something.

        Only answered requests warm a server, so a probe of a cold server would
        waste its budget, unless nothing is known of the server yet.
        """
        state = self._table.state(now, address)
        if state is model.ServerState.SHEDDING:
            # A status request does not show whether the server takes work again.
            return False
        if state is model.ServerState.COLD and self._table.incarnation(address):
            return False
        return self._table.is_probe_due(now, address)

    def _probe(
        self, now: float, service: model.Service, address: str
    ) -> list[events.Action]:
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
