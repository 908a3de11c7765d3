from __future__ import annotations

import asyncio

from fulmarlever_standins.tests.failures.base import FailureTestCase

FREEZE_S = 8.0


class FrozenServerTests(FailureTestCase):
    """The load keeps all slots in use while one of two servers is suspended."""

    zones = ("a",)
    instances = 2
    rate_per_s = 60.0

    async def test_suspended_server_gets_no_more_requests_than_it_has_slots(self):
        async def faults():
            await asyncio.sleep(1.0)
            self.cluster.freeze("worker-a-1")
            await asyncio.sleep(FREEZE_S)
            self.cluster.thaw("worker-a-1")

        results = await self.run_load(FREEZE_S + 5.0, faults())
        await self.check(results)
