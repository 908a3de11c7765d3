"""Choice of workers by the placement policies and the planner."""

from __future__ import annotations

from fulmarleverd.scheduling.planning.candidates import Candidates
from fulmarleverd.scheduling.planning.placement import isolate_serving, spread
from fulmarleverd.scheduling.planning.planner import Planner
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.tests.scheduling.base import OwnerTestCase

BATCH = StepSpec(count=1, cpu_m=4000, memory_mb=1000)
BEST_EFFORT = StepSpec(count=1, cpu_m=4000, image="f", is_best_effort=True)


def serving(image: str, **options: object) -> StepSpec:
    fields = {"count": 1, "cpu_m": 6000, "is_long_running": True, **options}
    return StepSpec(image=image, latency_target_s=0.05, **fields)


class PlacementTests(OwnerTestCase):
    taken: float | None = 0.0

    def choose(self, spec: StepSpec, policy: object = isolate_serving) -> str | None:
        job = self.add_job(f"c{len(self.owner.jobs)}", spec)
        step = job.occurrences[0][0]
        candidates = Candidates(
            step,
            self.workers,
            lambda spec, worker: policy(spec, worker, lambda spec, worker: self.taken),
            self.clock.now,
        )
        worker = candidates.place(step.tasks[0], lambda task, worker: None)
        return worker.id if worker else None

    def start_on(self, spec: StepSpec, worker: int) -> None:
        job = self.add_job(f"p{len(self.owner.jobs)}", spec)
        self.start(job, self.workers[worker])

    def test_serving_tasks_prefer_workers_with_their_image(self):
        self.start_on(serving("a"), 0)
        self.assertEqual(self.choose(serving("a")), "w1")
        self.assertEqual(self.choose(serving("b")), "w2")

    def test_batch_tasks_prefer_workers_with_serving_tasks(self):
        self.start_on(serving("a"), 1)
        self.assertEqual(self.choose(BATCH), "w2")
        self.assertEqual(self.choose(BATCH, spread), "w1")

    def test_best_effort_tasks_avoid_workers_that_they_disturb(self):
        self.start_on(serving("a"), 0)
        rows = (("little", 0.05, "w1"), ("much", 0.4, "w2"), ("too much", None, "w2"))
        for _, taken, expected in self.each(rows):
            self.taken = taken
            self.assertEqual(self.choose(BEST_EFFORT), expected)

    def test_task_that_fits_on_no_worker_is_not_placed(self):
        rows = (
            ("cores", StepSpec(cpu_m=33000)),
            ("memory", StepSpec(memory_mb=100001)),
            ("accelerators", StepSpec(gpus=1)),
            ("label", StepSpec(required_label="b")),
        )
        for _, spec in self.each(rows):
            self.assertIsNone(self.choose(spec))

    def test_preferred_rack_comes_first(self):
        self.workers.append(self.add_worker("w3", labels=("a", "r2")))
        self.start_on(BATCH, 2)
        spec = StepSpec(cpu_m=1000, preferred_rack="r2")
        self.assertEqual(self.choose(spec), "w3")


class PlannerTests(OwnerTestCase):
    def setUp(self):
        super().setUp()
        self.planner = Planner(self.owner, lambda spec, worker: 0.0)

    def worker_ids(self, job: object) -> list[str]:
        return sorted(run.worker_key.id for run in job.runs())

    def test_max_per_worker_limits_tasks_of_a_step(self):
        job = self.add_job("j", StepSpec(count=5, cpu_m=1, max_per_worker=2))
        self.planner.plan()
        self.assertEqual(self.worker_ids(job), ["w1", "w1", "w2", "w2"])

    def test_image_without_a_worker_does_not_delay_others(self):
        """Steps of an image that disturbs too much come before one that does not."""
        fields = {"count": 2, "cpu_m": 1000, "is_best_effort": True}
        heavy = [StepSpec(image="heavy", **fields) for _ in range(20)]
        tried: list[str] = []

        def headroom_taken(spec, worker):
            tried.append(spec.image)
            return None if spec.image == "heavy" else 0.0

        self.planner = Planner(self.owner, headroom_taken)
        for worker in self.workers:
            serving_job = self.add_job(f"s{worker.id}", serving("a"))
            self.start(serving_job, worker)
        for number, spec in enumerate(heavy):
            self.add_job(f"h{number}", spec)
        light = self.add_job("light", StepSpec(image="light", **fields))
        self.planner.plan()
        self.assertEqual(len(self.worker_ids(light)), 2)
        self.assertEqual(tried.count("heavy"), len(self.workers))

    def test_smaller_task_is_placed_after_a_larger_one_was_not(self):
        rows = (("less", 2000, 1), ("as much", 40000, 0))
        for name, cpu_m, expected in self.each(rows):
            self.add_job(name + " before", StepSpec(cpu_m=40000))
            job = self.add_job(name, StepSpec(cpu_m=cpu_m))
            self.planner.plan()
            self.assertEqual(len(self.worker_ids(job)), expected)

    def test_gang_starts_completely_or_not_at_all(self):
        rows = (("fits", 16000, 4), ("does not fit", 20000, 0))
        for name, cpu_m, expected in self.each(rows):
            job = self.add_job(name, StepSpec(count=4, cpu_m=cpu_m, is_gang=True))
            self.planner.plan()
            self.assertEqual(len(self.worker_ids(job)), expected)
            self.assertLessEqual({run.number for run in job.runs()}, {1})
            self.owner.open_jobs.cancel(name)

    def test_step_waits_for_the_steps_that_it_depends_on(self):
        steps = (StepSpec(count=2, cpu_m=1), StepSpec(count=1, cpu_m=1, after=(0,)))
        job = self.add_job("j", *steps)
        self.planner.plan()
        runs = list(job.runs())
        self.assertEqual({run.task.step.number for run in runs}, {0})
        for run in runs:
            run.confirmed_at_s = self.clock.now
            self.report(run.worker, ends=((run, "done"),))
        self.planner.plan()
        self.assertEqual([run.task.step.number for run in job.runs()], [1])

    def test_speculative_copy_runs_elsewhere_and_first_end_counts(self):
        job = self.add_job("j", StepSpec(count=1, cpu_m=1, is_speculative=True))
        first = self.start(job, self.workers[0])
        self.owner.mark_unreachable(self.workers[0], "no answer")
        self.planner.plan()
        self.assertEqual(self.worker_ids(job), ["w1", "w2"])
        copy = next(run for run in job.runs() if run is not first)
        self.report(self.workers[1], ends=((copy, "done"),))
        self.assertEqual(str(job.state), "completed")
        self.assertIn(first, self.commands.stops)
