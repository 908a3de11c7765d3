"""The share of large batch jobs that are served while the fleet is overloaded."""

from __future__ import annotations

import asyncio
import random

from fulmarlever_standins.authority.simulated_cluster import (
    LABELS_QUEUE,
    Daemon,
    SimulatedCluster,
    job,
)
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.scheduling.planning.order import HARD_DEADLINE_FACTOR
from fulmarleverd.scheduling.specs import JobSpec, StepSpec

WORKERS = 4
TASK_S = 0.64
OBJECTIVE_S = LABELS_QUEUE.stretch * TASK_S + LABELS_QUEUE.target_latency_s
# The users' requirement for the largest tenth of the jobs of a kind, and for the next
# fifth: the share served is at least this fraction of that of the whole kind.
MIN_RELATIVE_SHARE = 0.5
STREAM_DURATION_S = 30.0
SEED = 14


class StreamJob:
    """A job of the stream, and whether it completed before its hard deadline."""

    def __init__(self, number: int, rng: random.Random) -> None:
        tasks = min(36, max(1, round(rng.lognormvariate(1.5, 0.8))))
        cores = min(13.0, max(1.0, rng.lognormvariate(1.45, 0.4)))
        self.work = tasks * cores
        self.spec: JobSpec = job(
            f"b{number}",
            StepSpec(
                count=tasks,
                cpu_m=int(cores * 1000),
                memory_mb=100,
                estimate_s=TASK_S,
            ),
        )
        self.is_served = False

    async def submit_and_wait(self, owner: Daemon, cluster: SimulatedCluster) -> None:
        """Submit the job and wait for its completion, up to its hard deadline."""
        await owner.submit(self.spec, LABELS_QUEUE)
        limit_s = HARD_DEADLINE_FACTOR * OBJECTIVE_S
        try:
            await cluster.wait_for_state(owner, self.spec.id, "completed", limit_s)
            self.is_served = True
        except AssertionError:
            self.is_served = False


def served_share(stream_jobs: list[StreamJob]) -> float:
    """Return the share of jobs that were served, from 0 to 1."""
    return sum(stream_job.is_served for stream_job in stream_jobs) / len(stream_jobs)


class BatchSizesTests(SimulatedClusterTestCase):
    # Jobs per second; the fleet completes about 7.
    RATES = (("overload by half", 10.0), ("overload by double", 14.0))

    # Regression: in an overload, the largest jobs were ordered last and never served.
    def test_the_largest_jobs_are_served_in_an_overload(self):
        for _, rate in self.each(self.RATES):
            stream_jobs = self.run_stream(rate)
            stream_jobs.sort(key=lambda stream_job: stream_job.work)
            share = served_share(stream_jobs)
            tenth = len(stream_jobs) // 10
            largest, next_fifth = stream_jobs[-tenth:], stream_jobs[-3 * tenth : -tenth]
            self.assertGreaterEqual(served_share(largest), MIN_RELATIVE_SHARE * share)
            self.assertGreaterEqual(
                served_share(next_fifth), MIN_RELATIVE_SHARE * share
            )

    def run_stream(self, rate: float) -> list[StreamJob]:
        rng = random.Random(SEED)
        stream_jobs = [
            StreamJob(number, rng) for number in range(int(rate * STREAM_DURATION_S))
        ]

        async def scenario(cluster: SimulatedCluster) -> None:
            cluster.add_daemons("vm-1")
            for worker in cluster.add_workers(WORKERS):
                worker.task_duration_s = lambda task: TASK_S
            owner = await cluster.wait_for_owner()
            waiters = []
            for stream_job in stream_jobs:
                waiter = asyncio.create_task(stream_job.submit_and_wait(owner, cluster))
                waiters.append(waiter)
                await asyncio.sleep(1.0 / rate)
            await asyncio.gather(*waiters)

        self.run_scenario(scenario)
        return stream_jobs
