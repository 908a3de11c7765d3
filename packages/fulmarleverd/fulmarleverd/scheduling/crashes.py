"""Finds tasks that crash the workers that run them, and gives them up.

Pattern: a task crashes each worker that starts it, so moving it from one worker to the
next takes one worker after the other from all other tasks.

A crash is proved once the worker's next incarnation answers or is listed. Suspects are
the tasks that were started shortly before the worker fell silent, else the one that was
started last. The next run of a suspect is isolated: no other run is started on its
worker shortly before or after it. So a second crash tells whether the task is its
cause, and tasks that were beside it are not given up with it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from fulmarleverd.scheduling.decisions import record, record_run
from fulmarleverd.scheduling.fleet import CrashSuspects, Worker
from fulmarleverd.scheduling.metrics import CRASHES_SUSPECTED
from fulmarleverd.scheduling.runs import Run, RunState
from fulmarleverd.scheduling.tasks import Task

if TYPE_CHECKING:
    from fulmarleverd.scheduling.owner import Owner

# A run was started shortly before its worker fell silent if it was at most this long
# before the worker's last answer.
RECENT_S = 0.5
# A task is given up after this many crashes of which it was the only suspect in the
# last one; after this many if it was not started shortly before; and in any case.
MAX_CRASHES_ALONE = 2
MAX_CRASHES_LATER = 3
MAX_CRASHES = 5
# A task with this many crashes is started in isolation only, and waits for it.
MIN_CRASHES_TO_WAIT = 2
# An isolated run needs a worker without a start for this long before it ...
QUIET_S = 0.25
# ... and its worker gets no other runs for this long.
ISOLATION_S = 1.0
# Limits the share of the workers that are isolated, as the failure of a rack leaves
# many suspects.
MAX_ISOLATED_SHARE = 0.25
# The crashes of a task are forgotten once a run of it has been at work for this long.
CRASHES_KEPT_S = 10.0


class CrashTracker:
    """Counts the crashes that tasks are suspected of, and isolates their next runs."""

    def __init__(self, owner: Owner) -> None:
        self._owner = owner
        # When the isolation of each worker ends, on the owner's clock.
        self._isolated_until_s: list[float] = []

    def record_silence(self, worker: Worker) -> None:
        """Remember the suspects of a worker that does not answer any more.

        A worker that was silent before keeps the suspects that it had then.
        """
        if worker.crash_suspects is None:
            worker.crash_suspects = self._find_suspects(worker)

    def record_answer(self, worker: Worker) -> None:
        """Drop the suspects of a worker, and the suspicion of tasks long at work."""
        worker.crash_suspects = None
        now = self._owner.now_s()
        for run in worker.runs.values():
            if run.task.crashes and _is_long_at_work(run, now):
                run.task.crashes = 0
                self._owner.commits.stage(run.task.step.job)

    def _find_suspects(self, worker: Worker) -> CrashSuspects:
        """Return the tasks that were started last on a worker.

        The runs that an earlier owner started count as older than all others.
        """
        runs = [
            run for run in worker.runs.values() if run.state is not RunState.PLANNED
        ]
        latest = max(runs, key=_begun_s, default=None)
        if latest is None:
            return CrashSuspects([], are_recent=False)
        # The worker may have fallen silent long before a call to it has timed out.
        since_s = worker.clock_read_s - RECENT_S
        if _begun_s(latest) < since_s:
            last = [r.task for r in runs if _begun_s(r) == _begun_s(latest)]
            return CrashSuspects(last, are_recent=False)
        if latest.is_isolated:
            return CrashSuspects([latest.task], are_recent=True)
        recent = [run.task for run in runs if _begun_s(run) >= since_s]
        return CrashSuspects(recent, are_recent=True)

    def record_crash(self, worker: Worker) -> None:
        """Count a crash for the suspects of a worker that has certainly restarted.

        A worker that was draining has shut down as planned.
        """
        self.record_silence(worker)
        suspects, worker.crash_suspects = worker.crash_suspects, None
        if not worker.entry.is_draining:
            for task in suspects.tasks:
                self._count_crash(worker, task, suspects)

    def _count_crash(self, worker: Worker, task: Task, suspects: CrashSuspects) -> None:
        job = task.step.job
        if job.is_final or task.is_done:
            return
        task.crashes += 1
        CRASHES_SUSPECTED.inc()
        record(
            "crash-suspected",
            job=job.id,
            task=task.name,
            worker=worker.id,
            crashes=task.crashes,
            suspects=len(suspects.tasks),
            recent=suspects.are_recent,
        )
        self._owner.commits.stage(job)
        if task.crashes >= _max_crashes(suspects):
            cause = f"{task.crashes} workers crashed after a start of task {task.name}"
            self._owner.fail_job(job, cause)

    def must_wait(self, task: Task) -> bool:
        """Return whether a task may be started in isolation only."""
        return task.crashes >= MIN_CRASHES_TO_WAIT

    def may_isolate(self) -> bool:
        """Return whether one more worker may be isolated."""
        now = self._owner.now_s()
        self._isolated_until_s = [end for end in self._isolated_until_s if end > now]
        most = max(1.0, MAX_ISOLATED_SHARE * len(self._owner.fleet))
        return len(self._isolated_until_s) < most

    def recently_started_ids(self, workers: Iterable[Worker]) -> set[str]:
        """Return the ids of the workers on which an isolated run may not start now."""
        now = self._owner.now_s()
        return {worker.id for worker in workers if now - worker.last_start_s < QUIET_S}

    def isolate(self, run: Run) -> None:
        """Keep other runs from the worker of a suspect's run for a moment."""
        until_s = self._owner.now_s() + ISOLATION_S
        self._isolated_until_s.append(until_s)
        run.is_isolated = True
        run.worker.no_starts_until_s = max(run.worker.no_starts_until_s, until_s)
        record_run("run-isolated", run, crashes=run.task.crashes)


def _max_crashes(suspects: CrashSuspects) -> int:
    """Return the crashes after which a task is given up, by its last suspicion."""
    if not suspects.are_recent:
        return MAX_CRASHES_LATER if len(suspects.tasks) == 1 else MAX_CRASHES
    return MAX_CRASHES_ALONE if len(suspects.tasks) == 1 else MAX_CRASHES


def _begun_s(run: Run) -> float:
    """Return when the start of a run was accepted or sent; 0 for an earlier owner's."""
    return run.started_s or run.sent_s


def _is_long_at_work(run: Run, now_s: float) -> bool:
    """Return whether a run has been at work for ``CRASHES_KEPT_S``."""
    is_at_work = run.state is RunState.RUNNING and run.started_s > 0.0
    return is_at_work and now_s - run.started_s >= CRASHES_KEPT_S
