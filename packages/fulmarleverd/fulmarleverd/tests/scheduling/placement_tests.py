"""Which worker gets a task, and what a full fleet refuses."""

from __future__ import annotations

from fulmarleverd.scheduling.candidates import Candidates
from fulmarleverd.scheduling.placement import keep_apart, spread
from fulmarleverd.scheduling.planner import Planner
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.tests.scheduling.base import OwnerTestCase

PLAIN = StepSpec(count=1, cpu_m=4000, memory_mb=1000)
FILL = StepSpec(count=1, cpu_m=4000, image="f", is_best_effort=True)


def serving(image: str, **options: object) -> StepSpec:
    fields = {"count": 1, "cpu_m": 6000, "is_long_running": True, **options}
    return StepSpec(image=image, latency_target_s=0.05, **fields)


class PlacementTests(OwnerTestCase):
    taken: float | None = 0.0

    def choose(self, spec: StepSpec, policy: object = keep_apart) -> str | None:
        job = self.add_job(f"c{len(self.owner.jobs)}", spec)
        step = job.occurrences[0][0]
        found = Candidates(
            step,
            self.workers,
            lambda spec, worker: policy(spec, worker, lambda spec, worker: self.taken),
            self.clock.now,
        )
        worker = found.place(step.tasks[0], lambda task, worker: None)
        return worker.id if worker else None

    def put(self, spec: StepSpec, worker: int) -> None:
        job = self.add_job(f"p{len(self.owner.jobs)}", spec)
        self.start(job, self.workers[worker])

    def test_serving_tasks_gather_by_image(self):
        self.put(serving("a"), 0)
        self.assertEqual(self.choose(serving("a")), "w1")
        self.assertEqual(self.choose(serving("b")), "w2")

    def test_batch_leaves_the_empty_workers_to_best_effort(self):
        self.put(serving("a"), 1)
        self.assertEqual(self.choose(PLAIN), "w2")
        self.assertEqual(self.choose(PLAIN, spread), "w1")

    def test_best_effort_goes_where_it_disturbs_least(self):
        self.put(serving("a"), 0)
        rows = (("light", 0.05, "w1"), ("heavy", 0.4, "w2"), ("too heavy", None, "w2"))
        for _, taken, expected in self.each(rows):
            self.taken = taken
            self.assertEqual(self.choose(FILL), expected)

    def test_what_does_not_fit_is_not_placed(self):
        rows = (
            ("cores", StepSpec(cpu_m=33000)),
            ("memory", StepSpec(memory_mb=100001)),
            ("accelerators", StepSpec(gpus=1)),
            ("label", StepSpec(required_label="b")),
        )
        for _, spec in self.each(rows):
            self.assertIsNone(self.choose(spec))

    def test_the_rack_of_the_data_goes_first(self):
        self.workers.append(self.add_worker("w3", labels=("a", "r2")))
        self.put(PLAIN, 2)
        near = StepSpec(cpu_m=1000, preferred_rack="r2")
        self.assertEqual(self.choose(near), "w3")


class PlannerTests(OwnerTestCase):
    def setUp(self):
        super().setUp()
        self.planner = Planner(self.owner, lambda spec, worker: 0.0)

    def places(self, job: object) -> list[str]:
        return sorted(run.worker_key.id for run in job.runs())

    def test_anti_affinity_holds(self):
        job = self.add_job("j", StepSpec(count=5, cpu_m=1, max_per_worker=2))
        self.planner.plan()
        self.assertEqual(self.places(job), ["w1", "w1", "w2", "w2"])

    def test_an_image_without_a_worker_does_not_hold_up_the_others(self):
        """A backlog of steps that disturb too much, and a light one behind them."""
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
        self.assertEqual(len(self.places(light)), 2)
        self.assertEqual(tried.count("heavy"), len(self.workers))

    def test_what_needs_less_is_tried_after_what_needs_more(self):
        rows = (("less", 2000, 1), ("as much", 40000, 0))
        for name, cpu_m, expected in self.each(rows):
            self.add_job(name + " before", StepSpec(cpu_m=40000))
            job = self.add_job(name, StepSpec(cpu_m=cpu_m))
            self.planner.plan()
            self.assertEqual(len(self.places(job)), expected)

    def test_a_gang_starts_whole_or_not_at_all(self):
        rows = (("fits", 16000, 4), ("does not fit", 20000, 0))
        for name, cpu_m, expected in self.each(rows):
            job = self.add_job(name, StepSpec(count=4, cpu_m=cpu_m, is_gang=True))
            self.planner.plan()
            self.assertEqual(len(self.places(job)), expected)
            self.assertLessEqual({run.number for run in job.runs()}, {1})
            self.owner.cancel_job(name)

    def test_later_steps_wait_for_earlier_ones(self):
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

    def test_a_distrusted_worker_gets_one_run_at_a_time(self):
        job = self.add_job("j", StepSpec(count=4, cpu_m=1))
        for index in range(2):
            run = self.start(job, self.workers[0], index=index)
            self.report(self.workers[0], ends=((run, "failed"),))
        self.assertTrue(self.workers[0].takes_starts(self.clock.now))
        self.start(job, self.workers[0], index=2)
        self.assertFalse(self.workers[0].takes_starts(self.clock.now))

    def test_a_copy_runs_on_another_worker_and_the_first_end_counts(self):
        job = self.add_job("j", StepSpec(count=1, cpu_m=1, is_speculative=True))
        first = self.start(job, self.workers[0])
        self.owner.note_unreachable(self.workers[0], "no answer")
        self.planner.plan()
        self.assertEqual(self.places(job), ["w1", "w2"])
        copy = next(run for run in job.runs() if run is not first)
        self.report(self.workers[1], ends=((copy, "done"),))
        self.assertEqual(str(job.state), "completed")
        self.assertIn(first, self.orders.stops)
