"""Tests of the platform clients against the stand-in and against faulty servers."""

import contextlib
import functools

import msgspec
import pytest
import trio

from acacialatch import errors, messages, model, sources
from standins import platform

Kind = errors.SourceErrorKind
TEST_TIMEOUT_S = 5.0
ENTRY = {
    "name": "e1",
    "role": "entry",
    "zone": "Ba",
    "address": "127.0.0.1:1",
    "peer_address": "127.0.0.1:2",
    "state": "leaving",
}


async def start_platform(nursery, stand_in):
    return await nursery.start(platform.serve, stand_in, "127.0.0.1:0")


async def send_put(address, path, body):
    """Send a PUT request and return the first line of the answer."""
    stream = await trio.open_tcp_stream(*model.split_address(address))
    async with stream:
        head = f"PUT {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {len(body)}\r\n\r\n"
        await stream.send_all(head.encode() + body)
        return (await stream.receive_some()).split(b"\r\n")[0]


async def test_configuration_is_read_and_watched(nursery):
    """Guards against a watch that misses a change or reports one that did not occur."""
    with trio.fail_after(TEST_TIMEOUT_S):
        stand_in = platform.Platform(b"first")
        address = await start_platform(nursery, stand_in)
        source = sources.HttpConfigurationSource(address)
        first = messages.ConfigurationText(revision=1, text=b"first")
        assert (await source.read(0, 0.0)).unwrap() == first
        assert (await source.read(1, 0.05)).unwrap() is None
        answers = []

        async def watch(after):
            answers.append(await source.read(after, 30.0))

        async with trio.open_nursery() as watchers:
            for _ in range(3):
                watchers.start_soon(watch, 1)
            while stand_in.reads < 5:
                await trio.lowlevel.checkpoint()
            large = bytes(messages.TEXT_MAX_BYTES)
            assert await send_put(address, "/config", large) == b"HTTP/1.1 200 "
        second = messages.ConfigurationText(revision=2, text=large)
        assert [answer.unwrap() for answer in answers] == [second] * 3


async def test_instances_are_listed(nursery):
    """Guards against lost or swapped fields, and a list that is only partly decoded."""
    stand_in = platform.Platform()
    address = await start_platform(nursery, stand_in)
    source = sources.HttpInstanceSource(address)
    assert (await source.list()).unwrap() == ()
    body = msgspec.json.encode([ENTRY, {**ENTRY, "role": "server"}])
    assert await send_put(address, "/instances", body) == b"HTTP/1.1 204 "
    listed = (await source.list()).unwrap()
    roles = [model.InstanceRole.ENTRY, model.InstanceRole.SERVER]
    assert [item.role for item in listed] == roles
    assert listed[0] == model.ListedInstance(
        "e1", roles[0], "Ba", "127.0.0.1:1", "127.0.0.1:2", model.InstanceState.LEAVING
    )
    wrong = msgspec.json.encode([ENTRY, {**ENTRY, "role": "other"}])
    assert await send_put(address, "/instances", wrong) == b"HTTP/1.1 400 "
    stand_in._instances = wrong
    assert (await source.list()).unwrap_err().kind == Kind.MALFORMED


async def test_faults_of_the_platform(nursery, monkeypatch):
    """Guards against an outage that raises, blocks or is taken for an answer."""
    monkeypatch.setattr(sources, "ANSWER_TIMEOUT_S", 0.3)
    stand_in = platform.Platform(b"first")
    stand_in.publish(b"second")
    address = await start_platform(nursery, stand_in)
    source = sources.HttpConfigurationSource(address)
    listing = sources.HttpInstanceSource(address)

    async def set_faults(body):
        assert await send_put(address, "/faults", body) == b"HTTP/1.1 204 "

    await set_faults(b'{"stale_revision": 1}')
    assert (await source.read(0, 0.0)).unwrap().revision == 1
    assert (await source.read(1, 0.0)).unwrap() is None
    await set_faults(b'{"down": true}')
    assert await send_put(address, "/config", b"third") == b"HTTP/1.1 503 "
    assert (await source.read(0, 5.0)).unwrap_err().kind == Kind.UNREACHABLE
    assert (await listing.list()).unwrap_err().kind == Kind.UNREACHABLE
    await set_faults(b'{"delay_s": 5.0}')
    assert (await source.read(0, 0.0)).unwrap_err().kind == Kind.TIMEOUT
    await set_faults(b"{}")
    assert (await source.read(0, 0.0)).unwrap().revision == 2
    assert await send_put(address, "/faults", b'{"delay_s": -1}') == b"HTTP/1.1 400 "


HEAD = b"HTTP/1.1 200 OK\r\nx-revision: 3\r\n"
ANSWERS = [
    (HEAD + b"content-length: 2\r\n\r\nab", None),
    (HEAD + b"content-length: 9\r\n\r\nab", Kind.UNREACHABLE),
    (HEAD + b"connection: close\r\n\r\nab", Kind.MALFORMED),
    (HEAD + b"x-revision: 4\r\ncontent-length: 2\r\n\r\nab", Kind.MALFORMED),
    (HEAD.replace(b"3", b"-3") + b"content-length: 0\r\n\r\n", Kind.MALFORMED),
    (HEAD.replace(b"3", b"9" * 19) + b"content-length: 0\r\n\r\n", Kind.MALFORMED),
    (HEAD.replace(b"3", b"9" * 9999) + b"content-length: 0\r\n\r\n", Kind.MALFORMED),
    (HEAD + b"x-fill: " + bytes(20_000), Kind.MALFORMED),
    (HEAD + b"content-length: 2000000\r\n\r\n" + bytes(2_000_000), Kind.TOO_LARGE),
    (b"HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n", Kind.STATUS),
    (b"\x00\x01garbage\r\n\r\n", Kind.MALFORMED),
    (None, Kind.TIMEOUT),
]


@pytest.mark.parametrize(("answer", "kind"), ANSWERS, ids=range(len(ANSWERS)))
async def test_faulty_answers(nursery, monkeypatch, answer, kind):
    """Guards against using a truncated, oversized, malformed or missing answer."""
    monkeypatch.setattr(sources, "ANSWER_TIMEOUT_S", 0.2 if answer is None else 2.0)

    async def handle(stream):
        await stream.receive_some()
        if answer is None:
            await trio.sleep_forever()
        try:
            await stream.send_all(answer)
        except trio.BrokenResourceError:
            assert kind in (Kind.TOO_LARGE, Kind.MALFORMED)

    serve = functools.partial(trio.serve_tcp, handle, 0, host="127.0.0.1")
    listeners = await nursery.start(serve)
    port = listeners[0].socket.getsockname()[1]
    source = sources.HttpConfigurationSource(f"127.0.0.1:{port}")
    got = await source.read(0, 0.0)
    assert (got.unwrap_err().kind if got.is_err() else None) == kind


async def test_closed_port_is_unreachable():
    """Guards against an exception while the platform is not running."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    await listeners[0].aclose()
    source = sources.HttpConfigurationSource(f"127.0.0.1:{port}")
    assert (await source.read(0, 0.0)).unwrap_err().kind == Kind.UNREACHABLE


@pytest.mark.parametrize(
    "repeated",
    [b"HTTP/1.1 100 Continue\r\n\r\n" * 1000, b"a: b\r\n" * 5000],
)
async def test_endless_answer_is_given_up(nursery, repeated):
    """Guards against an answer without end that takes the time of other requests."""

    async def answer_endlessly(stream):
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            while True:
                await stream.send_all(repeated)

    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, answer_endlessly, [listener])
    port = listener.socket.getsockname()[1]
    with trio.fail_after(TEST_TIMEOUT_S):
        answer = await sources.fetch(f"127.0.0.1:{port}", "/", 1000, 60.0)
    assert answer.err_value.kind is Kind.MALFORMED
