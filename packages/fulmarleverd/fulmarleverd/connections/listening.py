"""The listening socket for callers."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

# Connections that are accepted at a time. Each has a descriptor before the server can
# refuse it, so a large number could use up all descriptors.
ACCEPT_BATCH = 16
# Bytes that have been received but not read count as memory of the VM. The kernel
# doubles this number.
RECEIVE_BUFFER_BYTES = 65536


async def listen(
    protocol_factory: Callable[[], asyncio.BaseProtocol],
    host: str,
    port: int,
    backlog: int,
) -> asyncio.Server:
    """Listen on an address; ``backlog`` connections may wait to be accepted.

    Raise ``OSError`` if it cannot be bound. If accepting a connection fails for lack of
    descriptors, asyncio continues after a second.
    """
    loop = asyncio.get_running_loop()
    found = await loop.getaddrinfo(host, port, type=socket.SOCK_STREAM)
    family, _, _, _, address = found[0]
    sock = socket.create_server(address[:2], family=family, backlog=backlog)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    server = await loop.create_server(protocol_factory, sock=sock, backlog=ACCEPT_BATCH)
    # asyncio uses one number for the batch and the queue of the kernel.
    sock.listen(backlog)
    return server
