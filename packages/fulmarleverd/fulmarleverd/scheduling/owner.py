"""The scheduler's state in the daemon that holds the lease: jobs, runs and workers.

The methods are called for changes in the store, for workers' reports and by the
periodic housekeeping. Changes that must outlive the daemon are staged in the commit
queue; commands to workers are sent after the commit.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever.outcomes import failed
from fulmarleverd.scheduling.cancellations.lone import LoneCancels
from fulmarleverd.scheduling.decisions import record, record_run
from fulmarleverd.scheduling.fairness.size_classes import SizeClasses
from fulmarleverd.scheduling.health.crashes import CrashTracker
from fulmarleverd.scheduling.health.failures import FailureTracker
from fulmarleverd.scheduling.jobs.runs import Run, RunState
from fulmarleverd.scheduling.jobs.tasks import Job, Step, Task
from fulmarleverd.scheduling.metrics import FIRST_START_SECONDS, JOBS_OPEN
from fulmarleverd.scheduling.persistence.commits import CommitQueue
from fulmarleverd.scheduling.persistence.progress_rows import (
    StoredProgress,
    restore_progress,
)
from fulmarleverd.scheduling.persistence.rows import (
    CANCEL_SUFFIX,
    JobRow,
    UnresponsiveWorker,
)
from fulmarleverd.scheduling.planning.obstacles import find_constraint_obstacle
from fulmarleverd.scheduling.ports import StoredRow
from fulmarleverd.scheduling.run_times import RunTimes
from fulmarleverd.scheduling.specs import (
    NO_CONFIG,
    Bounds,
    SchedulingConfig,
    WorkerEntry,
    WorkerKey,
)
from fulmarleverd.scheduling.term.lease import SchedulerLease
from fulmarleverd.scheduling.workers.fleet import Fleet, Worker
from fulmarleverd.scheduling.workers.incarnations import Incarnations
from fulmarleverd.scheduling.workers.lease_ends import LeaseEnds

if TYPE_CHECKING:
    from fulmarleverd.scheduling.workers.worker_commands import WorkerCommands

# A job that is this old counts as late in any case. A larger age may come from the
# difference between the clocks of two VMs.
MAX_RESTORED_AGE_S = 60.0
NO_PROGRESS = StoredProgress()
# Why a run is withdrawn from a worker.
ZONE_EVACUATED = "its zone is evacuated"
# A job whose occurrences have been due for long opens more of them only as its waiting
# tasks get runs, so that its memory and the time of a plan are bounded.
MAX_WAITING_TASKS = 1000


class Owner:
    """The state of the scheduler during one term of the lease owner.

    ``jobs`` are the open jobs by id. ``ended_jobs`` maps the ids of ended jobs to the
    end's time in seconds on the clock of the leases. ``lone_cancels`` are cancellations
    of jobs that are not stored. ``orphans`` are runs whose worker
    is not known yet, in the order in which they were found. ``requested_copies`` holds
    the tasks that need a second run, in the order of the requests. ``run_times`` are
    the expected run times of tasks. ``failures`` decides which workers are distrusted
    for failed runs. ``changed`` is set when the planner has to run again, and
    ``on_worker_added`` is called with each new incarnation of a worker. ``find_config``
    returns the operator's configuration.
    """

    def __init__(
        self, lease: SchedulerLease, commits: CommitQueue, clock: Clock, bounds: Bounds
    ) -> None:
        self.lease = lease
        self.commits = commits
        self.clock = clock
        self.bounds = bounds
        self.fleet = Fleet(clock)
        self.jobs: dict[str, Job] = {}
        self.ended_jobs: dict[str, float] = {}
        self.lone_cancels = LoneCancels()
        # Not a set, whose order would depend on memory addresses: the order decides
        # which of their tasks is started first.
        self.orphans: dict[Run, None] = {}
        self.requested_copies: dict[Task, None] = {}
        self.run_times = RunTimes()
        self.size_classes = SizeClasses(self.run_times)
        self.commands: WorkerCommands | None = None
        self.changed = asyncio.Event()
        self.on_worker_added: Callable[[Worker], None] = lambda worker: None
        self.find_config: Callable[[], SchedulingConfig] = lambda: NO_CONFIG
        self.lease_ends = LeaseEnds(lease, clock, bounds)
        self.crashes = CrashTracker(self)
        self.failures = FailureTracker()
        self.incarnations = Incarnations(self)
        commits.on_rejected = self.give_up_unstorable_job

    def now_s(self) -> float:
        """Return the time in seconds on the clock of the leases."""
        return self.clock.boot()

    def unresponsive_workers(self) -> list[UnresponsiveWorker]:
        """Return the workers that do not answer but may still run tasks."""
        return self.lease_ends.unresponsive_workers(self.fleet, self.orphans)

    # Jobs

    def add_job(
        self,
        row: JobRow,
        progress: StoredProgress = NO_PROGRESS,
        is_new: bool = True,
    ) -> None:
        """Add a job with its committed progress, unless it is known already.

        If the progress cannot be decoded, the job is logged and left out. A job read
        from a snapshot is not new; its age is known only from the Unix times of two
        VMs.
        """
        if row.spec.id in self.jobs or row.spec.id in self.ended_jobs:
            return
        is_cancelled = self.lone_cancels.take(row.spec.id)
        job = Job(row)
        job.progress_parts = progress.parts
        error = restore_progress(job, progress.value) if progress.value else None
        if failed(error):
            log.bind(event="progress-unreadable", job=job.id).error(error.reason)
            return
        if job.is_final:
            self.ended_jobs[job.id] = self.now_s()
            return
        age_s = 0.0 if is_new else self.clock.wall() - job.accepted_s
        job.since_s = self.now_s() - min(max(0.0, age_s), MAX_RESTORED_AGE_S)
        self.jobs[job.id] = job
        JOBS_OPEN.set(len(self.jobs))
        self.size_classes.classify_job(job)
        self.open_due_occurrences(job)
        job.sort_occurrences()
        for run in job.runs():
            run.state = RunState.RUNNING
            run.is_speed_limit_known = False
            self._attach_run(run)
        record(
            "job-known",
            job=job.id,
            queue=job.queue.name,
            state=str(job.state),
            kind=job.spec.steps[0].kind,
            steps=len(job.spec.steps),
            tasks=sum(step.count for step in job.spec.steps),
            widest_cores=round(job.spec.widest_cpu_m / 1000.0, 1),
            size_class=job.size_class,
            age_s=round(self.now_s() - job.since_s, 3),
            max_unavailable=job.spec.steps[0].max_unavailable,
        )
        self.changed.set()
        if is_cancelled:
            self.cancel_job(job.id)

    def open_due_occurrences(self, job: Job) -> None:
        """Create the steps of the occurrences that are due, and forget ended ones."""
        if job.spec.repetitions:
            job.retire_occurrences()
        limit = max(0, MAX_WAITING_TASKS - job.tasks_per_occurrence)
        while self.has_due_occurrence(job):
            if job.occurrences and job.waiting_tasks > limit:
                break
            self.open_next_occurrence(job)

    def has_due_occurrence(self, job: Job) -> bool:
        """Return whether an occurrence of a job is due that has not been opened."""
        job.skip_known_occurrences()
        occurrence = job.next_occurrence
        if occurrence >= job.spec.occurrences:
            return False
        return job.spec.due_s(occurrence) <= self.clock.wall()

    def open_next_occurrence(self, job: Job) -> None:
        """Create the steps of the next occurrence of a job."""
        job.open_occurrence(job.next_occurrence)
        job.next_occurrence += 1
        self.changed.set()

    def _attach_run(self, run: Run) -> None:
        """Add a run to its worker, or to the orphans until its worker is known."""
        worker = self.fleet.find(run.worker_key)
        if worker is None:
            self.add_orphan(run)
        else:
            worker.add(run)

    def add_orphan(self, run: Run) -> None:
        """Keep a run until its worker is known."""
        run.uncertain_since_s = self.now_s()
        self.orphans[run] = None

    def ready_steps(self) -> Iterator[Step]:
        """Yield the steps of all open jobs that have tasks to start."""
        for job in self.jobs.values():
            yield from job.ready_steps()

    def process_cancellation(self, row: StoredRow) -> None:
        """Cancel the job of a cancellation's row, at once or once it is known."""
        job_id = row.key.removesuffix(CANCEL_SUFFIX)
        if job_id in self.jobs:
            self.cancel_job(job_id)
        elif job_id not in self.ended_jobs:
            self.lone_cancels.add(row, self.now_s())

    def cancel_job(self, job_id: str) -> None:
        """Cancel a job and stop its runs."""
        job = self.jobs.get(job_id)
        if job is not None and not job.is_final:
            job.is_cancelled = True
            self.finish_job(job, "cancelled by its caller")

    def fail_job(self, job: Job, cause: str) -> None:
        """End a job as failed and stop its runs."""
        if not job.is_final:
            job.has_failed = True
            self.finish_job(job, cause)

    def give_up_unstorable_job(self, job: Job) -> None:
        """End a job whose progress the store rejects, so that others go on."""
        self.fail_job(job, "its progress is too large for the store")

    def finish_job(self, job: Job, cause: str) -> None:
        """Record the end of a job and stop its remaining runs."""
        job.cause = cause
        job.final_at_s = self.now_s()
        self.ended_jobs[job.id] = job.final_at_s
        del self.jobs[job.id]
        JOBS_OPEN.set(len(self.jobs))
        self.commits.stage(job)
        age_s = round(job.final_at_s - job.since_s, 3)
        self.size_classes.record_end(job, age_s)
        began_s = job.first_start_s - job.since_s if job.first_start_s else None
        record(
            "job-ended",
            cause,
            job=job.id,
            queue=job.queue.name,
            state=str(job.state),
            age_s=age_s,
            hard_deadline_s=round(job.hard_deadline_s, 3),
            size_class=job.size_class,
            first_start_age_s=None if began_s is None else round(began_s, 3),
            interrupted_runs=job.interrupted_runs,
        )
        for run in list(job.runs()):
            self.stop_run(run, "job ended")

    # Runs

    def assign(self, task: Task, worker: Worker, number: int = 0) -> Run:
        """Assign a task to a worker and send the start once this is committed.

        ``number`` is the number of the run, 0 for the next free one.
        """
        run = task.add_run(worker.key, number)
        worker.last_start_s = run.uncertain_since_s = self.now_s()
        worker.failures.record_start(worker.last_start_s)
        worker.add(run)
        job = task.step.job
        job.last_run = run
        task.step.refresh(task)
        self.commits.stage(job)
        self.commits.after_commit(lambda: self.commands.send_start(run))
        return run

    def record_begin(self, run: Run) -> None:
        """Note that a worker says that it has started a run.

        A decision to start a run is no begin: the worker may refuse it, or never hear
        of it.
        """
        if run.is_known_begun:
            return
        run.is_known_begun = True
        job = run.task.step.job
        job.last_start_s = self.now_s()
        job.first_start_s = job.first_start_s or job.last_start_s
        if not job.has_begun:
            job.has_begun = True
            FIRST_START_SECONDS.observe(self.now_s() - job.since_s)

    def drop_run(self, run: Run, reason: str) -> None:
        """Remove a run that certainly does not run, and plan its task again."""
        task = run.task
        if task.runs.pop(run.number, None) is None:
            return
        if run.is_known_begun:
            task.step.job.last_end_s = self._last_seen_s(run)
        if run.state is not RunState.STOPPING and run.is_known_begun:
            task.step.job.interrupted_runs += 1
        if run.worker is not None:
            run.worker.remove(run)
        self.orphans.pop(run, None)
        task.step.refresh(task)
        record_run("run-dropped", run, reason)
        if not task.step.job.is_final:
            self.commits.stage(task.step.job)
        self.changed.set()

    def _last_seen_s(self, run: Run) -> float:
        """Return when a run that is gone may last have been at work."""
        worker = run.worker
        if worker is None or worker.is_reachable:
            return self.now_s()
        return worker.last_report_s

    def stop_run(self, run: Run, reason: str) -> None:
        """Stop a run; its resources stay reserved until the worker reports the end."""
        if run.state is RunState.PLANNED:
            self.drop_run(run, reason)
        elif run.state is not RunState.STOPPING and run.worker is not None:
            run.state = RunState.STOPPING
            run.uncertain_since_s = self.now_s()
            run.task.step.job.interrupted_runs += run.is_known_begun
            # Ignore reports without this run until the worker has accepted the stop.
            run.confirmed_at_s = float("inf")
            record_run("run-stop", run, reason)
            self.commands.send_stop(run)

    def may_move(self, run: Run) -> bool:
        """Return whether a run may be stopped so that its task starts again elsewhere.

        A run in an evacuated zone stays if that zone alone has workers for it, as its
        task would have to wait until the zone is restored.
        """
        if run.worker is None or not run.worker.is_evacuated:
            return True
        step = run.task.step
        service = step.job.queue.service
        accepting = self.fleet.workers_accepting_runs(service, self.now_s())
        return any(find_constraint_obstacle(step, other) is None for other in accepting)

    def request_copy(self, run: Run, reason: str) -> bool:
        """Request a second run of the task of a run that may be lost or slow.

        Return whether the step allows speculative runs and the task has just one run.
        A task that may have crashed a worker gets no copies.
        """
        task = run.task
        if not task.step.spec.is_speculative or len(task.runs) > 1:
            return False
        if task.is_crash_suspect:
            return False
        if task not in self.requested_copies:
            self.requested_copies[task] = None
            record_run("copy-wanted", run, reason)
            self.changed.set()
        return True

    # Workers

    def add_worker(self, entry: WorkerEntry) -> Worker:
        """Add or update a worker by its entry in the list of workers.

        The entry may come from another writer, so other incarnations under its id stay
        until this one answers; those that have never answered make way.
        """
        is_new = self.fleet.find(WorkerKey(entry.id, entry.incarnation)) is None
        worker = self.fleet.add(entry)
        if not entry.is_draining:
            worker.drain_until_s = worker.draining_since_s = 0.0
        elif not worker.drain_until_s:
            worker.draining_since_s = self.now_s()
            worker.drain_until_s = worker.draining_since_s + entry.remaining_s
            record("worker-draining", worker=worker.id, remaining_s=entry.remaining_s)
        self.incarnations.remove_unanswered(worker)
        if is_new:
            self.incarnations.adopt_orphans(worker)
            self.on_worker_added(worker)
            record(
                "worker-known",
                worker=worker.id,
                life=entry.incarnation,
                zone=entry.zone,
                address=entry.address,
            )
        self.changed.set()
        return worker

    def mark_unlisted(self, worker_id: str) -> None:
        """Record that a worker is no longer listed; it may still run tasks."""
        for worker in self.fleet.incarnations_of(worker_id):
            worker.disputed = None
            if worker.is_listed:
                worker.is_listed = False
                worker.unlisted_since_s = self.now_s()
                record("worker-unlisted", worker=worker.id, runs=len(worker.runs))

    def mark_unreachable(self, worker: Worker, reason: str) -> None:
        """Record that a worker does not answer, and request copies of its runs."""
        self.crashes.record_silence(worker)
        if not worker.is_unresponsive:
            worker.is_unresponsive = True
            self.commits.renew()
        if not worker.is_reachable:
            return
        worker.is_reachable = False
        record("worker-unreachable", reason, worker=worker.id, runs=len(worker.runs))
        for run in worker.runs.values():
            self.request_copy(run, "its worker does not answer")

    def replace_worker(self, worker: Worker, reason: str) -> None:
        """Remove an incarnation of a worker in whose place another one answers."""
        self.crashes.record_crash(worker)
        self.discard_worker(worker, reason)

    def discard_worker(self, worker: Worker, reason: str) -> None:
        """Remove an incarnation of a worker that certainly runs no tasks any more."""
        record(
            "worker-lost",
            reason,
            worker=worker.id,
            runs=len(worker.runs),
            address=worker.entry.address,
        )
        for run in list(worker.runs.values()):
            self.drop_run(run, "its worker has ended: " + reason)
        self.fleet.remove(worker)

    def expire_worker_lease(self, worker: Worker) -> None:
        """Drop the runs of a worker whose lease has certainly expired."""
        record("worker-lease-lapsed", worker=worker.id, runs=len(worker.runs))
        worker.is_reconciled = False
        worker.unreconciled_since_s = self.now_s()
        self.crashes.record_lease_end(worker)
        for run in list(worker.runs.values()):
            self.drop_run(run, "the lease of its unreachable worker has expired")

    def expire_orphans(self) -> None:
        """Drop the orphans whose lease has expired before their worker was known."""
        now = self.now_s()
        for run in list(self.orphans):
            if now >= self.lease_ends.earlier_end_s(run.worker_key):
                self.drop_run(run, "its worker did not appear before its lease expired")
