"""Base of tests of the owner's state, with a fake lease, commits and commands."""

from __future__ import annotations

from loguru import logger as log

from fulmarlever.clock import ManualClock
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.scheduling.jobs.runs import Run, RunState
from fulmarleverd.scheduling.jobs.tasks import Job
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.persistence.rows import JobRow
from fulmarleverd.scheduling.ports import EndedTask, RunningTask, WorkerReport
from fulmarleverd.scheduling.specs import (
    Bounds,
    JobSpec,
    QueueSpec,
    StepSpec,
    WorkerEntry,
)
from fulmarleverd.scheduling.workers.fleet import Worker
from fulmarleverd.scheduling.workers.reports import ReportProcessor

QUEUE = QueueSpec("plans", "h", "/p/", "desk", 2, 3, 2.0, 1.0)


class RecordedCommits:
    """A fake commit log that records what is staged."""

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


class ValidLease:
    """A fake lease that stays valid, after an owner without unresponsive workers."""

    is_valid = True
    token = 1
    vm = "vm-1"

    def __init__(self):
        self.earlier_extensions_end_s = 0.0
        self.earlier_lease_ends_s: dict = {}

    def may_grant_lease(self, key: object) -> bool:
        return True

    def may_have_earlier_calls(self, born_s: float, late_s: float) -> bool:
        return False


class RecordedCommands:
    """Fake commands that are only recorded."""

    def __init__(self):
        self.starts: list[Run] = []
        self.stops: list[Run] = []
        self.speed_limits: list[tuple[Run, int]] = []
        self.stops_of_unknown: list[tuple] = []

    def send_start(self, run: Run) -> None:
        self.starts.append(run)

    def send_stop(self, run: Run) -> None:
        self.stops.append(run)

    def send_stop_unknown(self, worker: Worker, task: str, run: int) -> None:
        self.stops_of_unknown.append((worker.id, task, run))

    def send_speed_limit(self, run: Run, percent: int) -> None:
        run.worker.set_speed_limit(run, percent)
        self.speed_limits.append((run, percent))


class OwnerTestCase(TableTestCase):
    """Builds an owner with two workers of 32 cores and a manual clock."""

    def setUp(self):
        log.remove()
        self.clock = ManualClock()
        self.commits = RecordedCommits()
        self.lease = ValidLease()
        self.owner = Owner(self.lease, self.commits, self.clock, Bounds())
        self.owner.commands = self.commands = RecordedCommands()
        self.reports = ReportProcessor(self.owner, self.on_report)
        self.workers = [self.add_worker(name) for name in ("w1", "w2")]

    def on_report(self, worker: Worker) -> None:
        """Do nothing after a report; some test cases pass another callback."""

    def add_worker(
        self, name: str, incarnation: str = "1", **options: object
    ) -> Worker:
        defaults = {"cpu_m": 32000, "memory_mb": 100000, "labels": ("a", "r1")}
        fields = {"zone": "z", **defaults, **options}
        entry = WorkerEntry(name, incarnation, "desk", f"{name}:1", **fields)
        worker = self.owner.add_worker(entry)
        worker.is_reconciled = worker.is_reachable = True
        return worker

    def add_job(self, job_id: str, *steps: StepSpec, queue: QueueSpec = QUEUE) -> Job:
        self.owner.open_jobs.add(JobRow(JobSpec(job_id, "", steps), queue, 0.0))
        return self.owner.jobs[job_id]

    def start(self, job: Job, worker: Worker, step: int = 0, index: int = 0) -> Run:
        """Assign a task to a worker and return its run as running there."""
        task = job.occurrences[0][step].tasks[index]
        run = self.owner.assign(task, worker)
        run.state = RunState.RUNNING
        run.confirmed_at_s = run.started_s = self.clock.now
        run.has_begun = True
        return run

    def report(self, worker: Worker, *rows: tuple, ends: tuple = ()) -> None:
        """Process a report of a worker.

        ``rows`` are running runs as (run, progress in percent, latency in ms or cores
        in use in thousandths), ``ends`` are ended runs as (run, how).
        """
        running = tuple(
            RunningTask(run.task.name, run.number, "", percent, latency_ms_or_cpu_m)
            for run, percent, latency_ms_or_cpu_m in rows
        )
        first = worker.last_end_seen + 1
        ended = tuple(
            EndedTask(number, run.task.name, run.number, how)
            for number, (run, how) in enumerate(ends, start=first)
        )
        report = WorkerReport(1000, worker.entry.incarnation, running, ended)
        self.reports.process(worker, report, self.clock.now)
