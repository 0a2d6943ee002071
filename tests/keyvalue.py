"""Stand-in for the metadata store of the platform, and the items that it holds."""

import base64
import json
import typing
import urllib.parse

import result
import trio
from adapter import kvstore

from acacialatch import errors, httpserver, sources

PART_ITEMS_MAX = 500
"""Most items or events of one answer."""


class Event(typing.NamedTuple):
    """A change; `value` is None for a removal."""

    revision: int
    key: str
    value: bytes | None


class KeyValueStore:
    """Items, their history, and simulated faults.

    Attributes
    ----------
    revision : int
        Revision of the last change.
    watches, reads : int
        Watches and reads of a page so far.
    refusals : int
        Calls that are still to be answered with `refusal_status`.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.watches = self.reads = 0
        self.refusals = 0
        self.refusal_status = 429
        self._items: dict[str, Event] = {}
        self._history: list[Event] = []
        self._oldest = 0
        self._changed = trio.Event()
        self._cut = trio.Event()
        self._lost = trio.Event()

    def put(self, key: str, value: dict[str, typing.Any]) -> int:
        """Write an item; return its revision."""
        return self._record(key, json.dumps(value).encode())

    def put_bytes(self, key: str, value: bytes) -> int:
        """Write an item of another writer; return its revision."""
        return self._record(key, value)

    def remove(self, key: str) -> int:
        """Remove an item; return the revision of the removal."""
        return self._record(key, None)

    def drop_history(self) -> None:
        """Forget all changes so far, and cut the watches that wait."""
        self._history.clear()
        self._oldest = self.revision
        self.cut_watches()

    def lose_watches(self) -> None:
        """Never answer the watches that wait, and refuse the next call."""
        self._lost.set()
        self._lost = trio.Event()
        self.refusals = 1

    def cut_watches(self) -> None:
        """Cut the watches that wait."""
        self._cut.set()
        self._cut = trio.Event()

    def _record(self, key: str, value: bytes | None) -> int:
        self.revision += 1
        event = Event(self.revision, key, value)
        if value is None:
            self._items.pop(key, None)
        else:
            self._items[key] = event
        self._history.append(event)
        self._changed.set()
        self._changed = trio.Event()
        return self.revision

    async def answer(self, request: httpserver.Request) -> httpserver.Response:
        """Answer a range or a watch."""
        query = dict(urllib.parse.parse_qsl(request.query))
        if self.refusals:
            self.refusals -= 1
            return httpserver.Response(self.refusal_status, b"{}")
        if request.path == "/kv-range":
            self.reads += 1
            return self._answer_range(query.get("prefix", ""), query.get("after", ""))
        self.watches += 1
        return await self._answer_watch(
            int(query["after"]), int(query["wait_ms"]) / 1000
        )

    def _answer_range(self, prefix: str, after: str) -> httpserver.Response:
        keys = sorted(key for key in self._items if key.startswith(prefix))
        rest = [key for key in keys if key > after]
        page = {
            "items": [_encode(self._items[key]) for key in rest[:PART_ITEMS_MAX]],
            "has_more": len(rest) > PART_ITEMS_MAX,
            "at_revision": self.revision,
        }
        return httpserver.Response(200, json.dumps(page).encode())

    async def _answer_watch(self, after: int, wait_s: float) -> httpserver.Response:
        cut, lost = self._cut, self._lost
        with trio.move_on_after(wait_s):
            while self.revision <= after and not cut.is_set():
                await self._wait_for_change(cut)
        if lost.is_set():
            await trio.sleep_forever()
        if cut.is_set():
            raise ConnectionResetError
        if after < self._oldest:
            return httpserver.Response(410, b"{}")
        events = [event for event in self._history if event.revision > after]
        events = events[:PART_ITEMS_MAX]
        answer = {
            "events": [_encode(event) for event in events],
            "at_revision": events[-1].revision if events else self.revision,
        }
        return httpserver.Response(200, json.dumps(answer).encode())

    async def _wait_for_change(self, cut: trio.Event) -> None:
        async with trio.open_nursery() as nursery:

            async def wait(event: trio.Event) -> None:
                await event.wait()
                nursery.cancel_scope.cancel()

            nursery.start_soon(wait, cut)
            await wait(self._changed)


def _encode(event: Event) -> dict[str, typing.Any]:
    if event.value is None:
        return {"key": event.key, "revision": event.revision, "compacted": True}
    value = base64.b64encode(event.value).decode()
    return {"key": event.key, "revision": event.revision, "value": value}


async def serve(
    served: KeyValueStore,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; `task_status` receives the address."""

    def make_error(kind: str) -> httpserver.Response:
        return httpserver.Response(500, kind.encode())

    server = httpserver.Server(served.answer, make_error)
    listener = await httpserver.listen("127.0.0.1:0")
    host, port = listener.socket.getsockname()
    async with trio.open_nursery() as nursery:
        task_status.started(f"{host}:{port}")
        await httpserver.serve_listener(server, listener, nursery)


class DirectStore(kvstore.PlatformStore):
    """Client of a store in the same process, for tests in virtual time.

    Parameters
    ----------
    served : KeyValueStore
        The store.
    call_timeout_s : float
        Timeout of a call beyond its wait, in seconds.
    delay_s : float
        Time that an answer takes, in seconds.
    """

    def __init__(
        self, served: KeyValueStore, call_timeout_s: float, delay_s: float = 0.004
    ) -> None:
        super().__init__("127.0.0.1:1", call_timeout_s)
        self._served = served
        self._delay_s = delay_s

    async def _call(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> result.Result[sources.Answer, errors.SourceFailure]:
        text = urllib.parse.urlencode(query)
        request = httpserver.Request("GET", path, text, {}, b"", "127.0.0.1")
        kind = errors.SourceErrorKind.TIMEOUT
        with trio.move_on_after(timeout_s):
            try:
                await trio.sleep(self._delay_s)
                response = await self._served.answer(request)
            except ConnectionResetError:
                kind = errors.SourceErrorKind.UNREACHABLE
            else:
                if response.status in (200, 410):
                    answer = sources.Answer(response.status, "", response.body)
                    return result.Ok(answer)
                kind = errors.SourceErrorKind.STATUS
        return result.Err(errors.SourceFailure(kind, path))


def make_deployment(
    version: int, routes: typing.Sequence[dict[str, typing.Any]] = ()
) -> dict[str, typing.Any]:
    """Return the item of a deployment with routes."""
    names: set[str] = set()
    for route in routes:
        names.update(route.get("fan_out_services") or [route["service"]])
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 65536,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 10000,
    }
    services = [
        {"name": one, "max_connections": 40, "cold_per_s": 2} for one in sorted(names)
    ]
    return {
        "version": version,
        "routes": list(routes),
        "services": services,
        "limits": limits,
    }


def make_route(
    name: str, service: str, kind: str = "idempotent", timeout_ms: int = 2000
) -> dict[str, typing.Any]:
    """Return a route of an item: requests under `/NAME/` go to one service."""
    return {
        "name": name,
        "host": "a.example",
        "prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 200,
        "priority": 1,
        "max_attempts": 2,
        "service": service,
    }


def make_server(service: str, address: str, **fields: typing.Any) -> dict[str, object]:
    """Return the registration of a backend server."""
    return {
        "service": service,
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": 1,
        **fields,
    }
