"""One tenure of the scheduler's lease: recover, then run until the lease is lost."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever.outcomes import failed
from fulmarleverd.scheduling.backlog import Backlog
from fulmarleverd.scheduling.commits import CommitLog
from fulmarleverd.scheduling.decisions import record
from fulmarleverd.scheduling.fair_shares import FairShares
from fulmarleverd.scheduling.feeds import Batch, follow, read_all
from fulmarleverd.scheduling.fleet import Worker
from fulmarleverd.scheduling.housekeeping import TICK_S, Housekeeping
from fulmarleverd.scheduling.interference import InterferenceGuard
from fulmarleverd.scheduling.lease import SchedulerLease
from fulmarleverd.scheduling.metrics import LEASE_HELD
from fulmarleverd.scheduling.orders import WorkerOrders
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.planner import Planner
from fulmarleverd.scheduling.ports import Interface, StoredRow
from fulmarleverd.scheduling.progress import ProgressWatch
from fulmarleverd.scheduling.reports import Reports
from fulmarleverd.scheduling.rows import (
    CANCEL_SUFFIX,
    JOBS_TABLE,
    PRESSURE_KEY,
    PROGRESS_TABLE,
    SUMMARY_TABLE,
    unpack_job,
    unpack_learned,
)
from fulmarleverd.scheduling.tickets import TicketBook
from fulmarleverd.scheduling.worker_loop import WorkerLoop

PLAN_PAUSE_S = 0.004
# Planning leaves this many times its own duration to everything else.
PAUSE_PER_PLAN = 2.0
PROGRESS_RETRY_S = 0.1


class Tenure:
    """Everything that runs while this daemon holds the lease."""

    def __init__(
        self, interface: Interface, lease: SchedulerLease, clock: Clock
    ) -> None:
        self._interface = interface
        self._clock = clock
        self._lease = lease
        commits = CommitLog(interface.store, lease)
        self.owner = Owner(lease, commits, clock, interface.settings.bounds)
        lease.silent_workers = self.owner.silent_workers
        self.owner.orders = WorkerOrders(self.owner, interface.workers)
        self.owner.on_worker_added = self._start_loop
        self._guard = InterferenceGuard(self.owner)
        self._progress = ProgressWatch(self.owner)
        self._reports = Reports(self.owner, self._look_at)
        self._tickets = TicketBook(self.owner, interface.admission)
        self._planner = Planner(
            self.owner, self._guard.headroom_taken, tickets=self._tickets
        )
        self._housekeeping = Housekeeping(self.owner, self._guard.model)
        self._fair_shares = FairShares(self.owner, self._planner)
        self._backlog = Backlog(self.owner, self._planner)
        self._tasks: set[asyncio.Task] = set()
        self._has_jobs = asyncio.Event()
        self._has_workers = asyncio.Event()

    async def run(self) -> None:
        """Schedule until another daemon has the lease."""
        LEASE_HELD.set(1)
        started_s = self._clock.boot()
        try:
            commits = self._spawn(self.owner.commits.run())
            recover = self._spawn(self._recover(started_s))
            await commits
            recover.cancel()
        finally:
            LEASE_HELD.set(0)
            self.owner.orders.close()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, coroutine: Coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finished)
        return task

    def _finished(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.bind(event="scheduler-fault").opt(exception=task.exception()).error(
                "a part of the scheduler failed; the lease is given up"
            )
            self._lease.lost()

    def _look_at(self, worker: Worker) -> None:
        self._guard.take_report(worker)
        self._progress.take_report(worker)

    def _start_loop(self, worker: Worker) -> None:
        loop = WorkerLoop(self.owner, worker, self._interface.workers, self._reports)
        self._spawn(loop.run())

    async def _recover(self, started_s: float) -> None:
        """Read what earlier owners committed, then follow jobs and workers."""
        progress = await self._read_progress()
        await self._read_learned()
        # Jobs come before workers: a report of an end is of use only once the run
        # that it is about is known.
        self._spawn(self._follow_jobs(progress))
        await self._has_jobs.wait()
        self._spawn(self._follow_workers())
        await self._has_workers.wait()
        self._spawn(self._keep_planning())
        self._spawn(self._keep_house())
        self._spawn(self._tickets.run())
        record(
            "recovered",
            jobs=len(progress),
            workers=len(self.owner.fleet),
            took_s=round(self._clock.boot() - started_s, 3),
        )

    async def _read_progress(self) -> dict[str, bytes]:
        while True:
            rows = await read_all(self._interface.store, PROGRESS_TABLE)
            if not failed(rows):
                return {row.key: row.value for row in rows.rows}
            log.bind(event="progress-unread").warning(rows.reason)
            await asyncio.sleep(PROGRESS_RETRY_S)

    async def _read_learned(self) -> None:
        """Begin with the interference that an earlier owner has learned, if any."""
        rows = await self._interface.store.read(
            SUMMARY_TABLE, PRESSURE_KEY, PRESSURE_KEY + "\0"
        )
        if failed(rows):
            log.bind(event="learned-unread").warning(rows.reason)
            return
        for row in rows.rows:
            learned = unpack_learned(row)
            if failed(learned):
                log.bind(event="learned-unread").warning(learned.reason)
            else:
                self._guard.model.load_data(learned)

    async def _follow_workers(self) -> None:
        store = self._interface.store
        table = self._interface.workers_table
        async for batch in follow(store, table, self._clock):
            self._take_workers(batch)
            self._has_workers.set()

    def _take_workers(self, batch: Batch) -> None:
        listed = set()
        for row in batch.rows:
            if row.is_deleted:
                self.owner.remove_worker(row.key)
                continue
            entry = self._interface.parse_worker(row)
            if failed(entry):
                record("worker-entry-ignored", entry.reason, key=row.key)
                continue
            listed.add(entry.id)
            self.owner.add_worker(entry)
        if batch.is_snapshot:
            for worker in list(self.owner.fleet):
                if worker.id not in listed:
                    self.owner.remove_worker(worker.id)

    async def _follow_jobs(self, progress: dict[str, bytes]) -> None:
        async for batch in follow(self._interface.store, JOBS_TABLE, self._clock):
            self._take_jobs(batch, progress)
            self._has_jobs.set()

    def _take_jobs(self, batch: Batch, progress: dict[str, bytes]) -> None:
        rows = [row for row in batch.rows if not row.is_deleted]
        for row in rows:
            if not row.key.endswith(CANCEL_SUFFIX):
                self._take_job(row, progress, not batch.is_snapshot)
        for row in rows:
            if row.key.endswith(CANCEL_SUFFIX):
                self.owner.cancel_job(row.key.removesuffix(CANCEL_SUFFIX))

    def _take_job(
        self, row: StoredRow, progress: dict[str, bytes], is_new: bool
    ) -> None:
        job = unpack_job(row)
        if failed(job):
            log.bind(event="job-unreadable", job=row.key).error(job.reason)
            return
        self.owner.add_job(job, progress.get(row.key, b""), is_new)

    async def _keep_planning(self) -> None:
        while True:
            await self.owner.changed.wait()
            self.owner.changed.clear()
            began_s = self._clock.monotonic()
            if self._lease.is_valid:
                self._planner.plan()
            took_s = self._clock.monotonic() - began_s
            await asyncio.sleep(max(PLAN_PAUSE_S, PAUSE_PER_PLAN * took_s))

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._housekeeping.tick()
            self._fair_shares.tick()
            self._backlog.tick()
            # Time alone makes workers usable again and jobs late.
            self.owner.changed.set()
