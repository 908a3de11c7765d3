"""Which workers of a large fleet a plan examines for one step, and in which order.

Pattern: thousands of waiting tasks on hundreds of workers, most of which have cores but
no headroom for them. A plan that examines every worker for every step then takes so
long that the workers run idle in between. Instead, it examines the workers in batches
and gives a step up after a batch in which no worker can run its tasks. Each plan begins
at another worker, so that one with room is found within a few plans.
"""

from __future__ import annotations

from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.workers.fleet import Worker

BATCH_SIZE = 64


def batch_size(spec: StepSpec) -> int | None:
    """Return how many workers to examine at a time for the tasks of a step.

    ``None`` means all: the tasks stay for long, or may run on few of the workers only.
    """
    is_restricted = spec.required_label or spec.max_per_worker or spec.gpus
    return None if spec.is_long_running or is_restricted else BATCH_SIZE


def search_order(spec: StepSpec, workers: list[Worker], turn: int) -> list[Worker]:
    """Return the workers in the order in which the plan with number ``turn`` looks.

    The workers of the step's preferred rack come first.
    """
    first = turn * BATCH_SIZE % len(workers) if workers else 0
    rotated = workers[first:] + workers[:first]
    if not spec.preferred_rack:
        return rotated
    near = [w for w in rotated if spec.preferred_rack in w.entry.labels]
    return near + [w for w in rotated if spec.preferred_rack not in w.entry.labels]
