"""Plays of fixed seeds."""

from __future__ import annotations

from loguru import logger as log

from fulmarlever.tests.base import TableTestCase
from fulmarlever_standins.simulation.plan import Plan
from fulmarlever_standins.simulation.runner import play

SECONDS = 10.0
SEEDS = range(1, 9)


# Seeds that once broke a promise, played for 20 s, with the cause.
FOUND_SEEDS = (
    (1016, "long-running tasks were preempted for steps whose turn had not come"),
)


class SeedTests(TableTestCase):
    def setUp(self):
        log.remove()

    def test_no_promise_is_broken(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = play(Plan.draw(seed, 8, 3, SECONDS))
                self.assertEqual(result.violations, [])
                self.assertGreater(result.tasks_done, 20)

    def test_seeds_that_found_a_fault(self):
        for seed, cause in FOUND_SEEDS:
            with self.subTest(seed=seed, cause=cause):
                result = play(Plan.draw(seed, 8, 3, 20.0))
                self.assertEqual(result.violations, [])

    def test_a_seed_gives_the_same_trace_each_time(self):
        plan = Plan.draw(2, 8, 3, SECONDS)
        self.assertEqual(play(plan).trace, play(plan).trace)
