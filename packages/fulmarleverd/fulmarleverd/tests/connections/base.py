"""A test case with a server of limited connections on a loopback address."""

from __future__ import annotations

import asyncio
import unittest

from aiohttp import web
from loguru import logger as log

from fulmarlever.tests.base import TableTestCase
from fulmarleverd.connections.limits import ConnectionLimits
from fulmarleverd.connections.listening import listen
from fulmarleverd.connections.protocol import LimitedServer

HOST = "127.0.0.1"
HEAD = b"POST /p HTTP/1.1\r\nHost: a\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ANSWER_LIMIT_S = 10.0


class LoopbackTestCase(TableTestCase, unittest.IsolatedAsyncioTestCase):
    """Serves ``handle`` within ``limits``."""

    limits = ConnectionLimits()

    async def asyncSetUp(self):
        log.remove()
        self.server = LimitedServer(self.handle, lambda: self.limits)
        self.registry = self.server.registry
        self.listener = await listen(self.server, HOST, 0, 100)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def asyncTearDown(self):
        self.listener.close()
        await self.server.shutdown(1.0)

    async def handle(self, req: web.BaseRequest) -> web.Response:
        return web.Response(text=str(len(await req.read())))

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        self.addCleanup(writer.transport.abort)
        return reader, writer

    async def read_status(self, reader: asyncio.StreamReader) -> int:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            return int((await reader.readline()).split()[1])
