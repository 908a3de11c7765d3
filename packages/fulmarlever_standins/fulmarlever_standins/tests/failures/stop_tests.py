from __future__ import annotations

import asyncio
import time

from fulmarlever_standins.tests.failures.base import FailureTestCase


class StopTests(FailureTestCase):
    max_run = "6s"

    async def test_planned_stop_of_a_daemon_loses_no_request(self):
        stops = []

        async def faults():
            await asyncio.sleep(1.0)
            start = time.monotonic()
            code = await self.cluster.stop("entry-a-1")
            stops.append((code, time.monotonic() - start))
            await self.cluster.start_daemon("entry-a-1")

        slow = {"slow_part": 0.2, "slow_work_ms": 4000}
        results = await self.run_load(7.0, faults(), rate_per_s=20.0, **slow)
        self.check_none_interrupted(results)
        await self.check(results)
        ((code, duration_s),) = stops
        self.assertEqual(code, 0)
        self.assertLess(duration_s, self.settings["drain_limit_s"])
