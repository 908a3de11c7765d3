"""A later occurrence starts before an earlier one: a new owner forgets the earlier."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from review.standins import (
    ADVISED_PREFIX,
    FINISH_S,
    Deployment,
    find_idle_jobs,
    make_job,
    run_case,
)

FIRST_DUE_S = 2.0
INTERVAL_S = 2.0
REPETITIONS = 4
TASK_MS = 640
# One other task takes the worker that the first occurrence has to wait for.
BUSY_MS = 20_000
KILL_AFTER_S = 7.0
# As long as the site's largest dose of ``node_kill``.
DOWN_S = 3.5


async def scenario(deployment: Deployment, is_disturbed: bool) -> list[str]:
    """Run a job with occurrences, the first of which has to wait for its worker."""
    await asyncio.sleep(3.0)
    only = next(minion for minion in deployment.minions if "b" in minion.labels)
    deployment.advice.may_run = lambda step, worker: (
        (worker == only.name) == (step.split(".")[1] == "0")
    )
    busy = make_job(1, 32_000, 1000, BUSY_MS, constraints="b")
    await deployment.submit(busy)
    await asyncio.sleep(1.0)
    job = make_job(1, 3100, 6200, TASK_MS)
    job.prefix = ADVISED_PREFIX
    job.body["repetitions"] = REPETITIONS
    job.body["startAtMs"] = int((time.time() + FIRST_DUE_S) * 1000)
    job.body["intervalMs"] = int(INTERVAL_S * 1000)
    await deployment.submit(job)
    await asyncio.sleep(FIRST_DUE_S + KILL_AFTER_S)
    if is_disturbed:
        deployment.spawn(deployment.kill_for(deployment.leader(), DOWN_S))
    await asyncio.sleep(BUSY_MS / 1000.0 + FINISH_S)
    for run in deployment.runs():
        deployment.record.say(f"{run.task} {run.span()}")
    found = await find_idle_jobs(deployment, [busy, job])
    deployment.record.say(f"job {job.id} is {job.state}, job {busy.id} {busy.state}")
    return found


if __name__ == "__main__":
    run_case(
        scenario, Path(__file__).resolve().parent, labels=("b", "a", "a", "a", "a", "a")
    )
