"""Long-running tasks while the owner's processor limits the starts."""

from __future__ import annotations

from fulmarleverd.scheduling.jobs.tasks import Job
from fulmarleverd.scheduling.planning.planner import Planner
from fulmarleverd.scheduling.specs import QueueSpec, StepSpec
from fulmarleverd.tests.scheduling.base import OwnerTestCase

URGENT = QueueSpec("labels", "h", "/l/", "desk", 0, 2, 1.5, 0.25)
BATCH = StepSpec(count=20, cpu_m=1, estimate_s=1.0)
LONG = StepSpec(count=2, cpu_m=1, estimate_s=0.5, is_long_running=True)
PLAN_PERIOD_S = 0.1
BATCH_JOBS = 60


class LimitedRate:
    """A rate of starts that is always used up."""

    is_limiting = True

    def __init__(self, per_plan: int) -> None:
        self.per_plan = per_plan

    def available(self) -> int:
        return self.per_plan

    def take(self, starts: int) -> None:
        pass


class LongWaitsTests(OwnerTestCase):
    ROWS = (("one start a plan", 1), ("three", 3), ("ten", 10))

    def plan(self, per_plan: int, plans: int) -> int:
        """Make some plans in succession and return the number of starts."""
        planner = Planner(
            self.owner,
            lambda spec, worker: 0.0,
            start_rate=LimitedRate(per_plan),
        )
        started = 0
        for _ in range(plans):
            self.clock.advance(PLAN_PERIOD_S)
            started += planner.plan()
        return started

    def add_waiting_batch(self) -> None:
        for number in range(BATCH_JOBS):
            job = self.add_job(f"batch-{number}", BATCH, queue=URGENT)
            job.since_s -= 2.0

    def waiting(self, job: Job) -> int:
        return sum(len(step.waiting) for step in job.steps())

    # Regression (LOST): a long-running task whose run had ended got none for seconds,
    # as the starts that the owner's processor allowed all went to other jobs.
    def test_a_task_whose_run_has_ended_does_not_wait_for_all_other_jobs(self):
        for _, per_plan in self.each(self.ROWS):
            self.setUp()
            long_running = self.add_job("long-running", LONG)
            self.start(long_running, self.workers[0], index=0)
            self.add_waiting_batch()
            self.plan(per_plan, plans=20)
            self.assertEqual(self.waiting(long_running), 0)

    def test_others_start_beside_long_running_tasks_that_fail_at_once(self):
        for _, per_plan in self.each(self.ROWS):
            self.setUp()
            many = StepSpec(1000, 1, estimate_s=0.5, is_long_running=True)
            jobs = [self.add_job(f"long-{number}", many) for number in range(20)]
            self.add_waiting_batch()
            started = self.plan(per_plan, plans=40)
            long_running = sum(1 for job in jobs for _ in job.runs())
            self.assertEqual(started, 40 * per_plan)
            self.assertLessEqual(long_running, started // 2)
            self.assertGreater(long_running, 0)

    # Guards against one step that always has waiting tasks and takes every turn.
    def test_steps_take_turns(self):
        many = StepSpec(1000, 1, estimate_s=0.5, is_long_running=True)
        self.add_job("failing", many)
        self.clock.advance(1.0)
        jobs = [self.add_job(f"long-{number}", LONG) for number in range(5)]
        self.add_waiting_batch()
        self.plan(per_plan=2, plans=40)
        self.assertEqual([self.waiting(job) for job in jobs], [0] * 5)
