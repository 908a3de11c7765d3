"""What keeps a worker from taking one more task of a step."""

from __future__ import annotations

from enum import StrEnum

from fulmarleverd.scheduling.fleet import Worker
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.tasks import Step


class Obstacle(StrEnum):
    """Why a worker does not take a task; the values are names of log fields."""

    NO_STARTS = "no_starts"
    MEMORY = "memory"
    ACCELERATORS = "accelerators"
    CORES = "cores"
    RESERVED = "held_for_others"
    LABEL = "label"
    ANTI_AFFINITY = "anti_affinity"
    AVOIDED = "avoided"
    TICKET = "ticket"
    PLACEMENT = "placement"


def find_capacity_obstacle(spec: StepSpec, worker: Worker) -> Obstacle | None:
    """Return what a worker has too little of for the reservation of one more task."""
    entry = worker.entry
    if worker.reserved_memory_mb + spec.memory_mb > entry.memory_mb:
        return Obstacle.MEMORY
    if worker.reserved_gpus + spec.gpus > entry.gpus:
        return Obstacle.ACCELERATORS
    if spec.is_best_effort or worker.reserved_cpu_m + spec.cpu_m <= entry.cpu_m:
        return None
    return Obstacle.CORES


def find_obstacle(step: Step, worker: Worker) -> Obstacle | None:
    """Return which limit forbids one more task of a step: room, label or count."""
    return find_capacity_obstacle(step.spec, worker) or find_rule_obstacle(step, worker)


def find_rule_obstacle(step: Step, worker: Worker) -> Obstacle | None:
    """Return what other than a lack of room forbids one more task of a step."""
    spec = step.spec
    if worker.reserved_for not in (None, step) and not spec.is_best_effort:
        return Obstacle.RESERVED
    if spec.required_label and spec.required_label not in worker.entry.labels:
        return Obstacle.LABEL
    if spec.max_per_worker and worker.count_of(step) >= spec.max_per_worker:
        return Obstacle.ANTI_AFFINITY
    return None
