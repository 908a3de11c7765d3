"""An entry in the list of minions holds an address that can't be read."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

from small_deployment import BOUNDS, BROKEN, HELD, CannotRun, Deployment, run_case

MINIONS = 6
WAIT_S = BOUNDS["finish_s"]
IDLE_S = 3.0
# The JSON text \ud83d is half of a surrogate pair and stands for no character.
UNREADABLE_ENTRY = rb"""{"service": "fill-desk", "address": "\ud83d:8161",
 "zone": "port-antonio", "version": "1", "slots": 8, "state": "ready", "coldLeftMs": 0,
 "sequence": 1, "capacity": {"cpu": 32000, "memMb": 128000, "gpus": 0},
 "labels": ["a", "r1-1"], "machine": "m-x", "born": 1}"""


async def script(deployment: Deployment, has_trouble: bool) -> int:
    """Hand in jobs before and after the entry is written."""
    await deployment.start(3, {"plan": {}})
    for number in range(MINIONS):
        await deployment.add_minion(f"i-{number}")
    steps = [{"ms": 600, "cpu": 2000}]
    phases = [{"count": 4, "cpu": 2000, "memMb": 100, "estimateMs": 600}]
    first = await deployment.submit("plan", phases, steps)
    await asyncio.sleep(3.0)
    if await deployment.state("plan", first) != "completed":
        raise CannotRun("a job is not done in a calm deployment")
    if has_trouble:
        deployment.record.add("another writer: an entry that can't be read")
        deployment.store.put("servers", "i-other", UNREADABLE_ENTRY)
    await asyncio.sleep(1.0)
    jobs = [await deployment.submit("plan", phases, steps, n % 3) for n in range(5)]
    await asyncio.sleep(WAIT_S)
    states = [await deployment.state("plan", job) for job in jobs]
    deployment.record.add(f"{WAIT_S} s after the last job: {states}")
    found = await asyncio.gather(*(has_no_run(deployment, job) for job in jobs))
    idle = {job for job, is_idle in zip(jobs, found, strict=True) if is_idle}
    deployment.record.add(f"jobs with nothing running for {IDLE_S} s: {len(idle)}")
    is_lost = any(
        state != "completed" and job in idle
        for job, state in zip(jobs, states, strict=True)
    )
    return BROKEN if is_lost else HELD


async def has_no_run(deployment: Deployment, job: str) -> bool:
    """Return whether nothing of a job runs for ``IDLE_S``."""
    until_s = time.monotonic() + IDLE_S
    while time.monotonic() < until_s:
        if deployment.running(job):
            return False
        await asyncio.sleep(0.05)
    return True


if __name__ == "__main__":
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    run_case(script, Path(__file__).resolve().parent, has_trouble)
