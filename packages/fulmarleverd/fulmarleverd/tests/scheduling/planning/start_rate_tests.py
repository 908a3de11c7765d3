"""The limit of starts per second follows the delay of the event loop."""

from __future__ import annotations

from fulmarlever.clock import ManualClock
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.loop_delay import LoopDelay
from fulmarleverd.scheduling.planning.start_rate import (
    ADJUST_PERIOD_S,
    BURST_S,
    INITIAL_STARTS_PER_CORE_S,
    MAX_DELAY_S,
    MAX_REFILL_S,
    MIN_STARTS_PER_S,
    STOP_DELAY_S,
    StartRate,
)


class StartRateTests(TableTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.delay = LoopDelay()
        self.rate = StartRate(self.delay, self.clock)

    def pass_periods(self, periods: int, *, wanted: bool = True) -> None:
        """Let periods pass; use up what is available in each if starts are wanted."""
        for _ in range(periods):
            self.clock.advance(ADJUST_PERIOD_S)
            available = self.rate.available()
            self.rate.take(available if wanted else 0)

    def test_rate_follows_the_delay(self):
        rows = (
            ("late and wanted", 2 * MAX_DELAY_S, True, "falls"),
            ("late and idle", 2 * MAX_DELAY_S, False, "falls"),
            ("punctual and wanted", 0.0, True, "grows"),
            ("punctual and idle", 0.0, False, "stays"),
        )
        for _, recent_s, wanted, expected in self.each(rows):
            self.rate = StartRate(self.delay, self.clock)
            self.delay.recent_s = recent_s
            self.pass_periods(10, wanted=wanted)
            change = self.rate.per_s - INITIAL_STARTS_PER_CORE_S
            seen = "grows" if change > 0 else "falls" if change < 0 else "stays"
            self.assertEqual(seen, expected)

    def test_the_first_limit_follows_the_cores(self):
        rows = (("small", 0.12, 180.0), ("usual", 1.0, 1500.0), ("none", 0.0, 10.0))
        for _, cores, expected in self.each(rows):
            rate = StartRate(self.delay, self.clock, cores)
            self.assertAlmostEqual(rate.per_s, expected)

    def test_rate_never_falls_to_nothing(self):
        self.delay.recent_s = 10.0
        self.pass_periods(1000)
        self.assertEqual(self.rate.per_s, MIN_STARTS_PER_S)

    def test_nothing_starts_while_the_loop_is_far_behind(self):
        self.delay.recent_s = 2 * STOP_DELAY_S
        self.assertEqual(self.rate.available(), 0)
        self.assertTrue(self.rate.is_limiting)
        self.delay.recent_s = 0.0
        self.assertGreater(self.rate.available(), 0)

    def test_no_more_starts_than_the_rate_allows(self):
        self.delay.recent_s = 2 * MAX_DELAY_S
        self.pass_periods(1000)
        started = 0
        for _ in range(100):
            self.clock.advance(0.05)
            available = self.rate.available()
            self.rate.take(available)
            started += available
        self.assertLessEqual(started, MIN_STARTS_PER_S * (5.0 + BURST_S) + 1)

    # Guards against an owner that starts a fraction of what its VM can carry: unused
    # starts lapsed between two plans, so more waiting tasks meant fewer starts.
    def test_pauses_between_plans_do_not_lower_the_rate(self):
        rows = (("short", 0.05), ("usual", 0.1), ("long", 0.65), ("longest", 1.0))
        for _, pause_s in self.each(rows):
            rate = StartRate(self.delay, self.clock)
            started, wanted, passed_s = 0, 0.0, 0.0
            while passed_s < 10.0:
                self.clock.advance(pause_s)
                passed_s += pause_s
                available = rate.available()
                rate.take(available)
                started += available
                wanted += rate.per_s * pause_s
            self.assertGreater(started, 0.9 * wanted)
            self.assertLessEqual(started, wanted + rate.per_s * BURST_S)

    def test_starts_of_a_long_time_without_a_plan_are_not_made_at_once(self):
        self.clock.advance(60.0)
        most = INITIAL_STARTS_PER_CORE_S * (MAX_REFILL_S + BURST_S)
        self.assertLessEqual(self.rate.available(), most)

    def test_a_gang_takes_starts_in_advance(self):
        self.rate.take(int(INITIAL_STARTS_PER_CORE_S))
        self.assertEqual(self.rate.available(), 0)
        self.assertTrue(self.rate.is_limiting)
        self.clock.advance(2.0)
        self.assertGreater(self.rate.available(), 0)
        self.assertFalse(self.rate.is_limiting)
