"""When refused callers are told to return, and what their return is worth."""

from __future__ import annotations

from collections import Counter

from fulmarlever.clock import ManualClock
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.scheduling.admission.retries import (
    KEPT_S,
    MAX_REFUSALS,
    RetrySchedule,
    Return,
    RoomWindow,
)

LIGHT = RoomWindow(latest_s=3.0)


class RetryScheduleTests(TableTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.retries = RetrySchedule(self.clock)

    def refuse_many(self, count: int, window: RoomWindow, spread: str) -> list[float]:
        return [
            self.retries.refuse(f"j{number}", window, spread) for number in range(count)
        ]

    # Name, window, way to spread, earliest and latest expected return.
    ROWS = (
        ("a light overload", LIGHT, "even", 1, 3),
        ("room after 5 s, each job takes 0.1 s", RoomWindow(5, 40, 0.1), "room", 5, 25),
        ("room for the last jobs comes too late", RoomWindow(5, 9, 0.1), "room", 5, 9),
        ("room comes too late for all", RoomWindow(50, 20, 0.1), "room", 10, 20),
    )

    def test_returns_of_a_surge_are_spread_over_the_time_in_which_room_comes(self):
        # Guards against refused callers that all return at the same time.
        for _, window, spread, low_s, high_s in self.each(self.ROWS):
            self.retries = RetrySchedule(self.clock)
            told = Counter(self.refuse_many(200, window, spread))
            self.assertGreaterEqual(min(told), low_s)
            self.assertLessEqual(max(told), high_s)
            seconds = high_s - low_s
            self.assertGreaterEqual(len(told), seconds)
            self.assertLessEqual(max(told.values()), 2 * 200 / seconds)

    # Name, window, expected seconds.
    SINGLE_ROWS = (
        ("room at once", RoomWindow(0.0, 30.0, 0.1), 1),
        ("room in part of a second", RoomWindow(2.2, 30.0, 0.1), 3),
        ("use ends before a whole second", RoomWindow(5.0, 0.3, 0.1), 1),
        ("use ends in part of a second", RoomWindow(5.0, 4.9, 0.1), 3),
        ("no use left", RoomWindow(5.0, -3.0, 0.1), 1),
    )

    def test_a_caller_is_told_whole_seconds_within_the_use_of_its_job(self):
        for name, window, expected in self.each(self.SINGLE_ROWS):
            told_s = RetrySchedule(self.clock).refuse(name, window)
            self.assertEqual(told_s, expected)
            self.assertEqual(told_s, int(told_s))

    def test_the_use_of_a_job_counts_from_its_first_refusal(self):
        # Load: a caller that returns again and again.
        window = RoomWindow(6.0, 14.0, 0.1)
        self.assertEqual(self.retries.refuse("j", window), 6.0)
        self.clock.advance(6.0)
        self.assertEqual(self.retries.refuse("j", window), 4.0)
        self.clock.advance(5.0)
        self.assertLessEqual(self.retries.refuse("j", window), 3.0)

    # Name, seconds after which the caller returns, expected.
    RETURN_ROWS = (
        ("at once", 0.0, Return.EARLY),
        ("early", 4.0, Return.EARLY),
        ("in time", 6.0, Return.DUE),
        ("late", 9.0, Return.DUE),
        ("much too late", 6.1 + KEPT_S, Return.NEW),
    )

    def test_only_returns_at_the_time_or_later_have_precedence(self):
        for name, after_s, expected in self.each(self.RETURN_ROWS):
            self.assertIs(self.retries.classify(name), Return.NEW)
            self.retries.refuse(name, RoomWindow(6.0, 30.0))
            self.clock.advance(after_s)
            self.assertIs(self.retries.classify(name), expected)

    def test_early_returns_gain_no_earlier_time_and_delay_nobody(self):
        # Load: one caller that asks ten times a second.
        window = RoomWindow(6.0, 30.0, 2.0)
        self.retries.refuse("impatient", window)
        due_s = self.clock.now + 6.0
        for _ in range(50):
            self.clock.advance(0.1)
            told_s = self.retries.refuse("impatient", window)
            self.assertGreaterEqual(self.clock.now + told_s, due_s - 0.1)
        # The next caller is told the time after one job, not after 51.
        self.assertLessEqual(self.retries.refuse("other", window), 6.0)

    def test_the_table_is_bounded(self):
        # Load: callers that never return, under ids of their own.
        for number in range(MAX_REFUSALS + 500):
            self.retries.refuse(f"j{number}", LIGHT, "even")
        self.assertEqual(len(self.retries), MAX_REFUSALS)
        self.clock.advance(KEPT_S + 4.0)
        self.retries.refuse("late", LIGHT, "even")
        self.assertEqual(len(self.retries), 1)
