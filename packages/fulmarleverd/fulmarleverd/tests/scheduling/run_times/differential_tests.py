"""Learned run times against the declared ones, on one table of loads."""

from __future__ import annotations

import random

from fulmarlever.tests.base import TableTestCase
from fulmarleverd.scheduling.run_times import RunTimes
from fulmarleverd.scheduling.run_times.step_samples import StepSamples
from fulmarleverd.tests.scheduling.run_times import loads

SEEDS = range(5)
# The jobs after which the learned times are to be better.
LEARNED_AFTER = 50


class DifferentialTests(TableTestCase):
    """Guards against decisions that rely on wrong declared times."""

    def estimates(self, load, seed, run_times, after_tasks=0):
        jobs = load(random.Random(seed))
        return list(loads.play(run_times, jobs, after_tasks))

    def errors(self, load, seed, after=LEARNED_AFTER):
        """Return the errors of the learned and of the declared times."""
        versions = (RunTimes(), loads.DeclaredTimes())
        return [
            loads.mean_error(self.estimates(load, seed, version)[after:])
            for version in versions
        ]

    # Load: deployments whose declared times are right must be served as before.
    def test_declared_times_that_are_right_are_kept(self):
        for load in (loads.right, loads.heavy_tail):
            for name, seed in self.each((f"{load.__name__} {s}", s) for s in SEEDS):
                learned = self.estimates(load, seed, RunTimes())
                declared = self.estimates(load, seed, loads.DeclaredTimes())
                self.assertEqual(learned, declared, name)

    # Load: declared times off by up to 0.9, with and without a heavy tail, or always
    # too short.
    def test_declared_times_that_are_off_are_corrected(self):
        for load in (loads.off, loads.off_with_heavy_tail, loads.always_short):
            for name, seed in self.each((f"{load.__name__} {s}", s) for s in SEEDS):
                learned, declared = self.errors(load, seed)
                self.assertLess(learned, declared / 2.0, name)

    # Load: declared times off by up to 0.9 put longer jobs before shorter ones. In one
    # queue, only the runs of the jobs themselves can show which is longer.
    def test_fewer_jobs_are_swapped_once_two_of_four_tasks_have_ended(self):
        for load in (loads.off, loads.off_with_heavy_tail):
            for name, seed in self.each((f"{load.__name__} {s}", s) for s in SEEDS):
                learned, declared = (
                    loads.swapped_share(
                        self.estimates(load, seed, version, 2)[LEARNED_AFTER:]
                    )
                    for version in (RunTimes(), loads.DeclaredTimes())
                )
                self.assertLess(learned, declared / 2.0, name)

    # Load: one of eight workers takes three times as long; its runs, if nothing has
    # shown that it is slow, must not make the steps look long.
    def test_one_slow_worker_changes_estimates_little(self):
        for name, seed in self.each((f"seed {s}", s) for s in SEEDS):
            learned, _ = self.errors(loads.slow_worker, seed)
            self.assertLess(learned, 0.1, name)

    # Load: the work behind a queue's steps changes.
    def test_a_shift_of_the_mix_is_followed(self):
        for name, seed in self.each((f"seed {s}", s) for s in SEEDS):
            learned, declared = self.errors(loads.shift, seed, after=250)
            self.assertLess(learned, declared / 3.0, name)

    # Load: 3 % of the tasks take seven times as long; the quantiles must show it, the
    # median must not.
    def test_quantiles_show_a_heavy_tail(self):
        for load in (loads.heavy_tail, loads.off_with_heavy_tail):
            for name, seed in self.each((f"{load.__name__} {s}", s) for s in SEEDS):
                run_times = RunTimes()
                estimates = self.estimates(load, seed, run_times)
                step = loads.make_step(1.0)
                expected_s = run_times.expected_s(step)
                self.assertLess(run_times.quantile_s(step, 0.75), 2.0 * expected_s)
                self.assertGreater(run_times.quantile_s(step, 0.99), 3.0 * expected_s)
                self.assertEqual(len(estimates), 300, name)


class FewSamplesTests(TableTestCase):
    """Guards against decisions that swing with the first runs of a queue."""

    # Load: the first runs of a queue are all part of the tail.
    def test_few_samples_change_an_estimate_little(self):
        rows = ((1, 1.0), (2, 1.0), (3, 1.0), (4, 2.0), (8, 3.0))
        for count, limit in self.each(rows):
            run_times = RunTimes()
            for _ in range(count):
                run_times.record_end(loads.make_step(1.0), 7.0)
            expected_s = run_times.expected_s(loads.make_step(1.0))
            self.assertLessEqual(expected_s, limit)
            self.assertGreaterEqual(expected_s, 1.0)

    # Load: callers that declare no time.
    def test_without_a_declared_time_the_actual_ones_are_used(self):
        run_times = RunTimes()
        self.assertEqual(run_times.expected_s(loads.make_step(0.0)), 0.0)
        run_times.record_end(loads.make_step(0.0), 3.0)
        self.assertAlmostEqual(
            run_times.expected_s(loads.make_step(0.0)), 3.0, delta=0.2
        )

    # Load: a step ten times as long as the others of a queue whose declared times are
    # off; its own runs show it.
    def test_the_own_runs_of_a_step_weigh_most(self):
        run_times = RunTimes()
        rng = random.Random(1)
        list(loads.play(run_times, loads.off(rng)))
        step = loads.make_step(1.5, count=8)
        before_s = run_times.expected_s(step)
        for _ in range(4):
            run_times.record_end(step, 20.0)
        self.assertLess(before_s, 4.0)
        self.assertGreater(run_times.expected_s(step), 13.0)

    # Load: a step is slow on one worker, which may be the worker's fault, or on two.
    def test_progress_counts_only_if_the_worker_is_not_the_cause(self):
        run_times = RunTimes()
        list(loads.play(run_times, loads.off(random.Random(1))))
        rows = (
            ("one worker", ((1, 0, False),), False),
            ("one worker, other steps are not slow", ((1, 0, True),), True),
            ("two workers", ((1, 0, False), (2, 1, False)), True),
            ("one task on two workers", ((1, 0, False), (2, 0, False)), False),
        )
        for _, seen, is_longer in self.each(rows):
            step = loads.make_step(1.5, count=8)
            before_s = run_times.expected_s(step)
            step.samples = StepSamples()
            step.samples.progress_s = 20.0
            for worker, task, is_usual in seen:
                step.samples.record_worker(f"w{worker}", task, is_usual)
            self.assertEqual(run_times.expected_s(step) > 2.0 * before_s, is_longer)
