"""An owner without a platform: a manual clock, recorded orders, jobs and workers."""

from __future__ import annotations

from loguru import logger as log

from fulmarlever.clock import ManualClock
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.scheduling.fleet import Worker
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.ports import EndedTask, RunningTask, WorkerReport
from fulmarleverd.scheduling.reports import Reports
from fulmarleverd.scheduling.rows import JobRow
from fulmarleverd.scheduling.runs import Run, RunState
from fulmarleverd.scheduling.specs import (
    Bounds,
    JobSpec,
    QueueSpec,
    StepSpec,
    WorkerEntry,
)
from fulmarleverd.scheduling.tasks import Job

QUEUE = QueueSpec("plans", "h", "/p/", "desk", 2, 3, 2.0, 1.0)


class RecordedCommits:
    """A commit log that only collects what is staged."""

    def __init__(self):
        self.jobs: list[str] = []
        self.actions: list = []

    def stage(self, job: Job) -> None:
        self.jobs.append(job.id)

    def stage_row(self, row: object) -> None:
        pass

    def after_commit(self, action: object) -> None:
        self.actions.append(action)

    def renew(self) -> None:
        pass


class HeldLease:
    """A lease that stays valid, after an owner that named no silent workers."""

    def __init__(self):
        self.earlier_extensions_end_s = 0.0
        self.earlier_lease_ends_s: dict = {}

    def may_grant_lease(self, key: object) -> bool:
        return True


class RecordedOrders:
    """Orders that are only collected."""

    def __init__(self):
        self.starts: list[Run] = []
        self.stops: list[Run] = []
        self.paces: list[tuple[Run, int]] = []
        self.unknown: list[tuple] = []

    def send_start(self, run: Run) -> None:
        self.starts.append(run)

    def send_stop(self, run: Run) -> None:
        self.stops.append(run)

    def send_stop_unknown(self, worker: Worker, task: str, run: int) -> None:
        self.unknown.append((worker.id, task, run))

    def send_pace(self, run: Run, percent: int) -> None:
        run.worker.set_pace(run, percent)
        self.paces.append((run, percent))


class OwnerTestCase(TableTestCase):
    """Builds an owner with two workers of 32 cores."""

    def setUp(self):
        log.remove()
        self.clock = ManualClock()
        self.commits = RecordedCommits()
        self.lease = HeldLease()
        self.owner = Owner(self.lease, self.commits, self.clock, Bounds())
        self.owner.orders = self.orders = RecordedOrders()
        self.reports = Reports(self.owner, self.look_at)
        self.workers = [self.add_worker(name) for name in ("w1", "w2")]

    def look_at(self, worker: Worker) -> None:
        """Do nothing after a report; test cases of watchers replace this."""

    def add_worker(self, name: str, life: str = "1", **options: object) -> Worker:
        defaults = {"cpu_m": 32000, "memory_mb": 100000, "labels": ("a", "r1")}
        fields = {**defaults, **options}
        entry = WorkerEntry(name, life, "desk", f"{name}:1", "z", **fields)
        worker = self.owner.add_worker(entry)
        worker.is_reconciled = worker.is_reachable = True
        return worker

    def add_job(self, job_id: str, *steps: StepSpec, queue: QueueSpec = QUEUE) -> Job:
        self.owner.add_job(JobRow(JobSpec(job_id, "", steps), queue, 0.0))
        return self.owner.jobs[job_id]

    def start(self, job: Job, worker: Worker, step: int = 0, index: int = 0) -> Run:
        """Give a task to a worker as if it had been accepted there."""
        task = job.occurrences[0][step].tasks[index]
        run = self.owner.assign(task, worker)
        run.state = RunState.RUNNING
        run.seen_at_s = run.started_s = self.clock.now
        return run

    def report(self, worker: Worker, *rows: tuple, ends: tuple = ()) -> None:
        """Let a worker report runs as (run, percent, usage) and ends as (run, how)."""
        running = tuple(
            RunningTask(run.task.name, run.number, "", percent, usage)
            for run, percent, usage in rows
        )
        first = worker.ends_seen + 1
        ended = tuple(
            EndedTask(number, run.task.name, run.number, how)
            for number, (run, how) in enumerate(ends, start=first)
        )
        report = WorkerReport(1000, worker.entry.life, running, ended)
        self.reports.take(worker, report, self.clock.now)
