"""The free capacity of workers and the tasks on them that may be evicted."""

from __future__ import annotations

from fulmarlever.policies.placement import WorkerCapacity
from fulmarlever.policies.preemption import PreemptionCandidate, Victim
from fulmarlever.structure.configuration import Urgency
from fulmarlever.structure.size import Size
from fulmarlever.structure.task import TaskState
from fulmarleverd.placement.task_cache import RESERVING_STATES, TaskCache
from fulmarleverd.placement.workloads import Workloads


def worker_capacity(
    worker: str,
    rack: str,
    size: Size,
    task_cache: TaskCache,
    workloads: Workloads,
    excess: Size,
) -> WorkerCapacity:
    """Return the capacity of a worker, without the reservations of its tasks.

    ``excess`` is what the tasks use beyond their reservations; it is not free either.
    """
    free = size - task_cache.reserved_by_worker.get(worker, Size()) - excess
    capacity = WorkerCapacity(worker, rack, size, free)
    for task in task_cache.of_worker(worker):
        if task.state not in RESERVING_STATES:
            continue
        capacity.tasks_by_owner[task.owner] += 1
        if task.is_service:
            capacity.instances_by_service[task.owner] += 1
        else:
            capacity.batch_cores_by_kind[workloads.kind(task)] += task.reservation.cores
    return capacity


def preemption_candidate(
    capacity: WorkerCapacity,
    task_cache: TaskCache,
    workloads: Workloads,
    urgency_limit: Urgency,
    evicted: set[str],
) -> PreemptionCandidate:
    """Return the capacity that becomes free on a worker and its evictable tasks.

    Batch tasks less urgent than ``urgency_limit`` may be evicted. ``evicted`` holds the
    keys of tasks whose eviction was decided earlier in this round; their reservations,
    like those of stopping tasks, count as free.
    """
    result = PreemptionCandidate(capacity.worker, capacity.free)
    for task in task_cache.of_worker(capacity.worker):
        job = None if task.is_service else workloads.jobs.get(task.owner)
        if task.state is TaskState.STOPPING or task.key in evicted:
            result.free += task.reservation
        elif job is not None and job.urgency > urgency_limit:
            victim = Victim(task.key, job.urgency, task.reservation, job.checkpoint)
            result.victims.append(victim)
    return result
