"""An unhealthy minion refuses starts, and waiting jobs are left out of ``pending``."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

from small_deployment import BOUNDS, BROKEN, HELD, Deployment, Minion, Run, run_case

MINIONS = 12
# The site allows 6.5 s.
UNHEALTHY_S = 6.4
JOBS = 6
VISIBLE_S = BOUNDS["visible_ms"] / 1000.0 + 2.0


async def script(deployment: Deployment, has_trouble: bool) -> int:
    """Hand in jobs for the one minion that has their label, and ask for ``pending``."""
    await deployment.start(3, {"plan": {}})
    for number in range(MINIONS):
        labels = ("b" if number == 0 else "a", "r1-1")
        await deployment.add_minion(f"i-{number}", labels=labels)
    await asyncio.sleep(3.0)
    begun: set[str] = set()

    def on_began(minion: Minion, run: Run) -> None:
        begun.add(run.task.split(".")[0])

    deployment.on_began = on_began
    minion = deployment.minions["i-0"]
    minion.refuses_starts = has_trouble
    began_s = time.monotonic()
    steps = [{"ms": 1000, "cpu": 1000}]
    phases = [
        {
            "count": 1,
            "cpu": 1000,
            "memMb": 100,
            "estimateMs": 1000,
            "constraints": "b",
        }
    ]
    jobs = [await deployment.submit("plan", phases, steps, n % 3) for n in range(JOBS)]
    accepted_s = time.monotonic()
    broken = False
    asked = 0
    while time.monotonic() - began_s < UNHEALTHY_S:
        await asyncio.sleep(0.2)
        if time.monotonic() - accepted_s <= VISIBLE_S:
            continue
        waiting = [job for job in jobs if job not in begun]
        _, body = await deployment.call("GET", "/plan/", daemon=asked % 3)
        asked += 1
        pending = body.get("pending")
        deployment.record.add(
            f"{len(waiting)} jobs were accepted over {VISIBLE_S} s ago and have not "
            f"begun; pending is {pending}"
        )
        await deployment.state("plan", jobs[0])
        still = [job for job in waiting if job not in begun]
        if still and pending is not None and pending < len(still) / 2:
            broken = True
    minion.refuses_starts = False
    await asyncio.sleep(5.0)
    states = [await deployment.state("plan", job) for job in jobs]
    deployment.record.add(f"states in the end: {states}")
    return BROKEN if broken else HELD


if __name__ == "__main__":
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    run_case(script, Path(__file__).resolve().parent, has_trouble)
