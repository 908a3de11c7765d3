"""Ports for servers of tests."""

from __future__ import annotations

import random
import socket

# Below the range from which systems take the ports of outgoing connections, so that
# none of these takes a port between the probe and the start of its server.
FIRST_PORT, LAST_PORT = 10_000, 18_000
ATTEMPTS = 100
# Several ports are often drawn before their servers start.
_drawn: set[int] = set()


def free_port(address: str = "127.0.0.1") -> int:
    """Return a port of an address that nobody uses now, another one each time."""
    # Test modules run at the same time, so no seed may be shared.
    draw = random.SystemRandom()
    for _ in range(ATTEMPTS):
        port = draw.randint(FIRST_PORT, LAST_PORT)
        if port in _drawn:
            continue
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((address, port))
            except OSError:
                continue
            _drawn.add(port)
            return port
    raise OSError(f"no free port of {address} in {ATTEMPTS} attempts")
