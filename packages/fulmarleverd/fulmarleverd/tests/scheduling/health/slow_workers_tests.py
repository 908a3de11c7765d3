"""Which tasks start on workers that were found slow."""

from __future__ import annotations

from fulmarleverd.scheduling.planning.planner import Planner
from fulmarleverd.scheduling.planning.tolerances import IMPAIRED_WORKERS_AFTER_S
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.tests.scheduling.base import OwnerTestCase

BATCH = StepSpec(count=3, cpu_m=1000)
LONG_RUNNING = StepSpec(count=3, cpu_m=1000, is_long_running=True)


class SlowWorkersTests(OwnerTestCase):
    def setUp(self):
        super().setUp()
        self.planner = Planner(self.owner, lambda spec, worker: 0.0)

    def plan(self, spec: StepSpec, waited_s: float, slow: int) -> list[str]:
        """Plan one job, with some slow workers; return the workers of its runs."""
        job = self.add_job(f"{spec.is_long_running} {waited_s} {slow}", spec)
        self.clock.advance(waited_s)
        for worker in self.workers:
            worker.slow_until_s = 0.0
        for worker in self.workers[:slow]:
            worker.slow_until_s = self.clock.now + 1.0
        self.owner.changed.clear()
        self.planner.plan()
        return [run.worker.id for run in job.runs()]

    # Guards against a job that stands still beside a slow worker with room (LOST), and
    # against slow workers that get more than is needed for that.
    def test_slow_workers_get_what_would_wait(self):
        rows = (
            ("none is slow", BATCH, 0.0, 0, 3),
            ("all are slow", BATCH, 0.0, 2, 0),
            ("all are slow for long", BATCH, IMPAIRED_WORKERS_AFTER_S, 2, 1),
            ("all are slow", LONG_RUNNING, 0.0, 2, 3),
        )
        for _, spec, waited_s, slow, expected in self.each(rows):
            self.assertEqual(len(self.plan(spec, waited_s, slow)), expected)

    def test_other_workers_come_first(self):
        rows = (
            ("at once", BATCH, 0.0, 3),
            ("after a wait", BATCH, IMPAIRED_WORKERS_AFTER_S, 1),
            ("long-running", LONG_RUNNING, 0.0, 3),
        )
        for _, spec, waited_s, expected in self.each(rows):
            self.assertEqual(self.plan(spec, waited_s, 1), ["w2"] * expected)

    # Guards against a job whose other tasks wait for the next change of something else.
    def test_the_rest_of_a_job_is_planned_at_once(self):
        self.plan(BATCH, IMPAIRED_WORKERS_AFTER_S, 1)
        self.assertTrue(self.owner.changed.is_set())
        self.assertEqual(self.planner.plan(), BATCH.count - 1)
