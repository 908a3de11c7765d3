"""Tests of crowds that send requests without waiting for the answers."""

from __future__ import annotations

import asyncio

from aiohttp import web

from fulmarlever.tests.base import wait_until
from fulmarleverd.connections.limits import ConnectionLimits
from fulmarleverd.connections.listening import RECEIVE_BUFFER_BYTES
from fulmarleverd.tests.connections.base import LoopbackTestCase

GET = b"GET /p HTTP/1.1\r\nHost: a\r\n\r\n"
BYTES_PER_CLIENT = 100_000
CLIENTS = 24


class PipeliningTests(LoopbackTestCase):
    """Guards against unread bytes in the kernel, which count as memory of the VM.

    While reading from a connection is paused, its receive buffer fills up.
    """

    limits = ConnectionLimits(buffered_bytes=1_000_000)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.gate = asyncio.Event()
        self.waiting = 0

    async def asyncTearDown(self):
        self.gate.set()
        await super().asyncTearDown()

    async def handle(self, req: web.BaseRequest) -> web.Response:
        self.waiting += 1
        await self.gate.wait()
        return web.Response()

    def count_paused(self) -> int:
        transports = (conn.transport for conn in self.server.connections)
        return sum(not transport.is_reading() for transport in transports)

    async def test_receive_buffers_of_paused_connections_are_reserved(self):
        clients = [await self.connect() for _ in range(CLIENTS)]
        for _, writer in clients:
            writer.write(GET)
        await wait_until(lambda: self.waiting == CLIENTS)
        for _, writer in clients:
            writer.write(GET * (BYTES_PER_CLIENT // len(GET)))
        await asyncio.sleep(0.5)
        paused_bytes = self.count_paused() * RECEIVE_BUFFER_BYTES
        self.assertLessEqual(paused_bytes, self.registry.budget.limit)
        self.gate.set()
        for reader, _ in clients:
            self.assertEqual(await self.read_status(reader), 200)
        for _, writer in clients:
            writer.transport.abort()
        await wait_until(lambda: not self.registry.count)
        await wait_until(lambda: not self.registry.budget.used)

    async def test_all_requests_of_one_client_are_answered(self):
        self.gate.set()
        reader, writer = await self.connect()
        count = BYTES_PER_CLIENT // len(GET)
        writer.write(GET * count + GET[:-2] + b"Connection: close\r\n\r\n")
        async with asyncio.timeout(10):
            found = await reader.read()
        self.assertEqual(found.count(b"HTTP/1.1 200"), count + 1)
