"""Each fault of this module changes a play, and violates nothing by itself."""

from __future__ import annotations

from dataclasses import replace

from loguru import logger as log

from fulmarlever.tests.base import TableTestCase
from fulmarlever_standins.simulation.apart_faults import APART_FAULTS, CALM_FAULTS
from fulmarlever_standins.simulation.disruptions import POWER_LOSS
from fulmarlever_standins.simulation.plan import Plan
from fulmarlever_standins.simulation.plan_parts import PlannedFault
from fulmarlever_standins.simulation.runner import play

SECONDS = 5.0
FAULT_AT_S = 2.0


class DisruptionTests(TableTestCase):
    def setUp(self):
        log.remove()

    def test_a_fault_changes_a_play_and_violates_nothing(self):
        plan = replace(Plan.draw(5, 8, 3, SECONDS), faults=())
        undisturbed = play(plan).digest
        rows = [(kind,) for kind in APART_FAULTS if kind not in CALM_FAULTS]
        for (kind,) in self.each(rows):
            fault = PlannedFault(FAULT_AT_S, kind, 3)
            result = play(replace(plan, faults=(fault,)))
            self.assertEqual(result.violations, [])
            self.assertNotEqual(result.digest, undisturbed)

    def test_power_is_lost_at_the_end(self):
        plans = [Plan.draw(seed, 8, 3, SECONDS) for seed in range(40)]
        times_s = {
            fault.at_s
            for plan in plans
            for fault in plan.faults
            if fault.kind == POWER_LOSS
        }
        self.assertEqual(times_s, {SECONDS})
