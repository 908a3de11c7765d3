"""Refusals as callers get them from the intake of a daemon."""

from __future__ import annotations

import asyncio
import unittest

from loguru import logger as log
from prometheus_client import REGISTRY

from fulmarlever.clock import ManualClock
from fulmarlever.outcomes import NotRun
from fulmarleverd.scheduling.admission.forecast import Forecast, GroupLoad
from fulmarleverd.scheduling.admission.refusals import AdmissionRefusal
from fulmarleverd.scheduling.persistence.rows import (
    ADMISSION_KEY,
    JOBS_TABLE,
    OVERLOAD_KEY,
    pack,
)
from fulmarleverd.scheduling.ports import Committed, RowSet, StoredRow, Transaction
from fulmarleverd.scheduling.published.publication import Publication
from fulmarleverd.scheduling.specs import JobSpec, QueueSpec, StepSpec
from fulmarleverd.scheduling.submission.intake import Intake

URGENT = QueueSpec("urgent", "h", "/u/", "desk", 0, 3, 2.0, 1.0)
BATCH = QueueSpec("batch", "h", "/b/", "desk", 2, 3, 2.0, 1.0)
STEP = StepSpec(count=10, cpu_m=1000, estimate_s=1.0)
HOUR_S = 3600.0
STORE_TIME_S = 500.0


class RowStore:
    """A store in memory, of which each read and write succeeds."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.version = 0

    def put(self, table: str, key: str, value: bytes) -> None:
        self.version += 1
        self.rows[table, key] = StoredRow(table, key, value, self.version)

    def publish(self, key: str, value: bytes) -> None:
        row = Publication("vm-1", 7, STORE_TIME_S, value).to_row(key)
        self.put(row.table, row.key, row.value)

    async def read(self, table: str, first: str, *args: object) -> RowSet:
        row = self.rows.get((table, first))
        return RowSet((row,) if row else (), self.version, False, STORE_TIME_S)

    async def transact(self, tx: Transaction, timeout_s: float) -> Committed:
        for row in tx.writes:
            self.put(row.table, row.key, row.value)
        return Committed(self.version)


class RefusalTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        log.remove()
        self.clock = ManualClock()
        self.store = RowStore()
        self.intake = Intake(self.store, self.clock, queues=lambda: (URGENT, BATCH))

    def publish(self, wait_s: float) -> None:
        load = GroupLoad("desk", 2, False, 8.0, (), urgent_work_core_s=8.0 * wait_s)
        data = Forecast.from_loads([load], {}).to_data()
        self.store.publish(ADMISSION_KEY, pack(data))

    async def submit(self, job_id: str, queue: QueueSpec = BATCH) -> object:
        until_s = self.clock.monotonic() + 2.0
        return await self.intake.submit(JobSpec(job_id, "", (STEP,)), queue, until_s)

    async def read_rows(self) -> None:
        """Let the daemon read what is published."""
        self.clock.advance(1.0)
        await self.submit("first")
        await asyncio.sleep(0.0)
        await asyncio.sleep(0.0)

    async def test_a_late_job_is_refused_and_not_stored(self) -> None:
        self.publish(HOUR_S)
        await self.read_rows()
        before = self.count_refusals()
        refusal = await self.submit("late")
        self.assertIsInstance(refusal, AdmissionRefusal)
        self.assertEqual(refusal.status, 429)
        self.assertNotIn((JOBS_TABLE, "late"), self.store.rows)
        self.assertEqual(self.count_refusals() - before, 1.0)
        self.assertIsNone(await self.submit("urgent", URGENT))

    def count_refusals(self) -> float:
        name = "fulmarlever_admission_refusals_total"
        return REGISTRY.get_sample_value(name, {"reason": "forecast"}) or 0.0

    async def test_a_job_that_is_stored_is_accepted_again(self) -> None:
        # Load: a caller that repeats its request as the overload begins, also if the
        # first attempt is stored while the second one is judged.
        self.assertIsNone(await self.submit("stored"))
        self.publish(HOUR_S)
        await self.read_rows()
        self.assertIsNone(await self.submit("stored"))
        self.assertIsInstance(await self.submit("late"), NotRun)
        self.store.put(JOBS_TABLE, "late", b"")
        self.assertIsNone(await self.submit("late"))

    async def test_refusals_of_an_overloaded_owner_are_spread(self) -> None:
        # Guards against refused callers that all return at the same time.
        self.store.publish(OVERLOAD_KEY, pack([1]))
        await self.read_rows()
        told_s = []
        for number in range(90):
            refusal = await self.submit(f"j{number}")
            self.assertNotIsInstance(refusal, AdmissionRefusal)
            told_s.append(refusal.retry_after_s)
        self.assertEqual(set(told_s), {1.0, 2.0, 3.0})
        self.assertLess(max(told_s.count(value) for value in set(told_s)), 40)
