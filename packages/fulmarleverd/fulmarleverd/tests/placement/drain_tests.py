from __future__ import annotations

import unittest

from fulmarlever.structure.configuration import Configuration, JobSpec, ServiceSpec
from fulmarlever.structure.size import Size
from fulmarleverd.tests.placement.fakes import Cluster

JOB = JobSpec("labels", "packing", "label", tasks=3, size=Size(4, 1000))
SERVICE = ServiceSpec("filling", "orders", instances=2, size=Size(8, 4000))


class DrainTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.cluster = Cluster()
        for name in ("w0", "w1"):
            self.cluster.add_worker(name, rack=name)
        self.daemon = self.cluster.add_daemon("entry-a-1")

    def running(self, worker: str) -> list[str]:
        return sorted(self.cluster.fleet.workers[worker].running())

    async def test_tasks_move_from_drained_worker_and_none_is_placed_there(self):
        cfg = Configuration(services={"filling": SERVICE})
        self.cluster.configure(cfg)
        await self.cluster.run(5)
        self.assertEqual(len(self.running("w0")), 1)
        self.daemon.config.drained.on_next(frozenset({"w0"}))
        await self.cluster.run(1)
        servers = self.cluster.table.read(["servers/a"])[0].value["servers"]
        leaving = {s["worker"] for s in servers.values() if s["leaving"]}
        self.assertEqual(leaving, {"w0"})
        await self.daemon.jobs.submit_spec(JOB)
        await self.cluster.run(8)
        self.assertEqual(self.running("w0"), [])
        self.assertEqual(len(self.running("w1")), 5)
        servers = self.cluster.table.read(["servers/a"])[0].value["servers"]
        self.assertEqual([s["leaving"] for s in servers.values()], [False, False])
        self.daemon.config.drained.on_next(frozenset())
        more = JobSpec("more", "packing", "label", size=Size(16, 1000))
        await self.daemon.jobs.submit_spec(more)
        await self.cluster.run(5)
        self.assertIn("more/0", self.running("w0"))
