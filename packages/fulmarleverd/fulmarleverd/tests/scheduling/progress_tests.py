"""Workers on which tasks stand still or crawl, while others are sound."""

from __future__ import annotations

from fulmarleverd.scheduling.progress import ProgressMonitor
from fulmarleverd.scheduling.reports import ReportProcessor
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.tests.scheduling.base import OwnerTestCase

SAVED = StepSpec(count=4, cpu_m=1000, estimate_s=2.0, checkpoints=True)
PLAIN = StepSpec(count=4, cpu_m=1000, estimate_s=2.0)
UNKNOWN = StepSpec(count=4, cpu_m=1000)
LASTING = StepSpec(count=1, cpu_m=1000, estimate_s=0.5, is_long_running=True)


class ProgressTests(OwnerTestCase):
    def setUp(self):
        super().setUp()
        self.watch = ProgressMonitor(self.owner)
        self.reports = ReportProcessor(self.owner, self.watch.process_report)
        self.slow, self.sound = self.workers

    def run_at(self, run: object, percents: tuple[float, ...], step_s: float) -> None:
        for percent in percents:
            self.clock.advance(step_s)
            self.report(run.worker, (run, percent, 500.0))

    def test_a_run_without_progress_is_stopped(self):
        rows = (
            ("stands still", PLAIN, (10.0,) * 6, True),
            (
                "crawls, no estimate",
                UNKNOWN,
                (10.0, 11.0, 12.0, 13.0, 14.0, 15.0),
                False,
            ),
            ("lasting at work", LASTING, (100.0,) * 20, False),
            ("lasting never at work", LASTING, (0.0,) * 12, True),
        )
        for name, spec, percents, expected in self.each(rows):
            run = self.start(self.add_job(name, spec), self.slow)
            self.run_at(run, percents, 0.5)
            self.assertEqual(run in self.orders.stops, expected)
            self.assertEqual("w1" in run.task.avoid, expected)
            self.report(self.slow, ends=((run, "stopped"),))

    # Guards against: a task that crawled on a second worker, too, stayed there.
    def test_a_run_far_behind_its_estimate_is_moved(self):
        """Steps of one task on a slow worker have no other runs to be compared with."""
        rows = (
            ("far behind", 2.0, 0, True),
            ("as declared", 40.0, 0, False),
            ("moved before", 2.0, 1, False),
            ("moved before, hardly moves", 0.5, 1, True),
            ("moved twice, hardly moves", 0.5, 2, False),
        )
        for name, percent, times_moved, expected in self.each(rows):
            run = self.start(
                self.add_job(name, StepSpec(cpu_m=1, estimate_s=0.5)), self.slow
            )
            run.task.moves_when_behind = times_moved
            self.run_at(run, (percent, 2 * percent, 2.5 * percent), 0.5)
            self.assertEqual(run in self.orders.stops, expected)
            self.assertEqual(run.task.moves_when_behind, times_moved + expected)
            self.report(self.slow, ends=((run, "stopped"),))

    def test_a_run_that_failed_elsewhere_is_judged_like_any(self):
        spec = StepSpec(cpu_m=1, estimate_s=0.5)
        run = self.start(self.add_job("j", spec), self.slow)
        run.task.avoid.add("w2")
        self.run_at(run, (2.0, 4.0, 5.0), 0.5)
        self.assertIn(run, self.orders.stops)

    # Guards against: runs that crawled stayed, as their worker had no other runs.
    def test_a_run_far_behind_the_others_of_its_step_is_moved(self):
        rows = (
            ("crawls", PLAIN, 1000.0, True),
            ("as the others", PLAIN, 1000.0, False),
            (
                "has few of its cores",
                StepSpec(4, 1000, is_best_effort=True),
                100.0,
                False,
            ),
        )
        for name, spec, usage, expected in self.each(rows):
            job = self.add_job(name, spec)
            for index in (1, 2):
                quick = self.start(job, self.sound, index=index)
                self.run_at(quick, (20.0, 40.0, 60.0, 80.0), 0.5)
                self.report(self.sound, ends=((quick, "done"),))
            run = self.start(job, self.slow)
            gain = 20.0 if name == "as the others" else 2.0
            for percent in (gain, 2 * gain, 3 * gain):
                self.clock.advance(0.5)
                self.report(self.slow, (run, percent, usage))
            self.assertEqual(run in self.orders.stops, expected)
            self.report(self.slow, ends=((run, "stopped"),))

    # Guards against: the runs of a step crawled side by side and passed for usual.
    def test_runs_of_a_step_that_all_crawl_are_moved(self):
        job = self.add_job("j", PLAIN)
        runs = [self.start(job, self.slow, index=index) for index in range(3)]
        for percent in (1.0, 2.0, 3.0, 4.0):
            self.clock.advance(0.5)
            rows = [(run, percent, 500.0) for run in runs if run.is_active]
            self.report(self.slow, *rows)
        self.assertCountEqual(self.orders.stops, runs)

    def test_a_slow_worker_gets_no_more_and_gives_its_work_back(self):
        job = self.add_job("j", SAVED)
        sound = self.start(job, self.sound, index=1)
        self.run_at(sound, (20.0, 40.0, 60.0, 80.0), 0.5)
        slow = self.start(job, self.slow)
        self.run_at(slow, tuple(float(5 + 4 * n) for n in range(12)), 0.5)
        self.assertTrue(self.slow.is_slow)
        self.assertFalse(self.slow.takes_starts(self.clock.now))
        self.assertIn(slow, self.orders.stops)
        self.assertNotIn(sound, self.orders.stops)
        self.assertTrue(self.sound.takes_starts(self.clock.now))
