"""Which published forecasts a daemon uses."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

from loguru import logger as log

from fulmarlever.clock import ManualClock
from fulmarlever.outcomes import Unavailable
from fulmarleverd.scheduling.admission.forecast import Forecast, GroupLoad
from fulmarleverd.scheduling.admission.reader import ForecastReader
from fulmarleverd.scheduling.persistence.rows import ADMISSION_KEY, SUMMARY_TABLE, pack
from fulmarleverd.scheduling.ports import RowSet, StoredRow
from fulmarleverd.scheduling.published.publication import Publication
from fulmarleverd.scheduling.published.row import READ_PERIOD_S, STALE_S

STORE_TIME_S = 500.0
ROW = pack(Forecast.from_loads([GroupLoad("desk", 2, True, 8.0, ())], {}).to_data())


class OneRowStore:
    """A store that returns one row, or a failure."""

    def __init__(self) -> None:
        self.result: object = RowSet((), 1)
        self.reads = 0

    def put(self, value: bytes, version: int, age_s: float | None = 0.1) -> None:
        as_of_s = None if age_s is None else STORE_TIME_S - age_s
        published = Publication("vm-1", 7, as_of_s, value)
        row = replace(published.to_row(ADMISSION_KEY), version=version)
        self.result = RowSet((row,), version, False, STORE_TIME_S)

    async def read(self, *args: object) -> object:
        self.reads += 1
        return self.result


class ReaderTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        log.remove()
        self.clock = ManualClock()
        self.store = OneRowStore()
        self.reader = ForecastReader(self.store, self.clock)

    async def is_known(self) -> bool:
        """Ask once so that the row is read, then again."""
        self.clock.advance(1.1 * READ_PERIOD_S)
        self.reader.current()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return self.reader.current() is not None

    async def test_missing_and_malformed_rows_refuse_nothing(self) -> None:
        self.assertFalse(await self.is_known())
        for version, value in enumerate((b"", b"\xc1", pack([1]), pack("x")), start=1):
            self.store.put(ROW, 2 * version)
            self.assertTrue(await self.is_known())
            self.store.put(value, 2 * version + 1)
            self.assertFalse(await self.is_known(), value)

    async def test_a_row_that_its_owner_does_not_renew_refuses_nothing(self) -> None:
        # Load: the owner has crashed, and the next one is not there yet.
        self.store.put(ROW, 5)
        self.assertTrue(await self.is_known())
        self.clock.advance(STALE_S)
        self.assertFalse(await self.is_known())
        # The next owner publishes its own.
        self.store.put(ROW, 6)
        self.assertTrue(await self.is_known())
        self.assertLess(self.reader.age_s, READ_PERIOD_S)

    # Regression (MIXED): the age of a row counted from when this daemon first read it,
    # so after an idle time a row of an owner long gone looked new.
    async def test_an_old_row_that_is_first_read_now_refuses_nothing(self) -> None:
        # Load: this daemon gets its first job for a while; the owner is gone.
        rows = (("old", STALE_S + 0.1), ("not known", None), ("ahead", -0.1))
        for version, (name, age_s) in enumerate(rows, start=1):
            self.store.put(ROW, 2 * version)
            self.assertTrue(await self.is_known())
            self.store.put(ROW, 2 * version + 1, age_s)
            self.assertFalse(await self.is_known(), name)

    async def test_a_row_of_another_format_refuses_nothing(self) -> None:
        row = StoredRow(SUMMARY_TABLE, ADMISSION_KEY, ROW, 5)
        self.store.result = RowSet((row,), 5, False, STORE_TIME_S)
        self.assertFalse(await self.is_known())

    async def test_without_an_answer_of_the_store_the_row_ages(self) -> None:
        # Load: the daemon's zone is cut off, or the store is down.
        self.store.put(ROW, 5)
        self.assertTrue(await self.is_known())
        self.store.result = Unavailable("the store answers 503")
        self.assertTrue(await self.is_known())
        self.clock.advance(STALE_S)
        self.assertFalse(await self.is_known())

    async def test_many_jobs_ask_the_store_once(self) -> None:
        for _ in range(100):
            self.reader.current()
        await asyncio.sleep(0)
        self.assertEqual(self.store.reads, 1)
