"""Following a table of the store: first a snapshot, then the changes in order."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever.outcomes import Unavailable, failed
from fulmarleverd.scheduling.persistence.rows import table_partitions
from fulmarleverd.scheduling.ports import HistoryGone, RowSet, Store, StoredRow

# Short enough to detect a connection that no longer answers within two seconds.
FEED_WAIT_S = 1.0
RETRY_S = 0.15
READ_TIMEOUT_S = 1.5
# The same for a single row, for which a caller waits.
ROW_TIMEOUT_S = 1.2
# A page that cannot be read is asked for again, so that the pages read before are kept.
MAX_PAGE_ATTEMPTS = 3
# Partitions are read at the same time, but not all of them, as the link of a VM may be
# slow.
MAX_PARTITIONS_AT_ONCE = 4


@dataclass(slots=True, frozen=True)
class Batch:
    """All rows of a table, or those that changed since the previous batch.

    Rows that are missing from a snapshot do not exist any more; in a batch of changes,
    such rows are marked as deleted. ``requested_at_s`` is when the request was sent to
    the store, in seconds on the boot clock. All changes up to ``version`` are known
    with a batch of changes, at ``store_time_s`` of the store's clock; a snapshot may
    hold some later ones.
    """

    rows: tuple[StoredRow, ...]
    is_snapshot: bool
    requested_at_s: float
    version: int = 0
    store_time_s: float | None = None


async def follow(
    store: Store, table: str, clock: Clock, wait_s: float = FEED_WAIT_S
) -> AsyncIterator[Batch]:
    """Yield a snapshot of a table, then batches of changes, until cancelled.

    A batch is empty if nothing has changed for ``wait_s`` seconds, or since a snapshot.
    Failed calls are retried. A new snapshot follows if the store no longer has the
    history needed.
    """
    while True:
        requested_at_s = clock.boot()
        snapshot = await read_all(store, table)
        if failed(snapshot):
            log.bind(event="feed-unread", table=table).warning(snapshot.reason)
            await asyncio.sleep(RETRY_S)
            continue
        yield Batch(snapshot.rows, True, requested_at_s, snapshot.version)
        async for batch in _follow_changes(
            store, table, snapshot.version, clock, wait_s
        ):
            yield batch


async def _follow_changes(
    store: Store, table: str, version: int, clock: Clock, wait_s: float
) -> AsyncIterator[Batch]:
    is_failing = False
    # What has changed while the snapshot was read is known at once.
    next_wait_s = 0.0
    while True:
        requested_at_s = clock.boot()
        found = await store.changes(table, version, next_wait_s)
        if isinstance(found, HistoryGone):
            log.bind(event="feed-history-gone", table=table, version=version).info(
                found.reason
            )
            return
        if failed(found):
            if not is_failing:
                log.bind(event="feed-lost", table=table).warning(found.reason)
            is_failing = True
            await asyncio.sleep(RETRY_S)
            continue
        if is_failing:
            log.bind(event="feed-regained", table=table, version=version).info("")
        is_failing = False
        next_wait_s = wait_s
        version = max(version, found.version)
        yield Batch(found.rows, False, requested_at_s, version, found.store_time_s)


async def read_all(store: Store, table: str) -> RowSet | Unavailable:
    """Return every row of a table; each is as of the returned version or newer.

    The version is the lowest one of the table's partitions.
    """
    permits = asyncio.Semaphore(MAX_PARTITIONS_AT_ONCE)

    async def read(partition: str) -> RowSet | Unavailable:
        async with permits:
            return await read_partition(store, table, partition)

    reads = (read(partition) for partition in table_partitions(table))
    found = await asyncio.gather(*reads)
    rows: list[StoredRow] = []
    for row_set in found:
        if failed(row_set):
            return row_set
        rows += row_set.rows
    return RowSet(tuple(rows), min(row_set.version for row_set in found))


async def read_partition(
    store: Store, table: str, partition: str
) -> RowSet | Unavailable:
    """Return every row of a partition; each is as of the returned version or newer.

    The version is that of the first page.
    """
    rows: list[StoredRow] = []
    version = -1
    async for page in read_pages(store, table, partition):
        if failed(page):
            return page
        rows += page.rows
        version = page.version if version < 0 else version
    return RowSet(tuple(rows), version)


async def read_pages(
    store: Store, table: str, partition: str
) -> AsyncIterator[RowSet | Unavailable]:
    """Yield the pages of a partition in order, and end with one that cannot be read."""
    first_key = ""
    while True:
        page = await _read_page(store, table, first_key, partition)
        yield page
        if failed(page) or not page.has_more or not page.rows:
            return
        first_key = page.rows[-1].key + "\0"


async def read_row(store: Store, row: StoredRow) -> RowSet | Unavailable:
    """Return the row of a table, partition and key as it is stored, if there is one."""
    return await store.read(
        row.table, row.key, row.key + "\0", ROW_TIMEOUT_S, row.partition
    )


async def _read_page(
    store: Store, table: str, first_key: str, partition: str
) -> RowSet | Unavailable:
    for attempt in range(MAX_PAGE_ATTEMPTS):
        page = await store.read(table, first_key, "", READ_TIMEOUT_S, partition)
        if not failed(page):
            break
        log.bind(event="page-unread", table=table, partition=partition).info(
            page.reason
        )
        if attempt + 1 < MAX_PAGE_ATTEMPTS:
            await asyncio.sleep(RETRY_S)
    return page
