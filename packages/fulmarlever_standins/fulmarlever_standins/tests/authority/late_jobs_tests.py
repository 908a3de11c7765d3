"""More jobs past their hard deadline than the fleet can run at once."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from functools import partial

from fulmarlever_standins.authority.simulated_cluster import (
    LABELS_QUEUE,
    SimulatedCluster,
    job,
)
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.scheduling.planning.order import HARD_DEADLINE_FACTOR
from fulmarleverd.scheduling.specs import StepSpec

TASK_S = 0.5
JOBS = 6
OBJECTIVE_S = LABELS_QUEUE.stretch * TASK_S + LABELS_QUEUE.target_latency_s
SAMPLE_INTERVAL_S = 0.1
# Each job fills the worker for five times a task's time.
BATCH = StepSpec(count=160, cpu_m=1000, estimate_s=TASK_S)
BEST_EFFORT = replace(BATCH, is_best_effort=True)


def running_jobs(cluster: SimulatedCluster) -> set[str]:
    """Return the ids of the jobs that have a running task."""
    workers = cluster.network.workers.values()
    return {task.split(".")[0] for worker in workers for task, _ in worker.running}


class LateJobsTests(SimulatedClusterTestCase):
    # The users' requirement: a job that may run has a running task again before this.
    IDLE_LIMIT_S = 3.0

    # Regression: late jobs ran one after the other, and the largest had no running task
    # until all others had ended.
    def test_each_late_job_has_running_tasks(self):
        rows = (("batch", BATCH), ("best effort", BEST_EFFORT))
        for _, step in self.each(rows):
            self.run_scenario(partial(self.run_late_jobs, step=step))

    async def run_late_jobs(self, cluster: SimulatedCluster, step: StepSpec) -> None:
        cluster.add_daemons("vm-1")
        for worker in cluster.add_workers(1):
            worker.task_duration_s = lambda task: TASK_S
        owner = await cluster.wait_for_owner()
        for number in range(JOBS):
            larger = replace(step, count=step.count + number)
            await owner.submit(job(f"j{number}", larger))
        await asyncio.sleep(HARD_DEADLINE_FACTOR * OBJECTIVE_S)
        idle_s = dict.fromkeys((f"j{number}" for number in range(JOBS)), 0.0)
        while idle_s:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            running = running_jobs(cluster)
            for name in list(idle_s):
                if (await owner.state(name)).state == "completed":
                    del idle_s[name]
                    continue
                idle_s[name] = (
                    0.0 if name in running else idle_s[name] + SAMPLE_INTERVAL_S
                )
                self.assertLess(idle_s[name], self.IDLE_LIMIT_S, name)
