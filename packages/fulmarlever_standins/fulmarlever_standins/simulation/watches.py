"""Checks during the calm parts of a play, in which no fault is in progress."""

from __future__ import annotations

import asyncio
from random import Random

from fulmarlever.outcomes import failed
from fulmarlever_standins.simulation.calm import POLL_S, SETTLED_AFTER_S
from fulmarlever_standins.simulation.observed import CallerJob
from fulmarlever_standins.simulation.simulation import Simulation

# How long after its acceptance a job counts as waiting until it has begun.
VISIBLE_S = 5.0
MIN_PENDING_SHARE = 0.5


class PendingWatch:
    """Compares the number of waiting jobs that a daemon gives with what has begun."""

    def __init__(self, sim: Simulation) -> None:
        self._sim = sim
        self._rng = Random(sim.seed)

    async def run(self) -> None:
        """Check again and again, until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            if (
                self._sim.calm.seconds < SETTLED_AFTER_S
                or not self._sim.cluster.daemons
            ):
                continue
            queues = {job.drawn.queue.name for job in self._waiting()}
            for queue in sorted(queues):
                pending = await self._sim.daemon(self._rng).intake.pending(queue)
                waiting = [j for j in self._waiting() if j.drawn.queue.name == queue]
                if not failed(pending) and pending < MIN_PENDING_SHARE * len(waiting):
                    self._sim.report(queue, f"{pending} of {len(waiting)} jobs wait")

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
