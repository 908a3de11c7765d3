"""Reasons why a worker cannot run one more task of a step."""

from __future__ import annotations

from enum import StrEnum

from fulmarleverd.scheduling.jobs.tasks import Step
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.workers.fleet import Worker

# Share of a best-effort task's cores that need not be free on its worker.
OVERCOMMIT_SHARE = 0.3


class Obstacle(StrEnum):
    """Why a worker cannot run a task.

    ``NO_STARTS`` means that the worker accepts no runs now, ``IMPAIRED`` that it is
    slow or distrusted and accepts only those that would wait, ``RESERVED`` that it is
    reserved for another step, ``ANTI_AFFINITY`` that it has the most runs of the step
    allowed, ``AVOIDED`` that the task avoids it, ``PLACEMENT`` that the placement
    policy forbids it, and ``EVACUATED`` that the operator has evacuated its zone. The
    values are log field names, after the prefix ``workers_``.
    """

    NO_STARTS = "no_starts"
    IMPAIRED = "impaired"
    MEMORY = "memory"
    ACCELERATORS = "accelerators"
    CORES = "cores"
    RESERVED = "held_for_others"
    LABEL = "label"
    ANTI_AFFINITY = "anti_affinity"
    AVOIDED = "avoided"
    TICKET = "ticket"
    PLACEMENT = "placement"
    EVACUATED = "evacuated"


def min_free_cpu_m(spec: StepSpec) -> float:
    """Return the thousandths of a core that have to be free for a task of a step.

    Best-effort tasks reserve no cores, and may use more than are free at the moment.
    """
    return spec.cpu_m * (1.0 - OVERCOMMIT_SHARE) if spec.is_best_effort else spec.cpu_m


def find_capacity_obstacle(
    spec: StepSpec, worker: Worker, may_crowd: bool = False
) -> Obstacle | None:
    """Return the resource of which a worker has too little free for one more task.

    Cores do not matter to a best-effort task that ``may_crowd``: it gets a part of
    those that others leave.
    """
    entry = worker.entry
    if worker.reserved_memory_mb + spec.memory_mb > entry.memory_mb:
        return Obstacle.MEMORY
    if worker.reserved_gpus + spec.gpus > entry.gpus:
        return Obstacle.ACCELERATORS
    best_effort = spec.is_best_effort
    if best_effort and may_crowd:
        return None
    free_m = worker.free_best_effort_cpu_m() if best_effort else worker.free_cpu_m()
    return Obstacle.CORES if free_m < min_free_cpu_m(spec) else None


def find_obstacle(
    step: Step, worker: Worker, may_crowd: bool = False
) -> Obstacle | None:
    """Return why one more task of a step cannot run on a worker, None if it can.

    Tickets, avoided workers and the placement policy are checked by the planner.
    """
    found = find_capacity_obstacle(step.spec, worker, may_crowd)
    return found or find_constraint_obstacle(step, worker)


def find_constraint_obstacle(step: Step, worker: Worker) -> Obstacle | None:
    """Return why a worker with enough capacity may not run one more task of a step."""
    spec = step.spec
    if worker.reserved_for not in (None, step) and not spec.is_best_effort:
        return Obstacle.RESERVED
    if _lacks_label(spec, worker):
        return Obstacle.LABEL
    return Obstacle.ANTI_AFFINITY if is_kept_off(step, worker) else None


def is_kept_off(step: Step, worker: Worker) -> bool:
    """Return whether a worker has as many runs of a step as it may have."""
    most = step.spec.max_per_worker
    return bool(most) and worker.count_runs(step) >= most


def has_room_for_new_step(spec: StepSpec, worker: Worker) -> bool:
    """Return whether a task of a step that has no run yet can run on a worker.

    Tickets and the placement policy are not checked.
    """
    is_reserved = worker.reserved_for is not None and not spec.is_best_effort
    if is_reserved or _lacks_label(spec, worker):
        return False
    return find_capacity_obstacle(spec, worker) is None


def _lacks_label(spec: StepSpec, worker: Worker) -> bool:
    label = spec.required_label
    return bool(label) and label not in worker.entry.labels
