"""Authenticated, length-prefixed msgpack frames over a TCP stream.

Each side starts with a preamble: magic number and protocol version. The dialler (the
side that connects) then sends a hello, whose digest is keyed with the shared secret,
and the acceptor a welcome, whose key also depends on the hello's nonce. The digest of
every later frame covers its sequence number and body, with a key that depends on the
secret, both nonces and the direction. It reveals replayed, reordered or altered frames.

A frame is the length of its body (4 bytes, big-endian), the digest and the body.
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
MAX_SEND_BUFFER_BYTES = 2 << 20
SMALL_FRAME_RESERVE_BYTES = 256 << 10


class Fault(StrEnum):
    """The reasons for which a frame or a connection is refused."""

    MALFORMED = "malformed"
    OVERSIZED = "oversized"
    TRUNCATED = "truncated"
    DIGEST = "digest"
    VERSION = "version"
    STALE = "stale"
    BUSY = "busy"
    REFUSED = "refused"


class WireError(FrameError):
    """An invalid frame or a failed handshake; ``fault`` is the reason."""

    def __init__(self, fault: Fault, detail: str) -> None:
        super().__init__(f"{fault}: {detail}")
        self.fault = fault


class FrameAuthenticator:
    """Computes and verifies the digests of the frames in one direction.

    Both sides count the frames, so each digest is valid for one position only.
    """

    __slots__ = ("_key", "_sequence")

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._sequence = 0

    @classmethod
    def from_secret(cls, secret: str, *parts: bytes) -> FrameAuthenticator:
        """Derive the key of one direction from the secret and the nonces."""
        root = blake2b(secret.encode(), digest_size=32).digest()
        return cls(blake2b(b"".join(parts), key=root, digest_size=32).digest())

    def digest(self, body: bytes) -> bytes:
        """Return the digest of the next frame and advance the sequence number."""
        sequence = self._sequence.to_bytes(8, "big")
        self._sequence += 1
        state = blake2b(sequence, key=self._key, digest_size=DIGEST_BYTES)
        state.update(body)
        return state.digest()

    def verify(self, digest: bytes, body: bytes) -> None:
        """Raise ``WireError`` unless a digest is that of the next frame."""
        if not compare_digest(self.digest(body), digest):
            raise WireError(Fault.DIGEST, "the digest of a frame does not match")


def pack(value: Any, authenticator: FrameAuthenticator | None = None) -> bytes:
    """Encode a value as a frame; without an authenticator its digest is all zeros.

    Raise ``WireError`` for a body above ``MAX_FRAME_BYTES``.
    """
    body = msgpack.packb(value)
    if len(body) > MAX_FRAME_BYTES:
        raise WireError(Fault.OVERSIZED, f"a frame of {len(body)} bytes")
    digest = authenticator.digest(body) if authenticator else bytes(DIGEST_BYTES)
    return LENGTH.pack(len(body)) + digest + body


def unpack(body: bytes) -> Any:
    """Decode the body of a frame; raise ``WireError`` if it is not msgpack."""
    try:
        return msgpack.unpackb(body, strict_map_key=False)
    except (ValueError, msgpack.UnpackException, RecursionError) as exc:
        raise WireError(Fault.MALFORMED, "the body of a frame is not msgpack") from exc


async def read_unverified_frame(
    reader: asyncio.StreamReader, limit: int
) -> tuple[bytes, bytes]:
    """Read one frame and return its digest and body, both unverified.

    ``limit`` is the maximum size of the body in bytes. Raise ``WireError`` for a
    larger or incomplete frame and ``EOFError`` when the stream ended before it.
    """
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
    """Read the other side's preamble; raise ``WireError`` if it is not compatible."""
    try:
        data = await reader.readexactly(PREAMBLE.size)
    except asyncio.IncompleteReadError as exc:
        raise WireError(Fault.TRUNCATED, "the stream ended in the preamble") from exc
    magic, version = PREAMBLE.unpack(data)
    if magic != MAGIC:
        raise WireError(Fault.MALFORMED, "the preamble belongs to another protocol")
    if version != PROTOCOL_VERSION:
        raise WireError(
            Fault.VERSION, f"version {version}, expected {PROTOCOL_VERSION}"
        )


@dataclass(slots=True)
class Hello:
    """The handshake message in which each side of a connection identifies itself.

    ``target`` is the VM that the message is for and ``seen`` the highest incarnation
    of that VM that the sender knows. ``digests``, in a welcome only, are the topic
    versions that the acceptor has, in the form of ``Topics.digests``.
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
        """Build a hello from its wire form; raise ``WireError`` if it is malformed."""
        try:
            hello = cls(*data)
            hello.check()
        except (TypeError, ValueError) as exc:
            raise WireError(Fault.MALFORMED, "a hello has invalid fields") from exc
        return hello

    def to_wire(self) -> list:
        """Return the wire form, a list of the fields in order."""
        return [getattr(self, name) for name in self.__slots__]

    def check(self) -> None:
        """Raise ``ValueError`` when a field has the wrong type or length."""
        texts = (self.vm, self.zone, self.address, self.target)
        numbers = (self.incarnation, self.port, self.admin_port, self.seen)
        if not all(isinstance(text, str) for text in texts):
            raise ValueError("a text field is not a string")
        if not all(isinstance(number, int) for number in numbers):
            raise ValueError("a numeric field is not an integer")
        if not isinstance(self.nonce, bytes) or len(self.nonce) != NONCE_BYTES:
            raise ValueError("the nonce has the wrong length")


class FrameStream:
    """A TCP connection whose frames are authenticated in both directions.

    ``frames`` counts the frames of both directions; ``bytes_in`` and ``bytes_out`` are
    their bytes.
    """

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
        outgoing: FrameAuthenticator,
        incoming: FrameAuthenticator,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self._outgoing = outgoing
        self._incoming = incoming
        self.frames = 0
        self.bytes_in = 0
        self.bytes_out = 0
        writer.transport.set_write_buffer_limits(high=MAX_SEND_BUFFER_BYTES)

    @property
    def send_buffer_bytes(self) -> int:
        """Return the bytes that are not yet handed to the operating system."""
        return self.writer.transport.get_write_buffer_size()

    def can_send(self) -> bool:
        """Return whether the stream is open and its send buffer below the limit."""
        return (
            not self.writer.is_closing()
            and self.send_buffer_bytes < MAX_SEND_BUFFER_BYTES
        )

    def send(self, value: Any, *, is_small: bool = False) -> bool:
        """Queue a frame; return false, with nothing sent, if that is not possible.

        The stream must be open and its send buffer below the limit, which small frames
        may exceed by ``SMALL_FRAME_RESERVE_BYTES``. Raise ``WireError`` for a value
        above the size limit of frames.
        """
        limit = MAX_SEND_BUFFER_BYTES + (SMALL_FRAME_RESERVE_BYTES if is_small else 0)
        if self.writer.is_closing() or self.send_buffer_bytes >= limit:
            return False
        frame = pack(value, self._outgoing)
        self.writer.write(frame)
        self.frames += 1
        self.bytes_out += len(frame)
        return True

    async def send_when_drained(self, value: Any) -> bool:
        """Queue a frame once the send buffer is below its limit.

        Return false when the stream is closed. Raise ``WireError`` for a value above
        the size limit of frames and ``OSError`` for a lost connection.
        """
        while not self.writer.is_closing():
            if self.send(value):
                return True
            await self.writer.drain()
        return False

    async def receive(self) -> Any:
        """Return the decoded value of the next frame.

        Raise ``WireError`` for an invalid frame and ``EOFError`` at the end of the
        stream.
        """
        digest, body = await read_unverified_frame(self.reader, MAX_FRAME_BYTES)
        self._incoming.verify(digest, body)
        self.frames += 1
        self.bytes_in += LENGTH.size + DIGEST_BYTES + len(body)
        return unpack(body)

    def close(self) -> None:
        """Close the connection at once and discard unsent data."""
        self.writer.transport.abort()


async def dial(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    secret: str,
    hello: Hello,
) -> tuple[FrameStream, Hello]:
    """Perform the handshake as the dialler; return the stream and the welcome.

    The nonce of ``hello`` is set here. Raise ``WireError`` when the acceptor refuses
    the hello or answers with an invalid welcome.
    """
    hello.nonce = secrets.token_bytes(NONCE_BYTES)
    writer.write(PREAMBLE.pack(MAGIC, PROTOCOL_VERSION))
    writer.write(
        pack(hello.to_wire(), FrameAuthenticator.from_secret(secret, b"hello"))
    )
    await read_preamble(reader)
    digest, body = await read_unverified_frame(reader, MAX_FRAME_BYTES)
    if digest == bytes(DIGEST_BYTES):
        raise WireError(Fault.REFUSED, str(unpack(body))[:200])
    FrameAuthenticator.from_secret(secret, b"welcome", hello.nonce).verify(digest, body)
    welcome = Hello.from_wire(unpack(body))
    nonces = hello.nonce + welcome.nonce
    outgoing = FrameAuthenticator.from_secret(secret, b"dialler", nonces)
    incoming = FrameAuthenticator.from_secret(secret, b"acceptor", nonces)
    return FrameStream(reader, writer, outgoing, incoming), welcome


async def read_hello(reader: asyncio.StreamReader, secret: str) -> Hello:
    """Read and verify the dialler's hello; raise ``WireError`` if it is invalid."""
    await read_preamble(reader)
    digest, body = await read_unverified_frame(reader, MAX_HELLO_BYTES)
    FrameAuthenticator.from_secret(secret, b"hello").verify(digest, body)
    return Hello.from_wire(unpack(body))


def accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    secret: str,
    hello: Hello,
    welcome: Hello,
) -> FrameStream:
    """Perform the handshake as the acceptor: send the welcome and return the stream.

    The hello may be a replay of a recorded one. The caller must not trust it before the
    first frame of the stream has been received, because that frame's digest also
    depends on the nonce of the welcome.
    """
    welcome.nonce = secrets.token_bytes(NONCE_BYTES)
    authenticator = FrameAuthenticator.from_secret(secret, b"welcome", hello.nonce)
    writer.write(PREAMBLE.pack(MAGIC, PROTOCOL_VERSION))
    writer.write(pack(welcome.to_wire(), authenticator))
    nonces = hello.nonce + welcome.nonce
    outgoing = FrameAuthenticator.from_secret(secret, b"acceptor", nonces)
    incoming = FrameAuthenticator.from_secret(secret, b"dialler", nonces)
    return FrameStream(reader, writer, outgoing, incoming)


def refuse(writer: asyncio.StreamWriter, error: WireError) -> None:
    """Send the reason of a refusal without authentication and close the connection."""
    if not writer.is_closing():
        writer.write(PREAMBLE.pack(MAGIC, PROTOCOL_VERSION))
        writer.write(pack(str(error)))
        writer.close()
