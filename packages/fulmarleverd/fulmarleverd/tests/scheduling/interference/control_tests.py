"""Tests of the speed limits of best-effort tasks beside serving tasks."""

from __future__ import annotations

from dataclasses import replace

from fulmarleverd.scheduling.interference.control import InterferenceGuard
from fulmarleverd.scheduling.planning.planner import Planner
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.workers.reports import ReportProcessor
from fulmarleverd.tests.scheduling.base import OwnerTestCase

SERVING = StepSpec(
    count=2, cpu_m=6000, image="desk", latency_target_s=0.05, is_long_running=True
)


def best_effort_step(image: str, count: int = 6) -> StepSpec:
    return StepSpec(count=count, cpu_m=3200, image=image, is_best_effort=True)


class InterferenceTests(OwnerTestCase):
    def setUp(self):
        super().setUp()
        self.guard = InterferenceGuard(self.owner)
        self.reports = ReportProcessor(self.owner, self.guard.process_report)
        self.worker = self.workers[0]
        self.serving = self.start(self.add_job("s", SERVING), self.worker)

    def train_model(self, image: str, coefficient: float) -> None:
        for number in range(60):
            load = 0.1 * (number % 2)
            before, after = {image: 0.0}, {image: load}
            self.guard.model.observe("desk", before, after, coefficient * load)

    def report_headroom(self, headroom: float, *runs: object) -> None:
        rows = [(run, 50.0, 3200.0) for run in runs]
        latency_ms = 50.0 / headroom
        self.report(self.worker, (self.serving, 100.0, latency_ms), *rows)

    def test_admission_depends_on_pair_and_headroom(self):
        self.train_model("heavy", 6.0)
        self.train_model("light", 0.2)
        rows = (
            ("light image, low headroom", "light", 1.5, True),
            ("heavy image, high headroom", "heavy", 2.5, True),
            ("heavy image, low headroom", "heavy", 1.6, False),
            ("unknown image, high headroom", "new", 2.0, True),
            ("unknown image, low headroom", "new", 1.5, False),
        )
        for _, image, headroom, expected in self.each(rows):
            self.serving.headroom_sample = None
            self.report_headroom(headroom)
            taken = self.guard.headroom_taken(best_effort_step(image), self.worker)
            self.assertEqual(taken is not None, expected)

    def test_admission_counts_runs_without_a_report(self):
        self.train_model("heavy", 6.0)
        self.report_headroom(2.6)
        job = self.add_job("f", best_effort_step("heavy"))
        admitted = 0
        while self.guard.headroom_taken(job.spec.steps[0], self.worker) is not None:
            self.start(job, self.worker, index=admitted)
            admitted += 1
        self.assertEqual(admitted, 2)

    # Guards against an owner that ends as a worker's capacity shrinks to nothing.
    def test_the_capacity_of_a_worker_may_shrink_to_nothing(self):
        run = self.start(self.add_job("f", best_effort_step("heavy")), self.worker)
        self.report_headroom(1.5, run)
        shrunk = replace(self.worker.entry, cpu_m=0, memory_mb=0)
        self.assertIs(self.owner.add_worker(shrunk), self.worker)
        self.clock.advance(1.0)
        self.report_headroom(1.2, run)
        self.add_job("j", StepSpec(cpu_m=1), best_effort_step("light"))
        planner = Planner(self.owner, self.guard.headroom_taken)
        planner.plan()
        self.assertEqual(set(self.worker.runs.values()), {self.serving, run})

    def test_the_cause_of_low_headroom_is_paused_and_resumed(self):
        self.train_model("heavy", 6.0)
        self.train_model("light", 0.1)
        light = self.start(self.add_job("l", best_effort_step("light")), self.worker)
        heavy = self.start(self.add_job("h", best_effort_step("heavy")), self.worker)
        self.report_headroom(1.0, light, heavy)
        self.assertEqual(light.speed_limit_percent, 100)
        self.assertLess(heavy.speed_limit_percent, 80)
        paused_percent = heavy.speed_limit_percent
        for _ in range(4):
            self.clock.advance(0.5)
            self.report_headroom(2.5, light, heavy)
        self.assertGreater(heavy.speed_limit_percent, paused_percent)
        self.assertEqual(heavy.speed_limit_percent, 100)
        self.assertEqual(self.commands.stops, [])

    def test_a_task_that_takes_no_headroom_is_not_paused(self):
        """A serving task that misses its target by its own load pauses no task."""
        self.train_model("light", 0.0)
        light = self.start(self.add_job("l", best_effort_step("light")), self.worker)
        self.report_headroom(0.7, light)
        self.assertEqual(light.speed_limit_percent, 100)

    def test_a_task_paused_for_too_long_is_stopped(self):
        self.train_model("heavy", 6.0)
        heavy = self.start(self.add_job("h", best_effort_step("heavy")), self.worker)
        for _ in range(8):
            self.report_headroom(0.8, heavy)
            self.clock.advance(0.5)
        self.assertIn(heavy, self.commands.stops)

    def test_all_tasks_are_paused_before_harm_without_a_known_cause(self):
        """The model ascribes nothing to the image, but the target stays missed."""
        self.train_model("light", 0.0)
        light = self.start(self.add_job("l", best_effort_step("light")), self.worker)
        for _ in range(4):
            self.report_headroom(0.7, light)
            self.assertEqual(light.speed_limit_percent, 100)
            self.clock.advance(0.5)
        self.report_headroom(0.7, light)
        self.assertEqual(light.speed_limit_percent, 0)

    def test_the_speed_limit_of_an_earlier_owner_is_reset(self):
        run = self.start(self.add_job("l", best_effort_step("light")), self.worker)
        run.is_speed_limit_known = False
        self.report_headroom(3.0, run)
        self.assertEqual(self.commands.speed_limits, [(run, 100)])
