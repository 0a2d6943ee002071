"""Carries out the decisions of the request ledger as sends and forwards."""

import typing

import result

from acacialatch import (
    bodies,
    dispatch,
    errors,
    events,
    model,
    planner,
    requestdata,
    requests,
)

LATE_REPLY_WAIT_S = 10.0
"""Time after the deadline for which a late reply is still awaited, in seconds.

A late reply turns an unknown outcome into a known one for a repeat of the request.
"""

LATENCY_MIN_S = 0.001
"""Lowest latency with which replicas are compared, in seconds.

Replicas with lower latencies are compared by their requests in flight alone.
"""

PROBE_WAIT_S = 1.0
"""Longest wait of a request for status probes of its replicas, in seconds."""


class _ActiveSend(typing.NamedTuple):
    """A send in progress: its attempt, the call whose body it has, its replica."""

    request_id: str
    call_id: str
    address: str


class RequestRunner:
    """Runs the non-idempotent requests of one entry instance.

    Parameters
    ----------
    dispatcher : dispatch.Dispatcher
        State of the backend servers; admits sends to them.
    ledger : requests.RequestLedger
        Decides about the requests and issues their keys.
    list_peers : callable
        Returns the addresses of the known peers at a time in seconds.
    """

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        ledger: requests.RequestLedger,
        list_peers: typing.Callable[[float], typing.Container[str]],
    ):
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._list_peers = list_peers
        # By call, until it is answered or its caller disconnects.
        self._unanswered: dict[str, events.RequestArrived] = {}
        # Ends of the waits for status probes, by call.
        self._probe_waits: dict[str, float] = {}
        self._sends: dict[int, _ActiveSend] = {}
        self._send_ids: dict[str, int] = {}
        # By attempt. A request is kept until its attempt ends, since the caller may
        # disconnect before that.
        self._attempt_requests: dict[str, events.RequestArrived] = {}

    def owns_send(self, send_id: int) -> bool:
        """Return whether a send belongs to a non-idempotent request."""
        return send_id in self._sends

    def count(self) -> int:
        """Return the number of requests that wait for an answer."""
        return len(self._unanswered)

    def next_timer(self) -> float:
        """Return when `handle_timers` is due, in seconds; `inf` if it is not."""
        time = self._ledger.next_timer()
        times = [float("inf") if time is None else time, *self._probe_waits.values()]
        return min(times)

    def issue_key(self, now: float) -> result.Result[str, errors.Failure]:
        """Issue an idempotency key."""
        return self._ledger.issue_key(now)

    def handle_request(
        self, now: float, arrived: events.RequestArrived
    ) -> list[events.Action]:
        """Pass a request of a caller or a peer to the ledger.

        It first waits, at most `PROBE_WAIT_S`, if no replica is usable and at least
        one needs a status probe.
        """
        self._unanswered[arrived.call_id] = arrived
        if self._needs_probe(now, arrived):
            wait_until = min(now + PROBE_WAIT_S, arrived.deadline)
            self._probe_waits[arrived.call_id] = wait_until
            return [events.CountMetric("requests")]
        return [events.CountMetric("requests"), *self._submit(now, arrived)]

    def retry_waiting(self, now: float) -> list[events.Action]:
        """Pass on the requests whose wait for a status probe has ended."""
        actions: list[events.Action] = []
        for call_id, wait_until in list(self._probe_waits.items()):
            arrived = self._unanswered[call_id]
            if now >= wait_until or not self._needs_probe(now, arrived):
                del self._probe_waits[call_id]
                actions += self._submit(now, arrived)
        return actions

    def _needs_probe(self, now: float, arrived: events.RequestArrived) -> bool:
        """Return whether no replica is usable and one or more need a status probe.

        `Dispatcher.make_candidate` requests these probes.
        """
        service = self._find_leaf_service(arrived)
        if service is None:
            return False
        self._dispatcher.record_use(now, service.name)
        reasons = [
            self._dispatcher.make_candidate(now, replica).reason
            for replica in service.replicas
        ]
        return dispatch.STALE_NEWS in reasons and "" not in reasons

    def _submit(
        self, now: float, arrived: events.RequestArrived
    ) -> list[events.Action]:
        request = requestdata.Request(
            arrived.call_id,
            arrived.idempotency_key,
            requestdata.digest_body(
                arrived.service, arrived.key, arrived.body.encode()
            ),
            arrived.deadline,
            arrived.hops > 0,
        )
        view = self._make_view(now, arrived)
        return self._execute(now, self._ledger.handle_request(now, request, view))

    def handle_caller_gone(self, now: float, call_id: str) -> list[events.Action]:
        """Forget the caller of a request after it closed its connection."""
        self._probe_waits.pop(call_id, None)
        actions = self._execute(now, self._ledger.handle_caller_gone(now, call_id))
        self._unanswered.pop(call_id, None)
        return actions

    def allow_first_byte(
        self, now: float, send_id: int, last_active_at: float
    ) -> tuple[bool, list[events.Action]]:
        """Decide whether the first byte of a send may be written now.

        Parameters
        ----------
        now : float
            Time in seconds, read with no wait between the reading and the write.
        send_id : int
            Identifier of the send.
        last_active_at : float
            Time of the last exchange on the connection or of its set-up, in seconds.

        Returns
        -------
        tuple
            Whether the byte may be written, and actions to carry out in either case.
        """
        send = self._sends.get(send_id)
        if send is None:
            return False, []
        view = self._make_view(now, self._attempt_requests[send.request_id])
        if self._dispatcher.may_write(now, send.address):
            # The slot and the permit that the send holds may be the last ones, so
            # that the replica is not usable for another send.
            option = requestdata.ReplicaOption(send.address, last_active_at)
            view = view._replace(replicas=(option, *view.replicas))
        permission = self._ledger.authorize_send(
            now, send.request_id, last_active_at, view
        )
        if isinstance(permission, result.Ok):
            return True, []
        return False, self._execute(now, permission.err_value)

    def handle_reply(
        self, now: float, event: events.ServerReplied
    ) -> list[events.Action]:
        """Handle the reply of a backend server."""
        send = self._remove_send(event.send_id)
        if send is None:
            return []
        arrived = self._attempt_requests.pop(send.request_id)
        reply = requestdata.Reply(
            event.headers.get("x-request-id", ""), event.status, event.body
        )
        if event.headers.get("x-refused") == "before-run":
            view = self._make_view(now, arrived)
            return self._execute(
                now, self._ledger.handle_refusal(now, send.request_id, reply, view)
            )
        return self._execute(
            now, self._ledger.handle_reply(now, send.request_id, reply)
        )

    def handle_failure(
        self, now: float, event: events.SendFailed
    ) -> list[events.Action]:
        """Handle the failure of a send."""
        send = self._remove_send(event.send_id)
        if send is None:
            return []
        view = self._make_view(now, self._attempt_requests.pop(send.request_id))
        return self._execute(
            now, self._ledger.handle_attempt_failure(now, send.request_id, view)
        )

    def handle_forward_answer(
        self, now: float, event: events.ForwardAnswered
    ) -> list[events.Action]:
        """Pass on the issuer's answer to a forwarded request."""
        actions = self._ledger.forwards.handle_answer(
            now, event.call_id, event.key, event.outcome
        )
        return self._execute(now, actions)

    def handle_forward_failure(
        self, now: float, event: events.ForwardFailed
    ) -> list[events.Action]:
        """Forward a request again, or answer it, after a forward got no answer."""
        actions = self._ledger.forwards.handle_failure(
            now, event.call_id, event.may_be_sent
        )
        return self._execute(now, actions)

    def handle_timers(self, now: float) -> list[events.Action]:
        """Handle the deadlines, key expiries and probe waits that are due."""
        return self.retry_waiting(now) + self._execute(now, self._ledger.expire(now))

    def shut_down(self, now: float) -> list[events.Action]:
        """Answer every waiting caller, and send nothing from now on."""
        actions = self._execute(now, self._ledger.shut_down(now))
        for call_id in list(self._probe_waits):
            del self._probe_waits[call_id]
            actions += self._submit(now, self._unanswered[call_id])
        return actions

    def _execute(
        self, now: float, decided: list[requestdata.Action]
    ) -> list[events.Action]:
        """Return the actions of the engine for actions of the ledger, in order."""
        actions: list[events.Action] = []
        pending = list(decided)
        while pending:
            action = pending.pop(0)
            match action:
                case requestdata.Send():
                    pending += self._start_send(now, action, actions)
                case requestdata.Forward():
                    pending += self._start_forward(now, action, actions)
                case requestdata.Answer():
                    self._unanswered.pop(action.caller, None)
                    actions.append(events.AnswerRequest(action.caller, action.outcome))
                    if _is_unknown(action.outcome):
                        actions.append(events.CountMetric("requests_unknown"))
                case requestdata.CancelAttempt():
                    actions += self._cancel_attempt(now, action.request_id)
        return actions

    def _start_send(
        self, now: float, send: requestdata.Send, actions: list[events.Action]
    ) -> list[requestdata.Action]:
        """Append the actions of a send to `actions`.

        Returns the further actions of the ledger if the send is not admitted.
        """
        arrived = self._unanswered[send.caller]
        service = self._find_leaf_service(arrived)
        started_send = None
        if service is not None:
            started_send = self._dispatcher.start_send(now, service, send.address)
        if started_send is None:
            view = self._make_view(now, arrived)
            return self._ledger.handle_attempt_failure(now, send.request_id, view)
        self._attempt_requests[send.request_id] = arrived
        send_id = started_send.send_id
        self._sends[send_id] = _ActiveSend(send.request_id, send.caller, send.address)
        self._send_ids[send.request_id] = send_id
        actions.append(_make_send(now, started_send, send, arrived))
        return []

    def _start_forward(
        self,
        now: float,
        forward: requestdata.Forward,
        actions: list[events.Action],
    ) -> list[requestdata.Action]:
        """Append the action of a forward to `actions`.

        The address of the issuer comes from the key, which only the issuer can verify.
        So this process connects only to addresses of known peers. For any other it
        returns the further actions of the ledger.
        """
        if forward.issuer not in self._list_peers(now):
            # Reported as possibly sent, so that the ledger does not try again: the
            # address would still be unknown.
            return self._ledger.forwards.handle_failure(now, forward.caller, True)
        arrived = self._unanswered[forward.caller]
        timeout_s = max(0.0, forward.deadline - now)
        actions.append(
            events.ForwardToPeer(forward.caller, forward.issuer, arrived, timeout_s)
        )
        return []

    def _cancel_attempt(self, now: float, request_id: str) -> list[events.Action]:
        send_id = self._send_ids.get(request_id)
        if send_id is None or self._remove_send(send_id) is None:
            return []
        self._attempt_requests.pop(request_id, None)
        return [
            events.CancelSend(send_id),
            *self._dispatcher.handle_cancel(now, send_id),
        ]

    def _remove_send(self, send_id: int) -> _ActiveSend | None:
        send = self._sends.pop(send_id, None)
        if send is not None:
            self._send_ids.pop(send.request_id, None)
        return send

    def _make_view(
        self, now: float, arrived: events.RequestArrived
    ) -> requestdata.View:
        if self._dispatcher.store.configuration is None:
            refusal = errors.ErrorKind.NO_CONFIGURATION
            return requestdata.View((), False, refusal)
        is_current = self._dispatcher.is_current(now)
        service = self._find_leaf_service(arrived)
        if service is None:
            return requestdata.View((), is_current, errors.ErrorKind.UNKNOWN_SERVICE)
        return requestdata.View(self._list_usable_replicas(now, service), is_current)

    def _list_usable_replicas(
        self, now: float, service: model.Service
    ) -> tuple[requestdata.ReplicaOption, ...]:
        candidates = [
            self._dispatcher.make_candidate(now, replica)
            for replica in service.replicas
        ]
        self._dispatcher.add_permit_demand(now, candidates)
        usable = [candidate for candidate in candidates if candidate.usable]
        usable.sort(
            key=lambda candidate: (
                (candidate.in_flight + 1) * max(LATENCY_MIN_S, candidate.latency_s)
            )
        )
        last_reply_at = self._dispatcher.table.last_reply_at
        return tuple(
            requestdata.ReplicaOption(
                candidate.address,
                last_reply_at(candidate.address) if candidate.connected else None,
            )
            for candidate in usable
        )

    def _find_leaf_service(
        self, arrived: events.RequestArrived
    ) -> model.Service | None:
        """Return the leaf service that holds the key of a request, if just one does."""
        configuration = self._dispatcher.store.configuration
        if configuration is None or arrived.service not in configuration.services:
            return None
        parts = planner.list_key_parts(configuration, arrived.service, arrived.key)
        if len(parts) != 1:
            return None
        return configuration.services[parts[0].service]


def _is_unknown(outcome: requestdata.Outcome) -> bool:
    unknown = errors.ErrorKind.OUTCOME_UNKNOWN
    return isinstance(outcome, errors.Failure) and outcome.kind is unknown


def _make_send(
    now: float,
    started_send: dispatch.StartedSend,
    send: requestdata.Send,
    arrived: events.RequestArrived,
) -> events.SendToServer:
    remaining_s = max(0.0, arrived.deadline - now)
    headers = (
        ("content-type", "application/json"),
        ("x-request-id", send.request_id),
        ("idempotency-key", arrived.idempotency_key),
        ("x-deadline-ms", str(max(1, int(remaining_s * 1000)))),
    )
    body = bodies.encode({"key": arrived.key, "body": arrived.body})
    return events.SendToServer(
        started_send.send_id,
        send.address,
        "POST",
        "/request",
        headers,
        body,
        remaining_s + LATE_REPLY_WAIT_S,
        True,
        started_send.may_connect,
    )
