"""Jobs accepted and cancelled after a version of the store, by queue."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass

from loguru import logger as log

from fulmarlever.outcomes import Unavailable, failed
from fulmarleverd.scheduling.persistence.feeds import read_row
from fulmarleverd.scheduling.persistence.rows import (
    CANCEL_SUFFIX,
    JOBS_TABLE,
    job_row,
    progress_row,
    unpack_queue_name,
)
from fulmarleverd.scheduling.ports import HistoryGone, Store, StoredRow
from fulmarleverd.scheduling.published.waiting_jobs_count import is_waiting

# Cancellations of earlier jobs that are looked up at a time; the others are later.
MAX_LOOKUPS = 16


@dataclass(slots=True, frozen=True)
class Change:
    """The change of a queue's number of waiting jobs by a row of some version."""

    queue: str
    jobs: int
    version: int


class JobChanges:
    """What the table of jobs says of waiting jobs since a version.

    Each change is read once. A cancelled job counts until its cancellation has been
    looked up; those of jobs accepted since need none.
    """

    __slots__ = ("_store", "_first_version", "_version", "_accepted", "_cancelled")

    def __init__(self, store: Store) -> None:
        self._store = store
        # All changes after the first version and up to the second one are known.
        self._first_version = 0
        self._version = 0
        self._accepted: dict[str, Change] = {}
        # By job; without a change yet, the version at which it was cancelled.
        self._cancelled: dict[str, Change | int] = {}

    def begin_after(self, version: int) -> None:
        """Count the changes after another version."""
        if version < self._first_version:
            self._accepted, self._cancelled = {}, {}
            self._version = version
        self._first_version = version
        self._version = max(self._version, version)
        self._accepted = {
            job: change
            for job, change in self._accepted.items()
            if change.version > version
        }
        # Whether the other base counts these jobs has to be looked up.
        self._cancelled = {
            job: _version_of(change)
            for job, change in self._cancelled.items()
            if _version_of(change) > version
        }

    def by_queue(self) -> Counter[str]:
        """Return the change of the number of waiting jobs, by queue."""
        counts: Counter[str] = Counter()
        for change in self._accepted.values():
            counts[change.queue] += change.jobs
        for change in self._cancelled.values():
            if isinstance(change, Change):
                counts[change.queue] += change.jobs
        return counts

    async def read_to(self, version: int) -> Unavailable | HistoryGone | None:
        """Read all changes up to a version of the store, or newer ones.

        Return why they cannot be read, if so.
        """
        while True:
            found = await self._store.changes(JOBS_TABLE, self._version, 0.0)
            if failed(found):
                return found
            for row in found.rows:
                self._apply(row)
            self._version = max(self._version, found.version)
            if self._version >= version or not found.rows:
                break
        await self._look_up_cancelled()
        return None

    def _apply(self, row: StoredRow) -> None:
        job_id = row.key.removesuffix(CANCEL_SUFFIX)
        if row.is_deleted:
            return
        if job_id != row.key:
            self._cancelled.setdefault(job_id, row.version)
            return
        queue = unpack_queue_name(row)
        if failed(queue):
            log.bind(event="job-unreadable", job=job_id).error(queue.reason)
            return
        self._accepted[job_id] = Change(queue, 1, row.version)

    async def _look_up_cancelled(self) -> None:
        """Find out which cancellations concern jobs that are counted as waiting."""
        unknown = []
        for job_id, change in self._cancelled.items():
            if isinstance(change, Change):
                continue
            accepted = self._accepted.get(job_id)
            if accepted is None:
                unknown.append((job_id, change))
            else:
                self._cancelled[job_id] = Change(accepted.queue, -1, change)
        looked_up = unknown[:MAX_LOOKUPS]
        queues = await asyncio.gather(
            *(self._find_waiting(job_id) for job_id, _ in looked_up)
        )
        for (job_id, version), queue in zip(looked_up, queues, strict=True):
            if not failed(queue):
                is_counted = queue is not None
                self._cancelled[job_id] = Change(queue or "", -is_counted, version)

    async def _find_waiting(self, job_id: str) -> str | None | Unavailable:
        """Return the queue of an earlier job that has not begun, ``None`` if it has."""
        progress = await read_row(self._store, progress_row(job_id))
        if failed(progress):
            return progress
        if progress.rows and not is_waiting(progress.rows[0]):
            return None
        job = await read_row(self._store, job_row(job_id))
        if failed(job):
            return job
        queue = unpack_queue_name(job.rows[0]) if job.rows else None
        return None if failed(queue) else queue


def _version_of(change: Change | int) -> int:
    return change.version if isinstance(change, Change) else change
