from __future__ import annotations

import asyncio
import time

from fulmarlever_standins.client import wait_for
from fulmarlever_standins.invariants import LEAVING_LIMIT_S
from fulmarlever_standins.tests.failures.base import LIMIT_S, FailureTestCase


class LeavingTests(FailureTestCase):
    async def test_leaving_worker_gets_no_new_requests_and_loses_none(self):
        listed_at = []

        async def faults():
            await asyncio.sleep(1.0)
            await self.cluster.put_vm("worker-a-1", "leaving")
            listed_at.append(time.time())

        results = await self.run_load(9.0, faults(), rate_per_s=60.0)
        self.check_none_interrupted(results)
        await self.check(results)
        await wait_for(self.has_left, "the stop of the service instance", LIMIT_S)
        totals = await self.cluster.backend_totals()
        (task,) = (await self.cluster.worker_records())["worker-a-1"]["services"]
        last_start = totals.by_server[f"worker-a-1 {task}"]["last_start"]
        self.assertLessEqual(last_start - listed_at[0], LEAVING_LIMIT_S)

    async def has_left(self) -> bool:
        record = (await self.cluster.worker_records())["worker-a-1"]
        return [run["state"] for run in record["runs"]] == ["stopped"]
