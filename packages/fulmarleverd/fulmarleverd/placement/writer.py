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
from fulmarleverd.placement.book import TaskBook
from fulmarleverd.placement.lease import ZoneLease

ROWS_PER_CHANGE = 100
"""The number of task rows in one transaction; the table takes 200 rows."""


@dataclass(slots=True)
class Draft:
    """Row changes that take effect together with the next group commit.

    ``tasks`` are new states of task rows and ``removed`` the keys of task rows to
    delete. ``others`` are rows of other kinds, each with the version it must have.
    """

    tasks: dict[str, Task] = field(default_factory=dict)
    removed: list[str] = field(default_factory=list)
    others: dict[str, tuple[int, Any]] = field(default_factory=dict)
    dropped: dict[str, int] = field(default_factory=dict)
    ttl_s: dict[str, float] = field(default_factory=dict)

    def add(self, task: Task | None) -> None:
        """Add the new state of a task, if there is one."""
        if task is not None:
            self.tasks[task.key] = task


class TaskWriter:
    """Writes drafts to the table and keeps the book equal to what was confirmed.

    Keys whose last write has an unknown outcome are ``doubtful`` until they are read
    again; nothing may be decided about them before. ``versions`` are those of the
    rows written last.
    """

    def __init__(self, platform: Service, lease: ZoneLease, book: TaskBook) -> None:
        self.platform = platform
        self.lease = lease
        self.book = book
        self.doubtful: set[str] = set()
        self.is_unfenced = False
        self.versions: dict[str, int] = {}
        self.changes = 0

    async def write(self, draft: Draft) -> bool:
        """Write a draft and return whether all of it was confirmed.

        The rows of other kinds go with the last transaction, after all task rows.
        """
        chunks = list(_chunks(draft.tasks.values(), ROWS_PER_CHANGE))
        for tasks in chunks[:-1]:
            if not await self._write(Draft({task.key: task for task in tasks})):
                return False
        draft.tasks = {task.key: task for task in chunks[-1]} if chunks else {}
        if draft.tasks or draft.removed or draft.others or draft.dropped:
            return await self._write(draft)
        return True

    async def read_doubtful(self) -> bool:
        """Read the rows of unknown outcome again; return whether none is left."""
        if not self.doubtful and not self.is_unfenced:
            return True
        if self.is_unfenced and not await self.lease.replace_fencing_token():
            return False
        self.is_unfenced = False
        keys = sorted(self.doubtful)
        rows = await self.platform.read(keys)
        if failed(rows):
            return False
        for key in keys:
            self.book.remove(key)
            if key in rows:
                self.book.put(Task.from_wire(rows[key].value), rows[key].version)
        self.doubtful.clear()
        return True

    async def _write(self, draft: Draft) -> bool:
        change = self._change(draft)
        self.changes += 1
        result = await self.platform.commit(change, WritePriority.TASKS)
        if isinstance(result, Applied):
            self.versions = result.versions
            for task in draft.tasks.values():
                self.book.put(task, result.versions[task.key])
            for key in draft.removed:
                self.book.remove(key)
            return True
        if isinstance(result, Conflict) and self.lease.key in result.keys:
            self.lease.mark_lost()
        if isinstance(result, OutcomeUnknown):
            # The write may still be on its way and take effect after a read.
            self.is_unfenced = True
        if not isinstance(result, Unavailable):
            self.doubtful.update(draft.tasks, draft.removed)
            self.lease.require_reread()
        return False

    def _change(self, draft: Draft) -> Change:
        change = Change({self.lease.key: self.lease.version})
        for key, task in draft.tasks.items():
            change.conditions[key] = self.book.version(key)
            change.writes[key] = task.to_wire()
        for key in draft.removed:
            change.conditions[key] = self.book.version(key)
            change.deletes.append(key)
        for key, (version, value) in draft.others.items():
            change.conditions[key] = version
            change.writes[key] = value
        for key, version in draft.dropped.items():
            change.conditions[key] = version
            change.deletes.append(key)
        change.ttl_s.update(draft.ttl_s)
        return change


def _chunks(tasks: Iterable[Task], size: int) -> Iterator[list[Task]]:
    rest = iter(tasks)
    while chunk := list(islice(rest, size)):
        yield chunk
