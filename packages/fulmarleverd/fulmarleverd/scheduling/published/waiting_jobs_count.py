"""Counts the waiting jobs by the rows of all jobs, when nothing better is known."""

from __future__ import annotations

from collections import Counter

from loguru import logger as log

from fulmarlever.outcomes import Unavailable, failed
from fulmarleverd.scheduling.jobs.tasks import FINAL_STATES
from fulmarleverd.scheduling.persistence.feeds import read_pages
from fulmarleverd.scheduling.persistence.progress_rows import unpack_state
from fulmarleverd.scheduling.persistence.rows import (
    CANCEL_SUFFIX,
    JOBS_TABLE,
    PART_INFIX,
    PROGRESS_TABLE,
    table_partitions,
    unpack_queue_name,
)
from fulmarleverd.scheduling.ports import Store, StoredRow
from fulmarleverd.scheduling.published.waiting_jobs import WaitingJobs


async def count_waiting_jobs(store: Store) -> WaitingJobs | Unavailable:
    """Read all jobs and their progress, page by page, and count those that wait.

    Of the jobs, only id and queue are kept in memory.
    """
    queues: dict[str, str] = {}
    cancelled: set[str] = set()
    jobs_version = -1
    for partition in table_partitions(JOBS_TABLE):
        async for page in read_pages(store, JOBS_TABLE, partition):
            if failed(page):
                return page
            jobs_version = page.version if jobs_version < 0 else jobs_version
            # Later rows are found among the changes since that version.
            known = (row for row in page.rows if row.version <= jobs_version)
            for row in known:
                _add(row, queues, cancelled)
    async for page in read_pages(store, PROGRESS_TABLE, ""):
        if failed(page):
            return page
        for row in page.rows:
            if row.key in queues and not is_waiting(row):
                del queues[row.key]
    waiting = (queue for job, queue in queues.items() if job not in cancelled)
    return WaitingJobs(dict(Counter(waiting)), jobs_version)


def _add(row: StoredRow, queues: dict[str, str], cancelled: set[str]) -> None:
    if row.key.endswith(CANCEL_SUFFIX):
        cancelled.add(row.key.removesuffix(CANCEL_SUFFIX))
        return
    queue = unpack_queue_name(row)
    if failed(queue):
        # No owner can run such a job either.
        log.bind(event="job-unreadable", job=row.key).error(queue.reason)
    else:
        queues[row.key] = queue


def is_waiting(progress: StoredRow) -> bool:
    """Return whether the job of a progress row waits for its first task to begin."""
    if PART_INFIX in progress.key:
        return True
    found = unpack_state(progress.value)
    if failed(found):
        log.bind(event="progress-unreadable", job=progress.key).error(found.reason)
        return False
    return not found.has_begun and found.state not in FINAL_STATES
