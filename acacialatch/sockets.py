"""Options of TCP sockets."""

import socket

import trio

KEEP_ALIVE_INTERVAL_S = 1
"""Idle time before the first keep-alive probe and interval of probes, in seconds."""

KEEP_ALIVE_PROBES_MAX = 2
"""Unanswered keep-alive probes that end a connection."""

USER_TIMEOUT_MS = 2500
"""Time for which sent data may stay unacknowledged (TCP_USER_TIMEOUT), in ms."""


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
