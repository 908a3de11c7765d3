"""Finds tasks that wait for long in a calm part of a play, while there is room."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from fulmarlever_standins.authority.worker import MAX_LEASE_S
from fulmarlever_standins.simulation.calm import POLL_S, SETTLED_AFTER_S
from fulmarlever_standins.simulation.invariants import FINAL_STATES
from fulmarlever_standins.simulation.observed import CallerJob
from fulmarlever_standins.simulation.room import has_turn, is_startable, room_for
from fulmarlever_standins.simulation.simulation import Simulation

# A task may wait this long while there is room.
MAX_IDLE_S = 3.0
# A long-running task that has ended may wait longer for its next run.
MAX_RESTART_S = 6.0
# Nobody knows that a run has ended with its worker, if another one comes under another
# id: its task waits until the lease is over, counted anew by an owner that takes over.
# Long-running tasks may not.
MAX_LEASE_WAIT_S = 12.0
# How many tasks like the one that waits have to fit, beside each other.
MIN_ROOM = 2
BUSY_SHARE = 0.5


class IdleWatch:
    """Finds what waits for ``MAX_IDLE_S`` throughout a play, but for disturbed parts.

    Each long-running task has to run, and every other occurrence of a job has to have
    a task at work. The latter may wait while half of all cores are in use.
    """

    def __init__(self, sim: Simulation) -> None:
        self._sim = sim
        self._idle_since_s: dict[str, float] = {}
        self._reported: set[str] = set()
        self._term: object = None
        self._term_since_s = 0.0

    async def run(self) -> None:
        """Check again and again, until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            now_s = asyncio.get_running_loop().time()
            self._record_owner(now_s)
            if self._sim.calm.seconds < SETTLED_AFTER_S:
                self._idle_since_s = {}
                continue
            self._idle_since_s = {
                name: max(since_s, self._idle_since_s.get(name, now_s))
                for name, since_s in self._find_idle(now_s)
            }
            for name, since_s in self._idle_since_s.items():
                if now_s - since_s >= MAX_IDLE_S:
                    await self._report(name)

    def _record_owner(self, now_s: float) -> None:
        """Record when the present owner was seen first."""
        owner = self._sim.cluster.owner()
        if owner is not None and owner.term is not self._term:
            self._term = owner.term
            self._term_since_s = now_s

    async def _report(self, name: str) -> None:
        """Report the first idle task of a job, unless the job has ended."""
        job = self._sim.observed.job_of(name)
        if job.spec.id in self._reported:
            return
        if await self._sim.state_of(job) in FINAL_STATES:
            return
        self._reported.add(job.spec.id)
        self._sim.report(name, "waits in calm, though there is room")

    def _find_idle(self, now_s: float) -> Iterator[tuple[str, float]]:
        """Yield what waits now though there is room, and since when at the earliest."""
        is_busy = self._is_busy()
        for job in self._sim.observed.jobs.values():
            if not job.is_accepted or job.may_be_cancelled or job.has_failed:
                continue
            for number in range(job.spec.occurrences):
                if job.spec.is_long_running:
                    yield from ((task, 0.0) for task in self._waiting(job, number))
                elif not is_busy:
                    yield from self._find_idle_occurrence(job, number)

    def _find_idle_occurrence(
        self, job: CallerJob, number: int
    ) -> Iterator[tuple[str, float]]:
        """Yield an occurrence without a run, if one of its tasks could run."""
        name = f"{job.spec.id}.{number}"
        if self._sim.observed.active_occurrences[name]:
            return
        if next(self._waiting(job, number), None) is not None:
            yield name, self._sim.observed.changed_s.get(name, 0.0)

    def _waiting(self, job: CallerJob, number: int) -> Iterator[str]:
        """Yield the tasks of an occurrence that wait now though there is room."""
        for index, step in enumerate(job.spec.steps):
            if not has_turn(self._sim, job, number, index):
                continue
            for task in job.step_task_names(number, index):
                if not is_startable(self._sim, task) or self._may_wait(job, task):
                    continue
                if room_for(self._sim, step, task) < MIN_ROOM:
                    # Other tasks of the step find no more room.
                    break
                yield task

    def _may_wait(self, job: CallerJob, task: str) -> bool:
        """Return whether a task may still wait after its last run."""
        now_s = asyncio.get_running_loop().time()
        if not job.spec.is_long_running:
            return now_s < self._lease_end_s(task)
        ended_s = self._sim.observed.ended_s.get(task, -MAX_RESTART_S)
        return now_s - ended_s < MAX_RESTART_S

    def _lease_end_s(self, task: str) -> float:
        """Return until when a run that ended with its worker may count as active.

        An owner that takes over does not know of such a run whether it has begun.
        """
        observed = self._sim.observed
        lost = observed.lost.get(task, observed.latest_crash)
        if self._term_since_s < lost.at_s:
            return lost.lease_until_s
        recounted_s = max(lost.lease_until_s, self._term_since_s + MAX_LEASE_S)
        return min(lost.at_s + MAX_LEASE_WAIT_S, recounted_s)

    def _is_busy(self) -> bool:
        workers = self._sim.workers()
        used_m = sum(self._sim.used(worker)[0] for worker in workers)
        return used_m >= BUSY_SHARE * sum(worker.cpu for worker in workers)
