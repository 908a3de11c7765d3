from __future__ import annotations

import asyncio

from fulmarlever_standins.caller import Reply
from fulmarlever_standins.tests.failures.base import SERVICE, FailureTestCase


class CutTests(FailureTestCase):
    async def test_zone_without_connection_to_the_other_zone_and_the_platform(self):
        async def faults():
            await asyncio.sleep(1.0)
            await self.cluster.cut("a", "b")
            await self.cluster.set_platform_faults(cut=["a"])
            await asyncio.sleep(5.0)
            await self.wait_serving("entry-a-1", "entry-a-2", "entry-b-1")
            await self.cluster.heal("a", "b")
            await self.cluster.set_platform_faults(cut=[])

        results = await self.run_load(10.0, faults(), post_part=0.2)
        counts = await self.check(results)
        self.assertGreater(counts[Reply.SERVED], counts[Reply.UNKNOWN], SERVICE)
        await self.wait_serving("entry-a-1", "entry-a-2", "entry-b-1", "entry-b-2")
