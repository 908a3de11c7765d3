"""The scheduler's lease: who takes it when, and what its row tells a successor."""

from __future__ import annotations

import asyncio

from loguru import logger as log

from fulmarlever.clock import ManualClock
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.scheduling.lease import (
    EXTEND_GRACE_S,
    LEASE_S,
    SchedulerLease,
    handicap_s,
)
from fulmarleverd.scheduling.ports import Committed, RowSet, StoredRow, Transaction
from fulmarleverd.scheduling.rows import (
    LeaseRow,
    SilentWorker,
    lease_row,
    pack,
    pack_lease,
    unpack_lease,
)
from fulmarleverd.scheduling.runs import WorkerKey

SILENT = SilentWorker(WorkerKey("w1", "1"), 5.0)
OTHER = WorkerKey("w2", "1")
WATCHED_S = LEASE_S + 0.01


class OneRowStore:
    """A store that holds the lease's row alone."""

    def __init__(self):
        self.row: StoredRow | None = None
        self.version = 0

    async def read(self, *args: object) -> RowSet:
        return RowSet([self.row] if self.row else [], self.version)

    async def transact(self, tx: Transaction, timeout_s: float) -> Committed:
        self.write(tx.writes[0].value)
        return Committed(self.version)

    def write(self, value: bytes) -> None:
        self.version += 1
        self.row = lease_row(value, self.version)


class HandicapTests(TableTestCase):
    def test_vms_with_fewer_cores_wait_longer(self):
        rows = (("weak", 0.5, 0.6), ("usual", 1.07, 0.1), ("strong", 2.15, 0.0))
        for _, cores, expected in self.each(rows):
            self.assertEqual(handicap_s(cores), expected)


class SilentWorkersTests(TableTestCase):
    def setUp(self):
        log.remove()
        self.clock = ManualClock()
        self.store = OneRowStore()
        self.lease = SchedulerLease(self.store, self.clock, "vm-2")

    def take_from(self, vm: str, *silent: SilentWorker) -> None:
        """Take the lease from a holder that has named some silent workers."""
        self.store.write(pack_lease(LeaseRow(vm, "incarnation", 4, 9, silent)))
        self.assertEqual(asyncio.run(self.lease.try_acquire()), vm != "vm-1")
        self.clock.advance(WATCHED_S)
        if vm == "vm-1":
            self.assertTrue(asyncio.run(self.lease.try_acquire()))

    def test_until_when_earlier_holders_may_have_extended_leases(self):
        seen_s = self.clock.boot()
        rows = (
            ("silent", "vm-1", LEASE_S + EXTEND_GRACE_S),
            ("released", "", EXTEND_GRACE_S),
            ("earlier process", "vm-2", EXTEND_GRACE_S),
        )
        for _, vm, expected_s in self.each(rows):
            self.setUp()
            seen_s = self.clock.boot()
            self.take_from(vm)
            self.assertEqual(self.lease.earlier_grants_end_s, seen_s + expected_s)

    def test_a_lease_that_nobody_had_has_no_earlier_grants(self):
        self.assertTrue(asyncio.run(self.lease.try_acquire()))
        self.assertLessEqual(self.lease.earlier_grants_end_s, self.clock.boot())

    def test_a_successor_knows_what_is_left_of_a_silent_worker_s_lease(self):
        seen_s = self.clock.boot()
        self.take_from("vm-1", SILENT)
        ends_s = self.lease.earlier_lease_ends_s
        self.assertAlmostEqual(ends_s[SILENT.key], seen_s + SILENT.lease_left_s)
        self.assertNotIn(OTHER, ends_s)
        passed_on = unpack_lease(self.store.row).silent[0]
        self.assertEqual(passed_on.key, SILENT.key)
        self.assertAlmostEqual(passed_on.lease_left_s, SILENT.lease_left_s - WATCHED_S)

    def test_a_named_worker_gets_no_lease_until_a_commit_leaves_it_out(self):
        self.take_from("vm-1", SILENT)
        self.assertFalse(self.lease.may_grant(SILENT.key))
        self.assertTrue(self.lease.may_grant(OTHER))
        self.lease.silent_workers = list
        self.lease.next_value()
        self.assertFalse(self.lease.may_grant(SILENT.key), "not committed yet")
        self.lease.renewed(7, self.clock.boot())
        self.assertTrue(self.lease.may_grant(SILENT.key))

    def test_a_value_that_may_be_committed_late_counts_at_once(self):
        self.take_from("vm-1")
        self.lease.silent_workers = lambda: [SILENT]
        self.lease.next_value()
        self.assertFalse(self.lease.may_grant(SILENT.key))

    # Guards against: after a planned stop the leases of silent workers were unknown.
    def test_a_holder_that_stops_names_the_silent_workers_too(self):
        self.take_from("vm-1")
        self.lease.silent_workers = lambda: [SILENT]
        asyncio.run(self.lease.release())
        successor = SchedulerLease(self.store, self.clock, "vm-3")
        self.assertTrue(asyncio.run(successor.try_acquire()))
        self.assertEqual(list(successor.earlier_lease_ends_s), [SILENT.key])

    # Guards against: a daemon took the lease from an owner whose row it could not read.
    def test_the_lease_of_an_unreadable_row_is_taken_once_the_row_is_silent(self):
        for number in range(3):
            self.store.write(pack(["of", "another", "version", number]))
            self.assertFalse(asyncio.run(self.lease.try_acquire()))
            self.clock.advance(LEASE_S * 0.9)
        token_bound = self.store.version
        self.clock.advance(LEASE_S)
        self.assertTrue(asyncio.run(self.lease.try_acquire()))
        self.assertGreater(self.lease.token, token_bound)
        self.assertGreater(self.lease.earlier_grants_end_s, self.clock.boot() - LEASE_S)

    def test_a_row_of_an_earlier_version_names_nobody(self):
        row = lease_row(pack(["vm-1", "incarnation", 4, 9]))
        self.assertEqual(unpack_lease(row), LeaseRow("vm-1", "incarnation", 4, 9))
