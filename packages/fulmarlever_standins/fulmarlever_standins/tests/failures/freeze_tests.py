from __future__ import annotations

import asyncio

from fulmarlever_standins.tests.failures.base import FailureTestCase


class FreezeTests(FailureTestCase):
    zones = ("a",)
    instances = 2
    rate_per_s = 80.0

    async def test_suspended_daemon_resumes_without_overrun(self):
        async def faults():
            await asyncio.sleep(1.0)
            self.cluster.freeze("entry-a-1")
            # Long enough for other daemons to reclaim its slots, if they mistook the
            # suspended daemon for an ended one.
            await asyncio.sleep(15.0)
            # The daemon cannot read its shares of the slots when it resumes.
            await self.cluster.set_platform_faults(table="hold")
            self.cluster.thaw("entry-a-1")
            await asyncio.sleep(2.0)
            await self.cluster.set_platform_faults(table="ok")

        results = await self.run_load(19.0, faults())
        await self.check(results)
        await self.wait_serving("entry-a-1", "entry-a-2")
