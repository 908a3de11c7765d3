"""TCP socket options of the connections between daemons."""

from __future__ import annotations

import asyncio
import socket

UNACKNOWLEDGED_LIMIT_MS = 6000
KEEPALIVE = {"TCP_KEEPIDLE": 15, "TCP_KEEPINTVL": 5, "TCP_KEEPCNT": 3}


def configure_socket(writer: asyncio.StreamWriter) -> None:
    """Disable Nagle's algorithm and limit how long packets stay unacknowledged.

    The kernel of a frozen process still acknowledges packets until its buffers are
    full, so the limit closes connections across a network partition and those whose
    peer reads nothing while there is more to send. Options that the operating system
    does not have are skipped.
    """
    sock = writer.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name, value in (
        KEEPALIVE | {"TCP_USER_TIMEOUT": UNACKNOWLEDGED_LIMIT_MS}
    ).items():
        if hasattr(socket, name):
            sock.setsockopt(socket.IPPROTO_TCP, getattr(socket, name), value)
