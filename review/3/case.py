"""A worker fails a task once: the task never runs again, for want of other workers."""

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

WORKERS = 12
# One worker of 12 is a share of 0.083; the site's largest dose is 0.085 for 6.5 s.
FAILS_S = 6.5
JOBS = 3
TASKS = 2
TASK_MS = 640


async def scenario(deployment: Deployment, is_disturbed: bool) -> list[str]:
    """Hand in jobs that only the labelled worker may run, while it fails its tasks."""
    await asyncio.sleep(5.0)
    labelled = next(minion for minion in deployment.minions if "b" in minion.labels)
    labelled.fails = is_disturbed
    deployment.record.say(f"{labelled.name} fails what it starts: {is_disturbed}")
    jobs = [make_job(TASKS, 3100, 6200, TASK_MS, constraints="b") for _ in range(JOBS)]
    for job in jobs:
        await deployment.submit(job)
    await asyncio.sleep(FAILS_S)
    labelled.fails = False
    deployment.record.say(f"{labelled.name} runs tasks as usual again")
    # Workers that failed get fewer tasks for a while, so wait for longer than that.
    await asyncio.sleep(15.0)
    await asyncio.sleep(FINISH_S)
    for run in deployment.runs():
        deployment.record.say(f"{run.task} {run.span()}")
    found = await find_idle_jobs(deployment, jobs)
    for job in jobs:
        deployment.record.say(f"job {job.id} is {job.state}")
    return found


def make_labels() -> tuple[str, ...]:
    """Return the labels of the workers, of which one is ``b``."""
    return ("a",) * (WORKERS - 1) + ("b",)


if __name__ == "__main__":
    run_case(
        scenario,
        Path(__file__).resolve().parent,
        workers=WORKERS,
        labels=make_labels(),
    )
