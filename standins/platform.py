"""Stand-in for the configuration service and the instance list of the platform.

docs/PLATFORM.md describes the protocol.
"""

import contextlib
import functools
import math
import pathlib
import typing
import urllib.parse

import fire
import h11
import msgspec
import trio

from acacialatch import model, sources

BODY_MAX_BYTES = sources.LIST_MAX_BYTES
# A connection without a request for this long is closed.
IDLE_TIMEOUT_S = 60.0
DELAY_MAX_S = 60.0
# Published texts that are kept, so that an older one can be served as a fault.
HISTORY_MAX = 1_000
_CHUNK_BYTES = 64 << 10


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults to simulate.

    Attributes
    ----------
    down : bool
        Connections that read are closed without an answer; publishing gets a 503.
    stale_revision : int or None
        Reads see the configuration as it was at this revision.
    delay_s : float
        Delay of each read in seconds.
    """

    down: bool = False
    stale_revision: int | None = None
    delay_s: typing.Annotated[float, msgspec.Meta(ge=0, le=DELAY_MAX_S)] = 0.0


class Reply(typing.NamedTuple):
    """An answer; status 0 closes the connection without one."""

    status: int
    body: bytes = b""
    revision: int | None = None


_CLOSE = Reply(0)


class Platform:
    """State of the stand-in.

    Attributes
    ----------
    reads : int
        Number of reads of the configuration and the instance list so far.

    Parameters
    ----------
    text : bytes or None
        Configuration text at the start.
    revision : int
        Its revision.
    """

    def __init__(self, text: bytes | None = None, revision: int = 1) -> None:
        self.reads = 0
        self._history: dict[int, bytes] = {} if text is None else {revision: text}
        self._revision = 0 if text is None else revision
        self._instances = b"[]"
        self._faults = Faults()
        self._changed = trio.Event()

    def publish(self, text: bytes) -> int:
        """Publish a configuration text and return its revision."""
        self._revision += 1
        self._history[self._revision] = text
        if len(self._history) > HISTORY_MAX:
            del self._history[min(self._history)]
        self._announce()
        return self._revision

    def set_instances(self, body: bytes) -> None:
        """Replace the instance list.

        Raises
        ------
        msgspec.MsgspecError
            If `body` is not a JSON list of instances.
        """
        msgspec.json.decode(body, type=list[sources.InstanceRecord])
        self._instances = body

    def set_faults(self, faults: Faults) -> None:
        """Replace the simulated faults."""
        self._faults = faults
        self._announce()

    async def answer(self, method: str, target: str, body: bytes) -> Reply:
        """Answer one request."""
        path, _, query = target.partition("?")
        routes = {
            ("GET", "/config"): functools.partial(self._get_config, query),
            ("GET", "/instances"): self._get_instances,
            ("PUT", "/config"): functools.partial(self._put_config, body),
            ("PUT", "/instances"): functools.partial(self._put_instances, body),
            ("PUT", "/faults"): functools.partial(self._put_faults, body),
        }
        route = routes.get((method, path))
        if route is None:
            paths = {known for _, known in routes}
            return Reply(405 if path in paths else 404)
        return await route()

    async def _get_config(self, query: str) -> Reply:
        values = dict(urllib.parse.parse_qsl(query))
        try:
            after = int(values.get("after", "-1"))
            wait_s = float(values.get("wait_s", "0"))
        except ValueError:
            return Reply(400)
        if not 0 <= wait_s <= sources.WAIT_MAX_S:
            return Reply(400)
        self.reads += 1
        await trio.sleep(self._faults.delay_s)
        with trio.move_on_after(wait_s):
            while not self._faults.down and self._find_visible() <= after:
                await self._changed.wait()
        visible = self._find_visible()
        if self._faults.down:
            return _CLOSE
        if visible <= after or visible not in self._history:
            return Reply(204)
        return Reply(200, self._history[visible], visible)

    async def _get_instances(self) -> Reply:
        self.reads += 1
        await trio.sleep(self._faults.delay_s)
        return _CLOSE if self._faults.down else Reply(200, self._instances)

    async def _put_config(self, body: bytes) -> Reply:
        if self._faults.down:
            return Reply(503)
        return Reply(200, msgspec.json.encode({"revision": self.publish(body)}))

    async def _put_instances(self, body: bytes) -> Reply:
        try:
            self.set_instances(body)
        except msgspec.MsgspecError as error:
            return Reply(400, str(error).encode())
        return Reply(204)

    async def _put_faults(self, body: bytes) -> Reply:
        try:
            self.set_faults(msgspec.json.decode(body, type=Faults))
        except msgspec.MsgspecError as error:
            return Reply(400, str(error).encode())
        return Reply(204)

    def _find_visible(self) -> int:
        stale = self._faults.stale_revision
        return min(self._revision, math.inf if stale is None else stale)

    def _announce(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


async def serve(
    platform: Platform,
    address: str,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until cancelled; `task_status` receives the address."""
    host, port = model.split_address(address)
    listeners = await trio.open_tcp_listeners(port, host=host)
    bound = model.join_address(*listeners[0].socket.getsockname()[:2])
    task_status.started(bound)
    handle = functools.partial(_serve_connection, platform)
    await trio.serve_listeners(handle, listeners)


async def _serve_connection(platform: Platform, stream: trio.SocketStream) -> None:
    connection = h11.Connection(h11.SERVER)
    broken = (trio.BrokenResourceError, h11.RemoteProtocolError, trio.TooSlowError)
    with contextlib.suppress(*broken):
        while connection.our_state is h11.IDLE:
            with trio.fail_after(IDLE_TIMEOUT_S):
                received = await _receive_request(connection, stream)
            if received is None:
                return
            request, body = received
            if len(body) > BODY_MAX_BYTES:
                reply = Reply(413)
            else:
                method, target = request.method.decode(), request.target.decode()
                reply = await platform.answer(method, target, body)
            if reply is _CLOSE:
                return
            await stream.send_all(_format_reply(connection, reply))
            if connection.our_state is h11.DONE and connection.their_state is h11.DONE:
                connection.start_next_cycle()


async def _receive_request(
    connection: h11.Connection, stream: trio.SocketStream
) -> tuple[h11.Request, bytes] | None:
    request, body = None, bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(_CHUNK_BYTES))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > BODY_MAX_BYTES:
                return request, bytes(body)
        elif isinstance(event, h11.EndOfMessage):
            return request, bytes(body)
        else:
            return None


def _format_reply(connection: h11.Connection, reply: Reply) -> bytes:
    headers = [("x-revision", str(reply.revision))] if reply.revision else []
    if reply.status != 204:
        headers.append(("content-length", str(len(reply.body))))
    if connection.their_state is not h11.DONE:
        headers.append(("connection", "close"))
    parts = [
        h11.Response(status_code=reply.status, headers=headers),
        h11.Data(data=reply.body),
        h11.EndOfMessage(),
    ]
    return b"".join(connection.send(part) for part in parts)


def run(address: str = "127.0.0.1:7900", text: str = "", revision: int = 1) -> None:
    """Serve until interrupted.

    Parameters
    ----------
    address : str
        IP address and port.
    text : str
        File with the configuration text at the start; none if empty.
    revision : int
        Revision of this text.
    """
    content = pathlib.Path(text).read_bytes() if text else None

    async def main() -> None:
        await serve(Platform(content, revision), address)

    with contextlib.suppress(KeyboardInterrupt):
        trio.run(main)


if __name__ == "__main__":
    fire.Fire(run)
