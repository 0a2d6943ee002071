"""Feeds events to the engine and carries out its actions."""

import typing

import result
import trio

from acacialatch import (
    bodies,
    defects,
    engine,
    errors,
    events,
    gateway,
    httpclient,
    messages,
    outputs,
    peers,
    requestdata,
    revisions,
    sources,
)

TIMER_DELAY_MIN_S = 0.001
"""Shortest wait for a timer of the engine, in seconds."""


class Interfaces(typing.NamedTuple):
    """Interfaces through which an entry instance does I/O.

    Attributes
    ----------
    client : httpclient.ServerClient
        Client for backend servers.
    source : sources.ConfigurationSource
        Reader of the configuration service.
    instances : sources.InstanceSource
        Reader of the platform's list of instances.
    make_link : callable
        Returns the link to the peer with a given address.
    output : outputs.Output
        Log, audit trail, metrics and explanation records.
    """

    client: httpclient.ServerClient
    source: sources.ConfigurationSource
    instances: sources.InstanceSource
    make_link: typing.Callable[[str], peers.PeerLink]
    output: outputs.Output


class Runner(peers.PeerHandlers):
    """Runs an engine: its timers, its exchanges and the calls of its peers.

    Parameters
    ----------
    core : engine.Engine
        Engine to run.
    interfaces : Interfaces
        Interfaces through which its actions are carried out.
    """

    def __init__(self, core: engine.Engine, interfaces: Interfaces):
        self._engine = core
        self._client = interfaces.client
        self._source = interfaces.source
        self._instances = interfaces.instances
        self._make_link = interfaces.make_link
        self._output = interfaces.output
        self.gateway = gateway.Gateway(core, self.submit)
        self._links: dict[str, peers.PeerLink] = {}
        self._send_scopes: dict[int, trio.CancelScope] = {}
        self._digest_answers: dict[str, messages.Digest] = {}
        self._timer_changed = trio.Event()
        self._wakes_at = float("inf")
        self._nursery: trio.Nursery | None = None
        self._defects = defects.DefectLog()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await self._run_timers()

    def submit(self, event: events.Event) -> None:
        """Feed an event to the engine and carry out the actions that it returns."""
        self.perform(self._engine.handle(trio.current_time(), event))

    # Timers and actions.

    async def _run_timers(self) -> None:
        """Submit `LoopTicked` when the earliest timer of the engine is due."""
        while True:
            now = trio.current_time()
            self._wakes_at = max(self._engine.next_timer(), now + TIMER_DELAY_MIN_S)
            self._timer_changed = trio.Event()
            with trio.move_on_at(self._wakes_at):
                await self._timer_changed.wait()
            if trio.current_time() >= self._engine.next_timer():
                with self._defects.survive("timers"):
                    self.submit(events.LoopTicked())

    def perform(self, actions: typing.Iterable[events.Action]) -> None:
        """Carry out actions of the engine."""
        for action in actions:
            self._perform_action(action)
        if self._engine.next_timer() < self._wakes_at:
            self._timer_changed.set()

    def _perform_action(self, action: events.Action) -> None:
        match action:
            case events.SendToServer():
                scope = self._send_scopes[action.send_id] = trio.CancelScope()
                self._start_task(self._exchange, action, scope)
            case events.CancelSend():
                scope = self._send_scopes.pop(action.send_id, None)
                if scope is not None:
                    scope.cancel()
            case events.AnswerQuery() | events.AnswerRequest():
                self.gateway.deliver(action)
            case events.ForwardToPeer():
                self._start_task(self._forward, action)
            case events.ExchangeDigest():
                self._start_task(self._exchange_digest, action)
            case events.AnswerDigest():
                self._digest_answers[action.call_id] = action.digest
            case events.FetchConfiguration():
                self._start_task(self._fetch_configuration, action)
            case events.ReadService():
                self._start_task(self._read_service, action)
            case events.ListInstances():
                self._start_task(self._list_instances)
            case _:
                self._output.write(trio.current_time(), action)

    def _start_task(
        self, task: typing.Callable[..., typing.Any], *args: object
    ) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(self._run_task, task, *args)

    async def _run_task(
        self, task: typing.Callable[..., typing.Any], *args: object
    ) -> None:
        """Run a task; an exception ends only what it works on."""
        with self._defects.survive(task.__name__.strip("_")):
            await task(*args)

    # Backend servers.

    async def _exchange(
        self, send: events.SendToServer, scope: trio.CancelScope
    ) -> None:
        def authorize(last_active_at: float) -> bool:
            now = trio.current_time()
            allowed, actions = self._engine.allow_first_byte(
                now, send.send_id, last_active_at
            )
            self.perform(actions)
            return allowed

        # The outcome stays None if the send is cancelled.
        outcome: httpclient.Reply | httpclient.ExchangeFailure | None = None
        with scope:
            outcome = await self._client.exchange(
                send, authorize if send.needs_live_connection else None
            )
        idle = self._client.count_idle(send.address)
        self.submit(events.PoolChanged(send.address, idle))
        if outcome is None or self._send_scopes.pop(send.send_id, None) is None:
            return
        self.submit(_make_send_event(send.send_id, outcome))

    # Platform.

    async def _read_service(self, action: events.ReadService) -> None:
        requested_at = trio.current_time()
        read = await self._source.read(action.after, action.wait_s)
        if isinstance(read, result.Err):
            self.submit(events.ServiceFailed(_describe_failure(read.err_value)))
        elif read.ok_value is None:
            self.submit(events.ServiceUnchanged(requested_at))
        else:
            text = read.ok_value
            self.submit(
                events.ConfigurationRead(
                    text.revision, text.text, revisions.SERVICE_SOURCE, requested_at
                )
            )

    async def _list_instances(self) -> None:
        listed = await self._instances.list()
        if isinstance(listed, result.Err):
            self.submit(events.ListFailed(_describe_failure(listed.err_value)))
        else:
            self.submit(events.InstancesListed(listed.ok_value))

    # Peers.

    def _get_link(self, address: str) -> peers.PeerLink:
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = self._make_link(address)
        return link

    async def _exchange_digest(self, action: events.ExchangeDigest) -> None:
        sent_at = trio.current_time()
        address = action.peer_address
        answered = await self._get_link(address).exchange(action.digest)
        if isinstance(answered, result.Err):
            self.submit(events.PeerFailed(address, answered.err_value.detail))
        else:
            self.submit(events.DigestAnswered(address, answered.ok_value, sent_at))

    async def _fetch_configuration(self, action: events.FetchConfiguration) -> None:
        requested_at = trio.current_time()
        version = self._engine.version
        request = messages.ConfigurationRequest(
            revision=version.revision if version else 0,
            digest=version.sha256 if version else "",
        )
        link = self._get_link(action.peer_address)
        fetched = await link.fetch_configuration(request)
        if isinstance(fetched, result.Err):
            detail = fetched.err_value.detail
            self.submit(events.PeerFailed(action.peer_address, detail))
            return
        text = fetched.ok_value.configuration
        if text is not None:
            self.submit(
                events.ConfigurationRead(
                    text.revision,
                    text.text,
                    revisions.make_peer_source(action.name),
                    requested_at,
                    False,
                )
            )

    async def _forward(self, action: events.ForwardToPeer) -> None:
        arrived = action.request
        request = messages.ForwardRequest(
            key=arrived.idempotency_key,
            service=arrived.service,
            body=arrived.body.encode(),
            deadline_s=action.timeout_s,
            request_key=arrived.key,
            hops=arrived.hops + 1,
        )
        answered = await self._get_link(action.peer_address).forward(request)
        if isinstance(answered, result.Err):
            may_be_sent = answered.err_value.kind is not errors.LinkErrorKind.NOT_SENT
            self.submit(events.ForwardFailed(action.call_id, may_be_sent))
            return
        outcome = _decode_forward_reply(answered.ok_value)
        self.submit(
            events.ForwardAnswered(action.call_id, arrived.idempotency_key, outcome)
        )

    async def exchange(self, digest: messages.Digest) -> messages.Digest:
        """Handle the digest of a peer and return that of this instance."""
        call_id = self.gateway.make_id()
        self.submit(events.DigestRequested(call_id, digest))
        return self._digest_answers.pop(call_id)

    async def fetch_configuration(
        self, request: messages.ConfigurationRequest
    ) -> messages.ConfigurationReply:
        """Return the configuration in force if it is newer than that of the peer."""
        version, text = self._engine.version, self._engine.text
        peer_version = (request.revision, request.digest)
        if version is None or text is None or tuple(version) <= peer_version:
            return messages.ConfigurationReply(configuration=None)
        newer = messages.ConfigurationText(revision=version.revision, text=text)
        return messages.ConfigurationReply(configuration=newer)

    async def forward(self, request: messages.ForwardRequest) -> messages.ForwardReply:
        """Run a non-idempotent request that a peer forwarded; return its outcome."""
        arrived = events.RequestArrived(
            self.gateway.make_id(),
            request.key,
            request.service,
            request.request_key or 0,
            request.body.decode("utf-8", "replace"),
            trio.current_time() + request.deadline_s,
            request.hops,
        )
        answer = await self.gateway.run_request(arrived)
        if isinstance(answer.outcome, errors.Failure):
            failure = answer.outcome
            return messages.ForwardReply(
                kind=failure.kind.value,
                status=errors.ANSWERS[failure.kind].status,
                body=failure.detail.encode(),
            )
        return messages.ForwardReply(
            kind="", status=answer.outcome.status, body=answer.outcome.body
        )


def _make_send_event(
    send_id: int, outcome: httpclient.Reply | httpclient.ExchangeFailure
) -> events.Event:
    if isinstance(outcome, httpclient.ExchangeFailure):
        return events.SendFailed(
            send_id, outcome.cause, outcome.bytes_sent, outcome.is_new_connection
        )
    return events.ServerReplied(
        send_id,
        outcome.status,
        bodies.read_report(outcome.headers),
        outcome.headers,
        outcome.body,
        outcome.latency_s,
        outcome.is_new_connection,
    )


def _describe_failure(failure: errors.SourceFailure) -> str:
    return f"{failure.kind.value} {failure.detail}".rstrip()


def _decode_forward_reply(reply: messages.ForwardReply) -> requestdata.Outcome:
    if not reply.kind:
        return requestdata.Reply("", reply.status, reply.body)
    try:
        kind = errors.ErrorKind(reply.kind)
    except ValueError:
        # A newer release may send an error kind that this one does not know. Whether
        # the request ran is then unknown.
        return requestdata.make_unknown(f"the issuer answered {reply.kind!r}")
    return errors.Failure(kind, reply.body.decode("utf-8", "replace"))
