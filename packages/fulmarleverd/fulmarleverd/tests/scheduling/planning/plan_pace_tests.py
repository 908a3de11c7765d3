"""The pauses between plans, whatever a plan takes."""

from __future__ import annotations

from fulmarlever.clock import ManualClock
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.loop_delay import LoopDelay
from fulmarleverd.scheduling.planning.plan_pace import pause_s
from fulmarleverd.scheduling.planning.start_rate import StartRate


class PlanPaceTests(TableTestCase):
    def test_pauses(self):
        rows = (
            ("short plan", 5, 0.001, False, 0.004),
            ("nothing started", 0, 0.001, False, 0.02),
            ("long plan", 5, 0.2, False, 0.4),
            ("limited, short plan", 5, 0.001, True, 0.1),
            ("limited, long plan", 5, 0.1, True, 0.5),
            ("limited, longer plan", 5, 0.4, True, 0.6),
            ("limited, longest plan", 5, 2.0, True, 0.1),
        )
        for _, started, took_s, is_limiting, expected in self.each(rows):
            self.assertAlmostEqual(pause_s(started, took_s, is_limiting), expected)

    # Guards against jobs that stand still after a plan in which the VM stood still.
    def test_pauses_are_short_after_a_plan_of_any_length(self):
        for is_limiting in (False, True):
            for took_s in (0.6, 1.5, 10.0, 600.0):
                with self.subTest(is_limiting=is_limiting, took_s=took_s):
                    self.assertLessEqual(pause_s(0, took_s, is_limiting), 1.0)

    # Guards against an owner that starts a fraction of what its VM can carry, the less
    # the longer its plans take.
    def test_long_plans_do_not_lower_the_rate_of_starts(self):
        for took_s in (0.001, 0.02, 0.1, 0.3, 0.8):
            clock = ManualClock()
            rate = StartRate(LoopDelay(), clock)
            started, allowed = 0, 0.0
            for _ in range(50):
                since_s = clock.now
                available = rate.available()
                rate.take(available)
                started += available
                clock.advance(took_s)
                clock.advance(pause_s(available, took_s, rate.is_limiting))
                allowed += rate.per_s * (clock.now - since_s)
            with self.subTest(took_s=took_s):
                self.assertGreater(started, 0.9 * allowed)
