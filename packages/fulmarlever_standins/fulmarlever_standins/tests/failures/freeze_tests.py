from __future__ import annotations

import asyncio

from fulmarlever_standins.tests.failures.base import FailureTestCase


class FreezeTests(FailureTestCase):
    async def test_frozen_daemon_resumes_without_overrun(self):
        async def faults():
            await asyncio.sleep(1.0)
            self.cluster.freeze("entry-a-1")
            await asyncio.sleep(5.0)
            self.cluster.thaw("entry-a-1")

        results = await self.load(9.0, faults())
        await self.check(results)
        await self.wait_serving("entry-a-1", "entry-a-2")
