from __future__ import annotations

import asyncio

from fulmarlever_standins.tests.failures.base import FailureTestCase


class OutageTests(FailureTestCase):
    async def test_requests_are_served_while_the_table_is_down_silent_or_slow(self):
        async def faults():
            for state in ("down", "hold", "slow"):
                await asyncio.sleep(0.5)
                await self.cluster.set_platform_faults(table=state, slow_s=1.5)
                await asyncio.sleep(2.5)
                await self.wait_serving("entry-a-1", "entry-b-1")
                await self.cluster.set_platform_faults(table="ok")

        results = await self.run_load(10.0, faults())
        await self.check(results)
        await self.wait_serving("entry-a-1", "entry-a-2", "entry-b-1", "entry-b-2")
