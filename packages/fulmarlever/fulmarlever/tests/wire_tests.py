from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.tests.base import TableTestCase
from fulmarlever.wire import (
    DIGEST_BYTES,
    LENGTH,
    MAGIC,
    MAX_FRAME_BYTES,
    MAX_HELLO_BYTES,
    PREAMBLE,
    PROTOCOL_VERSION,
    Fault,
    FrameAuthenticator,
    FrameStream,
    Hello,
    WireError,
    accept,
    dial,
    pack,
    read_hello,
)

SECRET = "a secret for tests"
MESSAGES = [["first", 1], ["second", 2], ["third", 3]]


class FakeTransport(asyncio.Transport):
    """A transport that passes its bytes to the reader of the other side."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        super().__init__()
        self.reader = reader
        self.sent = b""

    def write(self, data):
        self.sent += data
        self.reader.feed_data(data)

    def is_closing(self):
        return False

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        pass


def make_pair():
    """Return ``(reader, writer)`` of both ends of a connection in memory."""
    readers = asyncio.StreamReader(), asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    ends = []
    for own, other in (readers, readers[::-1]):
        protocol = asyncio.StreamReaderProtocol(own)
        transport = FakeTransport(other)
        writer = asyncio.StreamWriter(transport, protocol, own, loop)
        ends.append((own, writer))
    return ends


def make_hello(vm: str) -> Hello:
    return Hello(vm, "a", 7, "127.0.0.1", 1, 2, target="other")


async def connect(secret: str = SECRET) -> tuple[FrameStream, FrameStream]:
    (d_reader, d_writer), (a_reader, a_writer) = make_pair()
    dialling = asyncio.create_task(dial(d_reader, d_writer, SECRET, make_hello("d")))
    hello = await read_hello(a_reader, secret)
    acceptor = accept(a_reader, a_writer, secret, hello, make_hello("a"))
    dialler, _ = await dialling
    return dialler, acceptor


def receive_all(change: Callable[[list[bytes]], bytes]) -> list | Fault:
    """Send three frames, modified by ``change``; return what is received."""

    async def run():
        dialler, acceptor = await connect()
        authenticator = dialler._outgoing
        frames = [pack(value, authenticator) for value in MESSAGES]
        acceptor.reader.feed_data(change(frames))
        acceptor.reader.feed_eof()
        received = []
        try:
            while True:
                received.append(await acceptor.receive())
        except EOFError:
            return received
        except WireError as exc:
            return exc.fault

    return asyncio.run(run())


def flip(data: bytes, at: int) -> bytes:
    return data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]


class FrameTests(TableTestCase):
    def test_modified_streams_are_refused(self):
        rows = [
            ("in order", b"".join, MESSAGES),
            ("replayed", lambda f: f[0] + f[0], Fault.DIGEST),
            ("reordered", lambda f: f[1] + f[0], Fault.DIGEST),
            ("one left out", lambda f: f[0] + f[2], Fault.DIGEST),
            ("digest changed", lambda f: flip(f[0], LENGTH.size), Fault.DIGEST),
            ("body changed", lambda f: flip(f[0], len(f[0]) - 1), Fault.DIGEST),
            ("truncated", lambda f: f[0] + f[1][:-1], Fault.TRUNCATED),
            ("length truncated", lambda f: f[0][:2], Fault.TRUNCATED),
            (
                "oversized",
                lambda f: LENGTH.pack(MAX_FRAME_BYTES + 1) + bytes(40),
                Fault.OVERSIZED,
            ),
        ]
        for _, change, expected in self.each(rows):
            self.assertEqual(receive_all(change), expected)

    @given(st.data())
    def test_every_changed_byte_is_detected(self, data):
        frames = []

        def change(sent):
            frames.extend(sent)
            stream = b"".join(sent)
            return flip(stream, data.draw(st.integers(0, len(stream) - 1)))

        result = receive_all(change)
        self.assertIsInstance(result, Fault)

    def test_frames_of_another_connection_are_refused(self):
        async def run():
            first, _ = await connect()
            _, acceptor = await connect()
            acceptor.reader.feed_data(pack("x", first._outgoing))
            await acceptor.receive()

        with self.assertRaisesRegex(WireError, "digest"):
            asyncio.run(run())

    def test_frames_sent_back_to_their_sender_are_refused(self):
        async def run():
            dialler, _ = await connect()
            dialler.reader.feed_data(pack("x", dialler._outgoing))
            await dialler.receive()

        with self.assertRaisesRegex(WireError, "digest"):
            asyncio.run(run())


class HandshakeTests(TableTestCase):
    def test_invalid_hellos_are_refused(self):
        preamble = PREAMBLE.pack(MAGIC, PROTOCOL_VERSION)
        authenticator = FrameAuthenticator.from_secret(SECRET, b"hello")
        rows = [
            ("other protocol", b"GET / HTTP/1.1\r\n\r\n", Fault.MALFORMED),
            ("other version", PREAMBLE.pack(MAGIC, 99), Fault.VERSION),
            ("truncated preamble", MAGIC, Fault.TRUNCATED),
            (
                "oversized",
                preamble + LENGTH.pack(MAX_HELLO_BYTES + 1),
                Fault.OVERSIZED,
            ),
            ("no digest", preamble + pack([1, 2]), Fault.DIGEST),
            ("no hello", preamble + pack([1, 2], authenticator), Fault.MALFORMED),
            (
                "other secret",
                preamble + pack([], FrameAuthenticator.from_secret("x", b"hello")),
                Fault.DIGEST,
            ),
            (
                "not msgpack",
                preamble
                + LENGTH.pack(1)
                + FrameAuthenticator.from_secret(SECRET, b"hello").digest(b"\xc1")
                + b"\xc1",
                Fault.MALFORMED,
            ),
        ]
        for _, data, fault in self.each(rows):

            async def run(data=data):
                reader = asyncio.StreamReader()
                reader.feed_data(data)
                reader.feed_eof()
                await read_hello(reader, SECRET)

            with self.assertRaises(WireError) as caught:
                asyncio.run(run())
            self.assertEqual(caught.exception.fault, fault)

    def test_replayed_hello_opens_no_usable_stream(self):
        async def run():
            (d_reader, d_writer), (a_reader, a_writer) = make_pair()
            dialling = asyncio.create_task(
                dial(d_reader, d_writer, SECRET, make_hello("d"))
            )
            hello = await read_hello(a_reader, SECRET)
            accept(a_reader, a_writer, SECRET, hello, make_hello("a"))
            stream, _ = await dialling
            stream.send("recorded")
            recorded = d_writer.transport.sent
            _, (b_reader, b_writer) = make_pair()
            b_reader.feed_data(recorded)
            replayed = await read_hello(b_reader, SECRET)
            replay = accept(b_reader, b_writer, SECRET, replayed, make_hello("a"))
            await replay.receive()

        with self.assertRaisesRegex(WireError, "digest"):
            asyncio.run(run())

    def test_acceptor_without_the_secret_is_refused(self):
        with self.assertRaises(WireError):
            asyncio.run(asyncio.wait_for(connect("another secret"), 5))


class FrameAuthenticatorTests(unittest.TestCase):
    @given(st.binary(max_size=64), st.binary(max_size=64))
    def test_digests_are_equal_only_for_equal_bodies_and_positions(self, first, second):
        one, two = FrameAuthenticator(b"k"), FrameAuthenticator(b"k")
        digest = one.digest(first)
        self.assertEqual(len(digest), DIGEST_BYTES)
        self.assertEqual(digest == two.digest(second), first == second)
        self.assertNotEqual(digest, one.digest(first))
