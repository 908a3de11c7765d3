"""Group commits of task rows under the fencing token of the zone's placer."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice
from typing import Any

from fulmarlever.outcomes import Conflict, OutcomeUnknown, Unavailable, failed
from fulmarlever.structure.table import Applied, Change, WritePriority
from fulmarlever.structure.task import Task
from fulmarleverd.kernel import Service
from fulmarleverd.placement.lease import ZoneLease
from fulmarleverd.placement.task_cache import TaskCache

ROWS_PER_CHANGE = 100
"""The number of task rows in one transaction; the table accepts at most 200 rows."""


@dataclass(slots=True)
class WriteBatch:
    """Row changes that are collected for the next group commit.

    ``tasks`` holds the new states of tasks by key and ``deleted_tasks`` the keys of
    task rows to delete. ``other_rows`` maps the keys of rows of other kinds to the
    expected version and the new value, ``deleted_rows`` those to delete to the expected
    version. ``ttl_s`` holds the times to live, in seconds, of some written rows.
    """

    tasks: dict[str, Task] = field(default_factory=dict)
    deleted_tasks: list[str] = field(default_factory=list)
    other_rows: dict[str, tuple[int, Any]] = field(default_factory=dict)
    deleted_rows: dict[str, int] = field(default_factory=dict)
    ttl_s: dict[str, float] = field(default_factory=dict)

    def add(self, task: Task | None) -> None:
        """Add the new state of a task; ``None`` is ignored."""
        if task is not None:
            self.tasks[task.key] = task


class TaskWriter:
    """Commits write batches and updates the task cache once they are confirmed.

    ``keys_to_reread`` holds the keys of task rows whose last write had a conflict or an
    unknown outcome; nothing may be decided about these tasks until the rows are read
    again. While ``needs_fencing`` is set, a write of unknown outcome may still take
    effect. ``versions`` are the versions of the rows written last.
    """

    def __init__(
        self, platform: Service, lease: ZoneLease, task_cache: TaskCache
    ) -> None:
        self.platform = platform
        self.lease = lease
        self.task_cache = task_cache
        self.keys_to_reread: set[str] = set()
        self.needs_fencing = False
        self.versions: dict[str, int] = {}
        self.commit_count = 0

    async def write(self, write_batch: WriteBatch) -> bool:
        """Commit a batch; return whether the table confirmed all of it.

        A large batch is split into several transactions. Deletions and rows of other
        kinds are part of the last one, so that they never precede the task rows.
        """
        chunks = list(_chunks(write_batch.tasks.values(), ROWS_PER_CHANGE))
        for tasks in chunks[:-1]:
            if not await self._write(WriteBatch({task.key: task for task in tasks})):
                return False
        write_batch.tasks = {task.key: task for task in chunks[-1]} if chunks else {}
        if (
            write_batch.tasks
            or write_batch.deleted_tasks
            or write_batch.other_rows
            or write_batch.deleted_rows
        ):
            return await self._write(write_batch)
        return True

    async def reread_unconfirmed(self) -> bool:
        """Read the rows of unconfirmed writes again; return whether none is left.

        A write of unknown outcome is fenced off first, by a new version of the lease's
        row, so that it cannot take effect after the read.
        """
        if not self.keys_to_reread and not self.needs_fencing:
            return True
        if self.needs_fencing and not await self.lease.replace_fencing_token():
            return False
        self.needs_fencing = False
        keys = sorted(self.keys_to_reread)
        rows = await self.platform.read(keys)
        if failed(rows):
            return False
        for key in keys:
            self.task_cache.remove(key)
            if key in rows:
                self.task_cache.put(Task.from_wire(rows[key].value), rows[key].version)
        self.keys_to_reread.clear()
        return True

    async def _write(self, write_batch: WriteBatch) -> bool:
        change = self._change(write_batch)
        self.commit_count += 1
        result = await self.platform.commit(change, WritePriority.TASKS)
        if isinstance(result, Applied):
            self.versions = result.versions
            for task in write_batch.tasks.values():
                self.task_cache.put(task, result.versions[task.key])
            for key in write_batch.deleted_tasks:
                self.task_cache.remove(key)
            return True
        if isinstance(result, Conflict) and self.lease.key in result.keys:
            self.lease.mark_lost()
        if isinstance(result, OutcomeUnknown):
            # The write may be delayed and take effect after the rows are read again.
            self.needs_fencing = True
        if not isinstance(result, Unavailable):
            self.keys_to_reread.update(write_batch.tasks, write_batch.deleted_tasks)
            self.lease.require_reread()
        return False

    def _change(self, write_batch: WriteBatch) -> Change:
        change = Change({self.lease.key: self.lease.version})
        for key, task in write_batch.tasks.items():
            change.conditions[key] = self.task_cache.version(key)
            change.writes[key] = task.to_wire()
        for key in write_batch.deleted_tasks:
            change.conditions[key] = self.task_cache.version(key)
            change.deletes.append(key)
        for key, (version, value) in write_batch.other_rows.items():
            change.conditions[key] = version
            change.writes[key] = value
        for key, version in write_batch.deleted_rows.items():
            change.conditions[key] = version
            change.deletes.append(key)
        change.ttl_s.update(write_batch.ttl_s)
        return change


def _chunks(tasks: Iterable[Task], size: int) -> Iterator[list[Task]]:
    rest = iter(tasks)
    while chunk := list(islice(rest, size)):
        yield chunk
