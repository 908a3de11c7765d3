from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.clock import ManualClock
from fulmarlever.hybrid_clock import (
    COUNTER_BITS,
    MAX_DRIFT_MS,
    HybridClock,
    stamp_wall_s,
)

PROCESSES = 3
# A step moves the wall clock of one process, possibly back, and then either records an
# event there or delivers a message from it to another process.
STEPS = st.lists(
    st.tuples(
        st.integers(0, PROCESSES - 1),
        st.integers(0, PROCESSES - 1),
        st.floats(-2.0, 2.0, allow_nan=False),
    ),
    max_size=60,
)


class HybridClockTests(unittest.TestCase):
    @given(STEPS)
    def test_stamps_respect_causal_order_over_processes(self, steps):
        walls = [ManualClock(1000.0 + index) for index in range(PROCESSES)]
        clocks = [HybridClock(wall) for wall in walls]
        latest = [0] * PROCESSES
        for source, target, move_s in steps:
            walls[source].advance(move_s)
            stamp = clocks[source].now()
            self.assertGreater(stamp, latest[source])
            latest[source] = stamp
            if source != target and clocks[target].observe(stamp):
                latest[target] = max(latest[target], stamp)

    @given(st.integers(1, 10**6))
    def test_stamp_of_a_clock_far_ahead_is_ignored(self, excess_ms):
        wall = ManualClock(1000.0)
        clock = HybridClock(wall)
        ahead = (1_000_000 + MAX_DRIFT_MS + excess_ms) << COUNTER_BITS
        self.assertFalse(clock.observe(ahead))
        self.assertLess(clock.now(), ahead)

    def test_stamp_contains_the_wall_time(self):
        clock = HybridClock(ManualClock(1000.25))
        self.assertEqual(stamp_wall_s(clock.now()), 1000.25)
