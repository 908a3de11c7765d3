"""The room on workers, with what the book's tasks reserve taken off."""

from __future__ import annotations

from fulmarlever.policies.placement import WorkerCapacity
from fulmarlever.policies.preemption import Occupied, Victim
from fulmarlever.structure.configuration import Urgency
from fulmarlever.structure.size import Size
from fulmarlever.structure.task import TaskState
from fulmarleverd.placement.book import HOLDING, TaskBook
from fulmarleverd.placement.lookup import Lookup


def make_room(
    worker: str, rack: str, size: Size, book: TaskBook, lookup: Lookup, excess: Size
) -> WorkerCapacity:
    """Return a worker's room; ``excess`` is what tasks use beyond reservations."""
    free = size - book.reserved.get(worker, Size()) - excess
    candidate = WorkerCapacity(worker, rack, size, free)
    for task in book.of_worker(worker):
        if task.state not in HOLDING:
            continue
        candidate.tasks_by_owner[task.owner] += 1
        if task.is_service:
            candidate.instances_by_service[task.owner] += 1
        else:
            candidate.batch_cores_by_kind[lookup.kind(task)] += task.reservation.cores
    return candidate


def occupied(
    candidate: WorkerCapacity,
    book: TaskBook,
    lookup: Lookup,
    than: Urgency,
    chosen: set[str],
) -> Occupied:
    """Return what comes free on a worker and which less urgent tasks run there.

    ``chosen`` holds the keys of tasks whose eviction was decided in this round.
    """
    result = Occupied(candidate.worker, candidate.free)
    for task in book.of_worker(candidate.worker):
        job = None if task.is_service else lookup.jobs.get(task.owner)
        if task.state is TaskState.STOPPING or task.key in chosen:
            result.free += task.reservation
        elif job is not None and job.urgency > than:
            victim = Victim(task.key, job.urgency, task.reservation, job.checkpoint)
            result.victims.append(victim)
    return result
