"""The placer's copy of the jobs that have tasks in its zone, and its inbox."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from fulmarlever.outcomes import Conflict, failed
from fulmarlever.structure.configuration import Configuration
from fulmarlever.structure.table import Applied, Row, WritePriority
from fulmarlever.structure.task import Task, TaskState
from fulmarleverd.kernel import Service
from fulmarleverd.placement.book import HOLDING, TaskBook
from fulmarleverd.placement.desired import job_tasks
from fulmarleverd.placement.job_rows import (
    FINAL_ROW_TTL_S,
    LEAVING,
    NEW,
    JobRow,
    Part,
    inbox_key,
    insertion,
)
from fulmarleverd.placement.settle import cancelled, stopping
from fulmarleverd.placement.writer import Draft

MAX_INBOX_PER_ROUND = 80
MAX_FOLDS_PER_ROUND = 30
MAX_REMOVALS_PER_CHANGE = 100
KEYS_PER_READ = 500

CANCELLED = "cancelled by an operator"
HANDED_OVER = "handed over to the old setup"
REMOVED = "removed from the configuration"


class JobBook:
    """Job rows by name, as read last, and the rows of the zone's inbox."""

    def __init__(self, platform: Service, zone: str, book: TaskBook) -> None:
        self.platform = platform
        self.zone = zone
        self.book = book
        self.jobs: dict[str, JobRow] = {}
        self.versions: dict[str, int] = {}
        self.inbox: dict[str, int] = {}
        self._handed: set[str] = set()
        self._cancelling: set[str] = set()
        self._removed: set[str] = set()
        self._declared_generation = -1

    async def load(self, names: Iterable[str]) -> bool:
        """Read the rows of some jobs; return whether the table answered."""
        keys = sorted({f"job/{name}" for name in names})
        for start in range(0, len(keys), KEYS_PER_READ):
            rows = await self.platform.read(keys[start : start + KEYS_PER_READ])
            if failed(rows):
                return False
            for row in rows.values():
                self._put(row)
        return True

    async def read_inbox(self) -> bool:
        """Read the zone's inbox and the jobs it names."""
        prefix = inbox_key(self.zone, "")
        rows = await self.platform.read([], [prefix])
        if failed(rows):
            return False
        inbox = {key.removeprefix(prefix): row.version for key, row in rows.items()}
        if inbox and not await self.load(inbox):
            return False
        self.inbox = inbox
        return True

    async def declare(
        self, cfg: Configuration, zones: tuple[str, ...], now_s: float
    ) -> None:
        """Write the rows of jobs that a configuration declares and nobody wrote yet.

        Every zone's placer may be first: the row is inserted only if it is absent.
        """
        if cfg.generation == self._declared_generation or not zones:
            return
        missing = [name for name in cfg.jobs if name not in self.jobs]
        if missing and not await self.load(missing):
            return
        for name in missing:
            if name not in self.jobs and not await self._insert(
                JobRow.from_spec(cfg.jobs[name], zones, now_s, cfg.generation)
            ):
                return
        self._declared_generation = cfg.generation
        self._removed = {
            name
            for name, row in self.jobs.items()
            if 0 < row.generation < cfg.generation and name not in cfg.jobs
        }

    def creations(self) -> Iterator[Task]:
        """Yield a new task for each one that the inbox asks for and that is missing."""
        for name in self.inbox:
            row = self.jobs.get(name)
            if row is not None and row.is_to_run and self.zone not in row.parts:
                known = self.book.by_owner.get(name, {})
                yield from (
                    task
                    for task in job_tasks(row, self.zone)
                    if task.index not in known
                )

    def cancellations(self) -> Iterator[Task]:
        """Yield the next state of each task whose job was cancelled or removed."""
        for name in self.leaving():
            for task in self.book.of_owner(name):
                change = stopping(task, HANDED_OVER)
                if change is not None:
                    yield change
        for name in self._cancelling:
            yield from self._cancel(self.book.of_owner(name), CANCELLED)
        for name in self._removed:
            # Running tasks of a removed job finish.
            tasks = self.book.of_owner(name)
            queued = [task for task in tasks if task.state is TaskState.QUEUED]
            yield from self._cancel(queued, REMOVED)

    def leaving(self) -> list[str]:
        """Return jobs that this zone must give to the old setup."""
        return [
            name
            for name in self._handed
            if self.jobs[name].setup == LEAVING
            and self.zone not in self.jobs[name].released
        ]

    def stopped(self) -> list[str]:
        """Return jobs on their way to the old setup of which nothing runs here."""
        return [
            name
            for name in self.leaving()
            if not any(task.state in HOLDING for task in self.book.of_owner(name))
        ]

    def release(self, names: Iterable[str]) -> Draft:
        """Return the change that records that this zone runs nothing of some jobs."""
        draft = Draft()
        for name in names:
            row = self.jobs[name].with_release(self.zone)
            draft.others[row.key] = (self.versions[name], row.to_wire())
        return draft

    def take_inbox(self, draft: Draft) -> None:
        """Remove inbox rows together with the changes that they asked for."""
        names = [name for name in self.inbox if not self._is_unborn(name)]
        for name in names[:MAX_INBOX_PER_ROUND]:
            draft.dropped[inbox_key(self.zone, name)] = self.inbox.pop(name)

    def ended(self) -> list[str]:
        """Return jobs all of whose tasks in the zone ended, without a part yet."""
        candidates = self.book.closed | self._cancelling
        names = [name for name in sorted(candidates) if self._is_ended(name)]
        return names[:MAX_FOLDS_PER_ROUND]

    def fold(self, names: Iterable[str]) -> Draft:
        """Return the change that adds this zone's part to the rows of ended jobs."""
        draft = Draft()
        for name in names:
            row = self.jobs[name].with_part(self.zone, self._part(name))
            draft.others[row.key] = (self.versions[name], row.to_wire())
            if row.state.is_final and not row.generation:
                draft.ttl_s[row.key] = FINAL_ROW_TTL_S
            if name in self.inbox:
                draft.dropped[inbox_key(self.zone, name)] = self.inbox.pop(name)
        return draft

    def leftovers(self) -> Draft:
        """Return the removal of ended tasks whose job has this zone's part already."""
        keys: list[str] = []
        for name in sorted(self.book.closed):
            row = self.jobs.get(name)
            if row is not None and self.zone in row.parts:
                keys.extend(task.key for task in self.book.of_owner(name))
        return Draft(removed=keys[:MAX_REMOVALS_PER_CHANGE])

    def forget_ended(self) -> None:
        """Forget jobs that need nothing more in this zone."""
        for name in [n for n in self.jobs if n not in self.book.by_owner]:
            row = self.jobs[name]
            is_waiting = name in self.inbox or (
                (row.is_to_run or name in self._handed)
                and not row.state.is_final
                and self.zone not in row.parts
                and self.zone in row.zones_in_use()
            )
            if not is_waiting and not self._is_ended(name):
                del self.jobs[name], self.versions[name]
                self._cancelling.discard(name)
                self._handed.discard(name)
                self._removed.discard(name)

    def _is_unborn(self, name: str) -> bool:
        """Return whether a job was cancelled before it had tasks.

        No task row tells the next placer of such a job, so its inbox row stays until
        the job's row has the zone's part.
        """
        row = self.jobs.get(name)
        return (
            row is not None
            and row.cancel
            and name not in self.book.by_owner
            and self._is_ended(name)
        )

    async def _insert(self, row: JobRow) -> bool:
        result = await self.platform.commit(insertion(row), WritePriority.TASKS)
        return isinstance(result, Applied | Conflict)

    def _put(self, row: Row) -> None:
        job = JobRow.from_wire(row.value)
        name = job.spec.name
        self.jobs[name] = job
        self.versions[name] = row.version
        if job.setup != NEW:
            self._handed.add(name)
        else:
            self._handed.discard(name)
        if job.cancel and self.zone not in job.parts:
            self._cancelling.add(name)
        else:
            self._cancelling.discard(name)

    def _cancel(self, tasks: Iterable[Task], reason: str) -> Iterator[Task]:
        for task in tasks:
            change = None if task.state.is_final else cancelled(task, reason)
            if change is not None:
                yield change

    def _is_ended(self, name: str) -> bool:
        row = self.jobs.get(name)
        if row is None or self.zone in row.parts or row.state.is_final:
            return False
        tasks = self.book.by_owner.get(name, {})
        wanted = len(row.indices(self.zone))
        if not wanted or (len(tasks) < wanted and not row.cancel):
            return False
        return not tasks or name in self.book.closed

    def _part(self, name: str) -> Part:
        tasks = self.book.of_owner(name)
        states = [task.state for task in tasks]
        reasons = {t.reason for t in tasks if t.state is not TaskState.DONE}
        never_created = len(self.jobs[name].indices(self.zone)) - len(tasks)
        return Part(
            states.count(TaskState.DONE),
            states.count(TaskState.FAILED),
            states.count(TaskState.CANCELLED) + never_created,
            "; ".join(sorted(reasons)[:3]),
        )
