"""Preemption for long-running jobs that find the fleet full of other such jobs."""

from __future__ import annotations

from unittest.mock import patch

from fulmarleverd.scheduling.fairness import fair_shares
from fulmarleverd.scheduling.fairness.fair_shares import (
    MAX_STEPS_PER_WORKER,
    PREEMPTION_TIMEOUT_S,
    RESERVATION_S,
    FairShares,
    StepShare,
)
from fulmarleverd.scheduling.jobs.runs import Run
from fulmarleverd.scheduling.jobs.tasks import Job
from fulmarleverd.scheduling.planning.obstacles import Obstacle
from fulmarleverd.scheduling.planning.planner import Planner
from fulmarleverd.scheduling.specs import QueueSpec, StepSpec
from fulmarleverd.tests.scheduling.base import QUEUE, OwnerTestCase

MORE_URGENT = QueueSpec("urgent", "h", "/u/", "desk", 0, 3, 2.0, 1.0)
LESS_URGENT = QueueSpec("later", "h", "/l/", "desk", 5, 3, 2.0, 1.0)


def serving(count: int, cores: int, **options: object) -> StepSpec:
    fields = {"is_long_running": True, "image": "a", "latency_target_s": 0.05}
    return StepSpec(count=count, cpu_m=cores * 1000, **{**fields, **options})


class FairSharesTests(OwnerTestCase):
    def setUp(self):
        super().setUp()
        self.planner = Planner(self.owner, lambda spec, worker: 0.0)
        self.shares = FairShares(self.owner, self.planner)

    def fill(self, prefix: str = "first", **options: object) -> list[Job]:
        """Fill each 32-core worker with one 8-core task of each of four jobs."""
        spec = serving(2, 8, **options)
        jobs = [self.add_job(f"{prefix}{number}", spec) for number in range(4)]
        for job in jobs:
            for index, worker in enumerate(self.workers):
                self.start(job, worker, index=index).progress_percent = 100.0
        return jobs

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds)):
            self.clock.advance(1.0)
            self.planner.plan()
            self.shares.tick()

    def end(self, *runs: Run) -> None:
        """Let the workers report the ends of stopped runs."""
        for run in runs:
            others = [
                (other, 100.0, 0.0)
                for other in run.worker.runs.values()
                if other is not run
            ]
            self.report(run.worker, *others, ends=((run, "stopped"),))

    def test_starved_job_gets_a_worker_by_preemption(self):
        first = self.fill()
        job = self.add_job("large", serving(2, 8))
        self.pass_time(2.0 + PREEMPTION_TIMEOUT_S)
        self.assertEqual(len(self.commands.stops), 1)
        stopped = self.commands.stops[0]
        self.assertIn(stopped.task.step.job, first)
        self.assertIs(stopped.worker.reserved_for, job.occurrences[0][0])
        self.end(stopped)
        self.planner.plan()
        self.assertEqual([run.worker for run in job.runs()], [stopped.worker])
        self.assertIsNone(stopped.worker.reserved_for)

    # Guards against an owner that is blocked: all pairs of the runs of a worker were
    # tried, 44,700 groups for 300 small tasks.
    def test_few_groups_are_tried_on_a_worker_with_many_runs(self):
        rows = (("many steps", 75, 4), ("many tasks of a step", 3, 100))
        for name, jobs, tasks in self.each(rows):
            worker = self.add_worker(name)
            spec = StepSpec(count=tasks, cpu_m=100, is_long_running=True)
            for number in range(jobs):
                job = self.add_job(f"{name} {number}", spec)
                for index in range(tasks):
                    run = self.start(job, worker, index=index)
                    run.progress_percent = 100.0
            step = self.add_job(f"{name} large", serving(2, 8)).occurrences[0][0]
            steps = [other.occurrences[0][0] for other in self.owner.jobs.values()]
            by_step = {other: StepShare(other, 0) for other in steps}
            tried = 0

            def count_group(runs, spec, worker):
                nonlocal tried
                tried += 1
                return False

            with patch.object(fair_shares, "_fits_without", count_group):
                groups = fair_shares._sufficient_runs(
                    step.tasks[0], worker, by_step[step], by_step
                )
                self.assertEqual(list(groups), [])
            self.assertLessEqual(tried, MAX_STEPS_PER_WORKER**2)
            self.assertGreater(tried, 0)

    # Regression: workers were emptied and reserved, again and again, for steps that
    # still wait for an earlier one.
    def test_nothing_is_preempted_for_a_step_whose_turn_has_not_come(self):
        self.fill()
        batch = StepSpec(count=1, cpu_m=33000)
        job = self.add_job("later", batch, serving(2, 8, after=(0,)))
        self.pass_time(3.0 + 2 * PREEMPTION_TIMEOUT_S)
        self.assertEqual(self.commands.stops, [])
        job.occurrences[0][0].complete(job.occurrences[0][0].tasks[0])
        self.pass_time(2.0 + PREEMPTION_TIMEOUT_S)
        self.assertEqual(len(self.commands.stops), 1)

    def test_no_job_ends_up_with_less_than_the_preempting_job(self):
        self.fill()
        self.add_job("large", serving(2, 8))
        for _ in range(8):
            self.pass_time(1.0 + PREEMPTION_TIMEOUT_S)
            self.end(*[run for run in self.commands.stops if run.is_active])
            self.planner.plan()
        shares = sorted(
            sum(1 for _ in job.runs()) / 2 for job in self.owner.jobs.values()
        )
        self.assertEqual(shares, [0.5, 0.5, 1.0, 1.0, 1.0])
        self.assertEqual(len(self.commands.stops), 1)

    # Guards against: one check preempted several tasks of a job without counting those
    # that it had preempted before.
    def test_one_check_counts_its_own_preemptions(self):
        for worker in self.workers:
            worker.is_listed = False
        small = [self.add_worker(f"small{n}", cpu_m=8000) for n in range(8)]
        wide = self.add_job("wide", serving(8, 8))
        for index, worker in enumerate(small):
            self.start(wide, worker, index=index).progress_percent = 100.0
        self.add_job("large", serving(8, 8))
        self.pass_time(2.0 + PREEMPTION_TIMEOUT_S)
        self.assertEqual(len(self.commands.stops), 3)

    # Guards against: no worker could run a smaller task of the same image, so the plan
    # skipped the step that a worker was reserved for, and the worker's capacity was
    # unused until the reservation expired.
    def test_reservation_is_used_after_a_smaller_task_found_no_worker(self):
        self.fill()
        self.add_job("large", serving(2, 8))
        self.pass_time(2.0 + PREEMPTION_TIMEOUT_S)
        stopped = self.commands.stops[0]
        self.add_job("small", serving(1, 4), queue=MORE_URGENT)
        self.end(stopped)
        self.planner.plan()
        runs = list(self.owner.jobs["large"].runs())
        self.assertEqual([run.worker for run in runs], [stopped.worker])

    # Options of the running tasks and of the new job's tasks; whether a run is stopped.
    SIZES = (
        ("cores", {}, {}, True),
        ("enough memory freed", {"memory_mb": 25000}, {"memory_mb": 25000}, True),
        ("too little memory freed", {"memory_mb": 25000}, {"memory_mb": 60000}, False),
        ("accelerators", {}, {"gpus": 1}, False),
    )

    def test_runs_are_stopped_only_if_that_frees_enough_capacity(self):
        for name, running, new, expected in self.each(self.SIZES):
            self.setUp()
            self.fill(name, **running)
            self.add_job("large", serving(2, 8, **new))
            self.pass_time(2.0 + PREEMPTION_TIMEOUT_S)
            self.assertEqual(bool(self.commands.stops), expected)

    # Options of the running jobs and the new job's queue; whether a run is stopped.
    ROWS = (
        ("one may be unavailable", {"max_unavailable": 1}, QUEUE, True),
        ("none may be unavailable", {"max_unavailable": 0}, QUEUE, False),
        ("members of a gang", {"is_gang": True}, QUEUE, False),
        ("the new job is less urgent", {}, LESS_URGENT, False),
        ("the new job is more urgent", {}, MORE_URGENT, True),
    )

    def test_which_jobs_are_preempted(self):
        for name, options, queue, expected in self.each(self.ROWS):
            self.setUp()
            self.fill(name, **options)
            self.add_job("large", serving(2, 8), queue=queue)
            self.pass_time(2.0 + PREEMPTION_TIMEOUT_S)
            self.assertEqual(bool(self.commands.stops), expected)

    def test_task_that_is_starting_up_counts_as_unavailable(self):
        first = self.fill(max_unavailable=1)
        for job in first:
            next(job.runs()).progress_percent = 40.0
        self.add_job("large", serving(2, 8))
        self.pass_time(2.0 + PREEMPTION_TIMEOUT_S)
        self.assertEqual(self.commands.stops, [])

    def test_nothing_is_stopped_for_a_step_that_may_run_nowhere(self):
        self.fill()
        self.add_job("large", serving(2, 8, required_label="other"))
        self.pass_time(2.0 + PREEMPTION_TIMEOUT_S)
        self.assertEqual(self.commands.stops, [])

    def test_reservation_is_for_one_step_and_expires(self):
        self.fill()
        job = self.add_job("large", serving(2, 8))
        self.pass_time(2.0 + PREEMPTION_TIMEOUT_S)
        worker = self.commands.stops[0].worker
        self.end(self.commands.stops[0])
        other = self.add_job("short", StepSpec(cpu_m=1000), queue=MORE_URGENT)
        task = other.occurrences[0][0].tasks[0]
        self.assertIs(self.planner.find_obstacle(task, worker), Obstacle.RESERVED)
        best_effort = self.add_job("fill", StepSpec(cpu_m=1000, is_best_effort=True))
        task = best_effort.occurrences[0][0].tasks[0]
        self.assertIsNone(self.planner.find_obstacle(task, worker))
        self.owner.open_jobs.cancel(job.id)
        self.clock.advance(RESERVATION_S)
        self.shares.tick()
        self.assertIsNone(worker.reserved_for)

    def test_nothing_is_stopped_in_a_fleet_with_free_capacity(self):
        for number in range(3):
            self.add_job(f"j{number}", serving(2, 8))
        self.pass_time(10.0)
        self.assertEqual(self.commands.stops, [])
