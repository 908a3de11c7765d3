"""Which worker gets a task: what may run where, and at which cost."""

from __future__ import annotations

from collections.abc import Callable

from fulmarlever.registry import Registry
from fulmarleverd.scheduling.fleet import Worker
from fulmarleverd.scheduling.specs import StepSpec

# The headroom that one more best-effort task takes from the serving tasks of a worker;
# None if it is too much.
HeadroomTaken = Callable[[StepSpec, Worker], float | None]
# The worker with the lowest cost gets the task; None forbids it.
Cost = Callable[[StepSpec, Worker, HeadroomTaken], tuple | None]

PLACEMENTS: Registry[Cost] = Registry("placement of tasks")

# A best-effort task may press over the cores that are left by this share of its own.
OVERCOMMIT_SHARE = 0.3
# Headroom taken by a task that hardly disturbs.
LIGHT = 0.15


@PLACEMENTS.register("spread")
def spread(
    spec: StepSpec, worker: Worker, headroom_taken: HeadroomTaken
) -> tuple | None:
    """Prefer the worker with the most unreserved cores; the naive placement."""
    return (-worker.free_cpu_m(),)


@PLACEMENTS.register("apart")
def keep_apart(
    spec: StepSpec, worker: Worker, headroom_taken: HeadroomTaken
) -> tuple | None:
    """Pack serving tasks on few workers and keep harmful best-effort work away."""
    if spec.is_best_effort:
        return _best_effort_cost(spec, worker, headroom_taken)
    if spec.latency_target_s:
        return _serving_cost(spec, worker)
    return _batch_cost(spec, worker)


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
    return (
        _is_remote(spec, worker),
        worker.serving_run_count == 0,
        -worker.free_cpu_m(),
    )


def _best_effort_cost(
    spec: StepSpec, worker: Worker, headroom_taken: HeadroomTaken
) -> tuple | None:
    """Prefer serving workers for tasks that hardly disturb them, else the others."""
    room_m = worker.best_effort_room_m()
    if room_m < spec.cpu_m * (1.0 - OVERCOMMIT_SHARE):
        return None
    if not worker.serving_run_count:
        return (_is_remote(spec, worker), 1, -room_m)
    taken = headroom_taken(spec, worker)
    if taken is None:
        return None
    group = 0 if taken < LIGHT else 2
    return (_is_remote(spec, worker), group, -room_m)


def _is_remote(spec: StepSpec, worker: Worker) -> bool:
    return bool(spec.preferred_rack) and (
        spec.preferred_rack not in worker.entry.labels
    )
