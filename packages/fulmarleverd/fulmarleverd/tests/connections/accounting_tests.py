"""Tests of the budget while requests are handled whose client has left."""

from __future__ import annotations

import asyncio

from aiohttp import web

from fulmarlever.tests.base import wait_until
from fulmarleverd.connections.limits import ConnectionLimits
from fulmarleverd.tests.connections.base import HEAD, LoopbackTestCase

BODY = b"x" * 100_000
WHOLE = HEAD + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY


class DepartedClientTests(LoopbackTestCase):
    """Guards against bodies outside of the budget.

    A client that sends a body and disconnects leaves it to a handler that may wait for
    the store for seconds. Without its reservation, any number of them is accepted.
    """

    limits = ConnectionLimits(buffered_bytes=400_000)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.gate = asyncio.Event()
        self.waiting = 0

    async def asyncTearDown(self):
        self.gate.set()
        await super().asyncTearDown()

    async def handle(self, req: web.BaseRequest) -> web.Response:
        body = await req.read()
        self.waiting += 1
        await self.gate.wait()
        req.protocol.reserve(1000)
        return web.Response(text=str(len(body)))

    async def send_and_leave(self, count: int) -> None:
        _, writer = await self.connect()
        writer.write(WHOLE)
        await wait_until(lambda: self.waiting == count)
        writer.transport.abort()
        await wait_until(lambda: not self.registry.count)

    async def test_bytes_are_reserved_until_their_handler_ends(self):
        for count in (1, 2):
            await self.send_and_leave(count)
            self.assertGreaterEqual(self.registry.budget.used, count * len(BODY))
        reader, writer = await self.connect()
        writer.write(WHOLE)
        self.assertEqual(await self.read_status(reader), 503)
        writer.transport.abort()
        self.gate.set()
        await wait_until(lambda: not self.registry.budget.used)

    async def test_an_abort_while_a_handler_ends_releases_everything(self):
        _, writer = await self.connect()
        writer.write(WHOLE)
        await wait_until(lambda: self.waiting)
        for conn in list(self.server.connections):
            self.gate.set()
            conn.abort()
        await wait_until(lambda: not self.server.connections)
        await wait_until(lambda: not self.registry.budget.used)
        self.assertEqual(self.registry.count, 0)


class EarlyAnswerTests(LoopbackTestCase):
    """Guards against tasks that outlive their connection.

    After an answer aiohttp reads the rest of the body for 10 s. A client that leaves
    meanwhile isn't counted any more, so any number of such tasks could be kept.
    """

    async def handle(self, req: web.BaseRequest) -> web.Response:
        return web.Response(status=405)

    async def test_a_client_that_leaves_after_an_early_answer_leaves_no_task(self):
        reader, writer = await self.connect()
        writer.write(WHOLE[:-1])
        self.assertEqual(await self.read_status(reader), 405)
        writer.transport.abort()
        await wait_until(lambda: not self.registry.count)
        await wait_until(lambda: not self.server.connections, timeout_s=3.0)
