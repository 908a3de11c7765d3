"""Size classes of jobs under an overload in which only small jobs are served."""

from __future__ import annotations

from fulmarleverd.scheduling.fairness.size_classes import (
    MIN_RECENT_JOBS,
    QueueSizeStats,
)
from fulmarleverd.scheduling.jobs.tasks import Job
from fulmarleverd.scheduling.planning.order import by_objective
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.tests.scheduling.base import OwnerTestCase

SMALL, LARGER, LARGEST = range(3)


def step(core_s: int) -> StepSpec:
    return StepSpec(count=1, cpu_m=core_s * 1000, estimate_s=1.0)


class QueueSizeStatsTests(OwnerTestCase):
    def test_classes_depend_on_the_work_of_recent_jobs(self):
        stats = QueueSizeStats()
        for number in range(100):
            stats.classify(float(number % 10))
        rows = (("least", 0.0, SMALL), ("<70%", 6.0, SMALL), (">70%", 7.5, LARGER))
        for _, core_s, expected in self.each((*rows, (">90%", 9.5, LARGEST))):
            self.assertEqual(stats.classify(core_s), expected)

    def test_first_jobs_of_a_queue_are_of_one_class(self):
        stats = QueueSizeStats()
        classes = {stats.classify(float(n)) for n in range(MIN_RECENT_JOBS - 1)}
        self.assertEqual(classes, {SMALL})

    def test_class_is_underserved_if_it_is_served_less_often_than_the_queue(self):
        rows = (("all served", 10, 10, False), ("half served", 10, 5, True))
        for _, ended, served, expected in self.each(rows):
            stats = QueueSizeStats()
            for number in range(50):
                stats.count(SMALL, True)
                if number < ended:
                    stats.count(LARGEST, number < served)
            self.assertEqual(stats.is_underserved(LARGEST), expected)
            self.assertFalse(stats.is_underserved(SMALL))

    def test_no_class_is_underserved_if_all_are_served_equally_rarely(self):
        stats = QueueSizeStats()
        for number in range(100):
            stats.count(number % 3, number % 2 == 0)
        self.assertFalse(any(stats.is_underserved(c) for c in (SMALL, LARGER, LARGEST)))


class SizeClassesTests(OwnerTestCase):
    def add_many(self) -> list[Job]:
        """Add small jobs and, as each tenth, one of ten times their work."""
        return [
            self.add_job(f"j{n}", step(10 if n % 10 == 9 else 1)) for n in range(40)
        ]

    def miss_deadline(self, job: Job) -> None:
        """Update the size classes just after the hard deadline of a job."""
        after_deadline_s = job.since_s + job.hard_deadline_s + 0.1
        self.owner.size_classes.update([job], after_deadline_s)

    def test_jobs_of_a_size_that_is_never_served_go_first(self):
        jobs = self.add_many()
        large = self.add_job("large", step(11))
        for job in jobs:
            is_large = job.spec.steps[0].cpu_m == 10000
            if is_large:
                self.miss_deadline(job)
            else:
                job.unfinished_steps = 0
                self.owner.open_jobs.finish(job, "done")
        small = self.add_job("small", step(1))
        self.owner.size_classes.update([large, small], self.owner.now_s())
        self.assertEqual(
            (large.is_size_underserved, small.is_size_underserved), (True, False)
        )
        steps = [job.occurrences[0][0] for job in (small, large)]
        ordered = by_objective(steps, self.owner.now_s(), self.owner.run_times)
        self.assertEqual([quota.step.job.id for quota in ordered], ["large", "small"])
        self.assertTrue(self.add_job("new", step(11)).is_size_underserved)

    def test_job_is_counted_once_and_not_if_cancelled(self):
        job = self.add_job("late", step(1))
        stats = self.owner.size_classes._stats_by_queue[job.queue.name]
        before = sum(stats._total)
        self.miss_deadline(job)
        after = sum(stats._total)
        self.miss_deadline(job)
        self.assertGreater(after, before)
        self.assertEqual(sum(stats._total), after)
        cancelled = self.add_job("cancelled", step(1))
        self.owner.open_jobs.cancel(cancelled.id)
        self.assertFalse(cancelled.is_outcome_counted)

    def test_long_running_jobs_are_not_counted(self):
        job = self.add_job("long-running", StepSpec(cpu_m=1000, is_long_running=True))
        self.miss_deadline(job)
        self.assertFalse(job.is_outcome_counted or job.is_size_underserved)
