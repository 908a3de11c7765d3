"""Which worker gets a task."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from fulmarlever.registry import Registry
from fulmarleverd.scheduling.fleet import Worker
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.tasks import Task

Chooser = Callable[[Task, Iterable[Worker]], Worker | None]

PLACEMENTS: Registry[Chooser] = Registry("placement of tasks")

# Best-effort work on a worker, as a share of its unreserved cores: more than all of
# them keeps the cores busy when a task waits, less keeps serving tasks quick.
BEST_EFFORT_SHARE = 1.2
BEST_EFFORT_SHARE_BESIDE_SERVING = 0.75


def candidates(task: Task, workers: Iterable[Worker]) -> Iterator[Worker]:
    """Yield the workers that may run a task."""
    step = task.step
    spec = step.spec
    for worker in workers:
        if not worker.has_room(spec) or worker.id in task.avoid:
            continue
        if spec.required_label and spec.required_label not in worker.entry.labels:
            continue
        if spec.max_per_worker and worker.count_of(step) >= spec.max_per_worker:
            continue
        yield worker


@PLACEMENTS.register("spread")
def spread(task: Task, workers: Iterable[Worker]) -> Worker | None:
    """Choose the worker with the most unreserved cores; the naive placement."""
    return max(candidates(task, workers), key=Worker.free_cpu_m, default=None)


@PLACEMENTS.register("apart")
def keep_apart(task: Task, workers: Iterable[Worker]) -> Worker | None:
    """Pack serving tasks on few workers and keep best-effort work away from them."""
    spec = task.step.spec
    found = candidates(task, workers)
    if spec.is_best_effort:
        return _for_best_effort(spec, found)
    if spec.latency_target_s:
        return min(found, key=lambda w: _serving_cost(spec, w), default=None)
    return min(found, key=lambda w: _batch_cost(spec, w), default=None)


def _serving_cost(spec: StepSpec, worker: Worker) -> tuple:
    """Prefer workers that serve already, then those with little best-effort work."""
    return (
        worker.has_serving == 0,
        worker.best_effort_cpu_m if not worker.has_serving else 0,
        worker.free_cpu_m(),
    )


def _batch_cost(spec: StepSpec, worker: Worker) -> tuple:
    """Prefer the rack of the data, then workers that serve, then the emptiest."""
    is_remote = bool(spec.preferred_rack) and (
        spec.preferred_rack not in worker.entry.labels
    )
    return (is_remote, worker.has_serving == 0, -worker.free_cpu_m())


def best_effort_limit_m(worker: Worker) -> float:
    """Return how much best-effort work a worker may have, in thousandths of a core."""
    share = (
        BEST_EFFORT_SHARE_BESIDE_SERVING * worker.best_effort_limit
        if worker.has_serving
        else BEST_EFFORT_SHARE
    )
    return share * max(0, worker.free_cpu_m())


def _for_best_effort(spec: StepSpec, workers: Iterable[Worker]) -> Worker | None:
    fitting = (
        worker
        for worker in workers
        if worker.best_effort_cpu_m + spec.cpu_m <= best_effort_limit_m(worker)
    )
    return min(fitting, key=lambda w: _best_effort_cost(spec, w), default=None)


def _best_effort_cost(spec: StepSpec, worker: Worker) -> tuple:
    is_remote = bool(spec.preferred_rack) and (
        spec.preferred_rack not in worker.entry.labels
    )
    left = best_effort_limit_m(worker) - worker.best_effort_cpu_m
    return (worker.has_serving > 0, is_remote, -left)
