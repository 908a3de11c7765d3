"""Tests of compressed bodies that expand to more than their handler reads."""

from __future__ import annotations

import asyncio
import zlib

from aiohttp import web

from fulmarlever.tests.base import wait_until
from fulmarleverd.tests.connections.base import CHUNKED, HEAD, LoopbackTestCase

LIMIT = 262144
# The parser expands blocks of the size of the limit ahead of the handler.
MAX_EXPANDED_BYTES = 8 * LIMIT
BOMB = zlib.compress(b" " * (64 << 20))


class ExpansionTests(LoopbackTestCase):
    """Guards against processor time without bound.

    A compressed body of legal size can expand to a thousand times its bytes. Expanding
    what no handler reads took 0.8 s for 243 KB.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.content = None

    async def handle(self, req: web.BaseRequest) -> web.Response:
        self.content = req.content
        size = 0
        while size <= LIMIT and not req.content.at_eof():
            size += len(await req.content.readany())
        return web.Response(status=200 if size <= LIMIT else 400)

    async def test_expansion_ends_with_the_answer(self):
        deflated = b"Content-Encoding: deflate\r\n"
        length = b"Content-Length: %d\r\n\r\n"
        size = len(BOMB)
        begun = CHUNKED[:-2] + deflated + b"\r\n%x\r\n" % size + BOMB + b"\r\n"
        rows = (
            ("whole", HEAD + deflated + length % size + BOMB),
            ("last byte missing", HEAD + deflated + length % size + BOMB[:-1]),
            ("chunked", begun + b"0\r\n\r\n"),
            ("last chunk missing", begun),
        )
        for _, data in self.each(rows):
            reader, writer = await self.connect()
            writer.write(data)
            self.assertEqual(await self.read_status(reader), 400)
            async with asyncio.timeout(10):
                self.assertIn(b"Connection: close", await reader.read())
            writer.transport.abort()
            await wait_until(lambda: not self.registry.count)
            self.assertLessEqual(self.content.total_bytes, MAX_EXPANDED_BYTES)
            await wait_until(lambda: not self.registry.budget.used)
