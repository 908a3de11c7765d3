from __future__ import annotations

import unittest

from fulmarlever.structure.configuration import (
    Configuration,
    IsolationRule,
    JobSpec,
    ServiceSpec,
)
from fulmarlever.structure.size import Size
from fulmarleverd.tests.placement.fakes import Cluster

SERVICE = ServiceSpec("filling", "orders", instances=1, size=Size(2, 100))


class IsolationTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = Cluster()
        self.cluster.add_worker("w0")
        self.daemon = self.cluster.add_daemon("entry-a-1")
        self.cluster.configure(Configuration(services={"filling": SERVICE}))
        await self.cluster.run(2)
        for rule in IsolationRule:
            spec = JobSpec(rule, "packing", rule, size=Size(1, 100), isolation=rule)
            await self.daemon.jobs.submit_spec(spec)
        await self.cluster.run(4)

    def running(self) -> list[str]:
        return sorted(self.cluster.fleet.workers["w0"].running())

    async def test_long_table_outage_stops_only_movable_tasks_with_a_checkpoint(self):
        self.assertEqual(self.running(), ["filling/0", "keep/0", "move/0"])
        self.daemon.platform.is_table_up = False
        await self.cluster.run(14)
        self.assertEqual(self.running(), ["filling/0", "keep/0"])
        await self.cluster.run(300)
        self.assertEqual(self.running(), ["filling/0", "keep/0"])
        self.daemon.platform.is_table_up = True
        await self.cluster.run(6)
        self.assertEqual(self.running(), ["filling/0", "keep/0", "move/0"])
        starts = self.cluster.fleet.workers["w0"].starts
        (again,) = [start for start in starts if start[1] == 2]
        self.assertEqual((again[0], again[2][:8]), ("move/0", "move/0@1"))

    async def test_nothing_starts_while_the_lease_is_expired(self):
        self.daemon.platform.is_table_up = False
        await self.cluster.run(8)
        before = len(self.cluster.fleet.workers["w0"].starts)
        self.cluster.fleet.workers["w0"].finish("keep/0")
        await self.cluster.run(8)
        self.assertEqual(len(self.cluster.fleet.workers["w0"].starts), before)
        self.daemon.platform.is_table_up = True
        await self.cluster.run(4)
        views = {view.name: view.state for view in await self.daemon.jobs.listing()}
        self.assertEqual(views["keep"], "done")
