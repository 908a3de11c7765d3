"""Tests of the budget of bytes and of the limits derived from the VM."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.tests.base import TableTestCase
from fulmarleverd.connections.budget import (
    LARGE_REQUEST_BYTES,
    ByteBudget,
    Reservation,
    SpareChunks,
)
from fulmarleverd.connections.limits import (
    DAEMON_BYTES,
    MB,
    ConnectionLimits,
)

LIMIT = 10 * LARGE_REQUEST_BYTES
STEPS = st.lists(
    st.tuples(st.integers(0, 4), st.integers(0, 2 * LARGE_REQUEST_BYTES)), max_size=40
)


class ByteBudgetTests(TableTestCase):
    # Guards against a budget that shrinks with each connection that ends.
    @given(STEPS)
    def test_the_budget_is_kept_and_returns_to_zero(self, steps):
        budget = ByteBudget(LIMIT)
        reservations = [Reservation(budget) for _ in range(4)]
        for number, size in steps:
            if number == 4:
                reservations[size % 4].release()
            else:
                reservations[number].extend(size)
            self.assertLessEqual(budget.used, LIMIT)
            self.assertEqual(budget.used, sum(r.size for r in reservations))
        for reservation in reservations:
            reservation.release()
            reservation.release()
        self.assertEqual(budget.used, 0)

    # Guards against large bodies that leave nothing to ordinary jobs.
    def test_large_requests_leave_a_share_to_small_ones(self):
        budget = ByteBudget(LIMIT)
        for _ in range(100):
            Reservation(budget).extend(LARGE_REQUEST_BYTES + 1)
        self.assertFalse(Reservation(budget).extend(LARGE_REQUEST_BYTES + 1))
        self.assertTrue(Reservation(budget).extend(4000))

    def test_spare_chunks_come_back_with_time(self):
        spare = SpareChunks(per_s=10, burst=100, now_s=0.0)
        rows = (
            ("all at once", 0.0, 100, True),
            ("used up", 0.0, 1, False),
            ("some later", 1.0, 10, True),
            ("never more than the burst", 1000.0, 101, False),
        )
        for _, now_s, count, expected in self.each(rows):
            self.assertEqual(spare.take(count, now_s), expected)


class ConnectionLimitsTests(TableTestCase):
    def test_limits_of_a_vm_fit_into_its_memory_and_descriptors(self):
        rows = (
            ("smallest", 200, 4100),
            ("largest", 552, 8192),
            ("less than a daemon needs", 60, 300),
        )
        for _, memory_mb, fds in self.each(rows):
            limits = ConnectionLimits.from_settings(memory_mb * MB, fds)
            self.assertGreater(limits.buffered_bytes, 4 * limits.body_bytes)
            self.assertGreaterEqual(limits.connections, 16)
            self.assertLess(limits.connections, fds - 200)
            if memory_mb * MB > DAEMON_BYTES:
                used = DAEMON_BYTES + limits.buffered_bytes + limits.connections * 8192
                self.assertLess(used, memory_mb * MB)
