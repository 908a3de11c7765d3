"""What waits for a worker, and why: log lines and metrics of the owner.

One line a second tells the load of the fleet. A step that has waited for long gets
a line of its own now and then, which counts workers by what keeps them from its tasks.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

from fulmarleverd.scheduling.decisions import record
from fulmarleverd.scheduling.metrics import WAITING_TASKS
from fulmarleverd.scheduling.obstacles import Obstacle
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.planner import Planner
from fulmarleverd.scheduling.tasks import Step

LOAD_PERIOD_S = 1.0
# A step is written about once it has waited for this long, and again after each period.
LONG_WAIT_S = 2.0
WAIT_PERIOD_S = 5.0
# Each look at a step goes over all workers.
MAX_STEPS_PER_LOOK = 10


class Backlog:
    """Records the load of the fleet and the causes of long waits."""

    def __init__(self, owner: Owner, planner: Planner) -> None:
        self._owner = owner
        self._planner = planner
        self._load_at_s = 0.0
        self._waits: dict[str, Wait] = {}

    def tick(self) -> None:
        """Write the lines that are due."""
        now = self._owner.now_s()
        if now - self._load_at_s < LOAD_PERIOD_S:
            return
        self._load_at_s = now
        waiting = list(self._owner.ready_steps())
        self._record_load(waiting)
        for step in self._due(waiting, now):
            self._record_wait(step, now)

    def _record_load(self, waiting: list[Step]) -> None:
        owner = self._owner
        runs = [run for worker in owner.fleet for run in worker.runs.values()]
        best_effort = [run for run in runs if run.task.step.spec.is_best_effort]
        tasks: Counter[str] = Counter()
        for step in waiting:
            tasks[step.spec.kind] += len(step.waiting)
        for kind in ("batch", "best-effort", "long-running"):
            WAITING_TASKS.labels(kind).set(tasks[kind])
        record(
            "load",
            cores=_cores(worker.entry.cpu_m for worker in owner.fleet),
            reserved=_cores(worker.reserved_cpu_m for worker in owner.fleet),
            serving=_cores(worker.reserved_serving_m for worker in owner.fleet),
            serving_workers=sum(worker.serving_run_count > 0 for worker in owner.fleet),
            serving_images=sum(len(w.serving_images()) for w in owner.fleet),
            best_effort=_cores(worker.best_effort_cpu_m for worker in owner.fleet),
            best_effort_used=_cores(run.latency_ms_or_cpu_m for run in best_effort),
            runs=len(runs),
            jobs=len(owner.jobs),
            waiting_tasks=tasks.total(),
            waiting_long_running=tasks["long-running"],
            waiting_cores=_cores(
                len(step.waiting) * step.spec.cpu_m for step in waiting
            ),
        )

    def _due(self, waiting: Iterable[Step], now_s: float) -> Iterator[Step]:
        """Yield the steps to write about, those that waited longest first."""
        waits: dict[str, Wait] = {}
        due: list[tuple[float, Step]] = []
        for step in waiting:
            wait = waits[step.name] = self._waits.get(step.name) or Wait(now_s)
            if wait.next_line_s <= now_s:
                due.append((wait.since_s, step))
        self._waits = waits
        due.sort(key=lambda pair: pair[0])
        for _, step in due[:MAX_STEPS_PER_LOOK]:
            waits[step.name].next_line_s = now_s + WAIT_PERIOD_S
            yield step

    def _record_wait(self, step: Step, now_s: float) -> None:
        task = next(iter(step.waiting.values()))
        obstacles: Counter[Obstacle] = Counter()
        free_m: list[int] = []
        for worker in self._owner.fleet:
            if worker.entry.service != step.job.queue.service:
                continue
            found = self._planner.find_obstacle(task, worker)
            if found is not None:
                obstacles[found] += 1
            if found is not Obstacle.NO_STARTS:
                free_m.append(worker.free_cpu_m())
        record(
            "step-waits",
            f"mostly for {max(obstacles, key=obstacles.get)}" if obstacles else "",
            job=step.job.id,
            step=step.name,
            kind=step.spec.kind,
            waits_s=round(now_s - self._waits[step.name].since_s, 1),
            waiting=len(step.waiting),
            running=sum(1 for task in step.tasks if task.runs),
            task_cores=round(step.spec.cpu_m / 1000.0, 1),
            free_cores=_cores(free_m),
            most_free_cores=round(max(free_m, default=0) / 1000.0, 1),
            **{f"workers_{name}": count for name, count in obstacles.items()},
        )


class Wait:
    """Since when a step has had waiting tasks, and when its next line is due."""

    __slots__ = ("since_s", "next_line_s")

    def __init__(self, since_s: float) -> None:
        self.since_s = since_s
        self.next_line_s = since_s + LONG_WAIT_S


def _cores(thousandths: Iterable[float]) -> int:
    return round(sum(thousandths) / 1000.0)
