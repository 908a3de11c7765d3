"""Jobs whose starts were decided on, but have not taken place, have not begun."""

from __future__ import annotations

import asyncio

from fulmarlever_standins.authority.simulated_cluster import (
    LABELS_QUEUE,
    Daemon,
    SimulatedCluster,
    job,
)
from fulmarlever_standins.authority.worker import WorkerCore
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.scheduling.specs import StepSpec

JOBS = 6
TASK_S = 3.0
# How old the number of waiting jobs may be, and the delay of a commit.
VISIBLE_S = 2.5
TASK = StepSpec(cpu_m=1000, estimate_s=TASK_S, required_label="b")
QUEUE = LABELS_QUEUE.name


class NotBegunTests(SimulatedClusterTestCase):
    async def scenario(
        self, cluster: SimulatedCluster, path_answers: dict, kills_owner: bool
    ) -> None:
        """Submit jobs that one worker alone can run, while its starts come to nothing.

        ``path_answers`` maps the path of a call to its status, ``None`` for no answer.
        """
        cluster.add_daemons("vm-1", "vm-2", "vm-3")
        workers = cluster.add_workers(3)
        workers[0].labels = ["b", "r1-1"]
        cluster.network.add_worker(workers[0])
        for worker in workers:
            worker.task_duration_s = lambda task: TASK_S
        owner = await cluster.wait_for_owner()
        handle = workers[0].handle
        self.answer(workers[0], path_answers)
        names = [f"j{number}" for number in range(JOBS)]
        for name in names:
            self.assertIsNone(await owner.submit(job(name, TASK)))
        if kills_owner:
            await asyncio.sleep(0.05)
            await owner.kill()
            del cluster.daemons[owner.vm]
        for _ in range(8):
            await asyncio.sleep(1.0)
            await self.check(cluster, names, cluster.record.starts)
        workers[0].handle = handle
        daemon = next(iter(cluster.daemons.values()))
        for name in names:
            await cluster.wait_for_state(daemon, name, "completed", 30.0)
        self.assertEqual(await daemon.intake.pending(QUEUE), 0)

    def answer(self, worker: WorkerCore, path_answers: dict) -> None:
        """Let a worker answer the calls to some paths with a status, or not at all."""
        handle = worker.handle

        async def answer(path: str, body: dict, target: str) -> tuple:
            if path not in path_answers:
                return await handle(path, body, target)
            if path_answers[path] is None:
                await asyncio.Event().wait()
            return path_answers[path], {"clockMs": worker.clock_ms()}

        worker.handle = answer

    async def check(
        self, cluster: SimulatedCluster, names: list[str], starts: dict
    ) -> None:
        """Check the figures and the states of jobs that have not begun for long."""
        if any(starts.values()):
            return
        for daemon in cluster.daemons.values():
            if daemon.clock.monotonic() > VISIBLE_S:
                await self.check_daemon(daemon, names)

    async def check_daemon(self, daemon: Daemon, names: list[str]) -> None:
        self.assertEqual(await daemon.intake.pending(QUEUE), len(names))
        for name in names:
            self.assertEqual((await daemon.state(name)).state, "queued")

    # Regression (MIXED): a job counted as begun once a worker was chosen for it, also
    # if the worker refused the start, and so it was missing in the number of waiting
    # jobs and shown as running.
    def test_jobs_whose_starts_come_to_nothing_are_waiting(self):
        rows = (
            ("unhealthy", {"/run-start": 503}, False),
            ("too many calls", {"/run-start": 429}, False),
            ("not understood", {"/run-start": 400}, False),
            ("unknown status", {"/run-start": 500}, False),
            ("no answer", {"/run-start": None}, False),
            ("no answer at all", {"/run-start": None, "/hold": None}, False),
            ("unhealthy, the owner is killed", {"/run-start": 503}, True),
            ("no answer, the owner is killed", {"/run-start": None}, True),
        )
        for name, path_answers, kills_owner in self.each(rows):

            async def scenario(
                cluster, path_answers=path_answers, kills_owner=kills_owner
            ):
                await self.scenario(cluster, path_answers, kills_owner)

            cluster = self.run_scenario(scenario)
            self.assertEqual(len(cluster.record.starts), JOBS, name)

    def test_a_job_that_has_begun_is_shown_as_running_soon(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1", "vm-2")
            for worker in cluster.add_workers(3):
                worker.task_duration_s = lambda task: 20.0
            owner = await cluster.wait_for_owner()
            self.assertIsNone(await owner.submit(job("j", StepSpec(cpu_m=1000))))
            for daemon in cluster.daemons.values():
                await cluster.wait_for_state(daemon, "j", "running", 2.0)
                self.assertEqual(await daemon.intake.pending(QUEUE), 0)
            await owner.kill()
            del cluster.daemons[owner.vm]
            await asyncio.sleep(8.0)
            status = await cluster.daemons["vm-2"].state("j")
            self.assertEqual(status.state, "running")

        self.run_scenario(scenario)
