"""Daemons in touch tell that no job waits while owners are killed one after another."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_3 import BOUNDS, HAS_TROUBLE, run_case  # noqa: E402

QUEUE = "label-run"
# Takes all workers for longer than the case lasts.
FILLING = [{"count": 8, "cpu": 32000, "memMb": 1000, "estimateMs": 90000}]
WAITING = [{"count": 1, "cpu": 8000, "memMb": 1000, "estimateMs": 500}]
JOBS = 6
KILLS = 3
# How long a killed daemon is down, and when its successor is killed after it took over.
DOWN_S = 3.5
KILL_AFTER_S = 0.3
VISIBLE_S = BOUNDS["visible_ms"] / 1000.0 + 2.0
ASKED_S = 12.0
ASK_PERIOD_S = 0.25


async def scenario(deployment):
    record = deployment.record
    if not await deployment.submit(QUEUE, "00000000000000aa", FILLING):
        raise RuntimeError("the first job was not accepted")
    await asyncio.sleep(6.0)
    killed = set()
    if HAS_TROUBLE:
        owner = deployment.owner()
        killed.add(owner.name)
        restarts = [asyncio.ensure_future(kill_and_restart(deployment, owner))]
    await asyncio.sleep(0.1)
    accepted_s = []
    for number in range(JOBS):
        undisturbed = next(d for d in deployment.daemons if d.name not in killed)
        job_id = f"{number:016x}"
        if await deployment.submit(QUEUE, job_id, WAITING, undisturbed):
            accepted_s.append(record.now_s())
    asking = asyncio.ensure_future(ask(deployment, killed, accepted_s))
    if HAS_TROUBLE:
        for _ in range(KILLS - 1):
            while (owner := deployment.owner()).name in killed:
                await asyncio.sleep(0.01)
            await asyncio.sleep(KILL_AFTER_S)
            killed.add(owner.name)
            restarts.append(asyncio.ensure_future(kill_and_restart(deployment, owner)))
    answers = await asking
    if HAS_TROUBLE:
        await asyncio.gather(*restarts)
    begun = [job for job in deployment.begun if job != "00000000000000aa"]
    if begun:
        raise RuntimeError(f"jobs began: {begun}")
    return [
        f"MIXED at {at_s:.3f}: {name} gives pending {pending}, and {waiting} jobs that "
        f"have not begun were accepted over {VISIBLE_S} s before"
        for name, at_s, pending, waiting in answers
        if name not in killed and pending < waiting / 2
    ]


async def kill_and_restart(deployment, daemon):
    deployment.record.add(f"kill {daemon.name}, which holds the scheduler's lease")
    daemon.signal(signal.SIGKILL)
    await daemon.process.wait()
    await asyncio.sleep(DOWN_S)
    deployment.record.add(f"start {daemon.name} again")
    await daemon.start()


async def ask(deployment, killed, accepted_s):
    """Ask the daemons that have not been killed how many jobs wait."""
    answers = []
    until_s = deployment.record.now_s() + ASKED_S
    while deployment.record.now_s() < until_s:
        for daemon in deployment.daemons:
            if daemon.name in killed:
                continue
            # Jobs that were accepted long enough before the answer was asked for.
            asked_s = deployment.record.now_s()
            waiting = sum(asked_s - at_s > VISIBLE_S for at_s in accepted_s)
            status, answer = await deployment.call("GET", QUEUE, "", daemon=daemon)
            if status == 200:
                answers.append((daemon.name, asked_s, answer["pending"], waiting))
        await asyncio.sleep(ASK_PERIOD_S)
    return answers


run_case(Path(__file__).resolve().parent, scenario, daemons=6, workers=8)
