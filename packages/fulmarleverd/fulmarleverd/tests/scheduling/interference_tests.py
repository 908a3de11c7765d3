"""A burst of best-effort work beside serving tasks whose own load swings."""

from __future__ import annotations

from fulmarleverd.scheduling.interference import InterferenceGuard
from fulmarleverd.scheduling.reports import ReportProcessor
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.tests.scheduling.base import OwnerTestCase

SERVING = StepSpec(
    count=2, cpu_m=6000, image="desk", latency_target_s=0.05, is_long_running=True
)


def filling(image: str, count: int = 6) -> StepSpec:
    return StepSpec(count=count, cpu_m=3200, image=image, is_best_effort=True)


class InterferenceTests(OwnerTestCase):
    def setUp(self):
        super().setUp()
        self.guard = InterferenceGuard(self.owner)
        self.reports = ReportProcessor(self.owner, self.guard.process_report)
        self.worker = self.workers[0]
        self.serving = self.start(self.add_job("s", SERVING), self.worker)

    def teach(self, image: str, coefficient: float) -> None:
        for number in range(60):
            load = 0.1 * (number % 2)
            before, after = {image: 0.0}, {image: load}
            self.guard.model.observe("desk", before, after, coefficient * load)

    def serve_at(self, headroom: float, *runs: object) -> None:
        rows = [(run, 50.0, 3200.0) for run in runs]
        usage = 50.0 / headroom
        self.report(self.worker, (self.serving, 100.0, usage), *rows)

    def test_admission_depends_on_pair_and_headroom(self):
        self.teach("heavy", 6.0)
        self.teach("light", 0.2)
        rows = (
            ("light in time", "light", 1.5, True),
            ("heavy with room", "heavy", 2.5, True),
            ("heavy without room", "heavy", 1.6, False),
            ("unknown with room", "new", 2.0, True),
            ("unknown without room", "new", 1.5, False),
        )
        for _, image, headroom, expected in self.each(rows):
            self.serving.headroom_sample = None
            self.serve_at(headroom)
            taken = self.guard.headroom_taken(filling(image), self.worker)
            self.assertEqual(taken is not None, expected)

    def test_runs_that_no_report_shows_yet_count(self):
        self.teach("heavy", 6.0)
        self.serve_at(2.6)
        job = self.add_job("f", filling("heavy"))
        admitted = 0
        while self.guard.headroom_taken(job.spec.steps[0], self.worker) is not None:
            self.start(job, self.worker, index=admitted)
            admitted += 1
        self.assertEqual(admitted, 2)

    def test_the_cause_is_slowed_down_and_gets_its_speed_back(self):
        self.teach("heavy", 6.0)
        self.teach("light", 0.1)
        light = self.start(self.add_job("l", filling("light")), self.worker)
        heavy = self.start(self.add_job("h", filling("heavy")), self.worker)
        self.serve_at(1.0, light, heavy)
        self.assertEqual(light.speed_limit_percent, 100)
        self.assertLess(heavy.speed_limit_percent, 80)
        slow = heavy.speed_limit_percent
        for _ in range(4):
            self.clock.advance(0.5)
            self.serve_at(2.5, light, heavy)
        self.assertGreater(heavy.speed_limit_percent, slow)
        self.assertEqual(heavy.speed_limit_percent, 100)
        self.assertEqual(self.orders.stops, [])

    def test_blameless_work_is_left_alone(self):
        """A serving task over its target by its own load slows nobody down."""
        self.teach("light", 0.0)
        light = self.start(self.add_job("l", filling("light")), self.worker)
        self.serve_at(0.7, light)
        self.assertEqual(light.speed_limit_percent, 100)

    def test_a_task_slowed_for_long_goes_on_elsewhere(self):
        self.teach("heavy", 6.0)
        heavy = self.start(self.add_job("h", filling("heavy")), self.worker)
        for _ in range(8):
            self.serve_at(0.8, heavy)
            self.clock.advance(0.5)
        self.assertIn(heavy, self.orders.stops)

    def test_all_is_paused_before_harm_though_nothing_was_learned(self):
        """Pattern: a serving task stays over its target beside a light image."""
        self.teach("light", 0.0)
        light = self.start(self.add_job("l", filling("light")), self.worker)
        for _ in range(4):
            self.serve_at(0.7, light)
            self.assertEqual(light.speed_limit_percent, 100)
            self.clock.advance(0.5)
        self.serve_at(0.7, light)
        self.assertEqual(light.speed_limit_percent, 0)

    def test_an_earlier_owners_pace_is_reset(self):
        run = self.start(self.add_job("l", filling("light")), self.worker)
        run.is_speed_limit_known = False
        self.serve_at(3.0, run)
        self.assertEqual(self.orders.speed_limits, [(run, 100)])
