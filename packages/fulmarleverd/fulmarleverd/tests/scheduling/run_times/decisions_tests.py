"""Decisions that use learned run times: order, deadlines, draining, slow runs."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from fulmarleverd.scheduling.health.progress import ProgressMonitor
from fulmarleverd.scheduling.housekeeping import Housekeeping
from fulmarleverd.scheduling.interference.model import InterferenceModel
from fulmarleverd.scheduling.jobs.runs import Run
from fulmarleverd.scheduling.planning.order import HARD_DEADLINE_FACTOR, by_objective
from fulmarleverd.scheduling.specs import QueueSpec, StepSpec
from fulmarleverd.scheduling.workers.fleet import Worker
from fulmarleverd.scheduling.workers.reports import ReportProcessor
from fulmarleverd.tests.scheduling.base import QUEUE, OwnerTestCase
from fulmarleverd.tests.scheduling.run_times.loads import make_step

OTHER_QUEUE = QueueSpec("reports", "h", "/r/", "desk", 2, 3, 2.0, 1.0)
SECOND = StepSpec(cpu_m=1000, estimate_s=1.0)
RUNS = 60


class LearnedDecisionsTests(OwnerTestCase):
    def learn(self, queue: QueueSpec, ratio: float) -> None:
        """Let runs of a queue take a multiple of their declared times."""
        for number in range(RUNS):
            step = make_step(0.5 + number / RUNS, queue)
            seconds = ratio * step.spec.estimate_s
            self.owner.run_times.record_end(step, seconds)

    def first_jobs(self) -> list[str]:
        steps = [s for job in self.owner.jobs.values() for s in job.ready_steps()]
        quotas = by_objective(steps, self.owner.now_s(), self.owner.run_times)
        return [quota.step.job.id for quota in quotas]

    # Guards against long jobs that go first, as their queue declares too little.
    def test_the_job_with_least_actual_work_goes_first(self):
        self.add_job("declared short", SECOND)
        longer = StepSpec(cpu_m=1000, estimate_s=2.0)
        self.add_job("declared long", longer, queue=OTHER_QUEUE)
        self.assertEqual(self.first_jobs(), ["declared short", "declared long"])
        self.learn(QUEUE, 8.0)
        self.learn(OTHER_QUEUE, 1.0)
        self.assertEqual(self.first_jobs(), ["declared long", "declared short"])

    # Guards against learned times in a deployment that doesn't ask for them.
    def test_declared_times_decide_unless_learned_ones_apply(self):
        self.owner.run_times.applies_learned = False
        self.add_job("declared short", SECOND)
        longer = StepSpec(cpu_m=1000, estimate_s=2.0)
        job = self.add_job("declared long", longer, queue=OTHER_QUEUE)
        self.learn(QUEUE, 8.0)
        self.learn(OTHER_QUEUE, 5.0)
        run_times = self.owner.run_times
        self.assertEqual(self.first_jobs(), ["declared short", "declared long"])
        self.assertEqual(run_times.critical_path_s(job.spec, job.queue), 2.0)
        self.assertEqual(run_times.remaining_s(job), 2.0)
        self.assertEqual(run_times.expected_s(job.occurrences[0][0]), 2.0)
        self.assertTrue(list(run_times.entries()))

    # Guards against jobs that are given up although they take longer than declared.
    def test_hard_deadline_follows_the_actual_times(self):
        job = self.add_job("j", SECOND)
        declared_s = HARD_DEADLINE_FACTOR * (QUEUE.stretch + QUEUE.target_latency_s)
        self.assertEqual(job.hard_deadline_s, declared_s)
        self.learn(QUEUE, 5.0)
        late_s = job.since_s + declared_s + 1.0
        self.owner.size_classes.update([job], late_s)
        self.assertFalse(job.is_outcome_counted)
        self.assertGreater(job.hard_deadline_s, 3.0 * declared_s)
        after_deadline_s = job.since_s + job.hard_deadline_s + 1.0
        self.owner.size_classes.update([job], after_deadline_s)
        self.assertTrue(job.is_outcome_counted)

    # Guards against runs that are stopped on a draining worker though they can end.
    def test_a_draining_worker_keeps_runs_that_can_end(self):
        rows = ((0.25, False), (4.0, True))
        for ratio, is_stopped in self.each(rows):
            self.setUp()
            self.learn(QUEUE, ratio)
            worker = self.workers[0]
            spec = StepSpec(cpu_m=1000, estimate_s=3.0)
            run = self.start(self.add_job("j", spec), worker)
            self.owner.add_worker(draining_entry(worker, remaining_s=2.5))
            Housekeeping(self.owner, InterferenceModel()).tick()
            self.assertEqual(run in self.commands.stops, is_stopped)


def draining_entry(worker: Worker, remaining_s: float) -> object:
    return replace(worker.entry, is_draining=True, remaining_s=remaining_s)


class LongStepTests(OwnerTestCase):
    """Steps that take far longer than declared, and workers that are slow."""

    LONG = StepSpec(count=6, cpu_m=1, estimate_s=0.5)

    def setUp(self):
        super().setUp()
        self.monitor = ProgressMonitor(self.owner)
        self.reports = ReportProcessor(self.owner, self.monitor.process_report)

    def progress(self, runs: Iterable[Run], percents: Iterable[float]) -> None:
        """Report the progress of runs, which is the same for all of them."""
        runs = list(runs)
        for percent in percents:
            self.clock.advance(0.5)
            for worker in self.workers:
                rows = [(r, percent, 500.0) for r in runs if worker is r.worker]
                active = [row for row in rows if row[0].is_active]
                if active:
                    self.report(worker, *active)

    # Guards against long tasks that are moved in vain: the runs of the step on other
    # workers are as long. On one worker alone, the worker may be slow.
    def test_a_long_step_stays_and_one_seen_on_one_worker_only_is_moved(self):
        rows = (("two workers", (0, 1), False), ("one worker", (0, 0), True))
        for _, on_workers, is_moved in self.each(rows):
            self.setUp()
            job = self.add_job("j", self.LONG)
            runs = [
                self.start(job, self.workers[number], index=index)
                for index, number in enumerate(on_workers)
            ]
            # Each task takes 6 s; the first ones are seen near their end.
            self.progress(runs, (60.0, 68.0, 76.0, 84.0, 92.0))
            self.assertEqual(self.commands.stops, [])
            later = self.start(job, self.workers[0], index=2)
            self.progress([later], (8.0, 16.0, 24.0))
            self.assertEqual(later in self.commands.stops, is_moved)

    # Guards against runs on a slow worker that pass for a long step: the runs of other
    # steps there are slow as well.
    def test_evidence_of_a_long_step(self):
        rows = (
            ("nothing else runs there", None, (False, 1)),
            ("other steps run as usual", 25.0, (True, 1)),
            ("other steps are slow", 2.0, (False, 0)),
        )
        for name, other_gain, expected in self.each(rows):
            self.setUp()
            worker = self.workers[0]
            long_run = self.start(self.add_job("long", self.LONG), worker)
            others = []
            if other_gain:
                for number in range(3):
                    spec = StepSpec(cpu_m=1, estimate_s=2.0)
                    job = self.add_job(f"other-{number}", spec)
                    others.append(self.start(job, worker))
            for number in range(1, 5):
                self.clock.advance(0.5)
                rows_of = [(run, number * other_gain, 1.0) for run in others]
                self.report(worker, *rows_of, (long_run, 10.0 * number, 1.0))
            samples = long_run.task.step.samples
            evidence = (samples.is_worker_usual, len(samples.workers))
            self.assertEqual(evidence, expected, name)
