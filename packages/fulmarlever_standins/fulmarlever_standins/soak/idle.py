"""Finds jobs that wait although workers have room, once all faults have ended."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from fulmarlever_standins.authority.network import LATE_EFFECT_DELAY_S
from fulmarlever_standins.authority.worker import WorkerCore
from fulmarlever_standins.soak.callers import (
    FINAL_STATES,
    STEP_CPU_M,
    CallerJob,
    Callers,
    Outcome,
)
from fulmarlever_standins.soak.deployment import Deployment

POLL_S = 0.2
# How long after the last fault tasks may wait for any reason.
SETTLED_AFTER_S = 4.0
MAX_IDLE_S = 3.0
# How many tasks have to fit, beside what runs.
MIN_ROOM = 2
BUSY_SHARE = 0.5


class IdleWatch:
    """Finds jobs without a run for ``MAX_IDLE_S`` while a task's turn has come.

    There has to be room for two tasks, and under half of all cores in use. Lost answers
    and late effects that faults have left behind count as faults when they strike.
    """

    def __init__(self, deployment: Deployment, callers: Callers) -> None:
        self.violations: list[str] = []
        self._deployment = deployment
        self._callers = callers
        self._settled_at_s = asyncio.get_running_loop().time() + SETTLED_AFTER_S
        self._left_behind = self._count_left_behind()
        self._idle_since_s: dict[str, float] = {}
        self._reported: set[str] = set()

    async def run(self) -> None:
        """Check again and again, until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            now_s = asyncio.get_running_loop().time()
            self._record_strikes(now_s)
            idle = list(self._find_idle()) if now_s >= self._settled_at_s else []
            self._idle_since_s = {
                job.id: self._idle_since_s.get(job.id, now_s) for job in idle
            }
            for job in idle:
                if now_s - self._idle_since_s[job.id] >= MAX_IDLE_S:
                    await self._report(job)

    def _count_left_behind(self) -> tuple[int, int, int]:
        network = self._deployment.network
        return network.lose_answers, network.late_transactions, network.late_starts

    def _record_strikes(self, now_s: float) -> None:
        """Count the time until tasks have to run anew if a fault has struck."""
        left_behind = self._count_left_behind()
        if left_behind != self._left_behind:
            self._settled_at_s = now_s + LATE_EFFECT_DELAY_S + SETTLED_AFTER_S
        self._left_behind = left_behind

    async def _report(self, job: CallerJob) -> None:
        """Report an idle job once, unless it has ended."""
        if job.id in self._reported:
            return
        _, body = await self._callers.call("GET", job)
        if body.get("state") not in FINAL_STATES:
            self._reported.add(job.id)
            self.violations.append(f"job {job.id} waits, though there is room")

    def _find_idle(self) -> Iterator[CallerJob]:
        """Yield the jobs that have no run now though a task could run."""
        if not self._has_room():
            return
        active = {task.split(".")[0] for task in self._deployment.record.running()}
        for job in self._callers.jobs:
            must_run = job.outcome is Outcome.ACCEPTED and not job.may_be_cancelled
            if must_run and job.id not in active and not self._is_done(job):
                yield job

    def _is_done(self, job: CallerJob) -> bool:
        """Return whether all tasks are done; else the turn of one has come."""
        done = self._deployment.record.done
        return all(
            done[f"{job.id}.0.{step}.{index}"]
            for step, count in enumerate(job.counts)
            for index in range(count)
        )

    def _has_room(self) -> bool:
        workers = list(self._deployment.network.workers.values())
        used_m = sum(_used_m(worker) for worker in workers)
        room = sum((w.cpu - _used_m(w)) // STEP_CPU_M for w in workers)
        is_busy = used_m >= BUSY_SHARE * sum(worker.cpu for worker in workers)
        return room >= MIN_ROOM and not is_busy


def _used_m(worker: WorkerCore) -> int:
    """Return the thousandths of a core that a worker's runs use."""
    return STEP_CPU_M * len(worker.running)
