from __future__ import annotations

import asyncio

from fulmarlever_standins.tests.failures.base import FailureTestCase


class RestartTests(FailureTestCase):
    zones = ("a",)
    instances = 2
    max_run = "6s"

    async def test_slots_stay_closed_while_requests_of_the_old_process_run(self):
        async def faults():
            await asyncio.sleep(2.0)
            await self.cluster.kill("entry-a-1")
            await self.cluster.start_daemon("entry-a-1")

        # More than the slots can take, so that a slot given out too early is used.
        fields = {"rate_per_s": 12.0, "work_ms": 5500, "deadline_ms": 20_000}
        results = await self.run_load(7.0, faults(), **fields)
        await self.check(results)
        await self.wait_serving("entry-a-1")
