"""Tests for acacialatch.logs."""

import contextlib
import fcntl
import json
import os

import pytest
import trio
import trio.testing

from acacialatch import audit, logs


@contextlib.contextmanager
def open_pipe():
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
    try:
        yield reader, writer
    finally:
        for descriptor in (reader, writer):
            with contextlib.suppress(OSError):
                os.close(descriptor)


async def read_lines(reader, count):
    """Return the next `count` messages."""
    data = b""
    while data.count(b"\n") < count:
        await trio.lowlevel.wait_readable(reader)
        data += os.read(reader, 4096)
    assert data.endswith(b"\n")
    return [json.loads(line) for line in data.splitlines()]


@contextlib.asynccontextmanager
async def run(log):
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(log.run)
            await trio.testing.wait_all_tasks_blocked()
            yield
            nursery.cancel_scope.cancel()


class Unprintable:
    """A field value whose `repr` raises."""

    def __repr__(self):
        raise RuntimeError("no text")


async def test_messages_have_prefix_and_fields():
    """Guards against lost or truncated messages, and a field that ends the process."""
    with open_pipe() as (reader, writer):
        log = logs.Log(writer)
        async with run(log):
            logs.write(logs.Part.CONFIG, "Revision accepted.", revision=7, odd={1, 2})
            logs.write(logs.Part.QUERY, "Query failed.", odd=Unprintable())
            change = audit.Change("server a", "ready", "cold", "restarted", 1.5)
            audit.LogAuditSink().record(change)
            first, second = await read_lines(reader, 2)
        assert first["message_type"] == "config: Revision accepted."
        assert first["revision"] == 7
        assert second["message_type"] == "audit: State changed."
        assert {second[name] for name in ("before", "after")} == {"ready", "cold"}
        assert log.dropped == 1
        assert os.get_blocking(writer)


async def test_blocked_sink_drops_and_recovers():
    """Guards against blocking and unbounded memory use while a pipe is full."""
    with open_pipe() as (reader, writer):
        log = logs.Log(writer, limit=20_000)
        async with run(log):
            for number in range(-80, 0):
                logs.write(logs.Part.SERVER, "Server changed.", number=number)
            await trio.testing.wait_all_tasks_blocked()
            early = await read_lines(reader, 80)
            assert [message["number"] for message in early] == list(range(-80, 0))
            assert log.dropped == 0
            for number in range(500):
                logs.write(logs.Part.SERVER, "Server changed.", number=number)
                if number % 50 == 0:
                    await trio.lowlevel.checkpoint()
            assert 300 < log.dropped < 500
            kept = 500 - log.dropped
            messages = await read_lines(reader, kept)
            numbers = [message["number"] for message in messages]
            assert len(numbers) == kept
            assert numbers == sorted(set(numbers))
            logs.write(logs.Part.SERVER, "Server changed.", number=500)
            assert (await read_lines(reader, 1))[0]["number"] == 500


@pytest.mark.parametrize("close", ["reader", "writer"])
async def test_failing_sink_drops_messages(autojump_clock, close):
    """Guards against a sink error that ends the process or blocks a task."""
    with open_pipe() as (reader, writer):
        log = logs.Log(writer, limit=20_000)
        async with run(log):
            os.close(reader if close == "reader" else writer)
            for _ in range(3):
                logs.write(logs.Part.PEER, "Peer lost.")
                await trio.sleep(2 * logs.SINK_RETRY_DELAY_S)
            assert log.dropped == 3
        async with run(logs.Log(writer)):
            logs.write(logs.Part.PEER, "Peer lost.")


async def test_buffer_is_written_or_counted_on_cancel():
    """Guards against final messages lost without being counted on process stop."""
    with open_pipe() as (reader, writer):
        log = logs.Log(writer)
        async with run(log):
            logs.write(logs.Part.PROCESS, "Process stops.")
        assert len(await read_lines(reader, 1)) == 1
        log = logs.Log(writer)
        async with run(log):
            for _ in range(100):
                logs.write(logs.Part.PROCESS, "Process stops.")
        assert 0 < log.dropped < 100
