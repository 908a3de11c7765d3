"""Following a table: a snapshot first, then the changes in order."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever.outcomes import Unavailable, failed
from fulmarleverd.scheduling.ports import HistoryGone, RowSet, Store, StoredRow
from fulmarleverd.scheduling.rows import table_partitions

# Short enough that a connection that went silent is noticed within two seconds.
FEED_WAIT_S = 1.0
RETRY_S = 0.15
READ_TIMEOUT_S = 1.5


@dataclass(slots=True, frozen=True)
class Batch:
    """Rows of a table. A snapshot holds all rows; rows missing from it are gone.

    ``asked_s`` is the time on the boot clock at which the store was asked.
    """

    rows: tuple[StoredRow, ...]
    is_snapshot: bool
    asked_s: float


async def follow(
    store: Store, table: str, clock: Clock, wait_s: float = FEED_WAIT_S
) -> AsyncIterator[Batch]:
    """Yield the rows of a table, then every change; a batch may be empty."""
    while True:
        asked_s = clock.boot()
        snapshot = await read_all(store, table)
        if failed(snapshot):
            log.bind(event="feed-unread", table=table).warning(snapshot.reason)
            await asyncio.sleep(RETRY_S)
            continue
        yield Batch(snapshot.rows, True, asked_s)
        async for batch in _changes(store, table, snapshot.version, clock, wait_s):
            yield batch


async def _changes(
    store: Store, table: str, version: int, clock: Clock, wait_s: float
) -> AsyncIterator[Batch]:
    is_lost = False
    while True:
        asked_s = clock.boot()
        found = await store.changes(table, version, wait_s)
        if isinstance(found, HistoryGone):
            log.bind(event="feed-history-gone", table=table, version=version).info(
                found.reason
            )
            return
        if failed(found):
            if not is_lost:
                log.bind(event="feed-lost", table=table).warning(found.reason)
            is_lost = True
            await asyncio.sleep(RETRY_S)
            continue
        if is_lost:
            log.bind(event="feed-regained", table=table, version=version).info("")
        is_lost = False
        version = max(version, found.version)
        yield Batch(found.rows, False, asked_s)


async def read_all(store: Store, table: str) -> RowSet | Unavailable:
    """Return every row of a table, as of the version returned or newer."""
    partitions = (
        read_partition(store, table, partition) for partition in table_partitions(table)
    )
    found = await asyncio.gather(*partitions)
    rows: list[StoredRow] = []
    for partition in found:
        if failed(partition):
            return partition
        rows += partition.rows
    return RowSet(tuple(rows), min(partition.version for partition in found))


async def read_partition(
    store: Store, table: str, partition: str
) -> RowSet | Unavailable:
    """Return every row of a partition, as of the version of the first page or newer."""
    rows: list[StoredRow] = []
    version = -1
    first = ""
    while True:
        page = await store.read(table, first, "", READ_TIMEOUT_S, partition)
        if failed(page):
            return page
        rows += page.rows
        version = page.version if version < 0 else version
        if not page.has_more or not page.rows:
            return RowSet(tuple(rows), version)
        first = page.rows[-1].key + "\0"
