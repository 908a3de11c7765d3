"""Tests of the platform's HTTP client against a scripted server."""

from __future__ import annotations

import asyncio
import errno
import time
import unittest
from unittest import mock

from fulmarlever.outcomes import LocalShortage, OutcomeUnknown, Unavailable
from fulmarleverd.loop_delay import LoopDelay
from fulmarleverd.platform.connection import MAX_RESPONSE_BYTES
from fulmarleverd.platform.http import HTTPClient, Response

LOOPBACK = "127.0.0.1"
POLL_S = 0.01
EMPTY_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
TOO_LONG = MAX_RESPONSE_BYTES + 1


class ScriptedServer(asyncio.Protocol):
    """Responds to the n-th request over all connections with the n-th script.

    A script is the bytes to send, ``None`` to send nothing on this connection from then
    on, or empty bytes to close the connection.
    """

    scripts: list[bytes | None]
    connections: int
    open_now: int
    requests: list[bytes]
    transport: asyncio.Transport

    def connection_made(self, transport: asyncio.Transport) -> None:
        type(self).connections += 1
        type(self).open_now += 1
        self._transport = type(self).transport = transport
        self._stopped_answering = False

    def connection_lost(self, exc: Exception | None) -> None:
        type(self).open_now -= 1

    def data_received(self, data: bytes) -> None:
        self.requests.append(data)
        script = self.scripts.pop(0) if self.scripts else EMPTY_OK
        self._stopped_answering |= script is None
        if self._stopped_answering:
            return
        if script:
            self._transport.write(script)
        if not script or b"Connection: close" in script:
            self._transport.close()


class HTTPClientTests(unittest.IsolatedAsyncioTestCase):
    """Tests with one client and one scripted server."""

    async def asyncSetUp(self) -> None:
        self.client = HTTPClient("", 2)
        self.addCleanup(self.client.close)

    async def serve(self, *scripts: bytes | None) -> str:
        """Start a server with the given scripts and return its address."""
        fields = {"scripts": list(scripts), "connections": 0, "open_now": 0}
        fields["requests"] = []
        self.server = type("Server", (ScriptedServer,), fields)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(self.server, LOOPBACK, 0)
        self.addCleanup(listener.close)
        return f"{LOOPBACK}:{listener.sockets[0].getsockname()[1]}"

    async def call(self, address: str, timeout_s: float = 0.5) -> object:
        """Make one call."""
        return await self.client.call("POST", address, "/x", timeout_s, {"a": 1})

    async def test_each_kind_of_response_has_its_result(self) -> None:
        ok = b"HTTP/1.1 200 OK\r\n"
        table = [
            ("body", ok + b'Content-Length: 7\r\n\r\n{"b":2}', Response(200, {"b": 2})),
            ("no body", EMPTY_OK, Response(200, None)),
            (
                "chunks",
                ok
                + b"Transfer-Encoding: chunked\r\n\r\n2\r\n[3\r\n1\r\n]\r\n0\r\n\r\n",
                Response(200, [3]),
            ),
            ("no length", ok + b"Connection: close\r\n\r\n[4]", Response(200, [4])),
            (
                "interim",
                b"HTTP/1.1 100 Continue\r\n\r\n" + EMPTY_OK,
                Response(200, None),
            ),
            ("status", EMPTY_OK.replace(b"200", b"503"), Response(503, None)),
            ("not JSON", ok + b"Content-Length: 1\r\n\r\n{", OutcomeUnknown),
            ("not HTTP", b"hello\r\n\r\n", OutcomeUnknown),
            (
                "incomplete",
                ok + b"Content-Length: 9\r\nConnection: close\r\n\r\n{",
                None,
            ),
            ("closed", b"", OutcomeUnknown),
            ("no response", None, OutcomeUnknown),
            (
                "oversized",
                ok + b"Content-Length: %d\r\n\r\n" % TOO_LONG + b"1" * TOO_LONG,
                OutcomeUnknown,
            ),
        ]
        for name, script, expected in table:
            with self.subTest(name):
                result = await self.call(await self.serve(script))
                if isinstance(expected, Response):
                    self.assertEqual(result, expected)
                else:
                    self.assertIsInstance(result, expected or OutcomeUnknown)

    async def test_a_call_with_a_refused_connection_is_unavailable(self) -> None:
        for address in (f"{LOOPBACK}:1", f"{LOOPBACK}:70000", f"{LOOPBACK}:x", ""):
            self.assertIsInstance(await self.call(address), Unavailable)

    async def test_a_call_without_a_descriptor_blames_no_one(self) -> None:
        opened = "fulmarleverd.platform.http.Connection.open"
        rows = (
            (errno.EMFILE, LocalShortage),
            (errno.ENFILE, LocalShortage),
            (errno.ECONNREFUSED, Unavailable),
        )
        for number, expected in rows:
            with mock.patch(opened, side_effect=OSError(number, "")):
                self.assertIs(type(await self.call(f"{LOOPBACK}:1")), expected)

    async def test_the_request_is_encoded(self) -> None:
        address = await self.serve()
        headers = {"X-Target-Instance": "w1"}
        await self.client.call("POST", address, "/hold?a=b", 0.5, {"c": [1]}, headers)
        head, body = self.server.requests[0].split(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        self.assertEqual(lines[0], b"POST /hold?a=b HTTP/1.1")
        self.assertIn(b"Host: " + address.encode(), lines)
        self.assertIn(b"X-Target-Instance: w1", lines)
        self.assertIn(b"Content-Length: 9", lines)
        self.assertEqual(body, b'{"c":[1]}')

    async def test_connections_are_reused(self) -> None:
        address = await self.serve()
        for _ in range(5):
            await self.call(address)
        self.assertEqual(self.server.connections, 1)

    async def test_a_connection_closed_by_the_server_is_not_reused(self) -> None:
        address = await self.serve(
            EMPTY_OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        )
        await self.call(address)
        self.assertEqual(await self.call(address), Response(200, None))
        self.assertEqual(self.server.connections, 2)

    async def test_calls_wait_for_a_free_connection(self) -> None:
        address = await self.serve()
        results = await asyncio.gather(*[self.call(address) for _ in range(9)])
        self.assertEqual(results, [Response(200, None)] * 9)
        self.assertLessEqual(self.server.connections, 2)

    async def test_a_call_without_a_free_connection_is_unavailable(self) -> None:
        address = await self.serve(None, None)
        calls = [self.call(address, 0.3) for _ in range(2)]
        pending = asyncio.gather(*calls)
        await asyncio.sleep(0.05)
        self.assertIsInstance(await self.call(address, 0.1), Unavailable)
        await pending

    # Regression: a call that was cancelled as it got a connection kept it for ever.
    async def test_calls_cancelled_together_leave_their_connections(self) -> None:
        """A scheduler that loses its lease cancels all of its calls at once."""
        address = await self.serve(*[None] * 4)
        for _ in range(2):
            calls = [asyncio.create_task(self.call(address, 5.0)) for _ in range(6)]
            await asyncio.sleep(0.05)
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
        self.assertEqual(await self.call(address), Response(200, None))

    async def test_a_timeout_closes_the_idle_connections(self) -> None:
        """Guards against reuse of open connections that all stopped answering at once.

        New connections to the same server still work.
        """
        address = await self.serve()
        await asyncio.gather(self.call(address), self.call(address))
        self.server.scripts[:] = [None]
        self.assertIsInstance(await self.call(address, 0.1), OutcomeUnknown)
        await self.call(address)
        self.assertEqual(self.server.connections, 3)

    async def test_a_late_event_loop_does_not_end_a_call(self) -> None:
        """The time limits pass while this process itself is busy."""
        rows = (("connecting", 0.0), ("waiting for the answer", 0.02))
        for name, after_s in rows:
            with self.subTest(name):
                delay = LoopDelay()
                delay.start()
                self.addCleanup(delay.stop)
                self.client = HTTPClient("", 2, delay)
                self.addCleanup(self.client.close)
                address = await self.serve()
                call = asyncio.create_task(self.call(address, 0.2))
                await asyncio.sleep(after_s)
                for _ in range(8):
                    time.sleep(0.15)
                    await asyncio.sleep(0)
                self.assertEqual(await call, Response(200, None))

    async def test_a_response_in_parts_may_exceed_the_time_limit(self) -> None:
        """A large page of rows arrives slowly over a full link."""
        parts = [b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n", *[b"11"] * 4]
        rows = (
            ("all parts", parts, Response(200, 11111111)),
            ("the rest is missing", parts[:3], OutcomeUnknown),
        )
        for name, sent, expected in rows:
            with self.subTest(name):
                address = await self.serve(None)
                call = asyncio.create_task(self.call(address, 0.25))
                while not self.server.requests:
                    await asyncio.sleep(0.001)
                for part in sent:
                    self.server.transport.write(part)
                    await asyncio.sleep(0.2)
                result = await call
                if isinstance(expected, Response):
                    self.assertEqual(result, expected)
                else:
                    self.assertIsInstance(result, expected)

    async def test_connections_to_unused_addresses_are_closed(self) -> None:
        """Guards against a leak of connections as workers come and go.

        A crashed worker does not close its connections.
        """
        with mock.patch("fulmarleverd.platform.http.KEEPALIVE_S", 0.0):
            for _ in range(4):
                await self.call(await self.serve())
            self.assertEqual(len(self.client._pools), 1)

    # Regression (LOST): a second connection to each of 3,000 workers, kept from their
    # starts, left the owner no descriptors, so that it could start nothing any more.
    async def test_many_addresses_keep_few_connections(self) -> None:
        """Each address has a call that waits, and commands beside it."""
        addresses = 12
        # Connections that are kept, and those that are open in the end.
        rows = (("one each", 4, addresses), ("all", 100, 4 * addresses))
        for name, kept, expected in rows:
            with self.subTest(name):
                waits_s = 1.0
                self.client = HTTPClient("", 6, kept=kept)
                self.addCleanup(self.client.close)
                servers = [await self.serve_waiting() for _ in range(addresses)]
                waits = [
                    asyncio.create_task(self.call(address, 5.0))
                    for address, _ in servers
                ]
                while not all(server.requests for _, server in servers):
                    await asyncio.sleep(POLL_S)
                for address, _ in servers:
                    commands = [self.call(address, 5.0) for _ in range(3)]
                    results = await asyncio.gather(*commands)
                    self.assertEqual(results, [Response(200, None)] * 3)
                # Each server sees a closed connection a moment later.
                open_now = sum(server.open_now for _, server in servers)
                while open_now > expected and waits_s > 0.0:
                    await asyncio.sleep(POLL_S)
                    waits_s -= POLL_S
                    open_now = sum(server.open_now for _, server in servers)
                self.assertEqual(open_now, expected)
                for wait in waits:
                    wait.cancel()

    async def serve_waiting(self) -> tuple[str, type[ScriptedServer]]:
        """Start a server that leaves its first request without an answer."""
        address = await self.serve(None)
        return address, self.server

    async def test_a_cancelled_call_closes_its_connection(self) -> None:
        """Cancel more calls than the pool has connections, each once it has arrived."""
        address = await self.serve(None, None, None)
        for number in range(3):
            call = asyncio.create_task(self.call(address, 5.0))
            while len(self.server.requests) <= number:
                await asyncio.sleep(0.001)
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
        self.assertEqual(await self.call(address, 5.0), Response(200, None))
        self.assertEqual(self.server.connections, 4)
