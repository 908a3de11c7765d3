"""Invariants are violated by a scheduler with a fault."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

from loguru import logger as log

from fulmarlever.tests.base import TableTestCase
from fulmarlever_standins.simulation.plan import Plan
from fulmarlever_standins.simulation.runner import MAX_IDLE_S, SETTLE_S, play
from fulmarleverd.scheduling.planning.planner import Planner

# Four jobs with more tasks than run in the time of the play, one or two on each worker.
PLAN = """
seed: 1
workers: 8
daemons: 1
seconds: 4.0
faults: []
jobs:
- {at_s: 1.0, seed: 4, features: [anti-affinity, wide]}
- {at_s: 1.0, seed: 5, features: [anti-affinity, wide]}
- {at_s: 1.0, seed: 6, features: [anti-affinity, wide]}
- {at_s: 1.0, seed: 7, features: [anti-affinity, wide]}
"""


class NeverIdleTests(TableTestCase):
    def setUp(self):
        log.remove()

    # Guards against false alarms in the milliseconds between two runs on a worker, and
    # against a scheduler that leaves workers without runs for longer than it may.
    def test_tasks_that_wait_while_workers_have_room(self):
        rows = (
            ("a sound scheduler", 1000.0, False),
            ("plans nothing", 0.0, True),
            ("plans nothing at the end", SETTLE_S - MAX_IDLE_S - 2.0, True),
            ("plans nothing for less than the limit", SETTLE_S - 1.0, False),
        )
        plan = Planner.plan
        for name, plans_until_s, expected in self.each(rows):

            def plan_until(planner: Planner, until_s: float = plans_until_s) -> int:
                now_s = asyncio.get_running_loop().time()
                return plan(planner) if now_s < until_s else 0

            with patch.object(Planner, "plan", plan_until):
                violations = play(Plan.from_yaml(PLAN)).violations
            is_idle = any("has room" in violation for violation in violations)
            self.assertEqual(is_idle, expected, (name, violations))
