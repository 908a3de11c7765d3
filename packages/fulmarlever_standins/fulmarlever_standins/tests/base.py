"""A test case that runs the simulated servers inside the test process."""

from __future__ import annotations

import unittest

from aiohttp import ClientSession, ClientTimeout, web

from fulmarlever_standins.http import start_app

ADDRESS = "127.0.0.1"


class ServerTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        timeout = ClientTimeout(total=5.0)
        self.session = await self.enterAsyncContext(ClientSession(timeout=timeout))

    async def serve(self, app: web.Application) -> str:
        runner = await start_app(app, ADDRESS, 0)
        self.addAsyncCleanup(runner.cleanup)
        return f"{ADDRESS}:{runner.addresses[0][1]}"

    async def post(self, url: str, data: dict, **options) -> tuple[int, dict]:
        async with self.session.post(f"http://{url}", json=data, **options) as answer:
            is_json = answer.content_type == "application/json"
            return answer.status, await answer.json() if is_json else {}

    async def get(self, url: str) -> dict:
        async with self.session.get(f"http://{url}") as answer:
            return await answer.json()
