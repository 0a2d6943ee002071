"""Gossip of membership digests between entry instances over UDP."""

import contextlib
import typing

import msgspec
import result
import trio

from acacialatch import decoding, defects, logs, members, sockets

# Below the 65,507 bytes that a UDP datagram can carry over IPv4.
DATAGRAM_BYTES_MAX = 60_000
_RECEIVE_BYTES = 65_536
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(members.Digest)


ListLimits = typing.Callable[[float], tuple[members.LimitNews, ...]]
OnLimits = typing.Callable[[float, tuple[members.LimitNews, ...]], None]


class Gossip:
    """Sends and receives the membership digests of one entry instance.

    Attributes
    ----------
    malformed : int
        Datagrams that could not be decoded.

    Parameters
    ----------
    table : members.MemberTable
        Members known to this instance.
    on_change : callable
        Called after a digest was merged into the table.
    list_limits : callable
        Returns what others should know at a time of the rate limits of servers.
    on_limits : callable
        Called with the time and what another instance knows of them.
    defect_log : defects.DefectLog or None
        Receives unexpected exceptions; None makes a new one.
    """

    def __init__(
        self,
        table: members.MemberTable,
        on_change: typing.Callable[[], None],
        list_limits: ListLimits = lambda now: (),
        on_limits: OnLimits = lambda now, news: None,
        defect_log: defects.DefectLog | None = None,
    ):
        self._table = table
        self._on_change = on_change
        self._list_limits = list_limits
        self._on_limits = on_limits
        self._defects = defect_log or defects.DefectLog()
        self._socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        self.malformed = 0

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Send digests every `members.PERIOD_S` and answer received ones.

        Runs until cancelled.

        Raises
        ------
        OSError
            If the gossip address cannot be bound.
        """
        address = self._table.own.gossip_address
        await sockets.wait_until_bound(
            address, lambda: self._socket.bind(_split_address(address))
        )
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._defects.keep_running, "gossip receiver", self._receive
            )
            await self._defects.keep_running("gossip sender", self._send_periodically)

    async def _send_periodically(self) -> None:
        while True:
            now = trio.current_time()
            own_zone, other_zones = self._table.choose_targets(now)
            await self._send(self._table.make_digest(now), own_zone)
            if other_zones:
                await self._send(self._table.make_digest(now, near=False), other_zones)
            await trio.sleep(members.PERIOD_S)

    async def send_digest(self, targets: typing.Iterable[str]) -> None:
        """Send a digest at once, outside the period."""
        await self._send(self._table.make_digest(trio.current_time()), targets)

    async def _send(
        self, digest: members.Digest, targets: typing.Iterable[str]
    ) -> None:
        limits = self._list_limits(trio.current_time())
        data = _ENCODER.encode(digest._replace(limits=limits))
        if len(data) > DATAGRAM_BYTES_MAX:
            logs.write(logs.Part.MEMBERSHIP, "digest is too large", bytes=len(data))
            return
        for address in targets:
            # The digest of the next period makes up for a lost one.
            with contextlib.suppress(OSError):
                await self._socket.sendto(data, _split_address(address))

    async def _receive(self) -> None:
        """Merge received digests; one that fails does not end the process."""
        while True:
            try:
                data, (host, port) = await self._socket.recvfrom(_RECEIVE_BYTES)
            except OSError:
                # The ICMP error of an earlier datagram that met a closed port.
                continue
            digest = decoding.decode(_DECODER.decode, data)
            if isinstance(digest, result.Err):
                self.malformed += 1
                continue
            try:
                await self._merge(digest.ok_value, f"{host}:{port}")
            except Exception as error:
                self.malformed += 1
                logs.write(logs.Part.MEMBERSHIP, "digest failed", error=repr(error))

    async def _merge(self, digest: members.Digest, sender: str) -> None:
        """Merge a digest; reply if either side does not know all members."""
        now = trio.current_time()
        wants_all = self._table.merge_digest(now, digest)
        self._on_limits(now, digest.limits)
        if wants_all or digest.wants_all:
            reply = self._table.make_digest(now, digest.wants_all, wants_all)
            await self._send(reply, [sender])
        self._on_change()


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
