"""Which worker gets a task."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from fulmarlever.registry import Registry
from fulmarleverd.scheduling.fleet import Worker
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.tasks import Task

# The headroom that one more best-effort task takes from the serving tasks of a worker;
# None if it is too much.
HeadroomTaken = Callable[[StepSpec, Worker], float | None]
Chooser = Callable[[Task, Iterable[Worker], HeadroomTaken], Worker | None]

PLACEMENTS: Registry[Chooser] = Registry("placement of tasks")

# A best-effort task may press over the cores that are left by this share of its own.
OVERCOMMIT_SHARE = 0.3
# Headroom taken by a task that hardly disturbs.
LIGHT = 0.15


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
def spread(
    task: Task, workers: Iterable[Worker], headroom_taken: HeadroomTaken
) -> Worker | None:
    """Choose the worker with the most unreserved cores; the naive placement."""
    return max(candidates(task, workers), key=Worker.free_cpu_m, default=None)


@PLACEMENTS.register("apart")
def keep_apart(
    task: Task, workers: Iterable[Worker], headroom_taken: HeadroomTaken
) -> Worker | None:
    """Pack serving tasks on few workers and keep harmful best-effort work away."""
    spec = task.step.spec
    found = candidates(task, workers)
    if spec.is_best_effort:
        return _for_best_effort(spec, found, headroom_taken)
    if spec.latency_target_s:
        return min(found, key=lambda w: _serving_cost(spec, w), default=None)
    return min(found, key=lambda w: _batch_cost(spec, w), default=None)


def _serving_cost(spec: StepSpec, worker: Worker) -> tuple:
    """Prefer workers that serve the same image, then empty ones, then the fullest.

    Best-effort images disturb only some serving images, so a worker with one serving
    image leaves room for most of them.
    """
    images = worker.serving_images()
    group = 0 if images == {spec.image} else 1 if not images else 2
    foreign = len(images - {spec.image})
    return (group, foreign, worker.best_effort_cpu_m, worker.free_cpu_m())


def _batch_cost(spec: StepSpec, worker: Worker) -> tuple:
    """Prefer the rack of the data, then workers that serve, then the emptiest."""
    is_remote = bool(spec.preferred_rack) and (
        spec.preferred_rack not in worker.entry.labels
    )
    return (is_remote, worker.has_serving == 0, -worker.free_cpu_m())


def _for_best_effort(
    spec: StepSpec, workers: Iterable[Worker], headroom_taken: HeadroomTaken
) -> Worker | None:
    need_m = spec.cpu_m * (1.0 - OVERCOMMIT_SHARE)
    fitting = (worker for worker in workers if worker.best_effort_room_m() >= need_m)
    costs = ((_best_effort_cost(spec, w, headroom_taken), w) for w in fitting)
    possible = ((cost, w) for cost, w in costs if cost is not None)
    best = min(possible, key=lambda pair: pair[0], default=None)
    return best[1] if best else None


def _best_effort_cost(
    spec: StepSpec, worker: Worker, headroom_taken: HeadroomTaken
) -> tuple | None:
    """Prefer serving workers for tasks that hardly disturb them, else the others."""
    is_remote = bool(spec.preferred_rack) and (
        spec.preferred_rack not in worker.entry.labels
    )
    if not worker.has_serving:
        return (is_remote, 1, -worker.best_effort_room_m())
    taken = headroom_taken(spec, worker)
    if taken is None:
        return None
    group = 0 if taken < LIGHT else 2
    return (is_remote, group, -worker.best_effort_room_m())
