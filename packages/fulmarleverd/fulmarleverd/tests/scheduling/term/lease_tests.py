"""Tests of the scheduler's lease: its takeover and what its row tells a successor."""

from __future__ import annotations

import asyncio

from loguru import logger as log

from fulmarlever.clock import ManualClock
from fulmarlever.outcomes import OutcomeUnknown
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.scheduling.persistence.rows import (
    LeaseRow,
    UnresponsiveWorker,
    lease_row,
    pack,
    pack_lease,
    unpack_lease,
)
from fulmarleverd.scheduling.ports import (
    Committed,
    ConditionFailed,
    RowSet,
    StoredRow,
    Transaction,
)
from fulmarleverd.scheduling.specs import WorkerKey
from fulmarleverd.scheduling.term.lease import (
    EXTEND_GRACE_S,
    LEASE_S,
    SchedulerLease,
    acquire_delay_s,
)

UNRESPONSIVE = UnresponsiveWorker(WorkerKey("w1", "1"), 5.0)
OTHER = WorkerKey("w2", "1")
WATCH_S = LEASE_S + 0.01


class OneRowStore:
    """A store that holds only the lease's row."""

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


class SilentStore(OneRowStore):
    """A store whose writes take effect, but are not answered."""

    async def transact(self, tx: Transaction, timeout_s: float) -> OutcomeUnknown:
        self.write(tx.writes[0].value)
        return OutcomeUnknown("no answer in time")


class LateStore(OneRowStore):
    """A store that carries out the first of two writes only as the second arrives.

    ``answers`` are the answers to the writes; ``None`` stands for the failure of the
    condition.
    """

    def __init__(self, *answers: OutcomeUnknown | None) -> None:
        super().__init__()
        self._answers = list(answers)
        self._late: bytes | None = None

    async def transact(self, tx: Transaction, timeout_s: float) -> object:
        if self._late is None:
            self._late = tx.writes[0].value
        else:
            self.write(self._late)
        return self._answers.pop(0) or ConditionFailed([self.row])


class AcquireDelayTests(TableTestCase):
    def test_vms_with_fewer_cores_wait_longer(self):
        rows = (
            ("few cores", 0.5, 0.6),
            ("average", 1.07, 0.1),
            ("many cores", 2.15, 0.0),
        )
        for _, cores, expected in self.each(rows):
            self.assertEqual(acquire_delay_s(cores), expected)


class UnresponsiveWorkersTests(TableTestCase):
    def setUp(self):
        log.remove()
        self.clock = ManualClock()
        self.store = OneRowStore()
        self.lease = SchedulerLease(self.store, self.clock, "vm-2")

    def take_lease_from(self, vm: str, *unresponsive: UnresponsiveWorker) -> None:
        """Take the lease from a holder that has listed some unresponsive workers."""
        self.store.write(pack_lease(LeaseRow(vm, "incarnation", 4, 9, unresponsive)))
        self.assertEqual(asyncio.run(self.lease.try_acquire()), vm != "vm-1")
        self.clock.advance(WATCH_S)
        if vm == "vm-1":
            self.assertTrue(asyncio.run(self.lease.try_acquire()))

    def test_end_of_possible_lease_extensions_by_earlier_holders(self):
        first_seen_s = self.clock.boot()
        rows = (
            ("not renewed", "vm-1", LEASE_S + EXTEND_GRACE_S),
            ("released", "", EXTEND_GRACE_S),
            ("earlier process", "vm-2", EXTEND_GRACE_S),
        )
        for _, vm, expected_s in self.each(rows):
            self.setUp()
            first_seen_s = self.clock.boot()
            self.take_lease_from(vm)
            self.assertEqual(
                self.lease.earlier_extensions_end_s, first_seen_s + expected_s
            )

    def test_an_unanswered_take_extends_no_earlier_lease(self):
        """A task of a lost worker waits for as long after a take without an answer."""
        self.store = SilentStore()
        self.lease = SchedulerLease(self.store, self.clock, "vm-2")
        holder = LeaseRow("vm-1", "incarnation", 4, 9, (UNRESPONSIVE,))
        self.store.write(pack_lease(holder))
        first_seen_s = self.clock.boot()
        self.assertFalse(asyncio.run(self.lease.try_acquire()))
        self.clock.advance(WATCH_S)
        self.assertFalse(asyncio.run(self.lease.try_acquire()))
        self.clock.advance(1.5)
        self.assertTrue(asyncio.run(self.lease.try_acquire()))
        end_s = first_seen_s + LEASE_S + EXTEND_GRACE_S
        self.assertAlmostEqual(self.lease.earlier_extensions_end_s, end_s)
        left_s = self.lease.earlier_lease_ends_s[UNRESPONSIVE.key] - first_seen_s
        self.assertAlmostEqual(left_s, UNRESPONSIVE.lease_left_s)

    # Guards against a lease that is held longer, or counted from later, than the
    # attempt that took effect allows.
    def test_the_attempt_that_took_effect_counts(self):
        rows = (
            ("the first of two", OutcomeUnknown("none"), OutcomeUnknown("none")),
            ("the first, which fails the second", OutcomeUnknown("none"), None),
        )
        for _, first, second in self.each(rows):
            self.setUp()
            self.store = store = LateStore(first, second)
            self.lease = SchedulerLease(store, self.clock, "vm-2")
            store.write(pack_lease(LeaseRow("vm-1", "incarnation", 4, 9)))
            first_seen_s = self.clock.boot()
            self.assertFalse(asyncio.run(self.lease.try_acquire()))
            self.clock.advance(WATCH_S)
            sent_s = self.clock.boot()
            self.assertFalse(asyncio.run(self.lease.try_acquire()))
            self.clock.advance(1.0)
            self.assertFalse(asyncio.run(self.lease.try_acquire()))
            self.clock.advance(0.2)
            self.assertTrue(asyncio.run(self.lease.try_acquire()))
            self.assertAlmostEqual(self.lease.valid_until_s, sent_s + LEASE_S)
            end_s = first_seen_s + LEASE_S + EXTEND_GRACE_S
            self.assertAlmostEqual(self.lease.earlier_extensions_end_s, end_s)

    def test_an_own_row_from_before_a_loss_is_not_adopted(self):
        self.store.write(pack_lease(LeaseRow("", "incarnation", 4, 9)))
        self.assertTrue(asyncio.run(self.lease.try_acquire()))
        self.lease.mark_lost()
        silent = SilentStore()
        silent.row, silent.version = self.store.row, self.store.version
        silent.write = lambda value: None
        self.lease._store = silent
        for _ in range(3):
            self.assertFalse(asyncio.run(self.lease.try_acquire()))
        self.assertFalse(self.lease.is_held)

    def test_a_lease_without_an_earlier_holder_has_no_earlier_extensions(self):
        self.assertTrue(asyncio.run(self.lease.try_acquire()))
        self.assertLessEqual(self.lease.earlier_extensions_end_s, self.clock.boot())

    def test_a_successor_knows_the_time_left_of_an_unresponsive_workers_lease(self):
        first_seen_s = self.clock.boot()
        self.take_lease_from("vm-1", UNRESPONSIVE)
        ends_s = self.lease.earlier_lease_ends_s
        self.assertAlmostEqual(
            ends_s[UNRESPONSIVE.key], first_seen_s + UNRESPONSIVE.lease_left_s
        )
        self.assertNotIn(OTHER, ends_s)
        relisted = unpack_lease(self.store.row).unresponsive[0]
        self.assertEqual(relisted.key, UNRESPONSIVE.key)
        self.assertAlmostEqual(
            relisted.lease_left_s, UNRESPONSIVE.lease_left_s - WATCH_S
        )

    def test_a_listed_worker_gets_no_lease_until_a_commit_removes_it(self):
        self.take_lease_from("vm-1", UNRESPONSIVE)
        self.assertFalse(self.lease.may_grant_lease(UNRESPONSIVE.key))
        self.assertTrue(self.lease.may_grant_lease(OTHER))
        self.lease.unresponsive_workers = list
        self.lease.next_row_value()
        self.assertFalse(
            self.lease.may_grant_lease(UNRESPONSIVE.key), "not committed yet"
        )
        self.lease.record_renewal(7, self.clock.boot())
        self.assertTrue(self.lease.may_grant_lease(UNRESPONSIVE.key))

    def test_a_worker_in_an_uncommitted_value_gets_no_lease(self):
        self.take_lease_from("vm-1")
        self.lease.unresponsive_workers = lambda: [UNRESPONSIVE]
        self.lease.next_row_value()
        self.assertFalse(self.lease.may_grant_lease(UNRESPONSIVE.key))

    # Guards against a release of the lease that dropped the list of unresponsive
    # workers, so that the successor did not know the ends of their leases.
    def test_a_released_row_lists_the_unresponsive_workers(self):
        self.take_lease_from("vm-1")
        self.lease.unresponsive_workers = lambda: [UNRESPONSIVE]
        asyncio.run(self.lease.release())
        successor = SchedulerLease(self.store, self.clock, "vm-3")
        self.assertTrue(asyncio.run(successor.try_acquire()))
        self.assertEqual(list(successor.earlier_lease_ends_s), [UNRESPONSIVE.key])

    # Guards against taking the lease from a running owner because its row cannot be
    # decoded.
    def test_the_lease_of_an_undecodable_row_is_taken_once_the_row_stops_changing(self):
        for number in range(3):
            self.store.write(pack(["of", "another", "version", number]))
            self.assertFalse(asyncio.run(self.lease.try_acquire()))
            self.clock.advance(LEASE_S * 0.9)
        token_bound = self.store.version
        self.clock.advance(LEASE_S)
        self.assertTrue(asyncio.run(self.lease.try_acquire()))
        self.assertGreater(self.lease.token, token_bound)
        self.assertGreater(
            self.lease.earlier_extensions_end_s, self.clock.boot() - LEASE_S
        )

    def test_a_row_of_an_earlier_version_lists_no_workers(self):
        row = lease_row(pack(["vm-1", "incarnation", 4, 9]))
        self.assertEqual(unpack_lease(row), LeaseRow("vm-1", "incarnation", 4, 9))
