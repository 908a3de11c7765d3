from __future__ import annotations

import unittest

from fulmarlever.outcomes import Refused
from fulmarlever.structure.configuration import (
    Configuration,
    JobSpec,
    ServiceSpec,
    Team,
    Urgency,
)
from fulmarlever.structure.size import Size
from fulmarleverd.tests.placement.fakes import Cluster

SIZE = Size(8, 8000)
HALF = Size(4, 1000)
URGENT_START_S = 5.9


def job(name: str, urgency: Urgency = Urgency.LOW, **fields: object) -> JobSpec:
    fields = {"team": "packing", "kind": name, "size": HALF, "tasks": 4, **fields}
    return JobSpec(name, urgency=urgency, **fields)


class EvictionTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.cluster = Cluster()
        for name in ("w0", "w1"):
            self.cluster.add_worker(name, rack=name, size=SIZE)
        self.daemon = self.cluster.add_daemon("entry-a-1")

    async def submit(self, spec: JobSpec) -> None:
        await self.daemon.jobs.submit_spec(spec)

    def running(self, owner: str) -> list[str]:
        return [
            task
            for worker in self.cluster.fleet.workers.values()
            for task in worker.running()
            if task.startswith(f"{owner}/")
        ]

    async def test_urgent_tasks_start_in_time_on_workers_full_of_batch_tasks(self):
        for number in range(30):
            await self.submit(job(f"flood{number}"))
        await self.cluster.run(5)
        await self.submit(job("urgent", Urgency.CRITICAL, tasks=2))
        await self.cluster.run(URGENT_START_S, step_s=0.5)
        self.assertEqual(len(self.running("urgent")), 2)

    async def test_evicted_task_resumes_once_from_its_checkpoint(self):
        await self.submit(job("labels"))
        await self.cluster.run(5)
        await self.submit(job("urgent", Urgency.CRITICAL, tasks=1))
        await self.cluster.run(4)
        (urgent,) = self.running("urgent")
        self.assertEqual(len(self.running("labels")), 3)
        for worker in self.cluster.fleet.workers.values():
            worker.finish(urgent)
        await self.cluster.run(5)
        self.assertEqual(len(self.running("labels")), 4)
        workers = self.cluster.fleet.workers.values()
        resumed = [
            start for worker in workers for start in worker.starts if start[1] > 1
        ]
        ((task, attempt, checkpoint),) = resumed
        self.assertEqual((attempt, checkpoint.split("@")[0]), (2, task))

    async def test_equal_urgency_evicts_nothing(self):
        await self.submit(job("first", Urgency.HIGH))
        await self.cluster.run(5)
        await self.submit(job("second", Urgency.HIGH))
        await self.cluster.run(10)
        self.assertEqual(len(self.running("first")), 4)
        self.assertEqual(self.running("second"), [])

    async def test_services_evict_batch_tasks_only_down_to_the_batch_guarantee(self):
        await self.submit(job("labels"))
        await self.cluster.run(5)
        service = ServiceSpec("filling", "orders", instances=4, size=HALF)
        self.cluster.configure(Configuration(services={"filling": service}))
        await self.cluster.run(10)
        self.assertEqual(len(self.running("filling")), 3)
        self.assertEqual(len(self.running("labels")), 1)

    async def test_earlier_deadline_starts_first_within_the_quota(self):
        quota = Team("packing", Size(8, 16000))
        self.cluster.configure(Configuration(teams={"packing": quota}))
        now_s = self.cluster.clock.wall()
        await self.submit(job("later", Urgency.NORMAL, deadline_s=now_s + 900))
        await self.submit(job("sooner", Urgency.NORMAL, deadline_s=now_s + 500))
        await self.submit(job("others", Urgency.LOW, team="orders"))
        await self.cluster.run(5)
        self.assertEqual(len(self.running("sooner")), 2)
        self.assertEqual(self.running("later"), [])
        self.assertEqual(len(self.running("others")), 2)

    async def test_job_with_a_task_above_the_zone_quota_is_refused(self):
        quota = Team("packing", Size(3, 16000))
        self.cluster.configure(Configuration(teams={"packing": quota}))
        result = await self.daemon.jobs.submit_spec(job("labels"))
        self.assertIsInstance(result, Refused)
        self.assertIn("cores: 4 wanted, the quota", result.reason)

    async def test_tasks_on_an_overused_worker_are_stopped_and_their_size_is_learned(
        self,
    ):
        await self.submit(job("labels", tasks=6, size=Size(2, 1000)))
        await self.cluster.run(4)
        for _ in range(20):
            for worker in self.cluster.fleet.workers.values():
                for run in worker.running().values():
                    run.usage = Size(4, 1500)
            await self.cluster.run(1)
        used = [
            sum((run.usage for run in worker.running().values()), Size())
            for worker in self.cluster.fleet.workers.values()
        ]
        self.assertTrue(all(size.fits_in(SIZE) for size in used), used)
        self.assertGreaterEqual(len(self.running("labels")), 2)
