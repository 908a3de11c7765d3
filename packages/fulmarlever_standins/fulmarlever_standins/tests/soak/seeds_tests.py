"""One short seeded run, and the seeds that once broke a promise."""

from __future__ import annotations

import asyncio
import unittest
from pathlib import Path

from fulmarlever_standins.soak.runner import run_seed

# Seed, seconds of faults, daemons, workers, and what was found with it.
SEEDS = (
    (1, 10.0, 3, 5, "steps of one task stayed on a worker that had become slow"),
    (103, 20.0, 4, 6, "the stand-in of a dead worker told of ends"),
    (305, 12.0, 4, 6, "the next life of a worker took a start: two runs at once"),
    (402, 12.0, 4, 6, "SIGHUP during the start ended a daemon"),
    (1554675687, 14.0, 4, 6, "a task that crawled on a second worker stayed there"),
)
# The logs of a seed that fails are kept here.
LOGS = Path("results/soak")


class SeedTests(unittest.TestCase):
    """Not in the debug mode of asynchronous test cases, which holds the platform up."""

    def test_no_promise_is_broken(self):
        for *options, cause in SEEDS:
            with self.subTest(seed=options[0], cause=cause):
                result = asyncio.run(run_seed(*options, LOGS))
                self.assertEqual(result.violations, [], sorted(result.faults))
                self.assertGreater(result.tasks_done, 20)
