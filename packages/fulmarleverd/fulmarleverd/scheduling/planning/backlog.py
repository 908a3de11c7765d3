"""Load of the fleet and causes of long waits, as log lines and metrics of the owner.

One log line a second records the load of the fleet. A step whose tasks have waited for
long gets a line of its own from time to time, which counts the workers by the obstacle
that keeps them from running its tasks. So does a task that is held by a run of which
nobody knows what became.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

from fulmarleverd.loop_delay import LoopDelay
from fulmarleverd.scheduling.decisions import record
from fulmarleverd.scheduling.holds.held_tasks import HeldTaskLog
from fulmarleverd.scheduling.jobs.runs import Run
from fulmarleverd.scheduling.jobs.tasks import Step
from fulmarleverd.scheduling.metrics import STARTS_LIMIT, WAITING_TASKS
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.planning.planner import Planner
from fulmarleverd.scheduling.planning.start_rate import StartRate
from fulmarleverd.scheduling.planning.wait_causes import WaitCauses

LOAD_PERIOD_S = 1.0
SIZES_PERIOD_S = 5.0
# A waiting step is logged once it has waited for LONG_WAIT_S, then each WAIT_PERIOD_S.
LONG_WAIT_S = 2.0
WAIT_PERIOD_S = 5.0
# Limits the steps logged at once, as all workers are checked for each one.
MAX_STEPS_PER_TICK = 10


class Backlog:
    """Logs the load of the fleet and the causes of long waits."""

    def __init__(
        self, owner: Owner, planner: Planner, start_rate: StartRate, delay: LoopDelay
    ) -> None:
        self._owner = owner
        self._planner = planner
        self._start_rate = start_rate
        self._delay = delay
        self._load_recorded_at_s = 0.0
        self._sizes_recorded_at_s = owner.now_s()
        self._waits: dict[str, WaitState] = {}
        self._held_tasks = HeldTaskLog()

    def tick(self) -> None:
        """Log the load, the due steps and, less often, the shares of the job sizes.

        Does nothing if the last call that logged is less than ``LOAD_PERIOD_S`` ago.
        """
        now = self._owner.now_s()
        if now - self._load_recorded_at_s < LOAD_PERIOD_S:
            return
        self._load_recorded_at_s = now
        waiting = list(self._owner.open_jobs.ready_steps())
        runs = [run for worker in self._owner.fleet for run in worker.runs.values()]
        self._record_load(waiting, runs)
        self._held_tasks.tick([*runs, *self._owner.orphans], now)
        for step in self._steps_due(waiting, now):
            self._record_wait(step, now)
        if now - self._sizes_recorded_at_s >= SIZES_PERIOD_S:
            self._sizes_recorded_at_s = now
            self._record_sizes()

    def _record_sizes(self) -> None:
        """Log for each queue and size class how many jobs are open, and who waits."""
        open_jobs: Counter[tuple[str, int]] = Counter()
        not_begun: Counter[tuple[str, int]] = Counter()
        waiting_tasks: Counter[tuple[str, int]] = Counter()
        for job in self._owner.jobs.values():
            key = (job.queue.name, job.size_class)
            open_jobs[key] += 1
            not_begun[key] += not job.has_begun
            waiting_tasks[key] += sum(len(step.waiting) for step in job.ready_steps())
        for share in self._owner.size_classes.shares():
            key = (share.queue, share.size_class)
            record(
                "size-class",
                queue=share.queue,
                size_class=share.size_class,
                counted_jobs=round(share.jobs, 1),
                served_share=round(share.share, 2),
                is_underserved=share.is_underserved,
                open_jobs=open_jobs[key],
                not_begun=not_begun[key],
                waiting_tasks=waiting_tasks[key],
            )

    def _record_load(self, waiting: list[Step], runs: list[Run]) -> None:
        owner = self._owner
        evacuated = [worker for worker in owner.fleet if worker.is_evacuated]
        best_effort = [run for run in runs if run.task.step.spec.is_best_effort]
        tasks: Counter[str] = Counter()
        for step in waiting:
            tasks[step.spec.kind] += len(step.waiting)
        for kind in ("batch", "best-effort", "long-running"):
            WAITING_TASKS.labels(kind).set(tasks[kind])
        STARTS_LIMIT.set(self._start_rate.per_s)
        record(
            "load",
            cores=_cores(worker.entry.cpu_m for worker in owner.fleet),
            reserved=_cores(worker.reserved_cpu_m for worker in owner.fleet),
            serving=_cores(worker.reserved_serving_m for worker in owner.fleet),
            serving_workers=sum(worker.serving_run_count > 0 for worker in owner.fleet),
            serving_images=sum(len(w.serving_images()) for w in owner.fleet),
            best_effort=_cores(worker.best_effort_cpu_m for worker in owner.fleet),
            best_effort_used=_cores(run.latency_ms_or_cpu_m for run in best_effort),
            runs=sum(run.is_known_begun for run in runs),
            assigned_runs=len(runs),
            evacuated_workers=len(evacuated),
            evacuated_runs=sum(len(worker.runs) for worker in evacuated),
            jobs=len(owner.jobs),
            waiting_tasks=tasks.total(),
            waiting_long_running=tasks["long-running"],
            waiting_cores=_cores(
                len(step.waiting) * step.spec.cpu_m for step in waiting
            ),
            loop_delay_s=round(self._delay.recent_s, 3),
            starts_per_s=round(self._start_rate.per_s),
        )

    def _steps_due(self, waiting: Iterable[Step], now_s: float) -> Iterator[Step]:
        """Yield the steps to log now, the longest overdue first."""
        waits: dict[str, WaitState] = {}
        due: list[tuple[float, float, Step]] = []
        for step in waiting:
            wait = waits[step.name] = self._waits.get(step.name) or WaitState(now_s)
            if wait.next_log_s <= now_s:
                due.append((wait.next_log_s, wait.since_s, step))
        self._waits = waits
        due.sort(key=lambda item: item[:2])
        for _, _, step in due[:MAX_STEPS_PER_TICK]:
            waits[step.name].next_log_s = now_s + WAIT_PERIOD_S
            yield step

    def _record_wait(self, step: Step, now_s: float) -> None:
        task = next(iter(step.waiting.values()))
        causes = WaitCauses(now_s)
        for worker in self._owner.fleet:
            if worker.entry.service == step.job.queue.service:
                causes.add(worker, self._planner.find_obstacle(task, worker))
        isolation_s = now_s - task.isolation_wanted_s if task.isolation_wanted_s else 0
        record(
            "step-waits",
            causes.describe(),
            job=step.job.id,
            step=step.name,
            kind=step.spec.kind,
            waits_s=round(now_s - self._waits[step.name].since_s, 1),
            waiting=len(step.waiting),
            running=sum(task.is_running for task in step.tasks),
            held=sum(bool(task.runs) and not task.is_running for task in step.tasks),
            isolation_s=round(isolation_s, 1),
            task_cores=round(step.spec.cpu_m / 1000.0, 1),
            free_cores=_cores(causes.free_m),
            most_free_cores=round(max(causes.free_m, default=0) / 1000.0, 1),
            **causes.fields(),
        )


class WaitState:
    """Since when a step has had waiting tasks, and when it is logged next.

    Both times are on the owner's clock.
    """

    __slots__ = ("since_s", "next_log_s")

    def __init__(self, since_s: float) -> None:
        self.since_s = since_s
        self.next_log_s = since_s + LONG_WAIT_S


def _cores(cpu_m: Iterable[float]) -> int:
    """Return the sum of thousandths of a core in whole cores."""
    return round(sum(cpu_m) / 1000.0)
