"""A plan for a large fleet examines a part of the workers for each step.

Pattern: many waiting steps on hundreds of workers that have cores for their tasks, but
no headroom.
"""

from __future__ import annotations

from fulmarleverd.scheduling.planning.planner import Planner
from fulmarleverd.scheduling.planning.tolerances import IMPAIRED_WORKERS_AFTER_S
from fulmarleverd.scheduling.planning.worker_search import (
    BATCH_SIZE,
    batch_size,
    search_order,
)
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.workers.fleet import Worker
from fulmarleverd.tests.scheduling.base import OwnerTestCase

WORKERS = 450
IMAGES = 30
WAITING_JOBS = 300


class WorkerSearchTests(OwnerTestCase):
    def setUp(self):
        super().setUp()
        for number in range(WORKERS - len(self.workers)):
            self.workers.append(self.add_worker(f"x{number}", labels=("a", "r2")))
        for worker in self.workers:
            serving = StepSpec(cpu_m=16000, latency_target_s=0.05, image="s")
            self.start(self.add_job(f"s-{worker.id}", serving), worker)
        self.with_headroom: set[str] = set()
        self.examined = 0
        self.planner = Planner(self.owner, self.headroom_taken)

    def headroom_taken(self, spec: StepSpec, worker: Worker) -> float | None:
        """Forbid all workers but those in ``with_headroom``."""
        self.examined += 1
        return 0.0 if worker.id in self.with_headroom else None

    def add_waiting_jobs(self, tasks: int = 40) -> None:
        for number in range(WAITING_JOBS):
            spec = StepSpec(
                count=tasks,
                cpu_m=3500,
                estimate_s=2.7,
                image=f"b{number % IMAGES}",
                is_best_effort=True,
            )
            self.add_job(f"j{number}", spec)

    # Guards against plans that take so long that a large fleet runs idle in between:
    # of the largest best-effort jobs too few were served.
    def test_a_plan_without_room_examines_one_batch_for_each_image(self):
        self.add_waiting_jobs()
        self.assertEqual(self.planner.plan(), 0)
        self.assertLessEqual(self.examined, IMAGES * BATCH_SIZE)

    def test_a_plan_for_single_tasks_examines_few_workers_for_each(self):
        self.with_headroom = {worker.id for worker in self.workers}
        self.add_waiting_jobs(tasks=1)
        started = self.planner.plan()
        self.assertGreater(started, 100)
        self.assertLessEqual(self.examined, started * (BATCH_SIZE + 1))

    def test_tasks_of_a_wide_step_are_spread_over_the_fleet(self):
        self.with_headroom = {worker.id for worker in self.workers}
        spec = StepSpec(count=160, cpu_m=3500, image="b", is_best_effort=True)
        job = self.add_job("j", spec)
        self.assertEqual(self.planner.plan(), 160)
        self.assertEqual(len({run.worker_key.id for run in job.runs()}), 160)

    def test_the_only_worker_with_headroom_is_found_within_a_few_plans(self):
        rows = (("first", 0), ("middle", 222), ("last", WORKERS - 1))
        for name, number in self.each(rows):
            self.with_headroom = {self.workers[number].id}
            job = self.add_job(
                name, StepSpec(cpu_m=1000, image=name, is_best_effort=True)
            )
            plans = 0
            while not job.has_runs and plans < WORKERS:
                self.planner.plan()
                plans += 1
            self.assertLessEqual(plans, WORKERS // BATCH_SIZE + 1)

    # Guards against a task that waits for good, as more workers than a batch holds
    # come first in each plan, and none of them has headroom (LOST).
    def test_workers_that_come_last_are_examined_as_well(self):
        far = self.add_worker("far", labels=("a", "r3"))
        slow = self.workers[-1]
        for worker in (far, slow):
            serving = StepSpec(cpu_m=16000, latency_target_s=0.05, image="s")
            self.start(self.add_job(f"s2-{worker.id}", serving), worker)
        rows = (
            ("another rack", {"preferred_rack": "r2"}, far, False),
            ("slow", {}, slow, True),
            ("slow, in another rack", {"preferred_rack": "r2"}, far, True),
        )
        for name, fields, worker, is_slow in self.each(rows):
            self.with_headroom = {worker.id}
            spec = StepSpec(cpu_m=1000, image=name, is_best_effort=True, **fields)
            job = self.add_job(name, spec)
            self.clock.advance(IMPAIRED_WORKERS_AFTER_S)
            worker.slow_until_s = self.clock.now + 1.0 if is_slow else 0.0
            for _ in range(WORKERS // BATCH_SIZE + 2):
                self.planner.plan()
            self.assertEqual([run.worker.id for run in job.runs()], [worker.id])

    def test_the_preferred_rack_is_examined_first(self):
        spec = StepSpec(preferred_rack="r1")
        for turn in range(20):
            order = search_order(spec, self.workers, turn)
            self.assertEqual({worker.id for worker in order[:2]}, {"w1", "w2"})
            self.assertEqual(len(set(order)), WORKERS)

    def test_steps_for_few_workers_and_long_running_ones_examine_all(self):
        rows = (
            ("usual", StepSpec(), BATCH_SIZE),
            ("long-running", StepSpec(is_long_running=True), None),
            ("label", StepSpec(required_label="b"), None),
            ("anti-affinity", StepSpec(max_per_worker=1), None),
            ("accelerators", StepSpec(gpus=1), None),
        )
        for _, spec, expected in self.each(rows):
            self.assertEqual(batch_size(spec), expected)
