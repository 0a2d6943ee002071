"""Tests of the exchange of digests over UDP."""

import msgspec
import pytest
import trio

from acacialatch import gossip, members


def make_member(name, port, incarnation=1):
    address = f"127.0.0.1:{port}"
    return members.Member(name, incarnation, 0, "c", address, "z", True)


async def find_free_port():
    with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as probe:
        await probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@pytest.mark.parametrize(
    "datagram",
    [
        b"",
        b"noise",
        msgspec.msgpack.encode([[], [], False]),
        msgspec.msgpack.encode([[["a", (1 << 64) - 1, 0]], [], False]),
        msgspec.msgpack.encode(
            members.Digest([make_member("own", 1, (1 << 64) - 1)], [], True)
        ),
        msgspec.msgpack.encode(
            members.Digest([make_member("other", 70_000)], [[1, 1]], True)
        ),
    ],
)
async def test_malformed_datagram_does_not_end_the_gossip(nursery, datagram):
    """Guards against one malformed digest that ends the process."""
    own = make_member("own", await find_free_port())
    table = members.MemberTable(own, (), 1)
    await nursery.start(gossip.Gossip(table, lambda: None).run)
    with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as sender:
        await sender.bind(("127.0.0.1", 0))
        target = ("127.0.0.1", int(own.gossip_address.rpartition(":")[2]))
        await sender.sendto(datagram, target)
        peer = make_member("peer", sender.getsockname()[1])
        digest = members.Digest([peer], [], True)
        await sender.sendto(msgspec.msgpack.encode(digest), target)
        with trio.fail_after(5):
            while "peer" not in {one.name for one in table.list_ready(0.0)}:
                await trio.sleep(0.01)
