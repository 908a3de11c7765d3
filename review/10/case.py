"""A minion is lost, and a stop makes more tasks of a step unavailable than allowed."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from small_deployment import (
    BOUNDS,
    BROKEN,
    HELD,
    Deployment,
    Minion,
    Run,
    run_case,
    wait_for,
)

MINIONS = 8
MAY_MISS = 1
NOTICE_S = BOUNDS["noticeMs"] / 1000.0
HEARTBEATS_S = 3.3


async def script(deployment: Deployment, has_trouble: bool) -> int:
    """Fill the minions, lose one, and hand in a job that finds no room."""
    await deployment.start(3, {"watch": {}})
    for number in range(MINIONS):
        await deployment.add_minion(f"i-{number}")
    steps = [{"lasts": True, "cpu": 20000}]
    phase = {"cpu": 20000, "memMb": 100, "longRunning": True}
    first = await deployment.submit(
        "watch", [{**phase, "count": MINIONS, "mayMiss": MAY_MISS}], steps
    )
    await wait_for(lambda: len(deployment.running(first)) == MINIONS, 10.0, "all run")
    await asyncio.sleep(5.0)

    # Since when each task of the first job is not at work.
    away_since_s: dict[str, float] = {}
    broken: list[str] = []

    def on_stop(minion: Minion, run: Run) -> None:
        if not run.task.startswith(first + ".") or run.percent < 100.0:
            return
        now_s = time.monotonic()
        away = [
            task
            for task, since_s in away_since_s.items()
            if task != run.task and now_s - since_s >= NOTICE_S
        ]
        deployment.record.add(
            f"a stop ends {run.task}, which is at work; away for {NOTICE_S} s: {away}"
        )
        if len(away) >= MAY_MISS:
            broken.append(run.task)

    def on_ended(minion: Minion, run: Run, how: str) -> None:
        away_since_s[run.task] = time.monotonic()

    def on_began(minion: Minion, run: Run) -> None:
        away_since_s.pop(run.task, None)

    deployment.on_stop_ordered = on_stop
    deployment.on_ended = on_ended
    deployment.on_began = on_began
    if has_trouble:
        await deployment.minions["i-0"].crash(is_dark=True)
        asyncio.get_running_loop().call_later(
            HEARTBEATS_S, deployment.store.remove, "servers", "i-0"
        )
    await asyncio.sleep(2.9)
    await deployment.submit("watch", [{**phase, "count": 4}], steps)
    await asyncio.sleep(12.0)
    if not has_trouble and not away_since_s and not broken:
        deployment.record.add("no task was stopped")
    return BROKEN if broken else HELD


if __name__ == "__main__":
    run_case(script, Path(__file__).resolve().parent)
