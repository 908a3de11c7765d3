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
)
# The logs of a seed that fails are kept here.
LOGS = Path("results/soak")


class SeedTests(unittest.IsolatedAsyncioTestCase):
    async def test_no_promise_is_broken(self):
        runs = (run_seed(*row[:4], LOGS) for row in SEEDS)
        for row, result in zip(SEEDS, await asyncio.gather(*runs), strict=True):
            with self.subTest(seed=row[0], cause=row[4]):
                self.assertEqual(result.broken, [], sorted(result.faults))
                self.assertGreater(result.tasks_done, 20)
