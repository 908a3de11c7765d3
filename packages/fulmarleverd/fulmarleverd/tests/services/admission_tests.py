from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace

from fulmarlever.policies.admission import ADMISSION
from fulmarlever.structure.configuration import Urgency
from fulmarlever.tests.base import wait_until
from fulmarleverd.services.admission import MIN_CAPACITY
from fulmarleverd.tests.requests.fakes import spec
from fulmarleverd.tests.requests.path_base import PathTestCase

FLOOD_REQUESTS = 160
OTHER_REQUESTS = 10


class FloodTests(PathTestCase):
    specs = (spec("filling"), spec("pickups"))

    async def flood(self, urgency, policy):
        """Flood one service; return the counts of statuses of both services."""
        specs = (replace(self.specs[0], urgency=urgency), self.specs[1])
        kernel = await self.daemon(specs=specs)
        admission = kernel.find("admission")
        admission.requests = ADMISSION.find(policy)(MIN_CAPACITY)
        await self.wait_for_slots(kernel, service="filling")
        await self.wait_for_slots(kernel, service="pickups")
        headers = {"X-Work-Ms": "100"}
        flood = [
            asyncio.ensure_future(self.ask(kernel, "/filling/x", headers=headers))
            for _ in range(FLOOD_REQUESTS)
        ]
        await wait_until(lambda: 429 in (f.result()[0] for f in flood if f.done()))
        others = await asyncio.gather(
            *(self.ask(kernel, "/pickups/x") for _ in range(OTHER_REQUESTS))
        )
        flooded = await asyncio.gather(*flood)
        return Counter(r[0] for r in flooded), Counter(r[0] for r in others)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.session._connector._limit = 0
        await self.serve()
        await self.serve(service="pickups")

    async def test_flood_of_any_urgency_leaves_other_services_their_share(self):
        for urgency in Urgency:
            with self.subTest(urgency.name):
                flooded, others = await self.flood(urgency, "shares")
                self.assertEqual(others, {200: OTHER_REQUESTS})
                self.assertGreater(flooded[429], 0)
                self.assertGreater(flooded[200], 0)
                self.assertEqual(set(flooded) - {200, 429}, set())
                await self.kernels.pop().stop()

    async def test_admission_without_shares_lets_a_flood_take_all_capacity(self):
        _, others = await self.flood(Urgency.LOW, "none")
        self.assertGreater(others[429], 0)


class DeadlineTests(PathTestCase):
    async def test_request_that_cannot_meet_its_deadline_is_refused_at_once(self):
        (server,) = await self.serve(slots=1)
        kernel = await self.daemon()
        await self.wait_for_slots(kernel)
        headers = {"X-Work-Ms": "400"}
        pool = kernel.find("slots").pool
        for _ in range(3):
            await self.ask(kernel, headers={"X-Work-Ms": "100"})
        first = asyncio.ensure_future(self.ask(kernel, headers=headers))
        await wait_until(lambda: server.in_progress)
        short = {"X-Deadline-Ms": "20"}
        status, got, _ = await self.ask(kernel, headers=short)
        self.assertEqual((status, server.in_progress), (504, 1))
        self.assertGreaterEqual(int(got["Retry-After"]), 1)
        self.assertEqual(pool.waiting("filling"), 0)
        self.assertEqual((await first)[0], 200)

    async def test_queue_of_a_class_is_bounded(self):
        (server,) = await self.serve(slots=1)
        kernel = await self.daemon(max_queue_per_class=3)
        await self.wait_for_slots(kernel)
        headers = {"X-Work-Ms": "50"}
        asks = [self.ask(kernel, headers=headers) for _ in range(20)]
        statuses = Counter(status for status, _, _ in await asyncio.gather(*asks))
        self.assertEqual(statuses, {200: 4, 503: 16})
        self.assertEqual(server.max_in_progress, 1)
