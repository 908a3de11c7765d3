"""Soak tests with the seeds that once led to a violation of an invariant."""

from __future__ import annotations

import asyncio
import unittest
from pathlib import Path

from fulmarlever_standins.soak.runner import run_seed

# Seed, seconds of faults, daemons, workers, and the fault of the code found with it.
SEEDS = (
    (1, 10.0, 3, 5, "steps of one task stayed on a worker that had become slow"),
    (103, 20.0, 4, 6, "the stand-in of a crashed worker reported ends"),
    (305, 12.0, 4, 6, "the next incarnation accepted a start: two runs at once"),
    (402, 12.0, 4, 6, "SIGHUP during the start ended a daemon"),
    (
        1554675687,
        14.0,
        4,
        6,
        "a task that ran slowly on a second worker was not moved away",
    ),
)
# The logs of failed seeds are copied to this directory.
LOGS = Path("results/soak")


class SeedTests(unittest.TestCase):
    """Soak tests outside asynchronous test cases.

    The debug mode of ``IsolatedAsyncioTestCase`` delays the platform stand-in.
    """

    def test_no_invariant_is_violated(self):
        for *options, cause in SEEDS:
            with self.subTest(seed=options[0], cause=cause):
                result = asyncio.run(run_seed(*options, LOGS))
                self.assertEqual(result.violations, [], sorted(result.faults))
                self.assertGreater(result.tasks_done, 20)

    # Regression (MIXED): daemons in touch gave the number of waiting jobs of an owner
    # long gone, while owners were struck as they took over.
    def test_daemons_in_touch_know_how_many_jobs_wait(self):
        result = asyncio.run(run_seed(5608, 20.0, 7, 6, LOGS, strikes=True))
        self.assertEqual(result.violations, [], sorted(result.faults))
        self.assertGreater(result.pending_answers, 100)
