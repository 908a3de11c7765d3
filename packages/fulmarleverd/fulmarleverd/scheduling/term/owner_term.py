"""The term of one lease owner: recover, then schedule until the lease is lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever.outcomes import failed
from fulmarleverd.scheduling.admission.overload import OverloadPublisher
from fulmarleverd.scheduling.admission.publisher import AdmissionPublisher
from fulmarleverd.scheduling.calls.contained import (
    ContainedAdmissionCalls,
    ContainedWorkerCalls,
)
from fulmarleverd.scheduling.calls.fenced import FencedWorkerCalls
from fulmarleverd.scheduling.cancellations.lone import LoneCancelRemover
from fulmarleverd.scheduling.decisions import record
from fulmarleverd.scheduling.evacuation.control import Evacuation
from fulmarleverd.scheduling.evacuation.zones import EvacuatedZones
from fulmarleverd.scheduling.fairness.fair_shares import FairShares
from fulmarleverd.scheduling.health.progress import ProgressMonitor
from fulmarleverd.scheduling.housekeeping import TICK_S, Housekeeping
from fulmarleverd.scheduling.interference.control import InterferenceGuard
from fulmarleverd.scheduling.metrics import EVACUATED_RUNS, LEASE_HELD
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.persistence.commits import CommitQueue
from fulmarleverd.scheduling.persistence.feeds import Batch, follow, read_all
from fulmarleverd.scheduling.persistence.progress_rows import join_progress
from fulmarleverd.scheduling.persistence.rows import (
    CANCEL_SUFFIX,
    INTERFERENCE_KEY,
    JOBS_TABLE,
    PROGRESS_TABLE,
    RUN_TIMES_KEY,
    SUMMARY_TABLE,
    unpack_interference,
    unpack_job,
    unpack_run_times,
)
from fulmarleverd.scheduling.planning import plan_pace
from fulmarleverd.scheduling.planning.backlog import Backlog
from fulmarleverd.scheduling.planning.held_occurrences import HeldOccurrences
from fulmarleverd.scheduling.planning.planner import Planner
from fulmarleverd.scheduling.planning.start_rate import StartRate
from fulmarleverd.scheduling.planning.tickets import TicketRequester
from fulmarleverd.scheduling.ports import Interface, StoredRow
from fulmarleverd.scheduling.published.waiting_jobs_publisher import (
    WaitingJobsPublisher,
)
from fulmarleverd.scheduling.run_times.publisher import RunTimesPublisher
from fulmarleverd.scheduling.specs import NO_CONFIG, SchedulingConfig
from fulmarleverd.scheduling.term.lease import SchedulerLease
from fulmarleverd.scheduling.workers.fleet import Worker
from fulmarleverd.scheduling.workers.reports import ReportProcessor
from fulmarleverd.scheduling.workers.worker_commands import WorkerCommands
from fulmarleverd.scheduling.workers.worker_loop import WorkerLoop

PROGRESS_RETRY_S = 0.1
# How long the store may wait for a change of the jobs. The number of waiting jobs that
# is published is as of its last answer.
JOBS_WAIT_S = 0.5
# A worker's reports come with each ended run, but what they say of the other runs
# changes more slowly, so those are examined at most this often.
EXAMINE_PERIOD_S = 0.3


class OwnerTerm:
    """Everything that runs while this daemon holds the scheduler's lease.

    ``owner`` is the scheduler's state during the term.
    """

    def __init__(
        self,
        interface: Interface,
        lease: SchedulerLease,
        clock: Clock,
        evacuated: EvacuatedZones,
        find_config: Callable[[], SchedulingConfig] = lambda: NO_CONFIG,
    ) -> None:
        self._interface = interface
        self._clock = clock
        self._lease = lease
        settings = interface.settings
        commits = CommitQueue(
            interface.store, lease, settings.link_mbps, settings.row_bytes
        )
        self.owner = Owner(lease, commits, clock, interface.settings.bounds)
        self.owner.find_config = find_config
        lease.unresponsive_workers = self.owner.unresponsive_workers
        self.owner.run_times.applies_learned = settings.has_learned_run_times
        self._start_rate = StartRate(
            interface.loop_delay, clock, interface.settings.cores
        )
        self._worker_calls = FencedWorkerCalls(
            ContainedWorkerCalls(interface.workers),
            self.owner.call_tokens,
            self.owner.outstanding_calls,
        )
        self.owner.commands = WorkerCommands(
            self.owner, self._worker_calls, self._start_rate.record_answer
        )
        self.owner.on_worker_added = self._start_worker_loop
        self._guard = InterferenceGuard(self.owner)
        self._progress = ProgressMonitor(self.owner)
        self._reports = ReportProcessor(self.owner, self._on_report)
        self._tickets = TicketRequester(
            self.owner, ContainedAdmissionCalls(interface.admission)
        )
        self._planner = Planner(
            self.owner,
            self._guard.headroom_taken,
            tickets=self._tickets,
            start_rate=self._start_rate,
        )
        self._housekeeping = Housekeeping(self.owner, self._guard.model)
        self._held_occurrences = HeldOccurrences(self.owner)
        self._fair_shares = FairShares(self.owner, self._planner)
        self._evacuation = Evacuation(self.owner, evacuated)
        # Nothing is planned or preempted before the evacuated zones are known.
        self._is_planning = False
        self._overload = OverloadPublisher(self.owner, self._start_rate)
        self._run_times = RunTimesPublisher(self.owner, settings.row_bytes)
        self._admission = AdmissionPublisher(self.owner, self.owner.run_times)
        self._backlog = Backlog(
            self.owner, self._planner, self._start_rate, interface.loop_delay
        )
        self._lone_cancels = LoneCancelRemover(
            interface.store, self.owner.open_jobs.lone_cancels, clock
        )
        self._waiting_jobs = WaitingJobsPublisher(self.owner)
        commits.published_rows = self._waiting_jobs.rows
        self._tasks: set[asyncio.Task] = set()
        self._has_jobs = asyncio.Event()
        self._has_workers = asyncio.Event()

    async def run(self) -> None:
        """Schedule until the lease is lost; afterwards, all tasks have ended."""
        LEASE_HELD.set(1)
        started_s = self._clock.boot()
        try:
            commits = self._spawn(self.owner.commits.run())
            recover = self._spawn(self._recover(started_s))
            await commits
            recover.cancel()
        finally:
            LEASE_HELD.set(0)
            EVACUATED_RUNS.clear()
            self.owner.commands.close()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, coroutine: Coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.bind(event="scheduler-fault").opt(exception=task.exception()).error(
                "a task of the scheduler has failed; giving up the lease"
            )
            self._lease.mark_lost()

    def _on_report(self, worker: Worker) -> None:
        now = self._clock.boot()
        if now - worker.examined_at_s < EXAMINE_PERIOD_S:
            return
        worker.examined_at_s = now
        self._guard.process_report(worker)
        self._progress.process_report(worker)

    def _start_worker_loop(self, worker: Worker) -> None:
        loop = WorkerLoop(
            self.owner,
            worker,
            self._worker_calls,
            self._reports,
            self._interface.loop_delay,
            is_one_of_many=not self._has_workers.is_set(),
        )
        self._spawn(loop.run())

    async def _recover(self, started_s: float) -> None:
        """Load the state that earlier owners committed, then start all other tasks."""
        progress = await self._load_progress()
        await self._load_interference()
        await self._load_run_times()
        # Load jobs before workers: the report of an ended run is ignored if the run is
        # not known.
        self._spawn(self._follow_jobs(progress))
        await self._has_jobs.wait()
        self._spawn(self._run_housekeeping())
        self._spawn(self._lone_cancels.run())
        self._spawn(self._follow_workers())
        await self._has_workers.wait()
        await self._evacuation.prepare()
        self._is_planning = True
        self._spawn(self._evacuation.run())
        self._spawn(self._run_planner())
        self._spawn(self._tickets.run())
        record(
            "recovered",
            jobs=len(progress),
            workers=len(self.owner.fleet),
            took_s=round(self._clock.boot() - started_s, 3),
        )

    async def _load_progress(self) -> dict[str, bytes]:
        while True:
            rows = await read_all(self._interface.store, PROGRESS_TABLE)
            if not failed(rows):
                return {row.key: row.value for row in rows.rows}
            log.bind(event="progress-unread").warning(rows.reason)
            await asyncio.sleep(PROGRESS_RETRY_S)

    async def _load_interference(self) -> None:
        """Load the interference coefficients that an earlier owner learned, if any.

        Without them, the model starts from its defaults.
        """
        for row in await self._read_learned(INTERFERENCE_KEY):
            interference = unpack_interference(row)
            if failed(interference):
                log.bind(event="learned-unread").warning(interference.reason)
            else:
                self._guard.model.load_data(interference)

    async def _load_run_times(self) -> None:
        """Load the run times that an earlier owner learned, if any.

        Without them, the declared times are used until runs have ended.
        """
        for row in await self._read_learned(RUN_TIMES_KEY):
            data = unpack_run_times(row)
            error = data if failed(data) else self.owner.run_times.load_data(data)
            if failed(error):
                log.bind(event="learned-unread").warning(error.reason)

    async def _read_learned(self, key: str) -> tuple[StoredRow, ...]:
        """Return the row of a key that an earlier owner wrote, if it can be read."""
        rows = await self._interface.store.read(SUMMARY_TABLE, key, key + "\0")
        if failed(rows):
            log.bind(event="learned-unread").warning(rows.reason)
            return ()
        return rows.rows

    async def _follow_workers(self) -> None:
        store = self._interface.store
        table = self._interface.workers_table
        async for batch in follow(store, table, self._clock):
            self.owner.incarnations.list_read_s = batch.requested_at_s
            self._apply_worker_rows(batch)
            self._has_workers.set()

    def _apply_worker_rows(self, batch: Batch) -> None:
        listed = set()
        for row in batch.rows:
            if row.is_deleted:
                self.owner.incarnations.process_removal(row.key)
                continue
            # What is known of the worker holds if its entry cannot be decoded.
            listed.add(row.key)
            entry = self._interface.parse_worker(row)
            if failed(entry):
                record("worker-entry-ignored", entry.reason, key=row.key)
                continue
            self.owner.incarnations.process_entry(entry)
        if batch.is_snapshot:
            self.owner.incarnations.process_snapshot(listed)

    async def _follow_jobs(self, progress: dict[str, bytes]) -> None:
        store = self._interface.store
        async for batch in follow(store, JOBS_TABLE, self._clock, JOBS_WAIT_S):
            self._apply_job_rows(batch, progress)
            self.owner.store_clock.record(batch.store_time_s)
            self._waiting_jobs.record(batch)
            self._has_jobs.set()

    def _apply_job_rows(self, batch: Batch, progress: dict[str, bytes]) -> None:
        # Cancellations come first, so that no cancelled job is open for a moment.
        cancels = [row for row in batch.rows if row.key.endswith(CANCEL_SUFFIX)]
        for row in cancels:
            if row.is_deleted:
                self.owner.open_jobs.lone_cancels.forget_removed(row)
            else:
                self.owner.open_jobs.process_cancellation(row)
        if batch.is_snapshot:
            self.owner.open_jobs.lone_cancels.keep_only({row.key for row in cancels})
        for row in batch.rows:
            if not row.is_deleted and not row.key.endswith(CANCEL_SUFFIX):
                self._add_job(row, progress, not batch.is_snapshot)

    def _add_job(
        self, row: StoredRow, progress: dict[str, bytes], is_new: bool
    ) -> None:
        job = unpack_job(row)
        if failed(job):
            log.bind(event="job-unreadable", job=row.key).error(job.reason)
            return
        self.owner.open_jobs.add(job, join_progress(row.key, progress), is_new)

    async def _run_planner(self) -> None:
        while True:
            await self.owner.changed.wait()
            self.owner.changed.clear()
            started_s = self._clock.monotonic()
            started = self._planner.plan() if self._lease.is_valid else 0
            took_s = self._clock.monotonic() - started_s
            is_limiting = self._start_rate.is_limiting
            await asyncio.sleep(plan_pace.pause_s(started, took_s, is_limiting))

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._housekeeping.tick()
            if self._is_planning:
                self._held_occurrences.tick()
                self._fair_shares.tick()
                self._evacuation.update_gauge()
            self._overload.tick()
            self._run_times.tick()
            if self._interface.settings.has_admission_forecast:
                self._admission.tick()
            self._backlog.tick()
            # Workers accept runs again and jobs become late merely as time passes.
            self.owner.changed.set()
