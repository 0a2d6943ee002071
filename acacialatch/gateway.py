"""Requests of callers: converts HTTP to events of the engine, and answers back."""

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


class _PendingAnswer:
    """Answer of the engine that a handler waits for."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.answer: _Answer | None = None


class Gateway:
    """Handles the requests of callers.

    Parameters
    ----------
    core : engine.Engine
        Engine that answers the requests.
    submit : callable
        Feeds an event to the engine and carries out its actions.
    """

    def __init__(self, core: engine.Engine, submit: Submit):
        self._engine = core
        self._submit = submit
        self._pending_answers: dict[str, _PendingAnswer] = {}
        self._call_numbers = itertools.count(1)

    def deliver(self, answer: _Answer) -> None:
        """Pass an answer to its caller; ignored if the caller has gone."""
        if isinstance(answer, events.AnswerQuery):
            identifier = answer.answer_id
        else:
            identifier = answer.call_id
        pending = self._pending_answers.get(identifier)
        if pending is not None:
            pending.answer = answer
            pending.done.set()

    async def handle(self, request: httpserver.Request) -> httpserver.Response:
        """Return the response to an HTTP request of a caller."""
        path = request.path.split("/")
        match (request.method, path):
            case ("GET", ["", "v1", "entries"]):
                return self._answer_entries(request)
            case ("GET", ["", "v1", "status"]):
                return _make_response(200, self._engine.describe(trio.current_time()))
            case ("POST", ["", "v1", "keys"]):
                return self._answer_key()
            case ("POST", ["", "v1", "query", service]):
                return await self._answer_query(urllib.parse.unquote(service), request)
            case ("POST", ["", "v1", "request", service]):
                return await self._answer_request(
                    urllib.parse.unquote(service), request
                )
        known = ("entries", "status", "keys", "query", "request")
        if len(path) > 2 and path[1] == "v1" and path[2] in known:
            return make_error_response(
                errors.ErrorKind.METHOD_NOT_ALLOWED, request.method
            )
        return make_error_response(errors.ErrorKind.UNKNOWN_PATH, request.path)

    async def run_request(self, arrived: events.RequestArrived) -> events.AnswerRequest:
        """Run a non-idempotent request of a caller or a peer; return its answer.

        If the task is cancelled, the engine learns that the caller has gone.
        """
        try:
            answer = await self._wait_for_answer(arrived.call_id, arrived)
        except trio.Cancelled:
            self._submit(events.RequestAbandoned(arrived.call_id))
            raise
        return typing.cast(events.AnswerRequest, answer)

    def make_id(self) -> str:
        """Return an identifier that is unique among the calls of all incarnations."""
        return f"{self._engine.identity.incarnation[:16]}-{next(self._call_numbers)}"

    def _answer_entries(self, request: httpserver.Request) -> httpserver.Response:
        fields = urllib.parse.parse_qs(request.query)
        zone = fields.get("zone", [""])[0]
        entries = self._engine.choose_entries(trio.current_time(), zone, request.peer)
        return _make_response(200, entries)

    def _answer_key(self) -> httpserver.Response:
        issued = self._engine.issue_key(trio.current_time())
        if isinstance(issued, result.Err):
            return make_error_response(issued.err_value.kind, issued.err_value.detail)
        lifetime_s = self._engine.key_lifetime_s()
        return _make_response(200, {"key": issued.ok_value, "lifetime_s": lifetime_s})

    async def _answer_query(
        self, service: str, request: httpserver.Request
    ) -> httpserver.Response:
        configuration = self._engine.configuration
        if configuration is None:
            return make_error_response(errors.ErrorKind.NO_CONFIGURATION, "")
        answer_id = self.make_id()
        query = bodies.read_query(
            configuration, service, request.body, answer_id, trio.current_time()
        )
        if isinstance(query, result.Err):
            return make_error_response(query.err_value.kind, query.err_value.detail)
        try:
            answer = await self._wait_for_answer(
                answer_id, events.QueryArrived(query.ok_value)
            )
        except trio.Cancelled:
            self._submit(events.QueryAbandoned(answer_id))
            raise
        return _make_query_response(typing.cast(events.AnswerQuery, answer))

    async def _answer_request(
        self, service: str, request: httpserver.Request
    ) -> httpserver.Response:
        idempotency_key = request.headers.get("idempotency-key", "")
        if not idempotency_key:
            return make_error_response(
                errors.ErrorKind.KEY_MISSING, "no Idempotency-Key header"
            )
        decoded = bodies.decode(request.body, bodies.RequestBody)
        if isinstance(decoded, result.Err):
            return make_error_response(
                errors.ErrorKind.MALFORMED_REQUEST, decoded.err_value
            )
        fields = decoded.ok_value
        deadline = bodies.read_deadline(
            fields.get("deadline_ms"),
            bodies.REQUEST_DEADLINE_S,
            bodies.REQUEST_DEADLINE_MAX_S,
        )
        if isinstance(deadline, result.Err):
            return make_error_response(
                deadline.err_value.kind, deadline.err_value.detail
            )
        arrived = events.RequestArrived(
            self.make_id(),
            idempotency_key,
            service,
            fields["key"],
            fields["body"],
            trio.current_time() + deadline.ok_value,
            0,
        )
        return _make_request_response(await self.run_request(arrived))

    async def _wait_for_answer(self, identifier: str, event: events.Event) -> _Answer:
        pending = _PendingAnswer()
        self._pending_answers[identifier] = pending
        try:
            self._submit(event)
            await pending.done.wait()
        finally:
            del self._pending_answers[identifier]
        assert pending.answer is not None
        return pending.answer


def make_error_response(
    kind: errors.ErrorKind, detail: str = ""
) -> httpserver.Response:
    """Return the HTTP response for an error."""
    body = {"error": bodies.make_error(errors.Failure(kind, detail))}
    return _make_response(errors.ANSWERS[kind].status, body)


def _make_response(status: int, body: typing.Any) -> httpserver.Response:
    return httpserver.Response(status, bodies.encode(body))


def _make_query_response(answer: events.AnswerQuery) -> httpserver.Response:
    outcome = answer.outcome
    body: dict[str, typing.Any] = {
        "answer_id": answer.answer_id,
        "revision": answer.revision,
        "versions": dict(outcome.versions),
        "coverage": {"covered": outcome.covered, "total": outcome.total},
        "missing": [_encode_missing(missing) for missing in outcome.missing],
    }
    if outcome.failure is not None:
        body["error"] = bodies.make_error(outcome.failure)
        return _make_response(errors.ANSWERS[outcome.failure.kind].status, body)
    body["rows"] = outcome.rows
    return _make_response(200, body)


def _encode_missing(missing: attempts.Missing) -> dict[str, typing.Any]:
    return {
        "service": missing.service,
        "start": missing.keys.start,
        "end": missing.keys.end,
        "reason": missing.reason,
    }


def _make_request_response(answer: events.AnswerRequest) -> httpserver.Response:
    if isinstance(answer.outcome, errors.Failure):
        return make_error_response(answer.outcome.kind, answer.outcome.detail)
    reply: requestdata.Reply = answer.outcome
    return httpserver.Response(reply.status, reply.body)
