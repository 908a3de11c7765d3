"""The shares of serving tasks that run when a fleet cannot run all of them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from fulmarlever_standins.authority.simulated_cluster import (
    LABELS_QUEUE,
    Daemon,
    SimulatedCluster,
    job,
)
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.scheduling.specs import StepSpec

WORKERS = 6
# Number of tasks and cores per task of ten jobs; together 1.6 times the fleet's cores.
SIZES = (
    (3, 4),
    (3, 5),
    (4, 4),
    (4, 5),
    (4, 6),
    (5, 6),
    (5, 7),
    (6, 6),
    (6, 8),
    (9, 8),
)
LARGEST = (9, 10)
# The users' requirement for the largest tenth of the jobs of a kind, and for the next
# fifth: the share served is at least this fraction of that of the whole kind.
MIN_RELATIVE_SHARE = 0.5
WARM_UP_S = 10.0
SAMPLES = 10
SAMPLE_INTERVAL_S = 2.0


def serving_step(tasks: int, cores: int) -> StepSpec:
    """Return a step of serving tasks."""
    return StepSpec(
        count=tasks,
        cpu_m=cores * 1000,
        memory_mb=100,
        estimate_s=0.5,
        is_long_running=True,
        image="a",
        latency_target_s=0.05,
    )


def share_running(cluster: SimulatedCluster, spec_id: str, tasks: int) -> float:
    """Return the share of a job's tasks that are running, from 0 to 1."""
    running = [
        name for name in cluster.record.running() if name.startswith(spec_id + ".")
    ]
    return len(running) / tasks


async def submit_all(
    owner: Daemon, sizes: Iterable[tuple[int, int]], prefix: str
) -> None:
    """Submit one job of serving tasks per size, all at the same time."""
    await asyncio.gather(
        *(
            owner.submit(job(f"{prefix}{number}", serving_step(*size)))
            for number, size in enumerate(sizes)
        )
    )


class ServingJobsTests(SimulatedClusterTestCase):
    def add_fleet(self, cluster: SimulatedCluster) -> None:
        cluster.add_daemons("vm-1")
        for worker in cluster.add_workers(WORKERS):
            worker.task_duration_s = lambda task: None if "short" not in task else 0.6

    async def mean_shares(
        self, cluster: SimulatedCluster, jobs: dict[str, int]
    ) -> dict[str, float]:
        """Return the mean share of running tasks of each job over all samples."""
        sums = dict.fromkeys(jobs, 0.0)
        for _ in range(SAMPLES):
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            for name, tasks in jobs.items():
                sums[name] += share_running(cluster, name, tasks)
        return {name: total / SAMPLES for name, total in sums.items()}

    def check_shares(self, shares: dict[str, float], largest: list[str]) -> None:
        mean = sum(shares.values()) / len(shares)
        for name in largest:
            self.assertGreaterEqual(shares[name], MIN_RELATIVE_SHARE * mean, name)

    # Regression: the largest jobs had no running task while the others ran.
    def test_the_largest_of_jobs_submitted_together_get_a_share(self):
        async def scenario(cluster):
            self.add_fleet(cluster)
            owner = await cluster.wait_for_owner()
            await submit_all(owner, SIZES, "j")
            await asyncio.sleep(WARM_UP_S)
            jobs = {f"j{n}": tasks for n, (tasks, _) in enumerate(SIZES)}
            shares = await self.mean_shares(cluster, jobs)
            self.check_shares(shares, ["j9", "j8", "j7"])

        self.run_scenario(scenario)

    # Regression: a large job had no running task if others were submitted before it.
    def test_a_large_job_gets_a_share_of_a_full_fleet(self):
        self.run_scenario(lambda cluster: self.add_large_job_late(cluster, SIZES[:9]))

    # Regression: short tasks used up free capacity before a large task fitted.
    def test_a_large_job_gets_a_share_beside_a_stream_of_short_ones(self):
        self.run_scenario(
            lambda cluster: self.add_large_job_late(cluster, SIZES[:8], has_stream=True)
        )

    async def add_large_job_late(
        self,
        cluster: SimulatedCluster,
        first: tuple[tuple[int, int], ...],
        has_stream: bool = False,
    ) -> None:
        """Fill the fleet with jobs, then submit the largest and check its share."""
        self.add_fleet(cluster)
        owner = await cluster.wait_for_owner()
        await submit_all(owner, first, "j")
        await asyncio.sleep(WARM_UP_S)
        stream = asyncio.create_task(self.stream(owner)) if has_stream else None
        await owner.submit(job("large", serving_step(*LARGEST)))
        await asyncio.sleep(WARM_UP_S)
        jobs = {f"j{n}": tasks for n, (tasks, _) in enumerate(first)}
        jobs["large"] = LARGEST[0]
        shares = await self.mean_shares(cluster, jobs)
        if stream is not None:
            stream.cancel()
        self.check_shares(shares, ["large"])

    async def stream(self, owner: Daemon) -> None:
        """Submit short jobs for twice the free capacity of the fleet."""
        number = 0
        while True:
            spec = StepSpec(count=8, cpu_m=3000, memory_mb=100, estimate_s=0.6)
            await owner.submit(job(f"short{number}", spec), LABELS_QUEUE)
            number += 1
            await asyncio.sleep(0.3)
