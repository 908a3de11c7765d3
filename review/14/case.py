"""Daemons in touch tell that no job waits while owners are killed one after another."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_3 import (  # noqa: E402
    BOUNDS,
    HAS_TROUBLE,
    Daemon,
    Deployment,
    run_case,
)

QUEUE = "label-run"
FILLING_JOB = "00000000000000aa"
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


class Kills:
    """Kills the owner, its successor and the next one; each starts again later."""

    def __init__(self, deployment: Deployment) -> None:
        self.names: set[str] = set()
        self._deployment = deployment
        self._restarts: list[asyncio.Task] = []

    def kill_owner(self) -> None:
        """Kill the owner and let it start again."""
        owner = self._deployment.owner()
        self.names.add(owner.name)
        self._restarts.append(asyncio.ensure_future(self._kill_and_restart(owner)))

    async def _kill_and_restart(self, daemon: Daemon) -> None:
        record = self._deployment.record
        record.add(f"kill {daemon.name}, which holds the scheduler's lease")
        await daemon.kill()
        await asyncio.sleep(DOWN_S)
        record.add(f"start {daemon.name} again")
        await daemon.start()

    async def kill_successors(self) -> None:
        """Kill the next owners shortly after they have taken over."""
        for _ in range(KILLS - 1):
            while self._deployment.owner().name in self.names:
                await asyncio.sleep(0.01)
            await asyncio.sleep(KILL_AFTER_S)
            self.kill_owner()
        await asyncio.gather(*self._restarts)


async def scenario(deployment: Deployment) -> list[str]:
    """Hand in jobs that wait, and ask how many do while owners are killed."""
    await deployment.submit(QUEUE, FILLING_JOB, FILLING)
    await asyncio.sleep(6.0)
    kills = Kills(deployment)
    if HAS_TROUBLE:
        kills.kill_owner()
    await asyncio.sleep(0.1)
    accepted_s = []
    undisturbed = next(d for d in deployment.daemons if d.name not in kills.names)
    for number in range(JOBS):
        await deployment.submit(QUEUE, f"{number:016x}", WAITING, undisturbed)
        accepted_s.append(deployment.record.now_s())
    asking = asyncio.ensure_future(ask(deployment, kills.names, accepted_s))
    if HAS_TROUBLE:
        await kills.kill_successors()
    answers = await asking
    if deployment.begun != {FILLING_JOB}:
        raise RuntimeError(f"jobs began: {deployment.begun}")
    return [
        f"MIXED at {at_s:.3f}: {name} gives pending {pending}, and {waiting} jobs that "
        f"have not begun were accepted over {VISIBLE_S} s before"
        for name, at_s, pending, waiting in answers
        if name not in kills.names and pending < waiting / 2
    ]


async def ask(
    deployment: Deployment, killed: set[str], accepted_s: list[float]
) -> list[tuple[str, float, int, int]]:
    """Ask the daemons that have not been killed how many jobs wait.

    Return for each answer the daemon, the time of the question, the number given and
    that of the jobs which were accepted long enough before.
    """
    answers = []
    until_s = deployment.record.now_s() + ASKED_S
    while deployment.record.now_s() < until_s:
        for daemon in deployment.daemons:
            if daemon.name in killed:
                continue
            asked_s = deployment.record.now_s()
            waiting = sum(asked_s - at_s > VISIBLE_S for at_s in accepted_s)
            status, answer = await deployment.call("GET", QUEUE, "", daemon)
            if status == 200:
                answers.append((daemon.name, asked_s, answer["pending"], waiting))
        await asyncio.sleep(ASK_PERIOD_S)
    return answers


run_case(__file__, scenario, daemons=6, workers=8)
