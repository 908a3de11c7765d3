"""Plays of fixed seeds."""

from __future__ import annotations

from pathlib import Path

from loguru import logger as log

from fulmarlever.tests.base import TableTestCase
from fulmarlever_standins.simulation.plan import Plan
from fulmarlever_standins.simulation.runner import play

SECONDS = 10.0
SEEDS = range(1, 9)


# Plans that once violated an invariant; the first line of each file names the cause.
PLANS = Path(__file__).parent / "plans"


class SeedTests(TableTestCase):
    def setUp(self):
        log.remove()

    def test_no_invariant_is_violated(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = play(Plan.draw(seed, 8, 3, SECONDS))
                self.assertEqual(result.violations, [])
                self.assertGreater(result.tasks_done, 20)

    def test_plans_that_found_a_fault(self):
        for path in sorted(PLANS.glob("*.yaml")):
            with self.subTest(path.name):
                result = play(Plan.from_file(path))
                self.assertEqual(result.violations, [])
                self.assertTrue(result.trace)

    def test_a_seed_gives_the_same_trace_each_time(self):
        plan = Plan.draw(2, 8, 3, SECONDS)
        self.assertEqual(play(plan).trace, play(plan).trace)
