"""What waits in a calm part of a play though it could run is found."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

from loguru import logger as log

from fulmarlever.tests.base import TableTestCase
from fulmarlever_standins.simulation.plan import Plan
from fulmarlever_standins.simulation.runner import play
from fulmarleverd.scheduling.jobs.tasks import Step
from fulmarleverd.scheduling.planning.planner import Planner

# One job, submitted when the play has been calm for long enough to be checked.
PLAN = """
seed: 1
workers: 8
daemons: 1
seconds: 8.0
jobs:
- {{at_s: 7.0, seed: 4, features: [{features}]}}
faults: [{faults}]
"""
HELD_FOR_S = 5.0
NO_FAULT = ""
# In progress while the job waits.
FAULT = "{at_s: 7.0, kind: workers stand still, seed: 1}"


class IdleWatchTests(TableTestCase):
    def setUp(self):
        log.remove()

    # Guards against a scheduler that leaves a task that could run for longer than it
    # may, while the play goes on.
    def test_what_is_held_for_too_long_is_found(self):
        rows = (
            ("nothing is held", "", NO_FAULT, 0.0, False),
            ("batch", "", NO_FAULT, HELD_FOR_S, True),
            ("batch, for a short time", "", NO_FAULT, 2.5, False),
            ("batch, beside a fault", "", FAULT, HELD_FOR_S, False),
            ("best effort", "best effort", NO_FAULT, HELD_FOR_S, True),
            ("long-running", "long-running", NO_FAULT, HELD_FOR_S, True),
            ("rare label", "rare label", NO_FAULT, HELD_FOR_S, True),
            ("later occurrences", "repetitions", NO_FAULT, 9.0, True),
        )
        may_start = Planner._may_start
        for name, features, faults, held_for_s, expected in self.each(rows):

            def is_free(
                planner: Planner,
                step: Step,
                name: str = name,
                until_s: float = 7.0 + held_for_s,
            ) -> bool:
                is_held = asyncio.get_running_loop().time() < until_s
                if name == "later occurrences":
                    is_held = is_held and step.occurrence > 0
                return not is_held and may_start(planner, step)

            plan = Plan.from_yaml(PLAN.format(features=features, faults=faults))
            with patch.object(Planner, "_may_start", is_free):
                violations = play(plan).violations
            is_found = any("waits in calm" in violation for violation in violations)
            self.assertEqual(is_found, expected, (name, violations))
