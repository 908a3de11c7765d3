"""Plans are drawn from seeds, stored, read again and shrunk."""

from __future__ import annotations

from hashlib import sha256

from fulmarlever.outcomes import failed
from fulmarlever.tests.base import TableTestCase
from fulmarlever_standins.simulation.faults import FAULTS
from fulmarlever_standins.simulation.plan import Plan
from fulmarlever_standins.simulation.shrink import shrink


def draw(seed: int) -> Plan:
    return Plan.draw(seed, 8, 3, 20.0)


class PlanTests(TableTestCase):
    def test_a_stored_plan_is_read_again(self):
        for seed in range(20):
            self.assertEqual(draw(seed), draw(seed))
            self.assertEqual(Plan.from_yaml(draw(seed).to_yaml()), draw(seed))

    def test_bad_input_is_a_finding(self):
        text = draw(1).to_yaml()
        rows = (
            ("not YAML", "jobs: [", "line 1"),
            ("a list", "[1, 2]", "missing or unknown"),
            ("a missing field", text.replace("workers:", "servers:"), "servers"),
            ("no such fault", text.replace("kind: ", "kind: x"), "known: "),
            ("no such feature", text.replace("features: [", "features: [x, "), "'x'"),
        )
        for _, bad, reason in self.each(rows):
            plan = Plan.from_yaml(bad)
            self.assertTrue(failed(plan))
            self.assertIn(reason, plan.reason)


class SeedTests(TableTestCase):
    # The digest of the jobs and faults of these seeds, without faults drawn apart.
    SEEDS = range(1, 200)
    DIGEST = "c10bb9ed"

    # Guards against a new fault that gives all earlier seeds another meaning.
    def test_faults_drawn_apart_leave_the_draws_of_seeds_as_they_were(self):
        digest = sha256()
        apart = 0
        for seed in self.SEEDS:
            plan = draw(seed)
            faults = [fault for fault in plan.faults if fault.kind in list(FAULTS)]
            apart += len(plan.faults) - len(faults)
            digest.update(repr([*plan.jobs, *faults]).encode())
        self.assertEqual(digest.hexdigest()[:8], self.DIGEST)
        self.assertGreater(apart, len(self.SEEDS) / 2)


class ShrinkTests(TableTestCase):
    def test_what_is_not_needed_is_left_out(self):
        plan = draw(3)
        job, fault = plan.jobs[7], plan.faults[1]
        rows = (
            ("one job", lambda p: job in p.jobs, (1, 0)),
            ("one fault", lambda p: fault in p.faults, (0, 1)),
            ("both", lambda p: job in p.jobs and fault in p.faults, (1, 1)),
            ("all", lambda p: p == plan, (len(plan.jobs), len(plan.faults))),
        )
        for _, is_broken, expected in self.each(rows):
            smaller = shrink(plan, is_broken, max_plays=400)
            self.assertTrue(is_broken(smaller))
            self.assertEqual((len(smaller.jobs), len(smaller.faults)), expected)
