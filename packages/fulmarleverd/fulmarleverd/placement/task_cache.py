"""The placer's in-memory copy of its zone's task rows, with indexes."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from fulmarlever.structure.size import Size
from fulmarlever.structure.table import Row
from fulmarlever.structure.task import Task, TaskState

RESERVING_STATES = (TaskState.STARTING, TaskState.RUNNING, TaskState.STOPPING)
"""The states in which a task reserves capacity on its worker."""


@dataclass(slots=True, frozen=True)
class Entry:
    """A task as the table holds it, with the version of its row."""

    task: Task
    version: int


class TaskCache:
    """The tasks of a zone by key, indexed by owner, worker and state.

    An owner is the service or the job that a task belongs to. ``reserved_by_worker``
    and ``reserved_by_owner`` add up the reservations of the tasks in one of the
    ``RESERVING_STATES``, and ``keys_by_worker`` holds only the keys of these tasks.
    ``keys_by_owner`` holds the task keys of each owner by index, ``queued_by_owner``
    the keys of queued tasks, ``service_keys`` the keys of service instances, and
    ``finished_owners`` the owners whose known tasks are all in a final state.
    ``change_count`` grows with every change of the cache.

    The cache holds only what the table confirmed. A task in it is never modified: its
    new state is written to the table first and replaces the entry afterwards.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.reserved_by_worker: dict[str, Size] = defaultdict(Size)
        self.reserved_by_owner: dict[str, Size] = defaultdict(Size)
        self.keys_by_worker: dict[str, set[str]] = defaultdict(set)
        self.keys_by_owner: dict[str, dict[int, str]] = defaultdict(dict)
        self.keys_by_state: dict[TaskState, dict[str, None]] = defaultdict(dict)
        self.queued_by_owner: dict[str, dict[str, None]] = defaultdict(dict)
        self.change_count = 0
        self.finished_owners: set[str] = set()
        self.service_keys: set[str] = set()
        self._unfinished_by_owner: Counter[str] = Counter()

    @classmethod
    def from_rows(cls, rows: Iterable[Row]) -> TaskCache:
        """Build the cache from the task rows of a zone."""
        cache = cls()
        for row in rows:
            cache.put(Task.from_wire(row.value), row.version)
        return cache

    def put(self, task: Task, version: int) -> None:
        """Add a task, or replace its entry. ``version`` is that of the task's row."""
        self.remove(task.key)
        self.entries[task.key] = Entry(task, version)
        self.keys_by_owner[task.owner][task.index] = task.key
        self._unfinished_by_owner[task.owner] += not task.state.is_final
        if task.is_service:
            self.service_keys.add(task.key)
        self._update_finished(task.owner)
        self.keys_by_state[task.state][task.key] = None
        self.change_count += 1
        if task.state is TaskState.QUEUED:
            self.queued_by_owner[task.owner][task.key] = None
        if task.state in RESERVING_STATES:
            self.keys_by_worker[task.worker].add(task.key)
            self.reserved_by_worker[task.worker] += task.reservation
            self.reserved_by_owner[task.owner] += task.reservation

    def remove(self, key: str) -> None:
        """Remove a task; a key without an entry is ignored."""
        entry = self.entries.pop(key, None)
        if entry is None:
            return
        task = entry.task
        self.keys_by_state[task.state].pop(key, None)
        self.change_count += 1
        if task.state is TaskState.QUEUED:
            self._remove_from_queue(task)
        self.service_keys.discard(key)
        self._remove_from_owner(task)
        if task.state in RESERVING_STATES:
            self.keys_by_worker[task.worker].discard(key)
            self.reserved_by_worker[task.worker] -= task.reservation
            self.reserved_by_owner[task.owner] -= task.reservation
            self._drop_empty_worker(task.worker)

    def get(self, key: str) -> Task | None:
        """Return a task by key, or ``None`` if there is none."""
        entry = self.entries.get(key)
        return entry.task if entry else None

    def version(self, key: str) -> int:
        """Return the version of a task's row, 0 if there is no such row."""
        entry = self.entries.get(key)
        return entry.version if entry else 0

    def in_states(self, *states: TaskState) -> Iterator[Task]:
        """Yield the tasks in any of some states."""
        for state in states:
            for key in list(self.keys_by_state[state]):
                yield self.entries[key].task

    def of_owner(self, owner: str) -> list[Task]:
        """Return the tasks of a service or a job, sorted by index."""
        keys = self.keys_by_owner.get(owner, {})
        return [self.entries[keys[index]].task for index in sorted(keys)]

    def of_worker(self, worker: str) -> list[Task]:
        """Return the tasks that reserve capacity on a worker."""
        return [self.entries[key].task for key in self.keys_by_worker.get(worker, ())]

    def _remove_from_queue(self, task: Task) -> None:
        keys = self.queued_by_owner[task.owner]
        keys.pop(task.key, None)
        if not keys:
            del self.queued_by_owner[task.owner]

    def _remove_from_owner(self, task: Task) -> None:
        keys = self.keys_by_owner[task.owner]
        keys.pop(task.index, None)
        self._unfinished_by_owner[task.owner] -= not task.state.is_final
        if not keys:
            del self.keys_by_owner[task.owner], self._unfinished_by_owner[task.owner]
            self.reserved_by_owner.pop(task.owner, None)
        self._update_finished(task.owner)

    def _update_finished(self, owner: str) -> None:
        if owner in self.keys_by_owner and not self._unfinished_by_owner[owner]:
            self.finished_owners.add(owner)
        else:
            self.finished_owners.discard(owner)

    def _drop_empty_worker(self, worker: str) -> None:
        if not self.keys_by_worker[worker]:
            # Rounding errors would remain; an empty worker reserves exactly nothing.
            del self.keys_by_worker[worker]
            del self.reserved_by_worker[worker]
