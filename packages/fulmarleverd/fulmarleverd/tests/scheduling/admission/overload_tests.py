"""Which priorities an overloaded owner refuses, and how daemons learn of it."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

from fulmarlever.clock import ManualClock
from fulmarlever.outcomes import Unavailable
from fulmarleverd.loop_delay import LoopDelay
from fulmarleverd.scheduling.admission.overload import (
    OverloadPublisher,
    OverloadReader,
)
from fulmarleverd.scheduling.persistence.rows import (
    OVERLOAD_KEY,
    SUMMARY_TABLE,
    pack,
    unpack,
)
from fulmarleverd.scheduling.planning.start_rate import (
    ADJUST_PERIOD_S,
    MAX_DELAY_S,
    StartRate,
)
from fulmarleverd.scheduling.ports import RowSet, StoredRow
from fulmarleverd.scheduling.published.publication import Publication
from fulmarleverd.scheduling.published.row import READ_PERIOD_S, STALE_S
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.tests.scheduling.base import QUEUE, OwnerTestCase
from fulmarleverd.tests.scheduling.published.values import published_value

URGENT = replace(QUEUE, name="urgent", priority=0)
STARTS_PER_S = 10.0
STORE_TIME_S = 500.0


class PublisherTests(OwnerTestCase):
    # Name, urgent jobs, other jobs, tasks of each, starts are limited, expected.
    ROWS = (
        ("few jobs", 2, 2, 4, True, None),
        ("too many tasks", 0, 4, 100, True, 2),
        ("too many jobs", 0, 30, 1, True, 2),
        ("too many urgent tasks", 4, 0, 100, True, 0),
        ("urgent jobs are few", 2, 30, 1, True, 2),
        # Regression: a burst on a VM with time to spare made its owner refuse jobs.
        ("a burst on a punctual VM", 0, 30, 100, False, None),
    )

    def setUp(self):
        super().setUp()
        self.rows: list[StoredRow] = []
        self.commits.stage_row = self.rows.append

    def publish(self, urgent: int, others: int, tasks: int, is_limited: bool) -> None:
        step = StepSpec(count=tasks, cpu_m=1000, estimate_s=1.0)
        self.rate = self.limited_rate() if is_limited else self.burst_rate()
        for number in range(urgent):
            self.add_job(f"u{number}", step, queue=URGENT)
        for number in range(others):
            self.add_job(f"o{number}", step)
        self.publisher = OverloadPublisher(self.owner, self.rate)
        self.publisher.tick()

    def limited_rate(self) -> StartRate:
        """Return the rate of a VM that was late and has used up its starts since."""
        delay = LoopDelay()
        rate = StartRate(delay, self.clock)
        delay.recent_s = 2 * MAX_DELAY_S
        for _ in range(100):
            self.clock.advance(ADJUST_PERIOD_S)
            rate.take(rate.available())
        rate.made_per_s = STARTS_PER_S
        return rate

    def burst_rate(self) -> StartRate:
        """Return the rate of a punctual VM after a burst that used up its starts."""
        rate = StartRate(LoopDelay(), self.clock)
        for _ in range(3):
            self.clock.advance(ADJUST_PERIOD_S)
            rate.take(10_000)
        rate.made_per_s = STARTS_PER_S
        return rate

    def test_the_least_urgent_jobs_are_refused_first(self):
        for _, urgent, others, tasks, is_limited, expected in self.each(self.ROWS):
            self.owner.jobs.clear()
            self.publish(urgent, others, tasks, is_limited)
            row = self.rows[-1]
            self.assertEqual((row.table, row.key), (SUMMARY_TABLE, OVERLOAD_KEY))
            refused_from = unpack(published_value(row))[0] if row.value else None
            self.assertEqual(refused_from, expected)

    def test_the_row_is_removed_after_the_overload(self):
        self.publish(0, 30, 1, True)
        for _ in range(50):
            self.clock.advance(ADJUST_PERIOD_S)
            self.rate.available()
        self.publisher.tick()
        self.assertEqual(self.rows[-1].value, b"")
        count = len(self.rows)
        self.clock.advance(10.0)
        self.publisher.tick()
        self.assertEqual(len(self.rows), count)


class OneRowStore:
    """A store that returns one row, or a failure."""

    def __init__(self) -> None:
        self.result: object = RowSet((), 1)
        self.reads = 0

    def put(self, priority: int, version: int) -> None:
        self.put_value(pack([priority]), version)

    def put_value(self, value: bytes, version: int, age_s: float = 0.1) -> None:
        published = Publication("vm-1", 7, STORE_TIME_S - age_s, value)
        row = replace(published.to_row(OVERLOAD_KEY), version=version)
        self.result = RowSet((row,), version, False, STORE_TIME_S)

    async def read(self, *args: object) -> object:
        self.reads += 1
        return self.result


class ReaderTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.store = OneRowStore()
        self.reader = OverloadReader(self.store, self.clock)

    async def is_refused(self, queue: object = QUEUE) -> bool:
        """Ask once so that the row is read, then again."""
        self.clock.advance(1.1 * READ_PERIOD_S)
        self.reader.find_refusal(queue)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return self.reader.find_refusal(queue) is not None

    async def test_queues_from_the_priority_on_are_refused(self) -> None:
        self.assertFalse(await self.is_refused())
        self.store.put(2, 5)
        self.assertTrue(await self.is_refused())
        self.assertFalse(await self.is_refused(URGENT))

    async def test_a_row_that_is_not_renewed_counts_no_more(self) -> None:
        self.store.put(2, 5)
        self.assertTrue(await self.is_refused())
        self.clock.advance(STALE_S)
        self.assertFalse(await self.is_refused())
        self.store.put(2, 6)
        self.assertTrue(await self.is_refused())

    # Regression: after an idle time, the row of an owner long gone refused jobs.
    async def test_an_old_row_that_is_first_read_now_refuses_nothing(self) -> None:
        self.store.put_value(pack([2]), 5, age_s=STALE_S + 0.1)
        self.assertFalse(await self.is_refused())

    async def test_missing_and_malformed_rows_refuse_nothing(self) -> None:
        for version, value in enumerate((b"", b"\xc1", pack([]), pack(["x"])), start=1):
            self.store.put(2, 2 * version)
            self.assertTrue(await self.is_refused())
            self.store.put_value(value, 2 * version + 1)
            self.assertFalse(await self.is_refused(), value)
        self.store.put(2, 100)
        self.assertTrue(await self.is_refused())
        self.store.result = RowSet((), 101)
        self.assertFalse(await self.is_refused())

    async def test_without_an_answer_of_the_store_jobs_are_accepted_again(self) -> None:
        self.store.put(2, 5)
        self.assertTrue(await self.is_refused())
        self.store.result = Unavailable("the store answers 503")
        self.clock.advance(STALE_S)
        self.assertFalse(await self.is_refused())

    async def test_the_store_is_asked_now_and_then(self) -> None:
        for _ in range(100):
            self.reader.find_refusal(QUEUE)
        await asyncio.sleep(0)
        self.assertEqual(self.store.reads, 1)
