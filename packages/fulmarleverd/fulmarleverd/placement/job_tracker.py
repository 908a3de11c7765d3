"""The placer's copy of the jobs that have tasks in its zone, and the zone's inbox.

The inbox of a zone is a set of rows, one for each job that its placer must read
because the job was submitted, cancelled or handed over.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from fulmarlever.outcomes import Conflict, failed
from fulmarlever.structure.configuration import Configuration
from fulmarlever.structure.table import Applied, Row, WritePriority
from fulmarlever.structure.task import Task, TaskState
from fulmarleverd.kernel import Service
from fulmarleverd.placement.desired import job_tasks
from fulmarleverd.placement.job_rows import (
    FINAL_ROW_TTL_S,
    LEAVING,
    NEW,
    JobRow,
    ZoneResult,
    inbox_key,
    insertion,
)
from fulmarleverd.placement.task_cache import RESERVING_STATES, TaskCache
from fulmarleverd.placement.task_transitions import cancelled, stopping
from fulmarleverd.placement.writer import WriteBatch

MAX_INBOX_ROWS_PER_ROUND = 80
MAX_RESULTS_PER_ROUND = 30
MAX_DELETIONS_PER_CHANGE = 100
KEYS_PER_READ = 500

CANCELLED = "cancelled by an operator"
HANDED_OVER = "handed over to the old setup"
REMOVED = "removed from the configuration"


class JobTracker:
    """Tracks a zone's jobs and decides on changes of their tasks and rows.

    ``jobs`` holds the job rows as they were read last and ``versions`` their versions,
    both by job name. ``inbox`` holds the versions of the zone's inbox rows by job name.
    """

    def __init__(self, platform: Service, zone: str, task_cache: TaskCache) -> None:
        self.platform = platform
        self.zone = zone
        self.task_cache = task_cache
        self.jobs: dict[str, JobRow] = {}
        self.versions: dict[str, int] = {}
        self.inbox: dict[str, int] = {}
        self._handed_over: set[str] = set()
        self._cancelling: set[str] = set()
        self._removed: set[str] = set()
        self._declared_generation = -1

    async def load(self, names: Iterable[str]) -> bool:
        """Read the rows of some jobs; return whether all reads succeeded."""
        keys = sorted({f"job/{name}" for name in names})
        for start in range(0, len(keys), KEYS_PER_READ):
            rows = await self.platform.read(keys[start : start + KEYS_PER_READ])
            if failed(rows):
                return False
            for row in rows.values():
                self._put(row)
        return True

    async def read_inbox(self) -> bool:
        """Read the zone's inbox and its jobs; return whether the reads succeeded."""
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
        """Insert the rows of declared jobs, and find jobs that were removed.

        Placers of several zones may try this at once, so a row is inserted only if it
        is absent. ``zones`` are the zones with workers and ``now_s`` is a Unix time.
        After a failed read or write the next call tries again.
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

    def new_tasks(self) -> Iterator[Task]:
        """Yield the missing tasks of the jobs in the inbox."""
        for name in self.inbox:
            row = self.jobs.get(name)
            if row is not None and row.may_start_tasks and self.zone not in row.parts:
                known_indices = self.task_cache.keys_by_owner.get(name, {})
                yield from (
                    task
                    for task in job_tasks(row, self.zone)
                    if task.index not in known_indices
                )

    def cancellations(self) -> Iterator[Task]:
        """Yield the next states of tasks of jobs handed over, cancelled or removed.

        Tasks of a job that was removed from the configuration are cancelled only while
        they are queued.
        """
        for name in self.awaiting_release():
            for task in self.task_cache.of_owner(name):
                next_state = stopping(task, HANDED_OVER)
                if next_state is not None:
                    yield next_state
        for name in self._cancelling:
            yield from self._cancel(self.task_cache.of_owner(name), CANCELLED)
        for name in self._removed:
            # Running tasks of a removed job may finish.
            tasks = self.task_cache.of_owner(name)
            queued = [task for task in tasks if task.state is TaskState.QUEUED]
            yield from self._cancel(queued, REMOVED)

    def awaiting_release(self) -> list[str]:
        """Return jobs leaving for the old setup that this zone has not released yet."""
        return [
            name
            for name in self._handed_over
            if self.jobs[name].setup == LEAVING
            and self.zone not in self.jobs[name].released
        ]

    def ready_to_release(self) -> list[str]:
        """Return jobs being handed over of which no task holds a reservation here."""
        return [
            name
            for name in self.awaiting_release()
            if not any(
                task.state in RESERVING_STATES
                for task in self.task_cache.of_owner(name)
            )
        ]

    def record_release(self, names: Iterable[str]) -> WriteBatch:
        """Return row changes which record that this zone released some jobs."""
        write_batch = WriteBatch()
        for name in names:
            row = self.jobs[name].with_release(self.zone)
            write_batch.other_rows[row.key] = (self.versions[name], row.to_wire())
        return write_batch

    def delete_inbox_rows(self, write_batch: WriteBatch) -> None:
        """Delete inbox rows in the same batch as the changes that they requested."""
        names = [
            name for name in self.inbox if not self._is_cancelled_before_creation(name)
        ]
        for name in names[:MAX_INBOX_ROWS_PER_ROUND]:
            write_batch.deleted_rows[inbox_key(self.zone, name)] = self.inbox.pop(name)

    def ended_jobs(self) -> list[str]:
        """Return jobs whose tasks in this zone have all ended without a result yet."""
        candidates = self.task_cache.finished_owners | self._cancelling
        names = [name for name in sorted(candidates) if self._is_ended(name)]
        return names[:MAX_RESULTS_PER_ROUND]

    def record_results(self, names: Iterable[str]) -> WriteBatch:
        """Return row changes that add this zone's result to the rows of ended jobs."""
        write_batch = WriteBatch()
        for name in names:
            row = self.jobs[name].with_zone_result(self.zone, self._zone_result(name))
            write_batch.other_rows[row.key] = (self.versions[name], row.to_wire())
            if row.state.is_final and not row.generation:
                write_batch.ttl_s[row.key] = FINAL_ROW_TTL_S
            if name in self.inbox:
                write_batch.deleted_rows[inbox_key(self.zone, name)] = self.inbox.pop(
                    name
                )
        return write_batch

    def finished_task_deletions(self) -> WriteBatch:
        """Return the deletion of ended tasks whose job has this zone's result."""
        keys: list[str] = []
        for name in sorted(self.task_cache.finished_owners):
            row = self.jobs.get(name)
            if row is not None and self.zone in row.parts:
                keys.extend(task.key for task in self.task_cache.of_owner(name))
        return WriteBatch(deleted_tasks=keys[:MAX_DELETIONS_PER_CHANGE])

    def drop_ended(self) -> None:
        """Remove jobs that need no further action in this zone from the tracker."""
        for name in [n for n in self.jobs if n not in self.task_cache.keys_by_owner]:
            row = self.jobs[name]
            has_pending_work = name in self.inbox or (
                (row.may_start_tasks or name in self._handed_over)
                and not row.state.is_final
                and self.zone not in row.parts
                and self.zone in row.zones_in_use()
            )
            if not has_pending_work and not self._is_ended(name):
                del self.jobs[name], self.versions[name]
                self._cancelling.discard(name)
                self._handed_over.discard(name)
                self._removed.discard(name)

    def _is_cancelled_before_creation(self, name: str) -> bool:
        """Return whether a job was cancelled before it had tasks in this zone.

        The next placer cannot find such a job by a task row, so its inbox row stays
        until the job's row has the zone's result.
        """
        row = self.jobs.get(name)
        return (
            row is not None
            and row.cancel
            and name not in self.task_cache.keys_by_owner
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
            self._handed_over.add(name)
        else:
            self._handed_over.discard(name)
        if job.cancel and self.zone not in job.parts:
            self._cancelling.add(name)
        else:
            self._cancelling.discard(name)

    def _cancel(self, tasks: Iterable[Task], reason: str) -> Iterator[Task]:
        for task in tasks:
            next_state = None if task.state.is_final else cancelled(task, reason)
            if next_state is not None:
                yield next_state

    def _is_ended(self, name: str) -> bool:
        row = self.jobs.get(name)
        if row is None or self.zone in row.parts or row.state.is_final:
            return False
        tasks = self.task_cache.keys_by_owner.get(name, {})
        task_count = len(row.indices(self.zone))
        if not task_count or (len(tasks) < task_count and not row.cancel):
            return False
        return not tasks or name in self.task_cache.finished_owners

    def _zone_result(self, name: str) -> ZoneResult:
        tasks = self.task_cache.of_owner(name)
        states = [task.state for task in tasks]
        reasons = {t.reason for t in tasks if t.state is not TaskState.DONE}
        never_created = len(self.jobs[name].indices(self.zone)) - len(tasks)
        return ZoneResult(
            states.count(TaskState.DONE),
            states.count(TaskState.FAILED),
            states.count(TaskState.CANCELLED) + never_created,
            "; ".join(sorted(reasons)[:3]),
        )
