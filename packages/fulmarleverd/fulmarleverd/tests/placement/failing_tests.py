from __future__ import annotations

import unittest

from fulmarlever.structure.configuration import JobSpec
from fulmarlever.structure.size import Size
from fulmarleverd.placement.health import INITIAL_PROBE_DELAY_S, WorkerHealth
from fulmarleverd.tests.placement.fakes import Cluster


def job(name: str, tasks: int = 1) -> JobSpec:
    return JobSpec(name, "packing", name, tasks=tasks, size=Size(1, 100))


class FailingTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.cluster = Cluster()
        for number in range(4):
            self.cluster.add_worker(f"w{number}", rack=f"r{number}")
        self.daemon = self.cluster.add_daemon("entry-a-1")

    async def run_failing(self, seconds: int, owner: str, worker: str = "") -> None:
        for _ in range(seconds):
            for name, fake in self.cluster.fleet.workers.items():
                for task in list(fake.running()):
                    must_fail = name == worker if worker else task.startswith(owner)
                    fake.finish(task, "failed" if must_fail else "done")
            await self.cluster.run(1)

    async def test_job_failing_on_several_workers_fails_with_the_reason(self):
        await self.daemon.jobs.submit_spec(job("broken"))
        await self.daemon.jobs.submit_spec(job("good", tasks=3))
        await self.run_failing(30, "broken")
        views = {view.name: view for view in await self.daemon.jobs.listing()}
        self.assertEqual(views["broken"].state, "failed")
        self.assertIn("failed 3 times on 3 workers", views["broken"].reason)
        self.assertEqual(views["good"].state, "done")

    async def test_jobs_finish_although_one_worker_refuses_every_start(self):
        self.cluster.fleet.workers["w0"].fails_starts = True
        for number in range(40):
            await self.daemon.jobs.submit_spec(job(f"job{number}"))
        await self.run_failing(40, "none")
        views = await self.daemon.jobs.listing()
        self.assertEqual({view.state for view in views}, {"done"})

    async def test_refused_start_is_retried_on_another_worker(self):
        self.cluster.fleet.workers["w0"].fails_starts = True
        await self.daemon.jobs.submit_spec(job("labels"))
        await self.cluster.run(6)
        self.assertEqual(len(self.cluster.fleet.workers_running("labels/0")), 1)

    async def test_worker_that_fails_every_task_does_not_fail_jobs(self):
        for number in range(12):
            await self.daemon.jobs.submit_spec(job(f"job{number}"))
        await self.run_failing(40, "", worker="w1")
        states = {view.state for view in await self.daemon.jobs.listing()}
        self.assertEqual(states, {"done"})

    def test_probe_delay_doubles_and_one_success_ends_suspension(self):
        health, now_s = WorkerHealth(), 0.0
        for owner in ("a", "b"):
            health.record_failure("w", owner, now_s)
            self.assertFalse(health.is_suspended("w", now_s))
        probe_delay_s = INITIAL_PROBE_DELAY_S
        health.record_failure("w", "c", now_s)
        for _ in range(4):
            self.assertTrue(health.is_suspended("w", now_s + probe_delay_s - 0.1))
            now_s += probe_delay_s
            self.assertFalse(health.is_suspended("w", now_s))
            health.record_placement("w")
            self.assertTrue(health.is_suspended("w", now_s))
            health.record_failure("w", "d", now_s)
            probe_delay_s *= 2
        health.record_success("w")
        self.assertFalse(health.is_suspended("w", now_s))
