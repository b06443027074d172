"""Options of TCP sockets: silent peers are noticed, and connections can be reset on a close."""

import socket
import struct

__all__ = ["set_options", "set_reset_on_close"]

KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Value of SO_LINGER: it is set, with no time to send what is left.
LINGER_OFF = struct.pack("ii", 1, 0)


def set_options(sock: socket.socket, timeout_ms: int) -> None:
    """Let the kernel close a connection whose peer is silent, also during a write.

    Args:
      sock: The TCP socket.
      timeout_ms: Longest time in milliseconds for which sent data may stay unacknowledged.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def set_reset_on_close(sock: socket.socket) -> None:
    """Let the kernel reset the connection when the socket is closed, without sending the rest."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
