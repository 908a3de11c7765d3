"""A worker with more than 500 ends to report: the owner starts done tasks again."""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.standins import Deployment, find_twice, make_job, run_case

# As wide as the widest step of the site's own traffic.
TASKS = 36
JOBS = 34
TASK_CPU = 25
TASK_MEMORY_MB = 100
TASK_MS = 8000
# As long as the site's largest dose of ``node_kill``.
DOWN_S = 3.5
# The owner is killed as the first of the tasks end.
KILL_AT_S = 7.9


async def scenario(deployment: Deployment, is_disturbed: bool) -> list[str]:
    """Run many small tasks on the worker with their label and kill the owner."""
    await asyncio.sleep(3.0)
    started = asyncio.Event()
    for minion in deployment.minions:
        minion.on_start = lambda run: started.set()
    jobs = [
        make_job(TASKS, TASK_CPU, TASK_MEMORY_MB, TASK_MS, constraints="b")
        for _ in range(JOBS)
    ]
    await asyncio.gather(*(deployment.submit(job) for job in jobs))
    await started.wait()
    await asyncio.sleep(KILL_AT_S)
    if is_disturbed:
        deployment.spawn(deployment.kill_for(deployment.leader(), DOWN_S))
    for _ in range(60):
        await asyncio.sleep(1.0)
        states = {await deployment.ask(job) for job in jobs}
        if states == {"completed"}:
            break
    await asyncio.sleep(2.0)
    runs = list(deployment.runs())
    deployment.record.say(
        f"{JOBS} jobs of {TASKS} tasks are {sorted(states)} after {len(runs)} runs"
    )
    return find_twice(iter(runs))


if __name__ == "__main__":
    run_case(
        scenario, Path(__file__).resolve().parent, labels=("a", "a", "b", "a", "a", "a")
    )
