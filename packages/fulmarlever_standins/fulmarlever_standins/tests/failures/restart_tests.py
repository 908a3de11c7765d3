from __future__ import annotations

import asyncio

from fulmarlever_standins.tests.failures.base import FailureTestCase


class RestartTests(FailureTestCase):
    zones = ("a",)
    instances = 2
    max_run = "6s"

    async def test_slots_stay_reserved_while_requests_of_the_killed_process_run(self):
        async def faults():
            await asyncio.sleep(2.0)
            await self.cluster.kill("entry-a-1")
            await self.cluster.start_daemon("entry-a-1")

        # More requests than slots, so that a slot released too early causes an overrun.
        fields = {"rate_per_s": 12.0, "work_ms": 5500, "deadline_ms": 20_000}
        results = await self.run_load(7.0, faults(), **fields)
        await self.check(results)
        await self.wait_serving("entry-a-1")
