"""A job is cancelled while its submission has no answer, and runs all the same."""

from __future__ import annotations

import asyncio
import json
import os
import time
from pathlib import Path

from small_deployment import (
    BOUNDS,
    BROKEN,
    HELD,
    CannotRun,
    Deployment,
    Minion,
    Run,
    run_case,
)

MINIONS = 6
# The store is silent for this long; the site allows 4.5 s.
SILENCE_S = 1.7
# How much later the store carries out the write that it left unanswered.
LATE_S = 5.9
WATCH_S = 12.0


async def script(deployment: Deployment, has_trouble: bool) -> int:
    """Submit a job around an outage of the store, cancel it and watch its tasks."""
    await deployment.start(3, {"watch": {}})
    for number in range(MINIONS):
        await deployment.add_minion(f"i-{number}")
    steps = [{"lasts": True, "cpu": 2000}]
    phases = [{"count": 3, "cpu": 2000, "memMb": 100, "longRunning": True}]
    await deployment.submit("watch", phases, steps)
    await asyncio.sleep(4.0)

    job = deployment.new_job_id()
    starts: list[float] = []

    def on_began(minion: Minion, run: Run) -> None:
        if run.task.startswith(job + "."):
            starts.append(time.monotonic())

    deployment.on_began = on_began
    store = deployment.store
    if has_trouble:
        deployment.record.add(f"the store falls silent for {SILENCE_S} s")
        store.is_silent = True
        store.delay_of = lambda names: LATE_S if f"jobs/{job}" in names else None
    silent_until_s = time.monotonic() + SILENCE_S
    await asyncio.sleep(0.8)
    body = {"spec": json.dumps({"steps": steps}), "phases": phases}
    status, _ = await deployment.call("POST", f"/watch/{job}", body)
    if has_trouble and status not in (0, 502, 504):
        raise CannotRun("the submission got an answer")
    await asyncio.sleep(silent_until_s - time.monotonic())
    store.is_silent = False
    store.delay_of = lambda names: None
    deployment.record.add("the store answers")

    acknowledged_s = await cancel(deployment, job)
    late_from_s = max(
        acknowledged_s + BOUNDS["cancel_ms"] / 1000.0,
        silent_until_s + BOUNDS["contactMs"] / 1000.0,
    )
    await asyncio.sleep(WATCH_S)
    late = [began_s - acknowledged_s for began_s in starts if began_s > late_from_s]
    running = deployment.running(job)
    deployment.record.add(
        f"starts later than {late_from_s - acknowledged_s:.2f} s after the cancelling "
        f"was acknowledged: {[round(seconds, 2) for seconds in late]}; running "
        f"{WATCH_S} s after it: {running}"
    )
    return BROKEN if late or running else HELD


async def cancel(deployment: Deployment, job: str) -> float:
    """Cancel a job until this is acknowledged and return when it was."""
    for attempt in range(20):
        status, _ = await deployment.call(
            "DELETE", f"/watch/{job}", daemon=(attempt + 1) % 3
        )
        if 200 <= status < 300 or status == 410:
            return time.monotonic()
        await asyncio.sleep(0.1)
    raise CannotRun("the cancelling was not acknowledged")


if __name__ == "__main__":
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    run_case(script, Path(__file__).resolve().parent, has_trouble)
