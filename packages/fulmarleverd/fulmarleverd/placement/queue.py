"""The queue of tasks that wait for a worker, and the choice of their workers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from fulmarlever.outcomes import failed
from fulmarlever.policies.order import NO_DEADLINE_S, ORDERS, QueuedJob
from fulmarlever.policies.placement import PLACEMENTS, Room, Surroundings, Wanted
from fulmarlever.structure.configuration import JobSpec, ServiceSpec
from fulmarlever.structure.size import Size
from fulmarlever.structure.task import Task, TaskState
from fulmarleverd.placement.book import HOLDING, TaskBook
from fulmarleverd.placement.settle import started

MAX_STARTS_PER_ROUND = 100


@dataclass(slots=True)
class Lookup:
    """What the queue knows about the owners of tasks.

    ``submitted_s`` holds Unix times by job.
    """

    services: dict[str, ServiceSpec] = field(default_factory=dict)
    jobs: dict[str, JobSpec] = field(default_factory=dict)
    submitted_s: dict[str, float] = field(default_factory=dict)

    def kind(self, task: Task) -> str:
        """Return the name of a service or the kind of a job."""
        if task.is_service or task.owner not in self.jobs:
            return task.owner
        return self.jobs[task.owner].kind

    def size(self, task: Task) -> Size:
        """Return the size to reserve for a task."""
        spec = self.services if task.is_service else self.jobs
        return spec[task.owner].size

    def wanted(self, task: Task) -> Wanted:
        """Return what a task looks for."""
        spec = (self.services if task.is_service else self.jobs)[task.owner]
        return Wanted(
            task.owner,
            self.kind(task),
            self.size(task),
            task.is_service,
            spec.spread_racks,
            frozenset(spec.vms),
            frozenset(task.failures),
        )


class Queue:
    """Decides which queued tasks start where, services first, then jobs in order."""

    def __init__(
        self,
        book: TaskBook,
        lookup: Lookup,
        placement: str = "scored",
        order: str = "latest-start",
    ) -> None:
        self.book = book
        self.lookup = lookup
        self.place = PLACEMENTS.find(placement)
        self.order = ORDERS.find(order)
        self.reasons: dict[str, str] = {}

    def starts(self, rooms: Iterable[Room]) -> Iterator[Task]:
        """Yield tasks with their next attempt recorded for a worker."""
        rooms = list(rooms)
        around = Surroundings(racks=self._racks(rooms))
        count = 0
        for tasks in self._waiting():
            for task in tasks:
                if count >= MAX_STARTS_PER_ROUND:
                    return
                start = self._start(task, rooms, around)
                if start is None:
                    # Equal tasks of one owner do not fit either.
                    break
                count += 1
                yield start

    def _start(
        self, task: Task, rooms: list[Room], around: Surroundings
    ) -> Task | None:
        wanted = self.lookup.wanted(task)
        room = self.place(wanted, rooms, around)
        if failed(room):
            self.reasons[task.owner] = room.reason
            return None
        self.reasons.pop(task.owner, None)
        room.take(wanted)
        around.racks[task.owner, room.rack] += 1
        return started(task, room.worker, wanted.size)

    def _waiting(self) -> Iterator[list[Task]]:
        services: dict[str, list[Task]] = {}
        jobs: dict[str, list[Task]] = {}
        for task in self.book.tasks(TaskState.QUEUED):
            groups = services if task.is_service else jobs
            known = self.lookup.services if task.is_service else self.lookup.jobs
            if task.owner in known:
                groups.setdefault(task.owner, []).append(task)
        by_urgency = sorted(
            services, key=lambda name: (self.lookup.services[name].urgency, name)
        )
        yield from (services[name] for name in by_urgency)
        ordered = self.order(self._queued(name) for name in jobs)
        yield from (jobs[job.name] for job in ordered)

    def _queued(self, name: str) -> QueuedJob:
        spec = self.lookup.jobs[name]
        deadline_s = NO_DEADLINE_S if spec.deadline_s is None else spec.deadline_s
        submitted_s = self.lookup.submitted_s.get(name, 0.0)
        return QueuedJob(
            name, spec.team, spec.urgency, submitted_s, deadline_s, spec.run_s
        )

    def _racks(self, rooms: list[Room]) -> Counter[tuple[str, str]]:
        counts: Counter[tuple[str, str]] = Counter()
        for room in rooms:
            for owner, count in room.owners.items():
                counts[owner, room.rack] += count
        return counts


def make_room(
    worker: str, rack: str, size: Size, book: TaskBook, lookup: Lookup
) -> Room:
    """Return a worker's room with what the book's tasks reserve taken off."""
    room = Room(worker, rack, size, size - book.reserved.get(worker, Size()))
    for task in book.of_worker(worker):
        if task.state not in HOLDING:
            continue
        room.owners[task.owner] += 1
        counter = room.services if task.is_service else room.kinds
        counter[lookup.kind(task)] += 1
    return room
