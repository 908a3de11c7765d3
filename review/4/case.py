"""A job whose progress outgrows a row of the store: nothing is committed any more."""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.standins import (
    FINISH_S,
    Deployment,
    find_idle_jobs,
    make_job,
    run_case,
)

TASKS = 5000
TASK_CPU = 10
TASK_MEMORY_MB = 20
# Longer than the case: the tasks of the large job work on until its end.
TASK_MS = 600_000
START_S = 25.0
SMALL_JOBS = 20


async def scenario(deployment: Deployment, is_disturbed: bool) -> list[str]:
    """Hand in one large job, then small ones, which have room to run."""
    await asyncio.sleep(3.0)
    if is_disturbed:
        large = make_job(TASKS, TASK_CPU, TASK_MEMORY_MB, TASK_MS, checkpointing=True)
        await deployment.submit(large)
    await asyncio.sleep(START_S)
    started = sum(1 for _ in deployment.runs())
    deployment.record.say(
        f"{started} runs so far, {deployment.used_share():.0%} of the cores in use, "
        f"{deployment.store.rejected} transactions rejected"
    )
    small = [make_job(4, 500, 500, 640) for _ in range(SMALL_JOBS)]
    for job in small:
        await deployment.submit(job)
        await asyncio.sleep(0.5)
    await asyncio.sleep(FINISH_S)
    found = await find_idle_jobs(deployment, small)
    done = sum(job.state == "completed" for job in small)
    accepted = sum(job.is_accepted for job in small)
    deployment.record.say(
        f"{done} of {accepted} accepted small jobs are completed; "
        f"{deployment.store.rejected} transactions rejected"
    )
    return found


if __name__ == "__main__":
    run_case(scenario, Path(__file__).resolve().parent)
