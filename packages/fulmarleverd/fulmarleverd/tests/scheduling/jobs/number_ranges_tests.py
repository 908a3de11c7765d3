"""Sets of numbers as ranges, compared with plain sets."""

from __future__ import annotations

import unittest
from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from fulmarleverd.scheduling.jobs.number_ranges import NumberRanges

NUMBERS = st.lists(st.integers(0, 40))


class NumberRangesTests(unittest.TestCase):
    @given(NUMBERS)
    def test_it_equals_a_plain_set(self, numbers):
        ranges, plain = NumberRanges(), set()
        for number in numbers:
            ranges.add(number)
            plain.add(number)
        self.assertEqual(len(ranges), len(plain))
        for number in range(45):
            self.assertEqual(number in ranges, number in plain)
            missing = next(n for n in range(number, 100) if n not in plain)
            self.assertEqual(ranges.first_missing(number), missing)

    @given(NUMBERS)
    def test_it_is_restored_from_its_ranges(self, numbers):
        ranges = NumberRanges()
        for number in numbers:
            ranges.add(number)
        stored = ranges.to_list()
        self.assertEqual(NumberRanges(stored).to_list(), stored)
        gaps = sum(b - a > 1 for a, b in pairwise(sorted(numbers)))
        self.assertEqual(len(stored), gaps + bool(numbers))

    def test_ranges_out_of_order_are_refused(self):
        for ranges in ([(2, 2)], [(3, 1)], [(0, 2), (2, 3)], [(4, 5), (0, 1)]):
            with self.subTest(ranges=ranges), self.assertRaises(ValueError):
                NumberRanges(ranges)
