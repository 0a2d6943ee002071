"""Requests of callers: from HTTP to events of the engine and back."""

import itertools
import typing
import urllib.parse

import result
import trio

from acacialatch import (
    attempts,
    bodies,
    engine,
    errors,
    events,
    httpserver,
    requestdata,
)

Submit: typing.TypeAlias = typing.Callable[[events.Event], None]

_Answer: typing.TypeAlias = events.AnswerQuery | events.AnswerRequest


class _Waiting:
    """A caller that waits for an answer of the engine."""

    def __init__(self) -> None:
        self.ready = trio.Event()
        self.answer: _Answer | None = None


class Gateway:
    """Handles the requests of callers.

    Parameters
    ----------
    core : engine.Engine
        The engine that decides.
    submit : callable
        Feeds an event to the engine and carries out its actions.
    """

    def __init__(self, core: engine.Engine, submit: Submit):
        self._core = core
        self._submit = submit
        self._waiting: dict[str, _Waiting] = {}
        self._numbers = itertools.count(1)

    def deliver(self, answer: _Answer) -> None:
        """Pass an answer of the engine to the caller that waits for it."""
        if isinstance(answer, events.AnswerQuery):
            identifier = answer.answer_id
        else:
            identifier = answer.call_id
        waiting = self._waiting.get(identifier)
        if waiting is not None:
            waiting.answer = answer
            waiting.ready.set()

    async def handle(self, request: httpserver.Request) -> httpserver.Response:
        """Answer one HTTP request of a caller."""
        path = request.path.split("/")
        match (request.method, path):
            case ("GET", ["", "v1", "entries"]):
                return self._name_entries(request)
            case ("GET", ["", "v1", "status"]):
                return _respond(200, self._core.describe(trio.current_time()))
            case ("POST", ["", "v1", "keys"]):
                return self._issue_key()
            case ("POST", ["", "v1", "query", service]):
                return await self._run_query(urllib.parse.unquote(service), request)
            case ("POST", ["", "v1", "request", service]):
                return await self._run_request(urllib.parse.unquote(service), request)
        known = ("entries", "status", "keys", "query", "request")
        if len(path) > 2 and path[1] == "v1" and path[2] in known:
            return refuse(errors.ErrorKind.METHOD_NOT_ALLOWED, request.method)
        return refuse(errors.ErrorKind.UNKNOWN_PATH, request.path)

    async def run_request(self, arrived: events.RequestArrived) -> events.AnswerRequest:
        """Run a non-idempotent request of a caller or a peer to its answer."""
        try:
            answer = await self._wait_for(arrived.call_id, arrived)
        except trio.Cancelled:
            self._submit(events.RequestAbandoned(arrived.call_id))
            raise
        return typing.cast(events.AnswerRequest, answer)

    def make_id(self) -> str:
        """Return an identifier that no other call of any incarnation has."""
        return f"{self._core.identity.incarnation[:16]}-{next(self._numbers)}"

    def _name_entries(self, request: httpserver.Request) -> httpserver.Response:
        fields = urllib.parse.parse_qs(request.query)
        zone = fields.get("zone", [""])[0]
        named = self._core.choose_entries(trio.current_time(), zone, request.peer)
        return _respond(200, named)

    def _issue_key(self) -> httpserver.Response:
        issued = self._core.issue_key(trio.current_time())
        if isinstance(issued, result.Err):
            return refuse(issued.err_value.kind, issued.err_value.detail)
        lifetime_s = self._core.key_lifetime_s()
        return _respond(200, {"key": issued.ok_value, "lifetime_s": lifetime_s})

    async def _run_query(
        self, service: str, request: httpserver.Request
    ) -> httpserver.Response:
        configuration = self._core.configuration
        if configuration is None:
            return refuse(errors.ErrorKind.NO_CONFIGURATION, "")
        answer_id = self.make_id()
        query = bodies.read_query(
            configuration, service, request.body, answer_id, trio.current_time()
        )
        if isinstance(query, result.Err):
            return refuse(query.err_value.kind, query.err_value.detail)
        try:
            answer = await self._wait_for(
                answer_id, events.QueryArrived(query.ok_value)
            )
        except trio.Cancelled:
            self._submit(events.QueryAbandoned(answer_id))
            raise
        return _respond_query(typing.cast(events.AnswerQuery, answer))

    async def _run_request(
        self, service: str, request: httpserver.Request
    ) -> httpserver.Response:
        idempotency_key = request.headers.get("idempotency-key", "")
        if not idempotency_key:
            return refuse(errors.ErrorKind.KEY_MISSING, "no Idempotency-Key header")
        decoded = bodies.decode(request.body, bodies.RequestBody)
        if isinstance(decoded, result.Err):
            return refuse(errors.ErrorKind.MALFORMED_REQUEST, decoded.err_value)
        fields = decoded.ok_value
        deadline = bodies.read_deadline(
            fields.get("deadline_ms"),
            bodies.REQUEST_DEADLINE_S,
            bodies.REQUEST_DEADLINE_MAX_S,
        )
        if isinstance(deadline, result.Err):
            return refuse(deadline.err_value.kind, deadline.err_value.detail)
        arrived = events.RequestArrived(
            self.make_id(),
            idempotency_key,
            service,
            fields["key"],
            fields["body"],
            trio.current_time() + deadline.ok_value,
            0,
        )
        return _respond_request(await self.run_request(arrived))

    async def _wait_for(self, identifier: str, event: events.Event) -> _Answer:
        waiting = _Waiting()
        self._waiting[identifier] = waiting
        try:
            self._submit(event)
            await waiting.ready.wait()
        finally:
            del self._waiting[identifier]
        assert waiting.answer is not None
        return waiting.answer


def refuse(kind: errors.ErrorKind, detail: str = "") -> httpserver.Response:
    """Return the response for an error."""
    body = {"error": bodies.make_error(errors.Failure(kind, detail))}
    return _respond(errors.ANSWERS[kind].status, body)


def _respond(status: int, body: typing.Any) -> httpserver.Response:
    return httpserver.Response(status, bodies.encode(body))


def _respond_query(answer: events.AnswerQuery) -> httpserver.Response:
    outcome = answer.outcome
    body: dict[str, typing.Any] = {
        "answer_id": answer.answer_id,
        "revision": answer.revision,
        "versions": dict(outcome.versions),
        "coverage": {"covered": outcome.covered, "total": outcome.total},
        "missing": [_describe_missing(missing) for missing in outcome.missing],
    }
    if outcome.failure is not None:
        body["error"] = bodies.make_error(outcome.failure)
        return _respond(errors.ANSWERS[outcome.failure.kind].status, body)
    body["rows"] = outcome.rows
    return _respond(200, body)


def _describe_missing(missing: attempts.Missing) -> dict[str, typing.Any]:
    return {
        "service": missing.service,
        "start": missing.keys.start,
        "end": missing.keys.end,
        "reason": missing.reason,
    }


def _respond_request(answer: events.AnswerRequest) -> httpserver.Response:
    if isinstance(answer.outcome, errors.Failure):
        return refuse(answer.outcome.kind, answer.outcome.detail)
    reply: requestdata.Reply = answer.outcome
    return httpserver.Response(reply.status, reply.body)
