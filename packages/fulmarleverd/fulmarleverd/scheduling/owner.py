"""The scheduler's state in the daemon that holds the lease: runs and workers.

The methods are called for changes in the store, for workers' reports and by the
periodic housekeeping. Changes that must outlive the daemon are staged in the commit
queue; commands to workers are sent after the commit.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from fulmarlever.clock import Clock
from fulmarleverd.scheduling.calls.outstanding import OutstandingCalls
from fulmarleverd.scheduling.calls.run_commands import RunCommands
from fulmarleverd.scheduling.calls.tokens import CallTokens
from fulmarleverd.scheduling.decisions import record, record_run
from fulmarleverd.scheduling.fairness.size_classes import SizeClasses
from fulmarleverd.scheduling.health.crashes import CrashTracker
from fulmarleverd.scheduling.health.failures import FailureTracker
from fulmarleverd.scheduling.jobs.open_jobs import OpenJobs
from fulmarleverd.scheduling.jobs.runs import Run, RunState
from fulmarleverd.scheduling.jobs.tasks import Job, Task
from fulmarleverd.scheduling.metrics import FIRST_START_SECONDS
from fulmarleverd.scheduling.persistence.commits import CommitQueue
from fulmarleverd.scheduling.persistence.rows import (
    SUMMARY_TABLE,
    UnresponsiveWorker,
)
from fulmarleverd.scheduling.persistence.store_clock import StoreClock
from fulmarleverd.scheduling.planning.obstacles import find_constraint_obstacle
from fulmarleverd.scheduling.ports import StoredRow
from fulmarleverd.scheduling.published.publication import Publication
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

# Why a run is withdrawn from a worker.
ZONE_EVACUATED = "its zone is evacuated"


class Owner:
    """The state of the scheduler during one term of the lease owner.

    ``open_jobs`` are the jobs that have not ended, ``jobs`` the same by id. ``orphans``
    are runs whose worker is not known yet, in the order in which they were found.
    ``requested_copies`` holds the tasks that need a second run, in the order of the
    requests. ``call_tokens`` are the fencing tokens of calls to workers,
    ``outstanding_calls`` those that may still be carried out. ``run_times`` are the
    expected run times of tasks. ``store_clock`` tells the store's time. ``failures``
    decides which workers are distrusted for failed runs. ``changed`` is set when the
    planner has to run again, and ``on_worker_added`` is called with each new
    incarnation of a worker. ``find_config`` returns the operator's configuration.
    """

    def __init__(
        self, lease: SchedulerLease, commits: CommitQueue, clock: Clock, bounds: Bounds
    ) -> None:
        self.lease = lease
        self.commits = commits
        self.clock = clock
        self.bounds = bounds
        self.fleet = Fleet(clock)
        # Not a set, whose order would depend on memory addresses: the order decides
        # which of their tasks is started first.
        self.orphans: dict[Run, None] = {}
        self.requested_copies: dict[Task, None] = {}
        self.run_times = RunTimes()
        self.size_classes = SizeClasses(self.run_times)
        self.changed = asyncio.Event()
        self.open_jobs = OpenJobs(clock, commits, self.size_classes, self.changed)
        self.open_jobs.on_run_found = self._attach_run
        self.open_jobs.on_end = self._stop_runs
        self.jobs = self.open_jobs.by_id
        self.store_clock = StoreClock(clock)
        self.call_tokens = CallTokens(lease)
        self.outstanding_calls = OutstandingCalls(clock)
        self.commands: RunCommands | None = None
        self.on_worker_added: Callable[[Worker], None] = lambda worker: None
        self.find_config: Callable[[], SchedulingConfig] = lambda: NO_CONFIG
        self.lease_ends = LeaseEnds(lease, clock, bounds)
        self.crashes = CrashTracker(self.fleet, self.open_jobs, commits, clock)
        self.failures = FailureTracker()
        self.incarnations = Incarnations(self)

    def now_s(self) -> float:
        """Return the time in seconds on the clock of the leases."""
        return self.clock.boot()

    def unresponsive_workers(self) -> list[UnresponsiveWorker]:
        """Return the workers that do not answer but may still run tasks."""
        return self.lease_ends.unresponsive_workers(self.fleet, self.orphans)

    # Rows for all daemons

    def publish(self, key: str, value: bytes) -> None:
        """Publish a value that is right now in the row of a key."""
        as_of_s = self.store_clock.now_s()
        publication = Publication(self.lease.vm, self.lease.token, as_of_s, value)
        self.commits.stage_row(publication.to_row(key))

    def withdraw(self, key: str) -> None:
        """Remove the published row of a key."""
        self.commits.stage_row(StoredRow(SUMMARY_TABLE, key))

    # Runs

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

    def stop_probe(self, run: Run) -> None:
        """Stop a run that has begun where ends may be hidden; its end shows if so.

        A long-running task starts again however it ends, so its end need not show.
        """
        is_probed = run.worker is not None and run.worker.may_hide_ends
        if is_probed and run.is_own and not run.task.step.spec.is_long_running:
            run.is_probe = True
            self.stop_run(run, "shows whether its worker reports ends")

    def _stop_runs(self, job: Job) -> None:
        """Stop all runs of a job that has ended."""
        for run in list(job.runs()):
            self.stop_run(run, "job ended")

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
            self.call_tokens.rise(worker.id)
            self.incarnations.adopt_orphans(worker)
            self.on_worker_added(worker)
            record(
                "worker-known",
                worker=worker.id,
                incarnation=entry.incarnation,
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
        """Drop the runs of a worker whose lease has certainly expired.

        Those that a next incarnation may have are kept for longer.
        """
        runs = list(worker.runs.values())
        ended = [run for run in runs if not self._is_kept(run)]
        if runs and not ended:
            return
        now = self.now_s()
        record(
            "worker-lease-lapsed",
            worker=worker.id,
            incarnation=worker.entry.incarnation,
            runs=len(ended),
            first_answer_age_s=round(now - worker.first_answer_s, 3),
            granted_age_s=round(now - worker.lease_granted_at_s, 3),
            may_have_former_calls=worker.may_have_former_calls,
        )
        worker.is_reconciled = False
        worker.unreconciled_since_s = self.now_s()
        self.crashes.record_lease_end(worker)
        for run in ended:
            self.drop_run(run, "the lease of its unreachable worker has expired")

    def _is_kept(self, run: Run) -> bool:
        """Return whether a run whose lease is over may be on a next incarnation."""
        if not self.incarnations.may_be_on_next(run):
            return False
        if not run.is_kept:
            run.is_kept = True
            left_s = self.lease_ends.late_start_end_s(run) - self.now_s()
            reason = "a next incarnation of its worker may have it"
            record_run("run-kept", run, reason, left_s=round(left_s, 3))
        return True

    def expire_orphans(self) -> None:
        """Drop the orphans whose lease has expired before their worker was known."""
        now = self.now_s()
        for run in list(self.orphans):
            end_s = self.lease_ends.earlier_end_s(run.worker_key)
            if now >= end_s and not self._is_kept(run):
                self.drop_run(run, "its worker did not appear before its lease expired")
