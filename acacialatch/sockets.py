"""Options of TCP sockets."""

import socket

import trio

KEEP_ALIVE_PROBE_S = 1
"""Idle time and period of TCP keep-alive probes, in seconds."""

KEEP_ALIVE_PROBES = 2
SILENCE_MS = 2500
"""Time in milliseconds without acknowledgement that ends a connection."""


def enable_dead_peer_detection(connection: socket.socket | trio.SocketStream) -> None:
    """Make a connection fail when its other side stays silent.

    Parameters
    ----------
    connection : socket.socket or trio.SocketStream
        A TCP connection.
    """
    for level, option, value in (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_PROBE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_PROBE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS),
    ):
        connection.setsockopt(level, option, value)
