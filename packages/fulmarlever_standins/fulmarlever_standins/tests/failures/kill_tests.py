from __future__ import annotations

import asyncio

from fulmarlever_standins.tests.failures.base import FailureTestCase


class KillTests(FailureTestCase):
    async def test_invariants_hold_when_a_daemon_is_killed_and_restarted(self):
        async def faults():
            await asyncio.sleep(1.0)
            await self.cluster.kill("entry-a-1")
            await asyncio.sleep(2.0)
            await self.cluster.start_daemon("entry-a-1")

        results = await self.run_load(5.0, faults())
        await self.check(results)
        await self.wait_serving("entry-a-1", "entry-a-2", "entry-b-1", "entry-b-2")
