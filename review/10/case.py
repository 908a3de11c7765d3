"""One job that can never be done keeps every minion from new work."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

from small_deployment import BROKEN, HELD, Deployment, Minion, Run, run_case, wait_for

MINIONS = 8
FAILS_AFTER_MS = 1700
# So the job that can't be done is one in 17 of its kind; the site allows 0.064.
SOUND_JOBS = 16
# The rule asks for 4 calm seconds and then 3 s without a run.
CALM_S, IDLE_S = 4.0, 3.0


async def script(deployment: Deployment, has_trouble: bool) -> int:
    """Hand in a job that can never be done, then one with tasks that last."""
    await deployment.start(3, {"watch": {}, "plan": {"priority": 2}})
    for number in range(MINIONS):
        await deployment.add_minion(f"i-{number}")
    lasting = [{"lasts": True, "cpu": 6400}]
    phase = {"cpu": 6400, "memMb": 100, "longRunning": True, "antiAffinity": 1}
    first = await deployment.submit("watch", [{**phase, "count": MINIONS}], lasting)
    await wait_for(lambda: len(deployment.running(first)) == MINIONS, 10.0, "all run")
    await asyncio.sleep(4.0)

    began_s: dict[str, float] = {}

    def on_began(minion: Minion, run: Run) -> None:
        began_s.setdefault(run.task, time.monotonic())

    steps = [{"ms": 1000, "cpu": 3500}]
    phases = [{"count": 4, "cpu": 3500, "memMb": 100, "estimateMs": 1000}]
    for number in range(SOUND_JOBS):
        await deployment.submit("plan", phases, steps, number % 3)
        await asyncio.sleep(0.5)
    await asyncio.sleep(3.0)

    deployment.on_began = on_began
    steps = [{"ms": FAILS_AFTER_MS, "cpu": 3500, "fails": has_trouble}]
    phases = [{"count": 24, "cpu": 3500, "memMb": 100, "estimateMs": FAILS_AFTER_MS}]
    await deployment.submit("plan", phases, steps)
    handed_in_s = time.monotonic()
    await asyncio.sleep(3.8)
    job = await deployment.submit("watch", [{**phase, "count": 2}], lasting)
    accepted_s = time.monotonic()
    tasks = [f"{job}.0.0.{index}" for index in range(2)]
    await asyncio.sleep(20.0)

    calm_from_s = max(accepted_s, handed_in_s + CALM_S)
    idle_s = [began_s.get(task, time.monotonic()) - calm_from_s for task in tasks]
    deployment.record.add(
        f"from {CALM_S} s after the job that can't be done on, the tasks that last had "
        f"no run for {[round(seconds, 2) for seconds in idle_s]} s"
    )
    return BROKEN if max(idle_s) > IDLE_S else HELD


if __name__ == "__main__":
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    run_case(script, Path(__file__).resolve().parent, has_trouble)
