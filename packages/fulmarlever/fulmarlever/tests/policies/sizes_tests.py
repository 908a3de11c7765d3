from __future__ import annotations

from fulmarlever.policies.sizes import (
    MAX_FACTOR,
    MIN_REPORTS,
    MIN_SAMPLES,
    LearnedSizes,
)
from fulmarlever.structure.size import Size
from fulmarlever.tests.base import TableTestCase

DECLARED = Size(10.0, 1000.0, 1)

# case, cores used, memory used, cores reserved, memory reserved
ROWS = (
    ("declared far too large", 2.0, 200.0, 2.2, 220.0),
    ("declared far too small", 20.0, 2000.0, 22.0, 2200.0),
    ("fully used", 10.0, 1000.0, 10.0, 1000.0),
    ("nearly fully used", 9.5, 980.0, 10.0, 1000.0),
    ("less than the minimum", 0.1, 1.0, 1.0, 100.0),
    ("more than the maximum", 900.0, 90000.0, 40.0, 4000.0),
)


class LearnedSizesTests(TableTestCase):
    def learn(self, sizes: LearnedSizes, usage: Size) -> None:
        for number in range(MIN_SAMPLES):
            for _ in range(MIN_REPORTS):
                sizes.observe("kind", f"task{number}", usage)
            sizes.record_end("kind", f"task{number}", 5.0)

    def test_reservation_follows_use_in_both_directions(self):
        for _, cores, memory, expected_cores, expected_memory in self.each(ROWS):
            sizes = LearnedSizes()
            self.learn(sizes, Size(cores, memory))
            size = sizes.size("kind", DECLARED)
            self.assertAlmostEqual(size.cores, expected_cores)
            self.assertAlmostEqual(size.memory_mib, expected_memory)
            self.assertEqual(size.accelerators, 1)

    def test_task_that_uses_all_it_gets_does_not_grow_without_bound(self):
        sizes = LearnedSizes()
        size = DECLARED
        for _ in range(40):
            self.learn(sizes, size)
            size = sizes.size("kind", DECLARED)
        self.assertEqual(size, DECLARED)
        self.learn(sizes, Size(11.0, 1000.0))
        for _ in range(40):
            self.learn(sizes, size)
            size = sizes.size("kind", DECLARED)
        self.assertLessEqual(size.cores, MAX_FACTOR * DECLARED.cores)

    def test_declaration_is_used_until_there_are_enough_samples(self):
        sizes = LearnedSizes()
        sizes.observe("kind", "task0", Size(1.0, 10.0))
        self.assertEqual(sizes.size("kind", DECLARED), DECLARED)
        self.assertEqual(sizes.run_s("kind", 60.0), 60.0)
        self.learn(sizes, Size(1.0, 10.0))
        self.assertEqual(sizes.run_s("kind", 60.0), 5.0)
