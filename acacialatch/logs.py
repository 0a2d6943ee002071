"""Writes eliot messages to a file descriptor, with a fixed prefix for each component.

Messages are queued in a bounded buffer that a trio task writes out. While the sink
blocks or fails, messages are dropped so that requests are still served.
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
# An explanation record has at most 256 KiB; escaping its quotes in JSON adds to it.
MESSAGE_MAX_BYTES = 512 << 10
# Delay after an error of the sink, so that a broken sink does not cause a busy loop.
SINK_RETRY_DELAY_S = 1.0
# Time limit for writing out the buffer when the process stops.
CLOSE_TIMEOUT_S = 0.5


class Part(enum.Enum):
    """Components that write log messages; the value is the message prefix."""

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
    """Log a message with fields.

    Parameters
    ----------
    part : Part
        Component that logs; its prefix is put before the text.
    text : str
        Short sentence that is the same for all messages of this kind.
    **fields
        Values of this occurrence. Values that JSON cannot express are written as their
        `repr`.
    """
    eliot.log_message(message_type=f"{part.value} {text}", **fields)


class Log:
    """Bounded buffer between eliot and a file descriptor.

    Attributes
    ----------
    dropped : int
        Messages dropped so far because the buffer was full, the message was too large
        or could not be encoded, or the sink failed.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is non-blocking while `run` runs.
    limit : int
        Largest size of the buffer in bytes.
    """

    def __init__(self, descriptor: int, limit: int = BUFFER_MAX_BYTES) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._limit = limit
        self._buffered_bytes = 0
        # Number of bytes of the first line that have been written.
        self._first_written = 0
        self._lines: collections.deque[bytes] = collections.deque()
        self._line_added = trio.Event()

    def handle_message(self, message: dict[str, typing.Any]) -> None:
        """Queue a message or drop it; the destination function for eliot.

        Never blocks and never raises.
        """
        try:
            line = msgspec.json.encode(message, enc_hook=repr) + b"\n"
        except Exception:
            # A field may be any object, and its repr may raise any exception.
            self.dropped += 1
            return
        if (
            len(line) > MESSAGE_MAX_BYTES
            or self._buffered_bytes + len(line) > self._limit
        ):
            self.dropped += 1
            return
        self._lines.append(line)
        self._buffered_bytes += len(line)
        self._line_added.set()

    async def run(self) -> None:
        """Write messages until cancelled, then the rest within `CLOSE_TIMEOUT_S`."""
        with self._register_destination(), _set_nonblocking(self._descriptor):
            try:
                await self._write_lines()
            finally:
                with trio.move_on_after(CLOSE_TIMEOUT_S) as scope:
                    scope.shield = True
                    while self._lines:
                        await self._write_first_line()
                self.dropped += len(self._lines)

    @contextlib.contextmanager
    def _register_destination(self) -> typing.Iterator[None]:
        eliot.add_destinations(self.handle_message)
        try:
            yield
        finally:
            eliot.remove_destination(self.handle_message)

    async def _write_lines(self) -> None:
        while True:
            if not self._lines:
                self._line_added = trio.Event()
                await self._line_added.wait()
            await self._write_first_line()

    async def _write_first_line(self) -> None:
        """Write the first line of the buffer; drop it and pause if the sink fails."""
        line = self._lines[0]
        try:
            while self._first_written < len(line):
                self._first_written += await self._write_some(
                    line[self._first_written :]
                )
        except (OSError, trio.BusyResourceError, trio.ClosedResourceError):
            self.dropped += 1
            self._remove_first_line()
            await trio.sleep(SINK_RETRY_DELAY_S)
        else:
            self._remove_first_line()

    async def _write_some(self, data: bytes) -> int:
        await trio.lowlevel.checkpoint()
        while True:
            try:
                return os.write(self._descriptor, data)
            except BlockingIOError:
                await trio.lowlevel.wait_writable(self._descriptor)

    def _remove_first_line(self) -> None:
        self._buffered_bytes -= len(self._lines.popleft())
        self._first_written = 0


@contextlib.contextmanager
def _set_nonblocking(descriptor: int) -> typing.Iterator[None]:
    """Make a descriptor non-blocking, and restore its mode afterwards.

    Other processes may share the descriptor and expect its original mode.
    """
    was_blocking = True
    with contextlib.suppress(OSError):
        was_blocking = os.get_blocking(descriptor)
        os.set_blocking(descriptor, False)
    try:
        yield
    finally:
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, was_blocking)
