"""Runs non-idempotent requests: joins the ledger with sends and forwards."""

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

LATE_REPLY_S = 10.0
"""Time after the deadline for which a late reply is still awaited, in seconds.

A late reply turns an unknown outcome into a known one for a repeat of the key.
"""

LATENCY_FLOOR_S = 0.001

PROBE_WAIT_S = 1.0
"""Longest wait for the status probe of a server, in seconds."""


class _Sent(typing.NamedTuple):
    request_id: str
    call_id: str
    address: str


class RequestRunner:
    """Runs the non-idempotent requests of one entry instance.

    Parameters
    ----------
    dispatcher : dispatch.Dispatcher
        Sends to backend servers.
    ledger : requests.RequestLedger
        Keys and requestdata.
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
        self._arrived: dict[str, events.RequestArrived] = {}
        self._waiting: dict[str, float] = {}
        self._sent: dict[int, _Sent] = {}
        self._send_ids: dict[str, int] = {}
        # The text of a request outlives its caller until the attempt ends.
        self._texts: dict[str, events.RequestArrived] = {}

    def owns_send(self, send_id: int) -> bool:
        """Return whether a send belongs to a non-idempotent request."""
        return send_id in self._sent

    def count(self) -> int:
        """Return the number of requests that wait for an answer."""
        return len(self._arrived)

    def next_timer(self) -> float:
        """Return the time in seconds at which `handle_timers` must be called."""
        time = self._ledger.next_timer()
        times = [float("inf") if time is None else time, *self._waiting.values()]
        return min(times)

    def issue_key(self, now: float) -> result.Result[str, errors.Failure]:
        """Issue an idempotency key."""
        return self._ledger.issue_key(now)

    def handle_request(
        self, now: float, arrived: events.RequestArrived
    ) -> list[events.Action]:
        """Take a request of a caller or a peer.

        It waits for a short time if all its replicas need a status probe first.
        """
        self._arrived[arrived.call_id] = arrived
        if self._must_wait(now, arrived):
            give_up_at = min(now + PROBE_WAIT_S, arrived.deadline)
            self._waiting[arrived.call_id] = give_up_at
            return [events.CountMetric("requests")]
        return [events.CountMetric("requests"), *self._begin(now, arrived)]

    def retry_waiting(self, now: float) -> list[events.Action]:
        """Begin the requests that waited for a status probe."""
        actions: list[events.Action] = []
        for call_id, give_up_at in list(self._waiting.items()):
            arrived = self._arrived[call_id]
            if now >= give_up_at or not self._must_wait(now, arrived):
                del self._waiting[call_id]
                actions += self._begin(now, arrived)
        return actions

    def _must_wait(self, now: float, arrived: events.RequestArrived) -> bool:
        service = self._find_leaf(arrived)
        if service is None:
            return False
        self._dispatcher.record_use(now, service.name)
        reasons = [
            self._dispatcher.make_candidate(now, replica).reason
            for replica in service.replicas
        ]
        return dispatch.STALE_NEWS in reasons and "" not in reasons

    def _begin(self, now: float, arrived: events.RequestArrived) -> list[events.Action]:
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
        return self._carry_out(now, self._ledger.begin(now, request, view))

    def handle_caller_gone(self, now: float, call_id: str) -> list[events.Action]:
        """Take that the caller of a request closed its connection."""
        self._waiting.pop(call_id, None)
        actions = self._carry_out(now, self._ledger.drop_caller(now, call_id))
        self._arrived.pop(call_id, None)
        return actions

    def allow_first_byte(
        self, now: float, send_id: int, last_active_at: float
    ) -> tuple[bool, list[events.Action]]:
        """Ask whether the first byte of a send may leave now.

        Parameters
        ----------
        now : float
            Time in seconds, read after the last wait.
        send_id : int
            Identifier of the send.
        last_active_at : float
            Time of the last exchange on the connection or of its set-up.

        Returns
        -------
        tuple
            The permission, and actions to carry out in either case.
        """
        sent = self._sent.get(send_id)
        if sent is None:
            return False, []
        view = self._make_view(now, self._texts[sent.request_id])
        if self._dispatcher.may_write(now, sent.address):
            option = requestdata.ReplicaOption(sent.address, last_active_at)
            view = view._replace(replicas=(option, *view.replicas))
        permission = self._ledger.note_sent(now, sent.request_id, last_active_at, view)
        if isinstance(permission, result.Ok):
            return True, []
        return False, self._carry_out(now, permission.err_value)

    def handle_reply(
        self, now: float, event: events.ServerReplied
    ) -> list[events.Action]:
        """Take the reply of a backend server."""
        sent = self._forget(event.send_id)
        if sent is None:
            return []
        text = self._texts.pop(sent.request_id)
        reply = requestdata.Reply(
            event.headers.get("x-request-id", ""), event.status, event.body
        )
        if event.headers.get("x-refused") == "before-run":
            view = self._make_view(now, text)
            return self._carry_out(
                now, self._ledger.note_refused(now, sent.request_id, reply, view)
            )
        return self._carry_out(
            now, self._ledger.note_reply(now, sent.request_id, reply)
        )

    def handle_failure(
        self, now: float, event: events.SendFailed
    ) -> list[events.Action]:
        """Take the failure of a send."""
        sent = self._forget(event.send_id)
        if sent is None:
            return []
        view = self._make_view(now, self._texts.pop(sent.request_id))
        return self._carry_out(now, self._ledger.note_lost(now, sent.request_id, view))

    def handle_forward_answer(
        self, now: float, event: events.ForwardAnswered
    ) -> list[events.Action]:
        """Take the issuer's answer to a forwarded request."""
        actions = self._ledger.forwards.note_answered(
            now, event.call_id, event.key, event.outcome
        )
        return self._carry_out(now, actions)

    def handle_forward_failure(
        self, now: float, event: events.ForwardFailed
    ) -> list[events.Action]:
        """Take that a forwarded request got no answer."""
        actions = self._ledger.forwards.note_failed(
            now, event.call_id, event.may_be_sent
        )
        return self._carry_out(now, actions)

    def handle_timers(self, now: float) -> list[events.Action]:
        """Apply deadlines that have passed."""
        return self.retry_waiting(now) + self._carry_out(now, self._ledger.expire(now))

    def shut_down(self, now: float) -> list[events.Action]:
        """Answer every caller truthfully at once."""
        actions = self._carry_out(now, self._ledger.shut_down(now))
        for call_id in list(self._waiting):
            del self._waiting[call_id]
            actions += self._begin(now, self._arrived[call_id])
        return actions

    def _carry_out(
        self, now: float, decided: list[requestdata.Action]
    ) -> list[events.Action]:
        actions: list[events.Action] = []
        pending = list(decided)
        while pending:
            action = pending.pop(0)
            match action:
                case requestdata.Send():
                    pending += self._send(now, action, actions)
                case requestdata.Forward():
                    pending += self._forward(now, action, actions)
                case requestdata.Answer():
                    self._arrived.pop(action.caller, None)
                    actions.append(events.AnswerRequest(action.caller, action.outcome))
                    if _is_unknown(action.outcome):
                        actions.append(events.CountMetric("requests_unknown"))
                case requestdata.Close():
                    actions += self._close(now, action.request_id)
        return actions

    def _send(
        self, now: float, send: requestdata.Send, actions: list[events.Action]
    ) -> list[requestdata.Action]:
        """Start a send; returns what the ledger decides when it must not happen."""
        arrived = self._arrived[send.caller]
        service = self._find_leaf(arrived)
        started_send = None
        if service is not None:
            started_send = self._dispatcher.start_send(now, service, send.address)
        if started_send is None:
            view = self._make_view(now, arrived)
            return self._ledger.note_lost(now, send.request_id, view)
        self._texts[send.request_id] = arrived
        send_id = started_send.send_id
        self._sent[send_id] = _Sent(send.request_id, send.caller, send.address)
        self._send_ids[send.request_id] = send_id
        actions.append(_make_send(now, started_send, send, arrived))
        return []

    def _forward(
        self,
        now: float,
        forward: requestdata.Forward,
        actions: list[events.Action],
    ) -> list[requestdata.Action]:
        """Start a forward; returns what the ledger decides when it must not happen.

        The key names the issuer's address, and this process cannot verify a key of
        another one. So it connects only to addresses that are known as peers.
        """
        if forward.issuer not in self._list_peers(now):
            # As if it had left: another try would change nothing.
            return self._ledger.forwards.note_failed(now, forward.caller, True)
        arrived = self._arrived[forward.caller]
        timeout_s = max(0.0, forward.deadline - now)
        actions.append(
            events.ForwardToPeer(forward.caller, forward.issuer, arrived, timeout_s)
        )
        return []

    def _close(self, now: float, request_id: str) -> list[events.Action]:
        send_id = self._send_ids.get(request_id)
        if send_id is None or self._forget(send_id) is None:
            return []
        self._texts.pop(request_id, None)
        return [
            events.CancelSend(send_id),
            *self._dispatcher.handle_cancel(now, send_id),
        ]

    def _forget(self, send_id: int) -> _Sent | None:
        sent = self._sent.pop(send_id, None)
        if sent is not None:
            self._send_ids.pop(sent.request_id, None)
        return sent

    def _make_view(
        self, now: float, arrived: events.RequestArrived
    ) -> requestdata.View:
        if self._dispatcher.store.configuration is None:
            refusal = errors.ErrorKind.NO_CONFIGURATION
            return requestdata.View((), False, refusal)
        is_current = self._dispatcher.is_current(now)
        service = self._find_leaf(arrived)
        if service is None:
            return requestdata.View((), is_current, errors.ErrorKind.UNKNOWN_SERVICE)
        return requestdata.View(self._list_options(now, service), is_current)

    def _list_options(
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
                (candidate.in_flight + 1) * max(LATENCY_FLOOR_S, candidate.latency_s)
            )
        )
        heard = self._dispatcher.table.last_reply_at
        return tuple(
            requestdata.ReplicaOption(
                candidate.address,
                heard(candidate.address) if candidate.connected else None,
            )
            for candidate in usable
        )

    def _find_leaf(self, arrived: events.RequestArrived) -> model.Service | None:
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
        remaining_s + LATE_REPLY_S,
        True,
        started_send.may_connect,
    )
