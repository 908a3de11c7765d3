"""Jobs whose callers declare wrong run times, while the fleet is overloaded."""

from __future__ import annotations

import asyncio
import random
from unittest import mock

from fulmarlever_standins.authority.simulated_cluster import (
    LABELS_QUEUE,
    PLANS_QUEUE,
    Daemon,
    SimulatedCluster,
    job,
)
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.scheduling import owner as owner_module
from fulmarleverd.scheduling.jobs.tasks import Step
from fulmarleverd.scheduling.planning.order import HARD_DEADLINE_FACTOR
from fulmarleverd.scheduling.run_times import RunTimes
from fulmarleverd.scheduling.specs import JobSpec, StepSpec

WORKERS = 4
STREAM_S = 20.0
# Jobs per second, more than the fleet can serve in time.
RATE = 5.0


class DeclaredTimes(RunTimes):
    """The version that knows only the declared times."""

    def record_end(self, step: Step, seconds: float) -> None:
        pass


class StreamJob:
    """A job of one step whose tasks take ``usual_s`` seconds, and whether it is served.

    It is served if it completes before its hard deadline by the actual times.
    """

    def __init__(self, number: int, rng: random.Random, kind: str) -> None:
        self.queue = (PLANS_QUEUE, LABELS_QUEUE)[number % 2]
        self.usual_s = rng.lognormvariate(0.0, 0.7)
        share = rng.uniform(0.1, 1.9) if kind.startswith("off") else 1.0
        self.long_tasks = set()
        count = min(24, max(1, round(rng.lognormvariate(1.5, 0.8))))
        if kind.endswith("tail"):
            self.long_tasks = {n for n in range(count) if rng.random() < 0.03}
        step = StepSpec(
            count=count,
            cpu_m=int(1000 * min(13.0, max(1.0, rng.lognormvariate(1.3, 0.4)))),
            memory_mb=100,
            estimate_s=share * self.usual_s,
        )
        self.spec: JobSpec = job(f"b{number}", step)
        self.is_served = False

    def task_s(self, index: int) -> float:
        return 7.0 * self.usual_s if index in self.long_tasks else self.usual_s

    @property
    def hard_deadline_s(self) -> float:
        longest_s = max(self.task_s(n) for n in range(self.spec.steps[0].count))
        objective_s = self.queue.stretch * longest_s + self.queue.target_latency_s
        return HARD_DEADLINE_FACTOR * objective_s

    async def submit_and_wait(self, owner: Daemon, cluster: SimulatedCluster) -> None:
        await owner.submit(self.spec, self.queue)
        limit_s = self.hard_deadline_s
        try:
            await cluster.wait_for_state(owner, self.spec.id, "completed", limit_s)
            self.is_served = True
        except AssertionError:
            self.is_served = False


class WrongEstimatesTests(SimulatedClusterTestCase):
    def served(self, kind: str, rate: float, seed: int, version: type) -> float:
        """Return the share of a stream's jobs that are served."""
        rng = random.Random(seed)
        jobs = [StreamJob(n, rng, kind) for n in range(int(rate * STREAM_S))]
        by_id = {stream_job.spec.id: stream_job for stream_job in jobs}

        def task_s(task: str) -> float:
            job_id, _, _, index = task.split(".")
            return by_id[job_id].task_s(int(index))

        async def scenario(cluster: SimulatedCluster) -> None:
            cluster.add_daemons("vm-1")
            for worker in cluster.add_workers(WORKERS):
                worker.task_duration_s = task_s
            owner = await cluster.wait_for_owner()
            waiters = []
            for stream_job in jobs:
                waiter = asyncio.create_task(stream_job.submit_and_wait(owner, cluster))
                waiters.append(waiter)
                await asyncio.sleep(1.0 / rate)
            await asyncio.gather(*waiters)

        with mock.patch.object(owner_module, "RunTimes", version):
            self.run_scenario(scenario)
        return sum(stream_job.is_served for stream_job in jobs) / len(jobs)

    # Guards against learned times that change how a deployment with right declared
    # times is served.
    def test_right_declared_times_are_served_as_by_the_declared_version(self):
        learned = self.served("right", RATE, 1, RunTimes)
        declared = self.served("right", RATE, 1, DeclaredTimes)
        self.assertEqual(learned, declared)

    # Guards against jobs that miss their deadlines because the order trusts declared
    # times that are off by up to 0.9, also with 3 % of tasks of seven times the length.
    def test_more_jobs_are_served_if_declared_times_are_off(self):
        learned = declared = 0.0
        for kind, seed in (("off", 2), ("off", 3), ("off with tail", 2)):
            learned += self.served(kind, RATE, seed, RunTimes)
            declared += self.served(kind, RATE, seed, DeclaredTimes)
        self.assertGreater(learned, declared)
