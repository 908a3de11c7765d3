from __future__ import annotations

import asyncio

from fulmarlever_standins.caller import Reply
from fulmarlever_standins.tests.failures.base import FailureTestCase


class StopTests(FailureTestCase):
    async def test_planned_stop_cuts_off_no_request(self):
        codes = []

        async def faults():
            await asyncio.sleep(1.0)
            codes.append(await self.cluster.stop("entry-a-1"))
            await self.cluster.start_vm("entry-a-1")

        results = await self.load(8.0, faults(), rate_per_s=80.0)
        counts = await self.check(results)
        self.assertEqual(codes, [0])
        details = {r: self.details(results, r) for r in (Reply.LOST, Reply.UNKNOWN)}
        self.assertEqual((counts[Reply.LOST], counts[Reply.UNKNOWN]), (0, 0), details)

    async def test_leaving_worker_gets_nothing_new_and_cuts_off_nothing(self):
        async def faults():
            await asyncio.sleep(1.0)
            await self.cluster.list_vm("worker-a-1", "leaving")

        results = await self.load(10.0, faults(), rate_per_s=60.0)
        counts = await self.check(results)
        details = {r: self.details(results, r) for r in (Reply.LOST, Reply.UNKNOWN)}
        self.assertEqual((counts[Reply.LOST], counts[Reply.UNKNOWN]), (0, 0), details)
