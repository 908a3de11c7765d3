"""Tests of limited connections with a transport in memory."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web
from loguru import logger as log

from fulmarlever.tests.base import TableTestCase, wait_until
from fulmarleverd.connections.limits import ConnectionLimits
from fulmarleverd.connections.protocol import LimitedProtocol, LimitedServer

HEAD = b"POST /p HTTP/1.1\r\nHost: a\r\n"
GET = b"GET /p HTTP/1.1\r\nHost: a\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class FakeTransport(asyncio.Transport):
    """Keeps what is written, and ends when it is closed."""

    def __init__(self, protocol: LimitedProtocol, peer: str) -> None:
        super().__init__({"peername": (peer, 1)})
        self.written = b""
        self.is_ended = False
        self._protocol = protocol
        self._is_closing = False

    def write(self, data: bytes) -> None:
        self.written += bytes(data)

    def writelines(self, pieces) -> None:
        self.write(b"".join(pieces))

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        pass

    def is_closing(self) -> bool:
        return self._is_closing

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.is_ended = True

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def close(self) -> None:
        if not self._is_closing:
            self._is_closing = True
            loop = asyncio.get_running_loop()
            loop.call_soon(self._protocol.connection_lost, None)

    abort = close


class ProtocolTests(TableTestCase, unittest.IsolatedAsyncioTestCase):
    limits = ConnectionLimits(
        head_bytes=300,
        body_bytes=400_000,
        head_s=0.1,
        idle_s=0.1,
        connections=2,
        buffered_bytes=600_000,
    )

    async def asyncSetUp(self):
        log.remove()
        self.bodies: list[bytes] = []
        self.gate = asyncio.Event()
        self.gate.set()
        self.server = LimitedServer(self.handle, lambda: self.limits)
        self.registry = self.server.registry
        self.transports: list[FakeTransport] = []

    async def asyncTearDown(self):
        await self.server.shutdown(0.5)

    async def handle(self, req: web.BaseRequest) -> web.Response:
        body = await req.read() if req.path == "/p" else b""
        await self.gate.wait()
        self.bodies.append(body)
        return web.Response(text=f"{len(body)}")

    def connect(self, peer: str = "10.0.0.1") -> LimitedProtocol:
        conn = self.server()
        transport = FakeTransport(conn, peer)
        conn.connection_made(transport)
        self.transports.append(transport)
        return conn

    async def wait_for_status(self, status: int, transport: int = -1) -> None:
        text = f" {status} ".encode()
        conn = self.transports[transport]
        await wait_until(lambda: text in conn.written.partition(b"\r\n")[0])

    # Guards against a budget that shrinks with each connection that ends.
    async def test_reservations_are_released_by_every_ending(self):
        whole = HEAD + b"Content-Length: 3\r\n\r\nabc"
        body = HEAD + b"Content-Length: 100000\r\n\r\nabc"
        slow = HEAD + b"Content-Length: 3\r\n\r\na"
        rows = (
            ("answered", whole, 200, False),
            ("head refused", HEAD + b"X: " + b"x" * 400, 431, False),
            ("head malformed", b"GET\r\n\r\n", 400, False),
            ("head late", HEAD, 408, False),
            ("body late", slow, 408, False),
            ("chunk malformed", CHUNKED + b"zz\r\n", 400, False),
            ("chunked body too large", CHUNKED + b"fffff\r\n", 413, False),
            ("too many empty lines", b"\r\n" * 100, 400, False),
            ("reset within a head", HEAD, 0, True),
            ("reset within a body", body, 0, True),
            ("reset within a chunk", CHUNKED + b"ff\r\nabc", 0, True),
        )
        for _, data, status, is_reset in self.each(rows):
            conn = self.connect()
            conn.data_received(data)
            await asyncio.sleep(0)
            if is_reset:
                self.assertGreater(self.registry.budget.used, 0)
                conn.connection_lost(ConnectionResetError())
            else:
                await self.wait_for_status(status)
                self.transports[-1].close()
            await wait_until(lambda: not self.registry.count)
            self.assertEqual(self.registry.budget.used, 0)

    async def test_the_server_releases_everything_when_it_closes(self):
        self.connect().data_received(HEAD + b"Content-Length: 99\r\n\r\nabc")
        self.connect().data_received(HEAD)
        await asyncio.sleep(0)
        await self.server.shutdown(0.05)
        await wait_until(lambda: not self.registry.count)
        self.assertEqual(self.registry.budget.used, 0)

    async def test_requests_in_any_pieces_are_served(self):
        data = GET + HEAD + b"Content-Length: 5\r\n\r\nabcde" + CHUNKED
        data += b"1\r\nx\r\n2;e=1\r\nyz\r\n0\r\nT: v\r\n\r\n" + GET
        for _, size in self.each((("bytes", 1), ("some", 7), ("all", len(data)))):
            self.bodies.clear()
            conn = self.connect()
            for start in range(0, len(data), size):
                conn.data_received(data[start : start + size])
                await asyncio.sleep(0)
            await wait_until(lambda: len(self.bodies) == 4)
            self.assertEqual(self.bodies, [b"", b"abcde", b"xyz", b""])
            await wait_until(lambda: not self.registry.budget.used)
            conn.connection_lost(None)

    # Guards against a crowd of large bodies that leaves no room for ordinary jobs.
    async def test_a_request_without_budget_is_refused_as_not_run(self):
        large = HEAD + b"Content-Length: 300000\r\n\r\n"
        self.connect().data_received(large)
        self.connect().data_received(large)
        await self.wait_for_status(503)
        self.assertIn(b"Retry-After: 1\r\n", self.transports[-1].written)
        self.assertNotIn(b"503", self.transports[0].written)
        self.assertEqual(self.bodies, [])

    async def test_a_slow_request_is_closed_for_a_new_one(self):
        large = HEAD + b"Content-Length: 300000\r\n\r\n"
        slow = self.connect()
        slow.data_received(large)
        slow.begun_s -= 1.0
        self.connect().data_received(large + b"x" * 300000)
        await self.wait_for_status(200)
        await self.wait_for_status(503, 0)

    async def test_connections_over_the_limit_displace_idle_or_are_refused(self):
        idle = self.connect()
        for _ in range(2):
            self.connect()
        self.assertIn(b"503", self.transports[-1].written)
        idle.phase_since_s -= 1.0
        self.connect().data_received(GET)
        await self.wait_for_status(200)
        self.assertTrue(self.transports[0].is_closing())
        self.assertFalse(self.transports[1].is_closing())
        self.assertEqual(self.registry.count, 2)

    async def test_connections_of_an_address_are_limited(self):
        self.limits = ConnectionLimits(connections_per_address=1)
        rows = (("first", "10.0.0.1", False), ("second", "10.0.0.1", True))
        for _, peer, is_refused in self.each((*rows, ("other", "10.0.0.2", False))):
            self.connect(peer)
            self.assertEqual(b"503" in self.transports[-1].written, is_refused)

    # Guards against memory for requests that wait behind one in progress.
    async def test_following_requests_wait_for_the_answer(self):
        self.gate.clear()
        conn = self.connect()
        conn.data_received(GET * 100)
        await asyncio.sleep(0.01)
        self.assertLessEqual(self.registry.budget.used, 20_000)
        self.assertEqual(conn._request_count, 1)
        self.gate.set()
        await wait_until(lambda: len(self.bodies) == 100)

    async def test_an_early_answer_lets_the_body_pass(self):
        conn = self.connect()
        conn.data_received(b"POST /other HTTP/1.1\r\nHost: a\r\n")
        conn.data_received(b"Content-Length: 5\r\n\r\nab")
        await self.wait_for_status(200)
        conn.data_received(b"cde" + GET)
        await wait_until(lambda: self.bodies == [b"", b""])
