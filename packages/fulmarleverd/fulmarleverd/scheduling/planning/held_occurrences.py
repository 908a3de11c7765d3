"""Occurrences that the limit of waiting tasks holds back though they could start.

The limit bounds memory and the time of a plan while a job has no room. Waiting tasks
that are kept off the free workers by a constraint of their own say nothing about room:
each occurrence has limits for each worker, tickets and earlier steps of its own.
"""

from __future__ import annotations

from collections.abc import Iterable

from fulmarleverd.scheduling.health.tolerance import ANY_WORKER
from fulmarleverd.scheduling.jobs.tasks import Job, Step
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.planning.capacity_index import CapacityIndex
from fulmarleverd.scheduling.planning.obstacles import (
    has_room_for_new_step,
    is_kept_off,
)
from fulmarleverd.scheduling.planning.tickets import is_forbidden
from fulmarleverd.scheduling.workers.fleet import Worker

# As many as a job without repetitions may have.
MAX_OPEN_TASKS = 20_000


class HeldOccurrences:
    """Opens held occurrences one by one, as long as their tasks can start."""

    def __init__(self, owner: Owner) -> None:
        self._owner = owner
        self._indexes: dict[str, CapacityIndex] = {}

    def tick(self) -> None:
        """Open the next occurrence of each job for which it is of use."""
        self._indexes = {}
        for job in self._owner.jobs.values():
            if self._owner.open_jobs.has_due_occurrence(job) and self._is_of_use(job):
                self._owner.open_jobs.open_next_occurrence(job)

    def _is_of_use(self, job: Job) -> bool:
        """Return whether a task of the next occurrence could start now."""
        if job.open_tasks > MAX_OPEN_TASKS:
            return False
        first_steps = (
            number for number, spec in enumerate(job.spec.steps) if not spec.after
        )
        return any(self._could_start(job, number) for number in first_steps)

    def _could_start(self, job: Job, number: int) -> bool:
        """Return whether a worker is free for a new step, but not for those before."""
        spec = job.spec.steps[number]
        waiting = [
            steps[number] for steps in job.occurrences.values() if steps[number].waiting
        ]
        if waiting and not (spec.max_per_worker or job.queue.needs_ticket):
            return False
        return any(
            has_room_for_new_step(spec, worker) and _are_kept_off(waiting, worker)
            for worker in self._index(job.queue.service).with_room(spec)
        )

    def _index(self, service: str) -> CapacityIndex:
        if service not in self._indexes:
            fleet = self._owner.fleet
            now = self._owner.now_s()
            workers = fleet.workers_accepting_runs(service, now, ANY_WORKER)
            self._indexes[service] = CapacityIndex(workers)
        return self._indexes[service]


def _are_kept_off(steps: Iterable[Step], worker: Worker) -> bool:
    """Return whether constraints of their own keep all of some steps off a worker."""
    return all(
        is_kept_off(step, worker) or is_forbidden(step, worker) for step in steps
    )
