"""Jobs of all sizes in an overload that serves the small ones alone."""

from __future__ import annotations

from fulmarleverd.scheduling.order import by_objective
from fulmarleverd.scheduling.size_classes import MIN_RECENT_JOBS, QueueSizes
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.tasks import Job
from fulmarleverd.tests.scheduling.base import OwnerTestCase

SMALL, LARGER, LARGEST = range(3)


def work(core_s: int) -> StepSpec:
    return StepSpec(count=1, cpu_m=core_s * 1000, estimate_s=1.0)


class QueueSizesTests(OwnerTestCase):
    def test_classes_by_the_sizes_of_recent_jobs(self):
        sizes = QueueSizes()
        for number in range(100):
            sizes.classify(float(number % 10))
        rows = (("small", 0.0, SMALL), ("below", 6.0, SMALL), ("over", 7.5, LARGER))
        for _, core_s, expected in self.each((*rows, ("most", 9.5, LARGEST))):
            self.assertEqual(sizes.classify(core_s), expected)

    def test_few_jobs_are_of_one_class(self):
        sizes = QueueSizes()
        classes = {sizes.classify(float(n)) for n in range(MIN_RECENT_JOBS - 1)}
        self.assertEqual(classes, {SMALL})

    def test_a_class_that_is_served_too_seldom_is_short(self):
        rows = (("all are served", 10, 10, False), ("half of it", 10, 5, True))
        for _, ended, served, expected in self.each(rows):
            sizes = QueueSizes()
            for number in range(50):
                sizes.count(SMALL, True)
                if number < ended:
                    sizes.count(LARGEST, number < served)
            self.assertEqual(sizes.is_short(LARGEST), expected)
            self.assertFalse(sizes.is_short(SMALL))

    def test_a_class_is_not_short_if_all_are_served_badly(self):
        sizes = QueueSizes()
        for number in range(100):
            sizes.count(number % 3, number % 2 == 0)
        self.assertFalse(any(sizes.is_short(c) for c in (SMALL, LARGER, LARGEST)))


class SizeClassesTests(OwnerTestCase):
    def add_many(self) -> list[Job]:
        """Add small jobs and, as each tenth, one of ten times their work."""
        return [
            self.add_job(f"j{n}", work(10 if n % 10 == 9 else 1)) for n in range(40)
        ]

    def miss(self, job: Job) -> None:
        """Let the owner look at a job once it is too late to be of use."""
        late_s = job.since_s + job.useless_after_s + 0.1
        self.owner.sizes.look_at([job], late_s)

    def test_a_size_that_always_comes_too_late_goes_first(self):
        jobs = self.add_many()
        late = self.add_job("late", work(11))
        for job in jobs:
            is_large = job.spec.steps[0].cpu_m == 10000
            if is_large:
                self.miss(job)
            else:
                job.unfinished_steps = 0
                self.owner.finish_job(job, "done")
        small = self.add_job("small", work(1))
        self.owner.sizes.look_at([late, small], self.owner.now_s())
        self.assertEqual((late.goes_first, small.goes_first), (True, False))
        steps = [job.occurrences[0][0] for job in (small, late)]
        ordered = by_objective(steps, self.owner.now_s())
        self.assertEqual([turn.step.job.id for turn in ordered], ["late", "small"])
        self.assertTrue(self.add_job("new", work(11)).goes_first)

    def test_a_job_counts_once_and_not_if_cancelled(self):
        job = self.add_job("late", work(1))
        sizes = self.owner.sizes._queues[job.queue.name]
        before = sum(sizes._ended)
        self.miss(job)
        after = sum(sizes._ended)
        self.miss(job)
        self.assertGreater(after, before)
        self.assertEqual(sum(sizes._ended), after)
        cancelled = self.add_job("cancelled", work(1))
        self.owner.cancel_job(cancelled.id)
        self.assertFalse(cancelled.is_counted)

    def test_long_running_jobs_are_left_out(self):
        job = self.add_job("lasting", StepSpec(cpu_m=1000, is_long_running=True))
        self.miss(job)
        self.assertFalse(job.is_counted or job.goes_first)
