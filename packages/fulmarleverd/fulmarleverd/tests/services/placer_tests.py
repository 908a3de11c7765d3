from __future__ import annotations

import unittest

from fulmarlever.outcomes import Conflict, Refused
from fulmarlever.structure.configuration import Configuration, JobSpec, ServiceSpec
from fulmarlever.structure.size import Size
from fulmarleverd.tests.placement.fakes import Cluster

JOB = JobSpec("labels", "packing", "label", tasks=3, size=Size(4, 1000))
SERVICE = ServiceSpec("filling", "orders", instances=3, size=Size(8, 4000))


class PlacerTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.cluster = Cluster()
        for number in range(2):
            self.cluster.add_worker(f"w{number}", rack=f"r{number}")
        self.first = self.cluster.add_daemon("entry-a-1")
        self.second = self.cluster.add_daemon("entry-a-2")

    def state(self, name: str) -> str:
        return self.cluster.task(name).get("state", "")

    async def test_services_and_jobs_run_and_end(self):
        self.cluster.configure(
            Configuration(services={"filling": SERVICE}, jobs={"labels": JOB})
        )
        await self.cluster.run(5)
        self.assertEqual(
            [self.state(f"filling/{i}") for i in range(3)], ["running"] * 3
        )
        servers = self.cluster.table.read(["servers/a"])[0].value["servers"]
        self.assertEqual(sorted(servers), [f"filling/{i}.1" for i in range(3)])
        for worker in self.cluster.fleet.workers.values():
            for name in list(worker.running()):
                if name.startswith("labels"):
                    worker.finish(name)
        await self.cluster.run(4)
        (job,) = await self.first.jobs.listing()
        self.assertEqual((job.state, job.tasks), ("done", {"done": 3}))
        runs = [run for w in self.cluster.fleet.workers.values() for run in w.runs]
        self.assertEqual(sorted(runs), [f"filling/{i}" for i in range(3)])

    async def test_submit_and_cancel_are_idempotent(self):
        await self.cluster.run(2)
        for daemon in self.cluster.daemons:
            row = await daemon.jobs.submit_spec(JOB)
            self.assertEqual(row.spec, JOB)
        other = JobSpec("labels", "packing", "label", tasks=4)
        self.assertIsInstance(await self.first.jobs.submit_spec(other), Conflict)
        await self.cluster.run(3)
        self.assertEqual(self.state("labels/0"), "running")
        for daemon in self.cluster.daemons:
            self.assertTrue((await daemon.jobs.cancel("labels")).cancel)
        await self.cluster.run(3)
        (job,) = await self.second.jobs.listing()
        self.assertEqual((job.state, job.tasks), ("cancelled", {"cancelled": 3}))
        self.assertEqual(self.cluster.fleet.workers_running("labels/0"), [])

    async def test_refusal_of_impossible_job_names_the_dimension(self):
        spec = JobSpec("huge", "packing", "label", size=Size(4, 1000, 2))
        result = await self.first.jobs.submit_spec(spec)
        self.assertIsInstance(result, Refused)
        self.assertIn("accelerators", result.reason)

    async def test_tasks_keep_running_when_another_daemon_takes_over(self):
        await self.first.jobs.submit_spec(JOB)
        await self.cluster.run(3)
        self.assertTrue(self.first.placer.is_holder)
        worker_names = self.cluster.fleet.workers_running("labels/0")
        await self.cluster.run(12, self.second)
        self.assertFalse(self.first.placer.is_holder)
        self.assertEqual(self.second.placer.epoch, 2)
        await self.cluster.run(30, self.second)
        self.assertEqual(self.cluster.fleet.workers_running("labels/0"), worker_names)
        self.assertEqual(self.cluster.task("labels/0")["attempt"], 1)

    async def test_released_lease_is_acquired_without_waiting(self):
        await self.cluster.run(2)
        await self.first.placer.drain()
        await self.cluster.run(1, self.second)
        self.assertTrue(self.second.placer.is_holder)

    async def test_task_of_lost_worker_restarts_after_its_lease(self):
        await self.first.jobs.submit_spec(JOB)
        await self.cluster.run(3)
        (worker_name,) = self.cluster.fleet.workers_running("labels/0")
        self.cluster.fleet.frozen.add(worker_name)
        for _ in range(40):
            await self.cluster.run(1)
            self.assertLessEqual(len(self.cluster.fleet.workers_running("labels/0")), 1)
        self.assertEqual(self.cluster.task("labels/0")["attempt"], 2)
        self.cluster.fleet.frozen.clear()
        self.cluster.fleet.deliver_delayed()
        await self.cluster.run(3)
        self.assertEqual(len(self.cluster.fleet.workers_running("labels/0")), 1)

    async def test_removed_service_is_listed_as_leaving_before_it_stops(self):
        self.cluster.configure(Configuration(services={"filling": SERVICE}))
        await self.cluster.run(4)
        self.cluster.configure(Configuration())
        await self.cluster.run(1)
        servers = self.cluster.table.read(["servers/a"])[0].value["servers"]
        self.assertTrue(all(server["leaving"] for server in servers.values()))
        self.assertTrue(self.cluster.fleet.workers_running("filling/0"))
        await self.cluster.run(6)
        self.assertEqual(self.cluster.fleet.workers_running("filling/0"), [])
        servers = self.cluster.table.read(["servers/a"])[0].value["servers"]
        self.assertEqual(servers, {})
