from __future__ import annotations

import asyncio
import tracemalloc
from unittest import mock

from fulmarlever.outcomes import OutcomeUnknown, Unavailable
from fulmarlever.tests.base import wait_until
from fulmarlever.wire import (
    MAGIC,
    PREAMBLE,
    PROTOCOL_VERSION,
    FrameAuthenticator,
    FrameStream,
    Hello,
    dial,
    pack,
)
from fulmarleverd.peers.acceptor import MAX_CALLS_PER_CONNECTION, MAX_PENDING_HANDSHAKES
from fulmarleverd.peers.frames import Call, Heartbeat, frame_to_wire
from fulmarleverd.peers.metrics import REFUSED_FRAMES
from fulmarleverd.tests.peers.cluster import SECRET, ClusterTestCase, Echo

MEMORY_LIMIT_BYTES = 32 << 20


def refused(fault: str) -> float:
    return REFUSED_FRAMES.labels(fault)._value.get()


class AcceptorTests(ClusterTestCase):
    async def open(self, vm: str = "a1"):
        return await asyncio.open_connection("127.0.0.1", self.addresses[vm].port)

    async def join(self, name: str, target: str = "a1") -> FrameStream:
        """Connect as a peer whose frames the test sends by hand."""
        reader, writer = await self.open(target)
        hello = Hello(name, "a", 7, "127.0.0.1", 1, 2, target=target)
        stream, _ = await dial(reader, writer, SECRET, hello)
        stream.send(frame_to_wire(Heartbeat(0, 100, [])))
        self.addCleanup(stream.close)
        return stream

    async def test_bad_connections_are_counted_and_closed_alone(self):
        first, second = await self.start_all("a1", "a2")
        preamble = PREAMBLE.pack(MAGIC, PROTOCOL_VERSION)
        other = pack([], FrameAuthenticator.from_secret("another secret", b"hello"))
        rows = [
            ("malformed", b"GET / HTTP/1.1\r\n\r\n"),
            ("version", PREAMBLE.pack(MAGIC, PROTOCOL_VERSION + 1)),
            ("digest", preamble + other),
            ("oversized", preamble + b"\xff\xff\xff\xff"),
        ]
        for fault, data in rows:
            with self.subTest(fault=fault):
                before = refused(fault)
                reader, writer = await self.open()
                writer.write(data)
                answer = await asyncio.wait_for(reader.read(), 5)
                self.assertIn(fault.encode(), answer)
                self.assertEqual(refused(fault), before + 1)
                writer.close()
        stream = await self.join("a3")
        stream.writer.write(bytes(100))
        self.assertEqual(await asyncio.wait_for(stream.reader.read(), 5), b"")
        for service, vm in ((first, "a2"), (second, "a1")):
            self.assertTrue(service._links[vm].is_up)

    async def test_number_of_pending_handshakes_is_bounded(self):
        first, second = await self.start_all("a1", "a2")
        before = refused("busy")
        pending = [await self.open() for _ in range(MAX_PENDING_HANDSHAKES + 20)]
        await wait_until(lambda: refused("busy") >= before + 20)
        second.publish("number", 1)
        await wait_until(lambda: first.view("number") == {"a2": 1})
        for _, writer in pending:
            writer.close()

    # The kernel ends a connection whose peer takes no bytes for this long, which a busy
    # machine needs to send the calls.
    @mock.patch("fulmarleverd.peers.sockets.UNACKNOWLEDGED_LIMIT_MS", 60_000)
    async def test_peer_that_reads_nothing_uses_bounded_memory(self):
        self.assign_addresses("a1")
        first = await self.start("a1")

        async def enlarge(req: Echo) -> Echo:
            return Echo("x" * (1 << 18))

        first.handle(Echo, enlarge)
        stream = await self.join("a3")
        stream.writer.transport.pause_reading()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number in range(20 * MAX_CALLS_PER_CONNECTION):
            call = Call(0, number, Echo.wire_name, ["x", 0.0])
            stream.send(frame_to_wire(call))
            if number % 64 == 0:
                await asyncio.sleep(0)
        stream.send(
            frame_to_wire(Heartbeat(0, 100, [["a3", 7, {"last": [["", 1, True]]}]]))
        )
        await wait_until(lambda: first.view("last"))
        used_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(used_bytes, MEMORY_LIMIT_BYTES)

    async def test_calls_above_the_limit_are_not_run(self):
        first, second = await self.start_all("a1", "a2")
        gate = asyncio.Event()
        started = []

        async def wait(req: Echo) -> Echo:
            started.append(req.text)
            await gate.wait()
            return req

        second.handle(Echo, wait)
        count = MAX_CALLS_PER_CONNECTION + 10
        calls = [
            asyncio.create_task(first.call("a2", Echo(str(number)), 10.0))
            for number in range(count)
        ]
        await wait_until(lambda: sum(call.done() for call in calls) == 10)
        gate.set()
        answers = await asyncio.gather(*calls)
        refusals = [a for a in answers if isinstance(a, Unavailable)]
        self.assertEqual(len(refusals), 10)
        texts = [answer.text for answer in answers if isinstance(answer, Echo)]
        self.assertEqual(sorted(texts), sorted(started))

    async def test_new_connection_of_a_peer_replaces_the_old_one(self):
        self.assign_addresses("a1")
        first = await self.start("a1")
        old = await self.join("a3")
        await wait_until(lambda: first.live())
        await self.join("a3")
        self.assertEqual(await asyncio.wait_for(old.reader.read(), 5), b"")
        self.assertEqual([peer.vm for peer in first.live()], ["a3"])


class SilentPeerTests(ClusterTestCase):
    """A peer that accepts connections but never answers, like a frozen process."""

    async def listen(self, vm: str) -> list[asyncio.StreamWriter]:
        writers = []

        async def accept(reader, writer):
            writers.append(writer)
            await reader.read()

        port = self.addresses[vm].port
        server = await asyncio.start_server(accept, "127.0.0.1", port)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        self.addCleanup(lambda: [writer.transport.abort() for writer in writers])
        return writers

    async def test_silent_peer_is_not_ended_and_calls_are_not_run(self):
        self.assign_addresses("a1", "a2")
        writers = await self.listen("a2")
        first = await self.start("a1")
        self.assertFalse(first.is_ended("a2", 7))
        await wait_until(lambda: len(writers) >= 2)
        self.assertFalse(first.is_ended("a2", 7))
        self.assertIsInstance(await first.call("a2", Echo("x"), 0.1), Unavailable)

    async def test_calls_to_a_peer_that_freezes_end_as_unknown(self):
        first, second = await self.start_all("a1", "a2")
        incarnation = second.incarnation

        async def never(req: Echo) -> Echo:
            await asyncio.sleep(3600)
            return req

        second.handle(Echo, never)
        call = asyncio.create_task(first.call("a2", Echo("x"), 3600.0))
        await wait_until(lambda: second._acceptor._tasks)
        link_task = second._link_tasks["a1"]
        link_task.cancel()
        await wait_until(lambda: not first.live())
        self.assertFalse(first.is_ended("a2", incarnation))
        await wait_until(call.done)
        self.assertIsInstance(call.result(), OutcomeUnknown)
