"""Placement policies: which worker a task may run on, and at which cost.

Names ending in ``_m`` are thousandths of a core.
"""

from __future__ import annotations

from collections.abc import Callable

from fulmarlever.registry import Registry
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.workers.fleet import Worker

# Returns the largest headroom (latency target divided by tail latency) that one more
# task of a best-effort step takes from the serving tasks of a worker; None if too
# little headroom would be left.
HeadroomTaken = Callable[[StepSpec, Worker], float | None]
# Returns the cost of running one more task of a step on a worker, None if it may not
# run there. Costs are compared as tuples, and the worker with the lowest one is chosen.
Cost = Callable[[StepSpec, Worker, HeadroomTaken], tuple | None]

PLACEMENTS: Registry[Cost] = Registry("placement of tasks")

# Best-effort tasks that take less headroom than this prefer workers with serving tasks.
LOW_HEADROOM_TAKEN = 0.15
# Below this headroom of a serving task, best-effort tasks beside it are paused.
MIN_HEADROOM = 1.1
# The first field of the cost of a worker with low headroom, greater than of any other.
LOW_HEADROOM = 2


@PLACEMENTS.register("spread")
def spread(
    spec: StepSpec, worker: Worker, headroom_taken: HeadroomTaken
) -> tuple | None:
    """Prefer the worker with the most unreserved cores; the baseline policy."""
    return (-worker.free_cpu_m(),)


@PLACEMENTS.register("apart")
def isolate_serving(
    spec: StepSpec, worker: Worker, headroom_taken: HeadroomTaken
) -> tuple | None:
    """Pack serving tasks on few workers and keep disturbing best-effort tasks away.

    None forbids a best-effort task on a worker with too little headroom.
    """
    if spec.is_best_effort:
        return _best_effort_cost(spec, worker, headroom_taken)
    if spec.latency_target_s:
        return _serving_cost(spec, worker)
    return _batch_cost(spec, worker)


def _serving_cost(spec: StepSpec, worker: Worker) -> tuple:
    """Prefer workers that serve only this image, then those that serve nothing.

    Ties go to the fewest other images, the least best-effort load and the fewest free
    cores. Each best-effort image disturbs only some serving images, so a worker that
    serves a single image can still run most of them.
    """
    images = worker.serving_images()
    group = 0 if images == {spec.image} else 1 if not images else 2
    other_images = len(images - {spec.image})
    return (group, other_images, worker.best_effort_cpu_m, worker.free_cpu_m())


def _batch_cost(spec: StepSpec, worker: Worker) -> tuple:
    """Prefer the preferred rack, then workers with serving tasks, then free cores."""
    return (
        _is_remote(spec, worker),
        worker.serving_run_count == 0,
        -worker.free_cpu_m(),
    )


def _best_effort_cost(
    spec: StepSpec, worker: Worker, headroom_taken: HeadroomTaken
) -> tuple | None:
    """Prefer serving workers if the task hardly disturbs them, else other workers.

    The preferred rack comes first; ties are broken by the most free cores.
    """
    free_m = worker.free_best_effort_cpu_m()
    if not worker.serving_run_count:
        return (_is_remote(spec, worker), 1, -free_m)
    taken = headroom_taken(spec, worker)
    if taken is None:
        return None
    group = 0 if taken < LOW_HEADROOM_TAKEN else 2
    return (_is_remote(spec, worker), group, -free_m)


def low_headroom_cost(worker: Worker) -> tuple | None:
    """Return the cost of a best-effort task beside serving tasks with little headroom.

    The task is paused while they lack it. Workers where it would not be paused at once
    come first, then those with the most cores left. None forbids it where a serving
    task misses its target, or where the effect of an earlier start is not known yet.
    """
    headroom = min(worker.headroom_by_image.values(), default=MIN_HEADROOM)
    if headroom < 1.0 or _has_unreported_best_effort_run(worker):
        return None
    is_paused = headroom < MIN_HEADROOM or _has_paused_best_effort_run(worker)
    return (LOW_HEADROOM, is_paused, -worker.free_best_effort_cpu_m())


def kept_place_cost(spec: StepSpec, worker: Worker) -> tuple | None:
    """Return the cost of a task that takes the place of an equal one that has ended."""
    headroom = min(worker.headroom_by_image.values(), default=MIN_HEADROOM)
    return None if headroom < MIN_HEADROOM else ()


def _has_unreported_best_effort_run(worker: Worker) -> bool:
    """Return whether a best-effort run at work has no reported use of cores."""
    return any(
        run.task.step.spec.is_best_effort
        and run.speed_limit_percent
        and not run.latency_ms_or_cpu_m
        for run in worker.runs.values()
    )


def _has_paused_best_effort_run(worker: Worker) -> bool:
    return any(
        run.task.step.spec.is_best_effort and not run.speed_limit_percent
        for run in worker.runs.values()
    )


def _is_remote(spec: StepSpec, worker: Worker) -> bool:
    """Return whether a step prefers a rack that the worker is not in."""
    return bool(spec.preferred_rack) and (
        spec.preferred_rack not in worker.entry.labels
    )
