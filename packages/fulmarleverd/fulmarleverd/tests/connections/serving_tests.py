"""Ordinary clients of a server with limits, on loopback connections."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp
from aiohttp import web

from fulmarlever.tests.base import TableTestCase
from fulmarleverd.connections.limits import ConnectionLimits
from fulmarleverd.connections.listening import listen
from fulmarleverd.connections.protocol import LimitedServer

LARGEST = 262144


async def pieces(count: int, size: int):
    for _ in range(count):
        yield b"x" * size


class ServingTests(TableTestCase, unittest.IsolatedAsyncioTestCase):
    """Guards against limits that a single client within the limits reaches."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        limits = ConnectionLimits.from_settings(200 << 20, 4100)
        self.ports: list[int] = []
        self.server = LimitedServer(self.handle, lambda: limits)
        self.listener = await listen(self.server, "127.0.0.1", 0, 100)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{self.port}/p"
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())

    async def asyncTearDown(self):
        self.listener.close()
        await self.server.shutdown(1.0)

    async def handle(self, req: web.BaseRequest) -> web.Response:
        self.ports.append(req.transport.get_extra_info("peername")[1])
        return web.Response(text=str(len(await req.read())))

    async def send(self, data: object, **options: object) -> str:
        async with self.session.post(self.url, data=data, **options) as resp:
            self.assertEqual(resp.status, 200)
            return await resp.text()

    async def test_bodies_within_the_limits_are_served_on_one_connection(self):
        rows = (
            ("none", None, 0),
            ("small", b"x" * 2000, 2000),
            ("largest", b"x" * LARGEST, LARGEST),
            ("large chunks", pieces(4, 65536), LARGEST),
            ("small chunks", pieces(3000, 3), 9000),
            ("tiny chunks", pieces(20_000, 1), 20_000),
        )
        for _, data, size in self.each(rows):
            self.assertEqual(await self.send(data), str(size))
        self.assertEqual(len(set(self.ports)), 1)

    async def test_the_largest_body_in_chunks_of_one_byte_is_served(self):
        head = b"POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(head + b"1\r\nx\r\n" * LARGEST + b"0\r\n\r\n")
        self.assertIn(b" 200 ", await reader.readline())
        writer.close()

    async def test_a_head_of_the_largest_size_is_served(self):
        headers = {f"X-{number}": "v" * 150 for number in range(100)}
        self.assertEqual(await self.send(b"abc", headers=headers), "3")

    async def test_compressed_bodies_are_served(self):
        self.assertEqual(await self.send(b"x" * 90_000, compress="deflate"), "90000")

    async def test_many_callers_are_served_at_once(self):
        sent = (self.send(b"x" * number) for number in range(200))
        found = await asyncio.gather(*sent)
        self.assertEqual(found, [str(number) for number in range(200)])
        await asyncio.sleep(0)
        self.assertEqual(self.server.registry.budget.used, 0)
