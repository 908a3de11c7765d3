"""A closed loop of callers, daemons, the owner and a simple model of the workers.

The owner, its order of steps, its planner and its forecast are the real ones. Workers
are modelled by the time that each run takes. There is no network: daemons read the last
published row at intervals, and time is set by hand.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from itertools import count

from loguru import logger as log

from fulmarlever.clock import ManualClock
from fulmarlever.outcomes import failed
from fulmarleverd.scheduling.admission.forecast import Forecast
from fulmarleverd.scheduling.admission.policy import AdmissionPolicy
from fulmarleverd.scheduling.admission.publisher import AdmissionPublisher
from fulmarleverd.scheduling.admission.retries import RetrySchedule
from fulmarleverd.scheduling.housekeeping import TICK_S
from fulmarleverd.scheduling.jobs.runs import Run, RunState
from fulmarleverd.scheduling.jobs.tasks import Job, JobState
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.persistence.rows import ADMISSION_KEY, JobRow
from fulmarleverd.scheduling.planning.planner import Planner
from fulmarleverd.scheduling.ports import StoredRow
from fulmarleverd.scheduling.published.row import READ_PERIOD_S, STALE_S
from fulmarleverd.scheduling.run_times import RunTimes
from fulmarleverd.scheduling.specs import (
    Bounds,
    JobSpec,
    QueueSpec,
    StepSpec,
    WorkerEntry,
)
from fulmarleverd.tests.scheduling.base import (
    RecordedCommands,
    RecordedCommits,
    ValidLease,
)
from fulmarleverd.tests.scheduling.published.values import published_value

STEP_S = 0.05
# Jobs of the last seconds of the load have not ended when it does.
DRAIN_S = 90.0
URGENT = QueueSpec("urgent", "h", "/u/", "desk", 0, 3, 2.0, 1.0)
BATCH = QueueSpec("batch", "h", "/b/", "desk", 2, 3, 2.0, 1.0)
# Weight, tasks of the widest step, steps, seconds of a task: small, medium and large.
SIZES = ((0.7, 8, 2, 0.7), (0.2, 24, 3, 1.0), (0.1, 60, 3, 1.5))


class PublishedRow:
    """Takes the place of a daemon's reader; it sees the row at intervals."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._forecast: Forecast | None = None
        self._read_at_s = float("-inf")
        self.changed_at_s = float("-inf")
        self.row: StoredRow | None = None
        self._seen: StoredRow | None = None

    @property
    def age_s(self) -> float:
        return self._clock.now - self.changed_at_s

    def current(self) -> Forecast | None:
        if self._clock.now - self._read_at_s >= READ_PERIOD_S:
            self._read_at_s = self._clock.now
            if self.row is not self._seen:
                self._seen = self.row
                self.changed_at_s = self._clock.now
                forecast = Forecast.unpack(published_value(self.row))
                assert not failed(forecast), forecast
                self._forecast = forecast
        return None if self.age_s > STALE_S else self._forecast


@dataclass(slots=True)
class Load:
    """What callers submit, and how they and the workers behave.

    ``share`` is the work that arrives by the capacity of the fleet; it may be a
    function of the time. ``urgent_share`` is that of the urgent queue. ``returns`` maps
    a number of seconds told to those after which the caller comes back, ``None`` for
    never. ``error`` draws the real time of a step's tasks by the declared one. ``zone``
    picks the daemon of a job.
    """

    share: float | Callable[[float], float] = 1.5
    urgent_share: float = 0.1
    load_s: float = 120.0
    is_best_effort: bool = True
    is_admission_on: bool = True
    returns: Callable[[float], float | None] = lambda told_s: told_s
    attempts: int = 6
    error: Callable[[random.Random], float] = lambda rng: 1.0
    zone: Callable[[random.Random, float], int] = lambda rng, now_s: rng.randrange(3)
    workers: int = 6
    worker_cores: int = 32
    seed: int = 1


class Outcome:
    """What became of one job."""

    __slots__ = (
        "job",
        "size",
        "zone",
        "refusals",
        "told_s",
        "accepted_s",
        "latency_s",
        "deadline_s",
    )

    def __init__(self, spec: JobSpec, size: int, zone: int) -> None:
        self.job = spec
        self.size = size
        self.zone = zone
        self.refusals = 0
        self.told_s: list[tuple[float, float]] = []
        self.accepted_s: float | None = None
        self.latency_s: float | None = None
        self.deadline_s = 0.0

    @property
    def is_useful(self) -> bool:
        return self.latency_s is not None and self.latency_s <= self.deadline_s

    @property
    def is_useless(self) -> bool:
        return self.accepted_s is not None and not self.is_useful


class ClosedLoop:
    """Runs a load and collects the outcomes of its batch jobs."""

    def __init__(self, load: Load) -> None:
        log.remove()
        self.load = load
        self.rng = random.Random(load.seed)
        random.seed(load.seed)
        self.clock = ManualClock(0.0)
        self.outcomes: dict[str, Outcome] = {}
        self.urgent_late = 0
        self.jobs: dict[str, Job] = {}
        self.errors: dict[str, float] = {}
        self._numbers = count()
        # Time, number, and what is due then: an end of a run or a submission.
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._row: StoredRow | None = None
        self.rows = 0
        self.largest_row = 0
        self.start_owner()
        self.readers = [PublishedRow(self.clock) for _ in range(3)]
        self.policies = []
        for reader in self.readers:
            retries = RetrySchedule(self.clock)
            self.policies.append(
                AdmissionPolicy(reader, retries, lambda: (URGENT, BATCH), self.clock)
            )

    def start_owner(self) -> None:
        self.commits = RecordedCommits()
        self.commits.stage_row = self._stage_row
        self.owner = Owner(ValidLease(), self.commits, self.clock, Bounds())
        self.owner.commands = RecordedCommands()
        for number in range(self.load.workers):
            entry = WorkerEntry(
                f"w{number}",
                "1",
                "desk",
                f"w{number}:1",
                "z",
                cpu_m=1000 * self.load.worker_cores,
                memory_mb=1_000_000,
            )
            worker = self.owner.add_worker(entry)
            worker.is_reconciled = worker.is_reachable = True
        self.planner = Planner(self.owner, lambda spec, worker: 0.0)
        self.publisher = AdmissionPublisher(self.owner, RunTimes())

    def _stage_row(self, row: StoredRow) -> None:
        if row.key == ADMISSION_KEY:
            self.rows += 1
            self.largest_row = max(self.largest_row, len(row.value))
            for reader in self.readers:
                reader.row = row

    @property
    def cores(self) -> float:
        return self.load.workers * self.load.worker_cores

    def run(self) -> ClosedLoop:
        """Run the load and let the fleet complete what it has accepted."""
        self._schedule_arrivals()
        tick_s = 0.0
        while self.clock.now < self.load.load_s + DRAIN_S:
            self.clock.advance(STEP_S)
            now = self.clock.now
            while self._events and self._events[0][0] <= now:
                heapq.heappop(self._events)[2]()
            if now >= tick_s:
                tick_s = now + TICK_S
                sizes = self.owner.size_classes
                sizes.update(self.owner.jobs.values(), now)
                self.publisher.tick()
            self._plan()
            if now > self.load.load_s and not self._events and not self.owner.jobs:
                break
        return self

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def _schedule_arrivals(self) -> None:
        share = self.load.share
        at_s = 0.0
        mean = sum(weight * n * steps * task_s for weight, n, steps, task_s in SIZES)
        most = max(share(t) for t in range(200)) if callable(share) else share
        while at_s < self.load.load_s:
            at_s += self.rng.expovariate(most * self.cores / mean)
            now = share(at_s) if callable(share) else share
            if self.rng.random() * most > now:
                continue
            weights = [weight for weight, *_ in SIZES]
            size = self.rng.choices(range(len(SIZES)), weights)[0]
            spec = self._batch_job(size)
            zone = self.load.zone(self.rng, at_s)
            outcome = self.outcomes[spec.id] = Outcome(spec, size, zone)
            self.at(at_s, lambda outcome=outcome: self._submit(outcome))
        at_s = 0.0
        while self.load.urgent_share and at_s < self.load.load_s:
            at_s += self.rng.expovariate(self.load.urgent_share * self.cores / 4.0)
            self.at(at_s, self._submit_urgent)

    def _batch_job(self, size: int) -> JobSpec:
        _, tasks, steps, task_s = SIZES[size]
        task_s *= self.rng.uniform(0.7, 1.3)
        first = StepSpec(
            count=max(1, round(tasks * self.rng.uniform(0.7, 1.3))),
            cpu_m=1000,
            memory_mb=10,
            estimate_s=task_s,
            is_best_effort=self.load.is_best_effort,
        )
        chain = [first]
        for number in range(1, steps):
            chain.append(replace(first, after=(number - 1,)))
        return JobSpec(f"b{next(self._numbers)}", "", tuple(chain))

    def _submit(self, outcome: Outcome) -> None:
        refusal = None
        if self.load.is_admission_on:
            policy = self.policies[outcome.zone]
            refusal = policy.find_refusal(outcome.job, BATCH)
        if refusal is None:
            outcome.accepted_s = self.clock.now
            self._add(outcome.job, BATCH)
            return
        outcome.refusals += 1
        now, told_s = self.clock.now, refusal.retry_after_s
        outcome.told_s.append((now, told_s))
        wait_s = self.load.returns(told_s)
        if wait_s is not None and outcome.refusals < self.load.attempts:
            self.at(now + wait_s, lambda: self._submit(outcome))

    def _submit_urgent(self) -> None:
        step = StepSpec(count=4, cpu_m=1000, memory_mb=10, estimate_s=1.0)
        self._add(JobSpec(f"u{next(self._numbers)}", "", (step,)), URGENT)

    def _add(self, spec: JobSpec, queue: QueueSpec) -> None:
        self.owner.open_jobs.add(JobRow(spec, queue, self.clock.now))
        job = self.jobs[spec.id] = self.owner.jobs[spec.id]
        if spec.id in self.outcomes:
            self.outcomes[spec.id].deadline_s = job.hard_deadline_s

    def _plan(self) -> None:
        self.planner.plan()
        actions, self.commits.actions = self.commits.actions, []
        for action in actions:
            action()
        starts, self.owner.commands.starts = self.owner.commands.starts, []
        for run in starts:
            run.state = RunState.RUNNING
            run.started_s = self.clock.now
            step = run.task.step
            if step.name not in self.errors:
                self.errors[step.name] = self.load.error(self.rng)
            took_s = step.spec.estimate_s * self.errors[step.name]
            self.at(self.clock.now + took_s, lambda run=run: self._end(run))

    def _end(self, run: Run) -> None:
        if not run.is_active:
            return
        task = run.task
        run.worker.remove(run)
        task.runs.pop(run.number)
        task.step.complete(task)
        job = task.step.job
        if job.is_complete and job.id in self.owner.jobs:
            self.owner.open_jobs.finish(job, "")
            self._record_end(job)

    def _record_end(self, job: Job) -> None:
        if job.state is not JobState.COMPLETED:
            return
        latency_s = job.final_at_s - job.since_s
        if job.id in self.outcomes:
            self.outcomes[job.id].latency_s = latency_s
        else:
            self.urgent_late += latency_s > job.hard_deadline_s / 3.0

    # Figures

    def share(self, name: str, size: int | None = None, zone: int | None = None):
        """Return the share of submitted jobs that a property of outcomes holds for."""
        chosen = [
            item
            for item in self.outcomes.values()
            if size in (None, item.size) and zone in (None, item.zone)
        ]
        return sum(FIGURES[name](item) for item in chosen) / max(1, len(chosen))


FIGURES: dict[str, Callable[[Outcome], bool]] = {
    "useful": lambda item: item.is_useful,
    "useless": lambda item: item.is_useless,
    "accepted": lambda item: item.accepted_s is not None,
    "refused": lambda item: item.refusals > 0,
}
