"""A burst of jobs, more than the workers can do in time."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from fulmarleverd.scheduling.order import (
    by_age,
    by_objective,
    chain_s,
    objective_s,
    work_left,
)
from fulmarleverd.scheduling.specs import JobSpec, QueueSpec, StepSpec
from fulmarleverd.tests.scheduling.base import OwnerTestCase

URGENT = QueueSpec("labels", "h", "/l/", "desk", 0, 2, 1.5, 0.25)
PLANS = QueueSpec("plans", "h", "/p/", "desk", 2, 4, 2.0, 1.0)


def step(seconds: float, count: int = 1, **options: object) -> StepSpec:
    return StepSpec(count=count, cpu_m=1000, estimate_s=seconds, **options)


class OrderTests(OwnerTestCase):
    def names(self, order: object) -> list[str]:
        steps = [s for job in self.owner.jobs.values() for s in job.ready_steps()]
        turns = order(steps, self.owner.now_s())
        return list(dict.fromkeys(turn.step.job.id for turn in turns))

    def test_the_order_in_a_burst(self):
        self.add_job("late", step(2.0), queue=PLANS)
        self.owner.jobs["late"].since_s -= 4.0
        self.add_job("hopeless", step(2.0), queue=PLANS)
        self.owner.jobs["hopeless"].since_s -= 30.0
        self.add_job("large", step(2.0, count=9), queue=PLANS)
        self.add_job("small", step(2.0), queue=PLANS)
        lasting = step(0.5, is_long_running=True)
        self.add_job("lasting", lasting, queue=URGENT)
        self.add_job("awaited", step(0.6), queue=URGENT)
        expected = ["awaited", "lasting", "small", "large", "late", "hopeless"]
        self.assertEqual(self.names(by_objective), expected)
        naive = ["lasting", "awaited", "hopeless", "late", "large", "small"]
        self.assertEqual(self.names(by_age), naive)

    def test_among_lasting_jobs_the_smallest_share_goes_first(self):
        lasting = {"is_long_running": True}
        half = self.add_job("half", step(0.5, count=2, **lasting), queue=URGENT)
        self.start(half, self.workers[0])
        self.add_job("large", step(0.5, count=9, **lasting), queue=URGENT)
        self.clock.advance(1.0)
        self.add_job("small", step(0.5, count=3, **lasting), queue=URGENT)
        self.assertEqual(self.names(by_objective), ["large", "small", "half"])

    def test_each_lasting_job_may_have_half_before_any_has_all(self):
        lasting = {"is_long_running": True}
        placed = self.add_job("placed", step(0.5, count=3, **lasting))
        self.start(placed, self.workers[0], index=0)
        self.start(placed, self.workers[0], index=1)
        jobs = [placed, self.add_job("odd", step(0.5, count=5, **lasting))]
        jobs += [self.add_job("even", step(0.5, count=4, **lasting))]
        jobs += [self.add_job("batch", step(0.5, count=6))]
        steps = [s for job in jobs for s in job.ready_steps()]
        turns = self.turns(steps)
        halves = [("odd", 3), ("even", 2)]
        rest = [("odd", 5), ("even", 4), ("placed", 1)]
        self.assertEqual(turns, [("batch", 6), *halves, *rest])

    def test_each_late_job_may_have_a_task_before_any_has_more(self):
        jobs = [self.add_job(f"late-{n}", step(1.0, count=n)) for n in (2, 3, 4)]
        for age_s, job in enumerate(jobs):
            job.since_s -= 60.0 + age_s
        self.start(jobs[1], self.workers[0])
        steps = [s for job in jobs for s in job.ready_steps()]
        first = [("late-4", 1), ("late-2", 1)]
        rest = [("late-2", 2), ("late-3", 2), ("late-4", 4)]
        self.assertEqual(self.turns(steps), first + rest)

    def turns(self, steps: list) -> list[tuple[str, int]]:
        turns = by_objective(steps, self.owner.now_s())
        return [(turn.step.job.id, turn.limit) for turn in turns]

    @given(st.lists(st.tuples(st.floats(0, 50), st.integers(1, 5)), max_size=8))
    def test_both_orders_keep_every_step_and_the_priorities(self, jobs):
        self.setUp()
        for number, (age_s, count) in enumerate(jobs):
            queue = (URGENT, PLANS)[number % 2]
            self.add_job(f"j{number}", step(1.0, count), queue=queue)
            self.owner.jobs[f"j{number}"].since_s -= age_s
        steps = [s for job in self.owner.jobs.values() for s in job.ready_steps()]
        for order in (by_age, by_objective):
            turns = list(order(steps, self.owner.now_s()))
            whole = [t.step for t in turns if t.limit == len(t.step.waiting)]
            self.assertCountEqual(dict.fromkeys(whole), steps)
            priorities = [turn.step.job.queue.priority for turn in turns]
            self.assertEqual(priorities, sorted(priorities))

    def test_chain_and_objective(self):
        rows = (
            ("one", (step(2.0),), 2.0),
            ("in a row", (step(2.0), step(1.0, after=(0,))), 3.0),
            ("beside", (step(2.0), step(1.0)), 2.0),
            ("diamond", (step(1.0), step(3.0), step(1.0, after=(0, 1))), 4.0),
        )
        for name, steps, expected in self.each(rows):
            self.assertEqual(chain_s(JobSpec("j", "", steps)), expected)
            job = self.add_job(name, *steps, queue=PLANS)
            self.assertEqual(objective_s(job), 2.0 * expected + 1.0)

    def test_work_left_shrinks_with_the_tasks(self):
        job = self.add_job("j", step(2.0, count=3))
        self.assertEqual(work_left(job), 6.0)
        run = self.start(job, self.workers[0])
        self.report(self.workers[0], ends=((run, "done"),))
        self.assertEqual(work_left(job), 4.0)
