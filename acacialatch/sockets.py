"""Options of TCP sockets, and addresses that are not free yet."""

import errno
import socket
import typing

import trio

from acacialatch import logs

KEEP_ALIVE_INTERVAL_S = 1
"""Idle time before the first keep-alive probe and interval of probes, in seconds."""

KEEP_ALIVE_PROBES_MAX = 2
"""Unanswered keep-alive probes that end a connection."""

USER_TIMEOUT_MS = 2500
"""Time for which sent data may stay unacknowledged (TCP_USER_TIMEOUT), in ms."""

BIND_TIMEOUT_S = 8.0
"""Time in seconds for which an address may be in use or not set up yet.

A process that is being replaced may hold it until its planned stop is over.
"""

BIND_RETRY_PERIOD_S = 0.1
"""Time between attempts to bind an address, in seconds."""

_NOT_FREE_YET = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})

_Bound = typing.TypeVar("_Bound")


async def wait_until_bound(
    address: str, bind: typing.Callable[[], typing.Awaitable[_Bound]]
) -> _Bound:
    """Bind an address, and wait for `BIND_TIMEOUT_S` if it is not free yet.

    Parameters
    ----------
    address : str
        IP address and port, for messages.
    bind : callable
        Binds the address; called until it succeeds.

    Returns
    -------
    object
        What `bind` returned.

    Raises
    ------
    OSError
        The address cannot be bound; the error names it.
    """
    until = trio.current_time() + BIND_TIMEOUT_S
    is_logged = False
    while True:
        try:
            return await bind()
        except OSError as error:
            if error.errno not in _NOT_FREE_YET or trio.current_time() >= until:
                raise OSError(error.errno, error.strerror, address) from error
            if not is_logged:
                reason = error.strerror
                logs.write(
                    logs.Part.PROCESS, "address waits", address=address, reason=reason
                )
                is_logged = True
        await trio.sleep(BIND_RETRY_PERIOD_S)


def enable_dead_peer_detection(connection: socket.socket | trio.SocketStream) -> None:
    """Make a connection fail soon after its peer stops responding.

    Sets keep-alive probes for an idle connection and a time limit for unacknowledged
    data. Also disables Nagle's algorithm.

    Parameters
    ----------
    connection : socket.socket or trio.SocketStream
        A TCP connection.
    """
    for level, option, value in (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES_MAX),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        connection.setsockopt(level, option, value)
