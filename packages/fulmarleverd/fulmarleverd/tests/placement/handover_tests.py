from __future__ import annotations

import unittest

from fulmarlever.structure.configuration import JobSpec
from fulmarlever.structure.size import Size
from fulmarleverd.placement.job_rows import JobRow
from fulmarleverd.tests.placement.fakes import Cluster, Daemon

JOB = JobSpec("labels", "packing", "label", tasks=6, size=Size(2, 100))


class HandoverTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = Cluster()
        self.daemons: list[Daemon] = []
        for zone in ("a", "b"):
            self.cluster.add_worker(f"w-{zone}", zone=zone)
            self.daemons.append(self.cluster.add_daemon(f"entry-{zone}", zone))
        await self.cluster.run(2)
        await self.daemons[0].jobs.submit_spec(JOB)
        await self.cluster.run(4)

    def row(self) -> JobRow:
        return JobRow.from_wire(self.cluster.table.read(["job/labels"])[0].value)

    def running(self) -> int:
        workers = self.cluster.fleet.workers.values()
        return sum(len(worker.running()) for worker in workers)

    async def test_job_belongs_to_the_old_setup_only_once_no_task_runs(self):
        self.assertEqual(self.running(), 6)
        self.cluster.fleet.frozen.add("w-b")
        for daemon in self.daemons:
            await daemon.jobs.handover("labels", "old")
        await self.cluster.run(8)
        self.assertEqual(self.row().setup, "leaving")
        self.cluster.fleet.frozen.clear()
        for _ in range(10):
            await self.cluster.run(1)
            self.assertFalse(self.row().setup == "old" and self.running())
        self.assertEqual(self.row().setup, "old")
        await self.cluster.run(10)
        self.assertEqual(self.running(), 0)

    async def test_job_handed_back_resumes_from_its_checkpoints(self):
        await self.daemons[0].jobs.handover("labels", "old")
        await self.cluster.run(8)
        for daemon in self.daemons:
            await daemon.jobs.handover("labels", "new")
        await self.cluster.run(6)
        self.assertEqual((self.row().setup, self.running()), ("new", 6))
        starts = [
            start
            for worker in self.cluster.fleet.workers.values()
            for start in worker.starts
            if start[1] == 2
        ]
        self.assertEqual(len(starts), 6)
        self.assertTrue(all(checkpoint for _, _, checkpoint in starts))

    async def test_job_that_ends_before_its_handover_is_recorded_as_done(self):
        for worker in self.cluster.fleet.workers.values():
            for task in list(worker.running()):
                worker.finish(task)
        await self.daemons[0].jobs.handover("labels", "old")
        await self.cluster.run(8)
        self.assertEqual(str(self.row().state), "done")
