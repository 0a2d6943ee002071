"""Log of eliot messages to a file descriptor, with a fixed prefix for each part.

Messages wait in a bounded buffer that a trio task writes out. A sink that blocks or
fails makes messages drop; serving goes on.
"""

import collections
import contextlib
import enum
import os
import typing

import eliot
import msgspec
import trio

BUFFER_MAX_BYTES = 4 << 20
# An explanation record has 256 KiB at most, and JSON escapes its quotes.
MESSAGE_MAX_BYTES = 512 << 10
# Delay after an error of the sink, so that a lost sink costs no processor time.
RETRY_S = 1.0
# Longest time to write out the rest when the process stops.
CLOSE_TIMEOUT_S = 0.5


class Part(enum.Enum):
    """Prefix of the messages of each part."""

    AUDIT = "audit:"
    CONFIG = "config:"
    HTTP = "http:"
    MEMBERSHIP = "membership:"
    METRICS = "metrics:"
    PEER = "peer:"
    PROCESS = "process:"
    QUERY = "query:"
    RECORD = "record:"
    REQUEST = "request:"
    SERVER = "server:"


def write(part: Part, text: str, **fields: typing.Any) -> None:
    """Log one short sentence with fields.

    Parameters
    ----------
    part : Part
        Part of the system; its prefix goes before the sentence.
    text : str
        The sentence, the same for all messages of this kind.
    **fields
        Values of this occurrence. Values that JSON lacks are written by `repr`.
    """
    eliot.log_message(message_type=f"{part.value} {text}", **fields)


class Log:
    """Buffer between eliot and a file descriptor.

    Attributes
    ----------
    dropped : int
        Messages that were dropped so far, because the buffer was full, the message too
        large or not encodable, or the sink failed.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is set to non-blocking while `run` runs.
    limit : int
        Most bytes in the buffer.
    """

    def __init__(self, descriptor: int, limit: int = BUFFER_MAX_BYTES) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._limit = limit
        self._size = 0
        # Bytes of the first line that are written already.
        self._offset = 0
        self._lines: collections.deque[bytes] = collections.deque()
        self._filled = trio.Event()

    def take(self, message: dict[str, typing.Any]) -> None:
        """Take one message, as a destination of eliot. Never blocks, never raises."""
        try:
            line = msgspec.json.encode(message, enc_hook=repr) + b"\n"
        except Exception:
            # Any object may be a field, and its repr may raise any exception.
            self.dropped += 1
            return
        if len(line) > MESSAGE_MAX_BYTES or self._size + len(line) > self._limit:
            self.dropped += 1
            return
        self._lines.append(line)
        self._size += len(line)
        self._filled.set()

    async def run(self) -> None:
        """Write out messages until cancelled, then the rest for a bounded time."""
        with self._attach(), _unblock(self._descriptor):
            try:
                await self._drain()
            finally:
                with trio.move_on_after(CLOSE_TIMEOUT_S) as scope:
                    scope.shield = True
                    while self._lines:
                        await self._write_first()
                self.dropped += len(self._lines)

    @contextlib.contextmanager
    def _attach(self) -> typing.Iterator[None]:
        eliot.add_destinations(self.take)
        try:
            yield
        finally:
            eliot.remove_destination(self.take)

    async def _drain(self) -> None:
        while True:
            if not self._lines:
                self._filled = trio.Event()
                await self._filled.wait()
            await self._write_first()

    async def _write_first(self) -> None:
        line = self._lines[0]
        try:
            while self._offset < len(line):
                self._offset += await self._write_some(line[self._offset :])
        except (OSError, trio.BusyResourceError, trio.ClosedResourceError):
            self.dropped += 1
            self._remove_first()
            await trio.sleep(RETRY_S)
        else:
            self._remove_first()

    async def _write_some(self, data: bytes) -> int:
        await trio.lowlevel.checkpoint()
        while True:
            try:
                return os.write(self._descriptor, data)
            except BlockingIOError:
                await trio.lowlevel.wait_writable(self._descriptor)

    def _remove_first(self) -> None:
        self._size -= len(self._lines.popleft())
        self._offset = 0


@contextlib.contextmanager
def _unblock(descriptor: int) -> typing.Iterator[None]:
    """Make a descriptor non-blocking, which other processes may share, for a while."""
    was_blocking = True
    with contextlib.suppress(OSError):
        was_blocking = os.get_blocking(descriptor)
        os.set_blocking(descriptor, False)
    try:
        yield
    finally:
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, was_blocking)
