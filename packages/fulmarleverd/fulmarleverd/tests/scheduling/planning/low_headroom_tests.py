"""Which best-effort tasks start beside serving tasks with little headroom.

Load: more best-effort jobs than the headroom of the serving tasks allows, while under
half of the cores are reserved.
"""

from __future__ import annotations

from fulmarleverd.scheduling.jobs.runs import Run, RunState
from fulmarleverd.scheduling.planning.obstacles import Obstacle
from fulmarleverd.scheduling.planning.planner import Planner
from fulmarleverd.scheduling.planning.tolerances import LOW_HEADROOM_AFTER_S
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.tests.scheduling.base import OwnerTestCase

BEST_EFFORT = StepSpec(count=3, cpu_m=1000, memory_mb=1000, is_best_effort=True)
LARGE = StepSpec(count=3, cpu_m=60_000, memory_mb=1000, is_best_effort=True)
WITHOUT_MEMORY = StepSpec(count=3, memory_mb=200_000, is_best_effort=True)
BATCH = StepSpec(count=3, cpu_m=40_000)
SERVING = StepSpec(
    count=2, cpu_m=4000, image="s", latency_target_s=0.05, is_long_running=True
)
WIDE_SERVING = StepSpec(
    count=2, cpu_m=16_000, image="s", latency_target_s=0.05, is_long_running=True
)


class LowHeadroomTests(OwnerTestCase):
    def setUp(self):
        super().setUp()
        self.planner = Planner(self.owner, lambda spec, worker: None)
        self.jobs = 0

    def add(self, spec: StepSpec):
        self.jobs += 1
        return self.add_job(f"job-{self.jobs}", spec)

    def serve(self, spec: StepSpec = SERVING) -> list[Run]:
        """Run a serving task on each worker."""
        serving = self.add(spec)
        return [
            self.start(serving, worker, index=index)
            for index, worker in enumerate(self.workers)
        ]

    def plan(self, spec: StepSpec, waited_s: float) -> list[str]:
        """Plan a job that has waited; return the workers of its runs."""
        job = self.add(spec)
        self.clock.advance(waited_s)
        self.planner.plan()
        workers = [run.worker.id for run in job.runs()]
        self.owner.open_jobs.cancel(job.id)
        return workers

    # Guards against a best-effort job that stands still for good, as the headroom of
    # all serving tasks is low, though most cores are free.
    def test_a_job_that_stands_still_starts_one_task(self):
        self.serve()
        long_s = LOW_HEADROOM_AFTER_S
        rows = (
            ("no headroom, at once", BEST_EFFORT, 0.0, 0),
            ("no headroom, for long", BEST_EFFORT, long_s, 1),
            ("too few cores, for long", LARGE, long_s, 0),
            ("too little memory, for long", WITHOUT_MEMORY, long_s, 0),
            ("not best-effort, for long", BATCH, long_s, 0),
        )
        for _, spec, waited_s, expected in self.each(rows):
            self.assertEqual(len(self.plan(spec, waited_s)), expected)

    def test_nothing_starts_in_a_service_that_is_half_full(self):
        self.serve(WIDE_SERVING)
        self.assertEqual(self.plan(BEST_EFFORT, LOW_HEADROOM_AFTER_S), [])

    def test_workers_with_headroom_come_first(self):
        serving = self.add(SERVING)
        self.start(serving, self.workers[0])
        for waited_s in (0.0, LOW_HEADROOM_AFTER_S):
            self.assertEqual(set(self.plan(BEST_EFFORT, waited_s)), {"w2"})

    def test_workers_where_the_task_is_not_paused_come_first(self):
        self.serve()
        rows = (
            ("the first lacks headroom", (1.05, 1.15), "w2"),
            ("the second lacks headroom", (1.15, 1.05), "w1"),
        )
        for _, headrooms, expected in self.each(rows):
            for worker, headroom in zip(self.workers, headrooms, strict=True):
                worker.headroom_by_image = {"s": headroom}
            found = self.plan(BEST_EFFORT, LOW_HEADROOM_AFTER_S)
            self.assertEqual(found, [expected])

    # Guards against a wave of idle jobs that takes the headroom of serving tasks.
    def test_a_worker_gets_one_task_until_its_effect_is_known(self):
        serving, _ = self.serve()
        jobs = [self.add(BEST_EFFORT) for _ in range(4)]
        self.clock.advance(LOW_HEADROOM_AFTER_S)
        self.planner.plan()
        self.planner.plan()
        runs = [run for job in jobs for run in job.runs()]
        self.assertEqual(sorted(run.worker.id for run in runs), ["w1", "w2"])
        first = next(run for run in runs if run.worker is self.workers[0])
        first.state = RunState.RUNNING
        self.report(self.workers[0], (serving, 100.0, 10.0), (first, 10.0, 900.0))
        self.planner.plan()
        self.assertEqual(sum(job.has_runs for job in jobs), 3)

    def test_nothing_starts_beside_a_task_that_misses_its_target(self):
        self.serve()
        for worker in self.workers:
            worker.headroom_by_image = {"s": 0.95}
        self.assertEqual(self.plan(BEST_EFFORT, LOW_HEADROOM_AFTER_S), [])

    def test_a_gang_waits_for_headroom(self):
        self.serve()
        gang = StepSpec(count=3, cpu_m=1000, is_best_effort=True, is_gang=True)
        self.assertEqual(self.plan(gang, LOW_HEADROOM_AFTER_S), [])

    def test_refused_starts_are_no_runs(self):
        self.serve()
        job = self.add(BEST_EFFORT)
        self.clock.advance(LOW_HEADROOM_AFTER_S)
        self.planner.plan()
        (run,) = job.runs()
        self.owner.drop_run(run, "refused")
        self.planner.plan()
        self.assertTrue(job.has_runs)

    def test_the_wait_counts_from_the_last_run(self):
        serving, _ = self.serve()
        job = self.add(BEST_EFFORT)
        run = self.start(job, self.workers[0])
        self.clock.advance(5.0)
        self.report(self.workers[0], (serving, 100.0, 10.0), ends=((run, "done"),))
        rows = (
            ("at once", 0.0, False),
            ("for a while", LOW_HEADROOM_AFTER_S - 0.1, False),
            ("for long", 0.2, True),
        )
        for _, passed_s, expected in self.each(rows):
            self.clock.advance(passed_s)
            self.planner.plan()
            self.assertEqual(job.has_runs, expected)

    def test_the_obstacle_of_a_job_that_stands_still(self):
        self.serve()
        rows = (
            ("at once", 0.0, Obstacle.PLACEMENT),
            ("for long", LOW_HEADROOM_AFTER_S, None),
        )
        for _, waited_s, expected in self.each(rows):
            job = self.add(BEST_EFFORT)
            self.clock.advance(waited_s)
            task = job.occurrences[0][0].tasks[0]
            found = self.planner.find_obstacle(task, self.workers[0])
            self.assertEqual(found, expected)
