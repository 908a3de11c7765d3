"""Finds tasks that crash the workers that run them, and gives them up.

Pattern: a task crashes each worker that starts it, so moving it from one worker to the
next takes one worker after the other from all other tasks.

A crash is proved once the worker's next incarnation answers. Suspects are the tasks
that were started shortly before the worker fell silent, else the one that was started
last. A start without an answer may never have reached the worker: its crash is counted
apart as unproven, and a few of these are no reason to give a task up. The next run of a
suspect is isolated: no other run is started on its worker shortly before or after it.
So a second crash tells whether the task is its cause, and tasks that were beside it are
not given up with it. If there are too many suspects, those of several jobs are started
apart.
"""

from __future__ import annotations

from collections.abc import Iterable

from fulmarlever.clock import Clock
from fulmarleverd.scheduling.decisions import record, record_run
from fulmarleverd.scheduling.holds.hold import HoldReason
from fulmarleverd.scheduling.jobs.open_jobs import OpenJobs
from fulmarleverd.scheduling.jobs.runs import Run, RunState
from fulmarleverd.scheduling.jobs.tasks import Job, Task
from fulmarleverd.scheduling.metrics import CRASHES_SUSPECTED
from fulmarleverd.scheduling.persistence.commits import CommitQueue
from fulmarleverd.scheduling.workers.fleet import CrashSuspects, Fleet, Worker

# A run was started shortly before its worker fell silent if it was at most this long
# before the worker's last answer.
RECENT_S = 0.5
# A task is given up after this many crashes of which it was the only suspect in the
# last one; after this many if it was not started shortly before; and in any case. Only
# for the last limit, unproven crashes count as well.
MAX_CRASHES_ALONE = 2
MAX_CRASHES_LATER = 3
MAX_CRASHES = 5
# A task with this many crashes waits for isolation, for at most the time below: after
# a power failure many tasks wait, and callers accept that a job stands still for 3 s.
MIN_CRASHES_TO_WAIT = 2
MAX_ISOLATION_WAIT_S = 1.5
# An isolated run needs a worker without a start for this long before it ...
QUIET_S = 0.25
# ... and its worker gets no other runs for this long.
ISOLATION_S = 1.0
# After some isolations in a row a worker is left to other runs for this long: a job
# with many suspects would keep it from all other jobs.
MAX_ISOLATIONS_IN_A_ROW = 3
ISOLATION_PAUSE_S = 1.0
# Limits the share of the workers that are isolated, as the failure of a rack leaves
# many suspects.
MAX_ISOLATED_SHARE = 0.25
# The crashes of a task are forgotten once a run of it has been at work for this long.
CRASHES_KEPT_S = 10.0


class Isolation:
    """The isolations of a worker in a row, and when the last one ends.

    ``until_s`` is on the owner's clock.
    """

    __slots__ = ("until_s", "count")

    def __init__(self, until_s: float, count: int) -> None:
        self.until_s = until_s
        self.count = count


class CrashTracker:
    """Counts the crashes that tasks are suspected of, and isolates their next runs."""

    def __init__(
        self, fleet: Fleet, open_jobs: OpenJobs, commits: CommitQueue, clock: Clock
    ) -> None:
        self._fleet = fleet
        self._open_jobs = open_jobs
        self._commits = commits
        self._clock = clock
        # The recent isolations, by the id of the worker.
        self._isolations: dict[str, Isolation] = {}
        # By the worker's id: the job of the task that was last started there without
        # the isolation that it waited for, and when, on the owner's clock.
        self._unisolated: dict[str, tuple[Job, float]] = {}

    def record_silence(self, worker: Worker) -> None:
        """Remember the suspects of a worker that does not answer any more.

        A worker that was silent before keeps the suspects that it had then.
        """
        if worker.crash_suspects is None:
            worker.crash_suspects = self._find_suspects(worker)

    def record_answer(self, worker: Worker) -> None:
        """Drop the suspects of a worker, and the suspicion of tasks long at work."""
        worker.crash_suspects = None
        now = self._clock.boot()
        for run in worker.runs.values():
            if run.task.is_crash_suspect and _is_long_at_work(run, now):
                run.task.crashes = run.task.unproven_crashes = 0
                self._commits.stage(run.task.step.job)

    def _find_suspects(self, worker: Worker) -> CrashSuspects:
        """Return the tasks that were started last on a worker.

        The runs that an earlier owner started count as older than all others.
        """
        # The worker may have fallen silent long before a call to it has timed out.
        since_s = worker.clock_read_s - RECENT_S
        unanswered = [run for run in worker.runs.values() if _is_unanswered(run)]
        # An answer after the start, but without the run, shows that it had not begun.
        unanswered = [run for run in unanswered if run.sent_s >= since_s]
        isolated = [run.task for run in unanswered if run.is_isolated]
        if isolated:
            # Nothing else was started there shortly before.
            return CrashSuspects([], True, isolated)
        at_work = [run for run in worker.runs.values() if _is_at_work(run)]
        begun_s = max((run.started_s for run in at_work), default=0.0)
        are_recent = begun_s >= since_s
        oldest_s = since_s if are_recent else begun_s
        suspects = [run for run in at_work if run.started_s >= oldest_s]
        if are_recent and any(run.is_isolated for run in suspects):
            suspects = [run for run in suspects if run.started_s == begun_s]
        tasks = [run.task for run in suspects]
        return CrashSuspects(tasks, are_recent, [run.task for run in unanswered])

    def record_lease_end(self, worker: Worker) -> None:
        """Note that a silent worker's runs have ended, perhaps before it crashed."""
        suspects = worker.crash_suspects
        if suspects is not None:
            suspects.unproven_tasks += suspects.tasks
            suspects.tasks = []

    def record_crash(self, worker: Worker) -> None:
        """Count a crash for the suspects of a worker that has certainly restarted.

        A worker that was draining has shut down as planned.
        """
        self.record_silence(worker)
        self._count_crash(worker)

    def record_unproven_crash(self, worker: Worker) -> None:
        """Count a crash that nothing proves, for the suspects of a silent worker."""
        self.record_lease_end(worker)
        self._count_crash(worker)

    def _count_crash(self, worker: Worker) -> None:
        suspects, worker.crash_suspects = worker.crash_suspects, None
        if suspects is None or worker.entry.is_draining:
            return
        for task in suspects.tasks:
            if _may_be_counted(task):
                task.crashes += 1
                self._evaluate(worker, task, suspects, _max_crashes(suspects))
        for task in suspects.unproven_tasks:
            if _may_be_counted(task):
                task.unproven_crashes += 1
                self._evaluate(worker, task, suspects, MAX_CRASHES)

    def _evaluate(
        self, worker: Worker, task: Task, suspects: CrashSuspects, limit: int
    ) -> None:
        """Log and store the crashes of a task, and give it up at its limits."""
        job = task.step.job
        CRASHES_SUSPECTED.inc()
        record(
            "crash-suspected",
            job=job.id,
            task=task.name,
            worker=worker.id,
            crashes=task.crashes,
            unproven=task.unproven_crashes,
            suspects=suspects.count,
            recent=suspects.are_recent,
        )
        self._commits.stage(job)
        crashes = task.crashes + task.unproven_crashes
        if task.crashes >= limit or crashes >= MAX_CRASHES:
            cause = f"{crashes} workers crashed after a start of task {task.name}"
            self._open_jobs.fail(job, cause)

    def must_wait(self, task: Task) -> bool:
        """Return whether a task may be started in isolation only for now.

        It is asked each time isolation is not possible, and so measures the wait.
        """
        if task.crashes < MIN_CRASHES_TO_WAIT:
            return False
        now = self._clock.boot()
        task.isolation_wanted_s = task.isolation_wanted_s or now
        return now - task.isolation_wanted_s < MAX_ISOLATION_WAIT_S

    def unisolated_ids(self, job: Job) -> set[str]:
        """Return the ids of workers that a job's task that waited in vain may not use.

        Such a task of another job was started there shortly before. So if the worker
        crashes, the suspects belong to one job, and a job is given up as a whole.
        """
        now = self._clock.boot()
        return {
            worker_id
            for worker_id, (other, started_s) in self._unisolated.items()
            if other is not job and now - started_s <= RECENT_S
        }

    def record_unisolated(self, run: Run) -> None:
        """Note the start of a task that has waited for isolation in vain."""
        run.task.isolation_wanted_s = 0.0
        job = run.task.step.job
        self._unisolated[run.worker.id] = job, self._clock.boot()

    def may_isolate(self) -> bool:
        """Return whether one more worker may be isolated."""
        now = self._clock.boot()
        self._isolations = {
            worker_id: isolation
            for worker_id, isolation in self._isolations.items()
            if now < isolation.until_s + ISOLATION_PAUSE_S
        }
        most = max(1.0, MAX_ISOLATED_SHARE * len(self._fleet))
        return sum(item.until_s > now for item in self._isolations.values()) < most

    def recently_started_ids(self, workers: Iterable[Worker]) -> set[str]:
        """Return the ids of the workers on which an isolated run may not start now.

        Ask ``may_isolate`` first, which forgets the isolations that are long over.
        """
        now = self._clock.boot()
        paused = {
            worker_id
            for worker_id, isolation in self._isolations.items()
            if isolation.count >= MAX_ISOLATIONS_IN_A_ROW
        }
        busy = {worker.id for worker in workers if now - worker.last_start_s < QUIET_S}
        return busy | paused

    def isolate(self, run: Run) -> None:
        """Keep other runs from the worker of a suspect's run for a moment."""
        now = self._clock.boot()
        earlier = self._isolations.get(run.worker.id)
        count = earlier.count + 1 if earlier else 1
        self._isolations[run.worker.id] = Isolation(now + ISOLATION_S, count)
        run.is_isolated = True
        run.task.isolation_wanted_s = 0.0
        run.worker.holds.add(HoldReason.ISOLATION, now, ISOLATION_S)
        record_run("run-isolated", run, crashes=run.task.crashes)


def _may_be_counted(task: Task) -> bool:
    """Return whether a crash still matters for a task."""
    return not task.step.job.is_final and not task.is_done


def _max_crashes(suspects: CrashSuspects) -> int:
    """Return the crashes after which a task is given up, by its last suspicion."""
    if suspects.count > 1:
        return MAX_CRASHES
    return MAX_CRASHES_ALONE if suspects.are_recent else MAX_CRASHES_LATER


def _is_at_work(run: Run) -> bool:
    """Return whether the worker said that it runs a run, which nobody stops."""
    return run.has_begun and run.state is RunState.RUNNING


def _is_unanswered(run: Run) -> bool:
    """Return whether a run may be at work, though no answer shows it.

    Its start got no answer, or it is a probe whose end may be hidden.
    """
    if run.is_probe:
        return True
    if run.has_begun or run.state is RunState.PLANNED:
        return False
    return run.may_arrive_late or not run.is_refused


def _is_long_at_work(run: Run, now_s: float) -> bool:
    """Return whether a run has been at work for ``CRASHES_KEPT_S``."""
    is_at_work = run.state is RunState.RUNNING and run.started_s > 0.0
    return is_at_work and now_s - run.started_s >= CRASHES_KEPT_S
