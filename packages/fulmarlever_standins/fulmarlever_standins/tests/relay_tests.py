from __future__ import annotations

import asyncio
import socket

from aiohttp import web

from fulmarlever_standins.relay import Link, LinkMode
from fulmarlever_standins.tests.base import ADDRESS, ServerTestCase


class RelayTests(ServerTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        app = web.Application()
        app.router.add_get("/", self.answer)
        target = await self.serve(app)
        with socket.socket() as unused:
            unused.bind((ADDRESS, 0))
            listen = f"{ADDRESS}:{unused.getsockname()[1]}"
        self.link = Link.from_text(f"l={listen}={target}")
        await self.link.start()
        self.addAsyncCleanup(self.link.stop)
        self.url = f"http://{listen}/"

    async def answer(self, request: web.Request) -> web.Response:
        return web.json_response({})

    async def fetch(self) -> int | type:
        try:
            async with asyncio.timeout(0.5), self.session.get(self.url) as answer:
                return answer.status
        except (TimeoutError, OSError) as exc:
            return TimeoutError if isinstance(exc, TimeoutError) else OSError

    async def test_result_of_a_request_in_each_mode(self):
        rows = (
            (LinkMode.OPEN, 200),
            (LinkMode.HOLD, TimeoutError),
            (LinkMode.OPEN, 200),
            (LinkMode.REFUSE, OSError),
            (LinkMode.DELAY, 200),
        )
        for mode, expected in rows:
            with self.subTest(mode):
                await self.link.switch(mode, 0.01)
                self.assertEqual(await self.fetch(), expected)

    async def test_held_bytes_arrive_after_the_link_is_open_again(self):
        await self.link.switch(LinkMode.HOLD)
        held_request = asyncio.create_task(self.fetch())
        await asyncio.sleep(0.1)
        await self.link.switch(LinkMode.OPEN)
        self.assertEqual(await held_request, 200)
