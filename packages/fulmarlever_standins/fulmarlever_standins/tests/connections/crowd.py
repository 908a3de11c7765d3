"""Clients that send requests without an end, and crowds of them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Iterable, Iterator

from fulmarlever.registry import Registry

# The sizes that a client of each kind sends, in bytes. A body of ``BODY_BYTES`` is the
# largest that the operator's default configuration allows.
BODY_BYTES = 262144
ENDLESS_BYTES = 400_000
FIELD_BYTES = 4000
PIECE_BYTES = 8192
SMALL_CHUNKS = 20_000
LARGE_CHUNK_BYTES = 60_000
EMPTY_LINE_BYTES = 64_000

# Every piece is written when the kernel has taken the one before, or the connection
# has been closed, or this time has passed because the daemon doesn't read.
SEND_LIMIT_S = 20.0

Target = tuple[str, str, str]
Pieces = Callable[[Target], Iterable[bytes]]
KINDS: Registry[Pieces] = Registry("kind of client")


def request_head(target: Target, *fields: str) -> bytes:
    """Return a request line and fields, without the empty line after them.

    ``target`` is the method, the path and the host.
    """
    method, path, host = target
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *fields]
    return "".join(f"{line}\r\n" for line in lines).encode()


def split(data: bytes, size: int) -> Iterator[bytes]:
    """Yield the pieces of ``size`` bytes that ``data`` consists of."""
    for start in range(0, len(data), size):
        yield data[start : start + size]


@KINDS.register("head without end")
def endless_head(target: Target) -> Iterator[bytes]:
    """Yield a request head with ever more fields."""
    yield request_head(target)
    for number in range(ENDLESS_BYTES // FIELD_BYTES):
        yield b"X-%d: " % number + b"v" * FIELD_BYTES + b"\r\n"


@KINDS.register("head over the limit")
def long_head(target: Target) -> Iterator[bytes]:
    """Yield a head of five times the limit whose last empty line is missing."""
    fields = (f"X-{number}: " + "v" * 720 for number in range(110))
    yield request_head(target, *fields)


@KINDS.register("empty lines")
def empty_lines(target: Target) -> Iterator[bytes]:
    """Yield empty lines, which may precede a request line, without a request."""
    yield from split(b"\r\n" * (EMPTY_LINE_BYTES // 2), PIECE_BYTES)


@KINDS.register("line without end")
def endless_line(target: Target) -> Iterator[bytes]:
    """Yield a request line without an end."""
    yield f"{target[0]} {target[1]}".encode()
    yield from split(b"x" * ENDLESS_BYTES, PIECE_BYTES)


@KINDS.register("body at once")
def whole_body(target: Target) -> Iterator[bytes]:
    """Yield a body of the largest legal size but for its last byte."""
    head = request_head(target, f"Content-Length: {BODY_BYTES}") + b"\r\n"
    yield head + b" " * (BODY_BYTES - 1)


@KINDS.register("body in pieces")
def body_in_pieces(target: Target) -> Iterator[bytes]:
    """Yield a body of the largest legal size in pieces, but for its last byte."""
    yield request_head(target, f"Content-Length: {BODY_BYTES}") + b"\r\n"
    yield from split(b" " * (BODY_BYTES - 1), PIECE_BYTES)


@KINDS.register("large chunks")
def large_chunks(target: Target) -> Iterator[bytes]:
    """Yield large chunks, the last of them short of its end."""
    yield request_head(target, "Transfer-Encoding: chunked") + b"\r\n"
    chunk = b"%x\r\n" % LARGE_CHUNK_BYTES + b" " * LARGE_CHUNK_BYTES + b"\r\n"
    yield from itertools.repeat(chunk, BODY_BYTES // LARGE_CHUNK_BYTES - 1)
    yield chunk[:-3]


@KINDS.register("small chunks")
def small_chunks(target: Target) -> Iterator[bytes]:
    """Yield chunks of one byte, without the last chunk."""
    yield request_head(target, "Transfer-Encoding: chunked") + b"\r\n"
    yield from split(b"1\r\n \r\n" * SMALL_CHUNKS, PIECE_BYTES)


class Crowd:
    """Connections that send what their kind of client sends and then stay open.

    ``kinds`` are used in turn, each by an equal number of the ``size`` connections.
    """

    def __init__(
        self, address: tuple[str, int], target: Target, kinds: Iterable[str], size: int
    ) -> None:
        self._address = address
        self._target = target
        self._kinds = list(itertools.islice(itertools.cycle(kinds), size))
        self._writers: list[asyncio.StreamWriter] = []

    async def run(self) -> None:
        """Send everything, or as much as the daemon takes."""
        clients = (asyncio.create_task(self._send(kind)) for kind in self._kinds)
        _, blocked = await asyncio.wait(list(clients), timeout=SEND_LIMIT_S)
        for client in blocked:
            client.cancel()
        await asyncio.gather(*blocked, return_exceptions=True)

    async def _send(self, kind: str) -> None:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(*self._address)
            self._writers.append(writer)
            for piece in KINDS.find(kind)(self._target):
                writer.write(piece)
                await writer.drain()

    def close(self) -> None:
        """Reset every connection."""
        for writer in self._writers:
            writer.transport.abort()
