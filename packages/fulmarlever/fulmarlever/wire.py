"""Authenticated, length-prefixed msgpack frames over a TCP stream.

Each side opens with a preamble (magic and protocol version). The dialler's hello is
keyed with the shared secret and the acceptor's welcome also with the hello's nonce.
Every later frame carries a digest keyed with the secret, both nonces and the direction,
over its sequence number and body; a replayed, reordered or altered frame fails it.
"""

from __future__ import annotations

import asyncio
import secrets
import struct
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b
from hmac import compare_digest
from typing import Any

import msgpack

from fulmarlever.exceptions import FrameError

PROTOCOL_VERSION = 1
MAGIC = b"flvr"
PREAMBLE = struct.Struct("!4sH")
LENGTH = struct.Struct("!I")
DIGEST_BYTES = 16
NONCE_BYTES = 16
MAX_HELLO_BYTES = 1 << 10
MAX_FRAME_BYTES = 8 << 20
MAX_UNSENT_BYTES = 2 << 20
SMALL_RESERVE_BYTES = 256 << 10


class Fault(StrEnum):
    """Why a frame or a connection was refused."""

    MALFORMED = "malformed"
    OVERSIZED = "oversized"
    TRUNCATED = "truncated"
    DIGEST = "digest"
    VERSION = "version"
    STALE = "stale"
    BUSY = "busy"
    REFUSED = "refused"


class WireError(FrameError):
    """A fault of a frame or of the handshake; ``fault`` names its kind."""

    def __init__(self, fault: Fault, detail: str) -> None:
        super().__init__(f"{fault}: {detail}")
        self.fault = fault


class Sealer:
    """The digests of the frames of one direction of one connection."""

    __slots__ = ("_key", "_sequence")

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._sequence = 0

    @classmethod
    def from_secret(cls, secret: str, *parts: bytes) -> Sealer:
        """Derive the key of one direction from the secret and the nonces."""
        root = blake2b(secret.encode(), digest_size=32).digest()
        return cls(blake2b(b"".join(parts), key=root, digest_size=32).digest())

    def digest(self, body: bytes) -> bytes:
        """Return the digest of the next frame."""
        sequence = self._sequence.to_bytes(8, "big")
        self._sequence += 1
        state = blake2b(sequence, key=self._key, digest_size=DIGEST_BYTES)
        state.update(body)
        return state.digest()

    def verify(self, digest: bytes, body: bytes) -> None:
        """Check the digest of the next frame and raise ``WireError`` if it differs."""
        if not compare_digest(self.digest(body), digest):
            raise WireError(Fault.DIGEST, "the digest of a frame is wrong")


def pack(value: Any, sealer: Sealer | None = None) -> bytes:
    """Return a frame; without a sealer its digest is zero."""
    body = msgpack.packb(value)
    if len(body) > MAX_FRAME_BYTES:
        raise WireError(Fault.OVERSIZED, f"a frame of {len(body)} bytes")
    digest = sealer.digest(body) if sealer else bytes(DIGEST_BYTES)
    return LENGTH.pack(len(body)) + digest + body


def unpack(body: bytes) -> Any:
    """Return the value of a frame's body or raise ``WireError``."""
    try:
        return msgpack.unpackb(body, strict_map_key=False)
    except (ValueError, msgpack.UnpackException, RecursionError) as exc:
        raise WireError(Fault.MALFORMED, "a body is not msgpack") from exc


async def read_raw(reader: asyncio.StreamReader, limit: int) -> tuple[bytes, bytes]:
    """Read one frame and return its digest and body, both unchecked."""
    try:
        (size,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
        if size > limit:
            raise WireError(Fault.OVERSIZED, f"a frame of {size} bytes")
        digest = await reader.readexactly(DIGEST_BYTES)
        return digest, await reader.readexactly(size)
    except asyncio.IncompleteReadError as exc:
        if not exc.partial:
            raise EOFError("the stream has ended") from exc
        raise WireError(Fault.TRUNCATED, "the stream ended in a frame") from exc


async def read_preamble(reader: asyncio.StreamReader) -> None:
    """Read the other side's preamble; raise ``WireError`` unless it fits."""
    try:
        data = await reader.readexactly(PREAMBLE.size)
    except asyncio.IncompleteReadError as exc:
        raise WireError(Fault.TRUNCATED, "the stream ended in the preamble") from exc
    magic, version = PREAMBLE.unpack(data)
    if magic != MAGIC:
        raise WireError(Fault.MALFORMED, "the preamble is of another protocol")
    if version != PROTOCOL_VERSION:
        raise WireError(Fault.VERSION, f"version {version}, not {PROTOCOL_VERSION}")


@dataclass(slots=True)
class Hello:
    """What each side of a connection says of itself.

    ``target`` is the VM that the dialler expects, ``seen`` the highest incarnation
    of the dialler that the acceptor knows, and ``digests`` the versions of the topics
    that it holds, by VM.
    """

    vm: str
    zone: str
    incarnation: int
    address: str
    port: int
    admin_port: int
    nonce: bytes = b""
    target: str = ""
    seen: int = 0
    digests: Any = None

    @classmethod
    def from_wire(cls, data: Any) -> Hello:
        """Build from the wire form or raise ``WireError``."""
        try:
            hello = cls(*data)
            hello.check()
        except (TypeError, ValueError) as exc:
            raise WireError(Fault.MALFORMED, "a hello has wrong fields") from exc
        return hello

    def to_wire(self) -> list:
        """Return the wire form."""
        return [getattr(self, name) for name in self.__slots__]

    def check(self) -> None:
        """Raise ``ValueError`` when a field has a wrong type."""
        texts = (self.vm, self.zone, self.address, self.target)
        numbers = (self.incarnation, self.port, self.admin_port, self.seen)
        if not all(isinstance(text, str) for text in texts):
            raise ValueError("a name is not a string")
        if not all(isinstance(number, int) for number in numbers):
            raise ValueError("a number is not an integer")
        if not isinstance(self.nonce, bytes) or len(self.nonce) != NONCE_BYTES:
            raise ValueError("the nonce has a wrong length")


class FrameStream:
    """A TCP connection whose frames are sealed in both directions."""

    __slots__ = (
        "reader",
        "writer",
        "frames",
        "bytes_in",
        "bytes_out",
        "_outgoing",
        "_incoming",
    )

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        outgoing: Sealer,
        incoming: Sealer,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self._outgoing = outgoing
        self._incoming = incoming
        self.frames = 0
        self.bytes_in = 0
        self.bytes_out = 0
        writer.transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes that the kernel has not taken yet."""
        return self.writer.transport.get_write_buffer_size()

    def can_send(self) -> bool:
        """Return whether the stream is open and its send buffer has room."""
        return not self.writer.is_closing() and self.unsent_bytes < MAX_UNSENT_BYTES

    def send(self, value: Any, *, is_small: bool = False) -> bool:
        """Queue a frame; return false, with no byte sent, when it cannot be queued.

        A small frame may also use ``SMALL_RESERVE_BYTES`` beyond the limit. Raise
        ``WireError`` for a value above the size limit.
        """
        limit = MAX_UNSENT_BYTES + (SMALL_RESERVE_BYTES if is_small else 0)
        if self.writer.is_closing() or self.unsent_bytes >= limit:
            return False
        frame = pack(value, self._outgoing)
        self.writer.write(frame)
        self.frames += 1
        self.bytes_out += len(frame)
        return True

    async def send_when_drained(self, value: Any) -> bool:
        """Queue a frame once the send buffer has room; false when the stream closed.

        Raise ``WireError`` for a value above the size limit and ``OSError`` for a
        lost connection.
        """
        while not self.writer.is_closing():
            if self.send(value):
                return True
            await self.writer.drain()
        return False

    async def receive(self) -> Any:
        """Return the value of the next frame.

        Raise ``WireError`` for a bad frame and ``EOFError`` at the end.
        """
        digest, body = await read_raw(self.reader, MAX_FRAME_BYTES)
        self._incoming.verify(digest, body)
        self.frames += 1
        self.bytes_in += LENGTH.size + DIGEST_BYTES + len(body)
        return unpack(body)

    def close(self) -> None:
        """Close the connection at once, with what is unsent."""
        self.writer.transport.abort()


async def dial(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    secret: str,
    hello: Hello,
) -> tuple[FrameStream, Hello]:
    """Open a connection and return its stream and the acceptor's welcome.

    Raise ``WireError`` for a refusal or a wrong answer.
    """
    hello.nonce = secrets.token_bytes(NONCE_BYTES)
    writer.write(PREAMBLE.pack(MAGIC, PROTOCOL_VERSION))
    writer.write(pack(hello.to_wire(), Sealer.from_secret(secret, b"hello")))
    await read_preamble(reader)
    digest, body = await read_raw(reader, MAX_FRAME_BYTES)
    if digest == bytes(DIGEST_BYTES):
        raise WireError(Fault.REFUSED, str(unpack(body))[:200])
    Sealer.from_secret(secret, b"welcome", hello.nonce).verify(digest, body)
    welcome = Hello.from_wire(unpack(body))
    nonces = hello.nonce + welcome.nonce
    outgoing = Sealer.from_secret(secret, b"dialler", nonces)
    incoming = Sealer.from_secret(secret, b"acceptor", nonces)
    return FrameStream(reader, writer, outgoing, incoming), welcome


async def read_hello(reader: asyncio.StreamReader, secret: str) -> Hello:
    """Read the dialler's hello or raise ``WireError``."""
    await read_preamble(reader)
    digest, body = await read_raw(reader, MAX_HELLO_BYTES)
    Sealer.from_secret(secret, b"hello").verify(digest, body)
    return Hello.from_wire(unpack(body))


def accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    secret: str,
    hello: Hello,
    welcome: Hello,
) -> FrameStream:
    """Answer a hello with the welcome and return the stream.

    A recorded hello can be played again, so nothing in it is believed before the
    first frame of the stream has arrived.
    """
    welcome.nonce = secrets.token_bytes(NONCE_BYTES)
    sealer = Sealer.from_secret(secret, b"welcome", hello.nonce)
    writer.write(PREAMBLE.pack(MAGIC, PROTOCOL_VERSION))
    writer.write(pack(welcome.to_wire(), sealer))
    nonces = hello.nonce + welcome.nonce
    outgoing = Sealer.from_secret(secret, b"acceptor", nonces)
    incoming = Sealer.from_secret(secret, b"dialler", nonces)
    return FrameStream(reader, writer, outgoing, incoming)


def refuse(writer: asyncio.StreamWriter, error: WireError) -> None:
    """Send the reason of a refusal in clear and close the connection."""
    if not writer.is_closing():
        writer.write(PREAMBLE.pack(MAGIC, PROTOCOL_VERSION))
        writer.write(pack(str(error)))
        writer.close()
