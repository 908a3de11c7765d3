"""The placer's copy of its zone's task rows, with what they reserve."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from fulmarlever.structure.size import Size
from fulmarlever.structure.table import Row
from fulmarlever.structure.task import Task, TaskState

HOLDING = (TaskState.STARTING, TaskState.RUNNING, TaskState.STOPPING)
"""The states in which a task takes room on its worker."""


@dataclass(slots=True, frozen=True)
class Entry:
    """A task as it is in the table, with the version of its row."""

    task: Task
    version: int


class TaskBook:
    """Tasks by key, and indexes by owner and worker.

    ``queued`` holds the keys of queued tasks by owner, and ``changes`` counts every
    change of the book. ``closed`` holds the owners all of whose known tasks have
    ended, ``services`` the keys of service instances.

    The book holds only what the table confirmed. Tasks in it are never changed; a new
    state is written to the table first and then put here.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.reserved: dict[str, Size] = defaultdict(Size)
        self.reserved_by_owner: dict[str, Size] = defaultdict(Size)
        self.on_worker: dict[str, set[str]] = defaultdict(set)
        self.by_owner: dict[str, dict[int, str]] = defaultdict(dict)
        self.in_state: dict[TaskState, dict[str, None]] = defaultdict(dict)
        self.queued: dict[str, dict[str, None]] = defaultdict(dict)
        self.changes = 0
        self.closed: set[str] = set()
        self.services: set[str] = set()
        self._open: Counter[str] = Counter()

    @classmethod
    def from_rows(cls, rows: Iterable[Row]) -> TaskBook:
        """Build the book from the rows of a zone."""
        book = cls()
        for row in rows:
            book.put(Task.from_wire(row.value), row.version)
        return book

    def put(self, task: Task, version: int) -> None:
        """Replace the entry of a task."""
        self.remove(task.key)
        self.entries[task.key] = Entry(task, version)
        self.by_owner[task.owner][task.index] = task.key
        self._open[task.owner] += not task.state.is_final
        if task.is_service:
            self.services.add(task.key)
        self._note_closed(task.owner)
        self.in_state[task.state][task.key] = None
        self.changes += 1
        if task.state is TaskState.QUEUED:
            self.queued[task.owner][task.key] = None
        if task.state in HOLDING:
            self.on_worker[task.worker].add(task.key)
            self.reserved[task.worker] += task.reservation
            self.reserved_by_owner[task.owner] += task.reservation

    def remove(self, key: str) -> None:
        """Forget a task, if it is known."""
        entry = self.entries.pop(key, None)
        if entry is None:
            return
        task = entry.task
        self.in_state[task.state].pop(key, None)
        self.changes += 1
        if task.state is TaskState.QUEUED:
            self._remove_from_queue(task)
        self.services.discard(key)
        self._remove_from_owner(task)
        if task.state in HOLDING:
            self.on_worker[task.worker].discard(key)
            self.reserved[task.worker] -= task.reservation
            self.reserved_by_owner[task.owner] -= task.reservation
            self._forget_empty(task.worker)

    def get(self, key: str) -> Task | None:
        """Return a task by key."""
        entry = self.entries.get(key)
        return entry.task if entry else None

    def version(self, key: str) -> int:
        """Return the version of a row, 0 when there is none."""
        entry = self.entries.get(key)
        return entry.version if entry else 0

    def tasks(self, *states: TaskState) -> Iterator[Task]:
        """Yield the tasks in some states."""
        for state in states:
            for key in list(self.in_state[state]):
                yield self.entries[key].task

    def of_owner(self, owner: str) -> list[Task]:
        """Return the tasks of a service or a job, by index."""
        keys = self.by_owner.get(owner, {})
        return [self.entries[keys[index]].task for index in sorted(keys)]

    def of_worker(self, worker: str) -> list[Task]:
        """Return the tasks that take room on a worker."""
        return [self.entries[key].task for key in self.on_worker.get(worker, ())]

    def _remove_from_queue(self, task: Task) -> None:
        keys = self.queued[task.owner]
        keys.pop(task.key, None)
        if not keys:
            del self.queued[task.owner]

    def _remove_from_owner(self, task: Task) -> None:
        keys = self.by_owner[task.owner]
        keys.pop(task.index, None)
        self._open[task.owner] -= not task.state.is_final
        if not keys:
            del self.by_owner[task.owner], self._open[task.owner]
            self.reserved_by_owner.pop(task.owner, None)
        self._note_closed(task.owner)

    def _note_closed(self, owner: str) -> None:
        if owner in self.by_owner and not self._open[owner]:
            self.closed.add(owner)
        else:
            self.closed.discard(owner)

    def _forget_empty(self, worker: str) -> None:
        if not self.on_worker[worker]:
            # Sums of floats leave a rest; an empty worker reserves exactly nothing.
            del self.on_worker[worker]
            del self.reserved[worker]
