"""Checks of what single daemons tell during a play, while they are in touch."""

from __future__ import annotations

import asyncio

from fulmarlever.outcomes import failed
from fulmarlever_standins.authority.simulated_cluster import Daemon
from fulmarlever_standins.simulation.calm import POLL_S, SETTLED_AFTER_S
from fulmarlever_standins.simulation.observed import CallerJob
from fulmarlever_standins.simulation.simulation import Simulation

# How long after its acceptance a job counts as waiting until it has begun.
VISIBLE_S = 5.0
MIN_PENDING_SHARE = 0.5


class PendingWatch:
    """Compares the number of waiting jobs that daemons give with what has begun.

    Each daemon that has been in touch is asked, whatever happens to the others.
    """

    def __init__(self, sim: Simulation) -> None:
        self._sim = sim

    async def run(self) -> None:
        """Check again and again, until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            for daemon in list(self._sim.cluster.daemons.values()):
                if self._sim.contact.seconds(daemon) >= SETTLED_AFTER_S:
                    await self._check(daemon)

    async def _check(self, daemon: Daemon) -> None:
        for queue in sorted({job.drawn.queue.name for job in self._waiting()}):
            pending = await daemon.intake.pending(queue)
            if self._sim.contact.seconds(daemon) < SETTLED_AFTER_S:
                return
            if failed(pending):
                self._sim.report(queue, f"{daemon.vm} does not tell: {pending.reason}")
                continue
            waiting = [j for j in self._waiting() if j.drawn.queue.name == queue]
            if pending < MIN_PENDING_SHARE * len(waiting):
                given = f"{daemon.vm} gives {pending}"
                self._sim.report(queue, f"{given} for {len(waiting)} waiting jobs")

    def _waiting(self) -> list[CallerJob]:
        """Return the jobs that were accepted a while ago and have not begun."""
        since_s = asyncio.get_running_loop().time() - VISIBLE_S
        begun = self._sim.observed.begun_jobs
        return [
            job
            for job in self._sim.observed.jobs.values()
            if job.is_accepted
            and job.accepted_at_s < since_s
            and job.spec.id not in begun
            and not job.may_be_cancelled
            and not job.spec.repetitions
        ]
