"""Reading a whole table over a link that loses or delays single pages."""

from __future__ import annotations

import asyncio
import unittest

from fulmarlever.outcomes import Unavailable, failed
from fulmarleverd.scheduling.persistence.feeds import (
    MAX_PAGE_ATTEMPTS,
    MAX_PARTITIONS_AT_ONCE,
    read_all,
    read_partition,
)
from fulmarleverd.scheduling.persistence.rows import JOB_PARTITIONS, JOBS_TABLE
from fulmarleverd.scheduling.ports import RowSet, StoredRow

PAGES = 3


class PagedStore:
    """A store whose partitions have ``PAGES`` pages of one row each.

    The first ``failures`` reads of each page get no answer.
    """

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.reads: dict[tuple[str, str], int] = {}
        self.in_progress = 0
        self.most_in_progress = 0

    async def read(
        self, table: str, first: str, end: str, timeout_s: float, partition: str
    ) -> RowSet | Unavailable:
        self.in_progress += 1
        self.most_in_progress = max(self.most_in_progress, self.in_progress)
        await asyncio.sleep(0)
        self.in_progress -= 1
        number = int(first[:1] or -1) + 1
        key = (partition, first)
        self.reads[key] = self.reads.get(key, 0) + 1
        if self.reads[key] <= self.failures:
            return Unavailable("no answer in time")
        row = StoredRow(table, str(number), b"x")
        return RowSet((row,), 10 + number, number + 1 < PAGES)


class FeedsTests(unittest.IsolatedAsyncioTestCase):
    # Regression: one page that came too late on a slow link made a new owner read the
    # whole table again, for ever.
    async def test_a_page_without_an_answer_is_asked_for_again(self):
        store = PagedStore(failures=1)
        found = await read_partition(store, "t", "")
        self.assertEqual([row.key for row in found.rows], ["0", "1", "2"])
        self.assertEqual(found.version, 10)
        self.assertEqual(set(store.reads.values()), {2})

    async def test_a_store_that_is_down_is_not_asked_for_ever(self):
        store = PagedStore(failures=100)
        self.assertTrue(failed(await read_partition(store, "t", "")))
        self.assertEqual(list(store.reads.values()), [MAX_PAGE_ATTEMPTS])

    async def test_few_partitions_are_read_at_once(self):
        store = PagedStore(failures=0)
        found = await read_all(store, JOBS_TABLE)
        self.assertEqual(len(found.rows), PAGES * len(JOB_PARTITIONS))
        self.assertEqual(store.most_in_progress, MAX_PARTITIONS_AT_ONCE)
