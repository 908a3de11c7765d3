"""Order of steps when more jobs arrive than the workers can complete in time."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from fulmarleverd.scheduling.planning.order import (
    MAX_IDLE_S,
    by_age,
    by_objective,
    first_tasks_of_idle_jobs,
    latency_objective_s,
)
from fulmarleverd.scheduling.specs import JobSpec, QueueSpec, StepSpec
from fulmarleverd.tests.scheduling.base import OwnerTestCase

URGENT = QueueSpec("labels", "h", "/l/", "desk", 0, 2, 1.5, 0.25)
PLANS = QueueSpec("plans", "h", "/p/", "desk", 2, 4, 2.0, 1.0)


def step(seconds: float, count: int = 1, **options: object) -> StepSpec:
    return StepSpec(count=count, cpu_m=1000, estimate_s=seconds, **options)


class OrderTests(OwnerTestCase):
    def job_order(self, policy: object) -> list[str]:
        """Return the job ids in the order of their first quotas."""
        steps = [s for job in self.owner.jobs.values() for s in job.ready_steps()]
        quotas = policy(steps, self.owner.now_s(), self.owner.run_times)
        return list(dict.fromkeys(quota.step.job.id for quota in quotas))

    def test_by_objective_ranks_jobs_and_by_age_does_not(self):
        self.add_job("late", step(2.0), queue=PLANS)
        self.owner.jobs["late"].since_s -= 4.0
        self.add_job("overdue", step(2.0), queue=PLANS)
        self.owner.jobs["overdue"].since_s -= 30.0
        self.add_job("large", step(2.0, count=9), queue=PLANS)
        self.add_job("small", step(2.0), queue=PLANS)
        long_running = step(0.5, is_long_running=True)
        self.add_job("long-running", long_running, queue=URGENT)
        self.add_job("batch", step(0.6), queue=URGENT)
        expected = ["batch", "long-running", "small", "large", "late", "overdue"]
        self.assertEqual(self.job_order(by_objective), expected)
        baseline = ["long-running", "batch", "overdue", "late", "large", "small"]
        self.assertEqual(self.job_order(by_age), baseline)

    def test_long_running_jobs_are_ordered_by_smallest_placed_share(self):
        long_running = {"is_long_running": True}
        half = self.add_job("half", step(0.5, count=2, **long_running), queue=URGENT)
        self.start(half, self.workers[0])
        self.add_job("large", step(0.5, count=9, **long_running), queue=URGENT)
        self.clock.advance(1.0)
        self.add_job("small", step(0.5, count=3, **long_running), queue=URGENT)
        self.assertEqual(self.job_order(by_objective), ["large", "small", "half"])

    def test_long_running_steps_get_half_of_their_tasks_before_any_gets_all(self):
        long_running = {"is_long_running": True}
        placed = self.add_job("placed", step(0.5, count=3, **long_running))
        self.start(placed, self.workers[0], index=0)
        self.start(placed, self.workers[0], index=1)
        jobs = [placed, self.add_job("odd", step(0.5, count=5, **long_running))]
        jobs += [self.add_job("even", step(0.5, count=4, **long_running))]
        jobs += [self.add_job("batch", step(0.5, count=6))]
        steps = [s for job in jobs for s in job.ready_steps()]
        quotas = self.quotas(steps)
        halves = [("odd", 3), ("even", 2)]
        rest = [("odd", 5), ("even", 4), ("placed", 1)]
        self.assertEqual(quotas, [("batch", 6), *halves, *rest])

    def test_jobs_past_hard_deadline_get_one_task_each_before_any_gets_more(self):
        jobs = [self.add_job(f"overdue-{n}", step(1.0, count=n)) for n in (2, 3, 4)]
        for age_s, job in enumerate(jobs):
            job.since_s -= 60.0 + age_s
        self.start(jobs[1], self.workers[0])
        steps = [s for job in jobs for s in job.ready_steps()]
        first = [("overdue-4", 1), ("overdue-2", 1)]
        rest = [("overdue-2", 2), ("overdue-3", 2), ("overdue-4", 4)]
        self.assertEqual(self.quotas(steps), first + rest)

    # Guards against jobs that never get a turn, as older ones without a run at the
    # moment of a plan go first again and again (LOST).
    def test_jobs_past_hard_deadline_take_turns(self):
        old = self.add_job("old", step(1.0, count=3))
        young = self.add_job("young", step(1.0, count=2))
        old.since_s -= 60.0
        young.since_s -= 40.0
        run = self.start(old, self.workers[0])
        self.report(self.workers[0], ends=((run, "done"),))
        steps = [s for job in (old, young) for s in job.ready_steps()]
        first = [("young", 1), ("old", 1)]
        self.assertEqual(self.quotas(steps)[:2], first)
        idle = first_tasks_of_idle_jobs(steps, self.owner.now_s() + MAX_IDLE_S)
        self.assertEqual([(q.step.job.id, q.limit) for q in idle], first)

    def quotas(self, steps: list) -> list[tuple[str, int]]:
        """Return the job id and the limit of each quota of ``by_objective``."""
        quotas = by_objective(steps, self.owner.now_s(), self.owner.run_times)
        return [(quota.step.job.id, quota.limit) for quota in quotas]

    @given(st.lists(st.tuples(st.floats(0, 50), st.integers(1, 5)), max_size=8))
    def test_every_policy_yields_all_steps_sorted_by_priority(self, jobs):
        self.setUp()
        for number, (age_s, count) in enumerate(jobs):
            queue = (URGENT, PLANS)[number % 2]
            self.add_job(f"j{number}", step(1.0, count), queue=queue)
            self.owner.jobs[f"j{number}"].since_s -= age_s
        steps = [s for job in self.owner.jobs.values() for s in job.ready_steps()]
        for policy in (by_age, by_objective):
            quotas = list(policy(steps, self.owner.now_s(), self.owner.run_times))
            whole = [q.step for q in quotas if q.limit == len(q.step.waiting)]
            self.assertCountEqual(dict.fromkeys(whole), steps)
            priorities = [quota.step.job.queue.priority for quota in quotas]
            self.assertEqual(priorities, sorted(priorities))

    def test_critical_path_and_latency_objective(self):
        rows = (
            ("one step", (step(2.0),), 2.0),
            ("dependent steps", (step(2.0), step(1.0, after=(0,))), 3.0),
            ("parallel steps", (step(2.0), step(1.0)), 2.0),
            ("diamond", (step(1.0), step(3.0), step(1.0, after=(0, 1))), 4.0),
        )
        for name, steps, expected in self.each(rows):
            run_times = self.owner.run_times
            spec = JobSpec("j", "", steps)
            self.assertEqual(run_times.critical_path_s(spec, PLANS), expected)
            job = self.add_job(name, *steps, queue=PLANS)
            objective_s = latency_objective_s(job, run_times)
            self.assertEqual(objective_s, 2.0 * expected + 1.0)

    def test_remaining_work_excludes_tasks_that_are_done(self):
        job = self.add_job("j", step(2.0, count=3))
        self.assertEqual(self.owner.run_times.remaining_work_core_s(job), 6.0)
        run = self.start(job, self.workers[0])
        self.report(self.workers[0], ends=((run, "done"),))
        self.assertEqual(self.owner.run_times.remaining_work_core_s(job), 4.0)
