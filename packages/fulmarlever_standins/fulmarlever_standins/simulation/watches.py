"""Checks during the calm parts of a play, in which no fault is in progress."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from random import Random

from fulmarlever.outcomes import failed
from fulmarlever_standins.simulation.calm import POLL_S, SETTLED_AFTER_S
from fulmarlever_standins.simulation.invariants import (
    FINAL_STATES,
    is_waiting,
    room_for,
)
from fulmarlever_standins.simulation.observed import CallerJob
from fulmarlever_standins.simulation.simulation import Simulation

# A task may wait this long while there is room.
MAX_IDLE_S = 3.0
# A long-running task that has ended may wait longer for its next run.
MAX_RESTART_S = 6.0
# Nobody knows that a run has ended with its worker, if another one comes under another
# id: its task waits until the lease is over, counted anew by an owner that takes over.
MAX_LEASE_WAIT_S = 12.0
# How long after its acceptance a job counts as waiting until it has begun.
VISIBLE_S = 5.0
MIN_PENDING_SHARE = 0.5
# How many tasks like the one that waits have to fit, beside each other.
MIN_ROOM = 2
BUSY_SHARE = 0.5


class IdleWatch:
    """Finds tasks that wait for long in a calm part of a play, while there is room.

    Each long-running task has to run, every other job has to have a task at work. The
    latter may wait while half of all cores are in use.
    """

    def __init__(self, sim: Simulation) -> None:
        self._sim = sim
        self._idle_since_s: dict[str, float] = {}
        self._reported: set[str] = set()

    async def run(self) -> None:
        """Check again and again, until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            now_s = asyncio.get_running_loop().time()
            idle = list(self._find_idle(now_s))
            since_s = {name: self._idle_since_s.get(name, now_s) for name in idle}
            self._idle_since_s = since_s
            if self._sim.calm.seconds < SETTLED_AFTER_S + MAX_IDLE_S:
                continue
            for name in idle:
                if now_s - since_s[name] >= MAX_IDLE_S:
                    await self._report(name)

    async def _report(self, name: str) -> None:
        """Report an idle task once, unless its job has ended."""
        job = self._sim.observed.job_of(name)
        if name in self._reported or await self._sim.state_of(job) in FINAL_STATES:
            return
        self._reported.add(name)
        self._sim.report(name, "waits in calm, though there is room")

    def _find_idle(self, now_s: float) -> Iterator[str]:
        """Yield tasks that wait now though there is room for them."""
        is_busy = self._is_busy()
        for job in self._sim.observed.jobs.values():
            if not job.is_accepted or job.may_be_cancelled or job.has_failed:
                continue
            if job.spec.is_long_running:
                yield from filter(self._has_room, self._waiting(job, now_s))
            elif not is_busy and not self._sim.observed.active_jobs[job.spec.id]:
                waiting = next(self._waiting(job, now_s), None)
                if waiting is not None and self._has_room(waiting):
                    yield waiting

    def _waiting(self, job: CallerJob, now_s: float) -> Iterator[str]:
        for name in job.task_names():
            if is_waiting(self._sim, job, name) and not self._may_wait(
                job, name, now_s
            ):
                yield name

    def _may_wait(self, job: CallerJob, name: str, now_s: float) -> bool:
        """Return whether a task may still wait after its last run."""
        observed = self._sim.observed
        if now_s - observed.lost_s.get(name, -MAX_LEASE_WAIT_S) < MAX_LEASE_WAIT_S:
            return True
        ended_s = observed.ended_s.get(name, -MAX_RESTART_S)
        return job.spec.is_long_running and now_s - ended_s < MAX_RESTART_S

    def _has_room(self, name: str) -> bool:
        step = self._sim.step_of(name)
        if step.is_best_effort:
            # What other tasks leave unused is not known here.
            return False
        return room_for(self._sim, step, name) >= MIN_ROOM

    def _is_busy(self) -> bool:
        workers = self._sim.workers()
        used_m = sum(self._sim.used(worker)[0] for worker in workers)
        return used_m >= BUSY_SHARE * sum(worker.cpu for worker in workers)


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
