"""Log lines about steps that wait for a worker."""

from __future__ import annotations

from collections import Counter

from loguru import logger as log

from fulmarleverd.loop_delay import LoopDelay
from fulmarleverd.scheduling.planning.backlog import (
    LONG_WAIT_S,
    SIZES_PERIOD_S,
    WAIT_PERIOD_S,
    Backlog,
)
from fulmarleverd.scheduling.planning.planner import Planner
from fulmarleverd.scheduling.planning.start_rate import StartRate
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.tests.scheduling.base import OwnerTestCase

SERVING = {"is_long_running": True, "image": "a", "latency_target_s": 0.05}
SMALL = StepSpec(count=1, cpu_m=1000)
LARGE = StepSpec(count=2, cpu_m=20000, **SERVING)
HALF = StepSpec(count=2, cpu_m=16000, **SERVING)


class BacklogTests(OwnerTestCase):
    def setUp(self):
        super().setUp()
        self.lines: list[dict] = []
        log.add(lambda message: self.lines.append(message.record["extra"]))
        self.planner = Planner(self.owner, lambda spec, worker: None)
        delay = LoopDelay()
        start_rate = StartRate(delay, self.owner.clock)
        self.backlog = Backlog(self.owner, self.planner, start_rate, delay)

    def wait_lines(self) -> list[dict]:
        return [line for line in self.lines if line["event"] == "step-waits"]

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds)):
            self.clock.advance(1.0)
            self.backlog.tick()

    def fill(self) -> None:
        """Leave 16 cores free on each worker."""
        half = self.add_job("first", HALF)
        for index, worker in enumerate(self.workers):
            self.start(half, worker, index=index)

    def test_long_wait_is_logged_periodically(self):
        self.fill()
        self.add_job("j", LARGE)
        self.planner.plan()
        self.pass_time(1.0 + LONG_WAIT_S + 2 * WAIT_PERIOD_S)
        self.assertEqual(len(self.wait_lines()), 3)

    def test_size_classes_are_logged_with_their_share_and_open_jobs(self):
        for number in range(20):
            self.add_job(
                f"j{number}", StepSpec(count=1 + number, cpu_m=1, estimate_s=1)
            )
        self.pass_time(1.0 + SIZES_PERIOD_S)
        lines = [line for line in self.lines if line["event"] == "size-class"]
        open_jobs = [(line["size_class"], line["open_jobs"]) for line in lines]
        known = [line for line in self.lines if line["event"] == "job-known"]
        by_class = Counter(line["size_class"] for line in known)
        self.assertEqual(open_jobs, [(number, by_class[number]) for number in range(3)])
        self.assertEqual([line["served_share"] for line in lines], [1.0] * 3)

    def test_line_distinguishes_fragmentation_from_a_full_fleet(self):
        self.fill()
        self.add_job("j", LARGE)
        self.pass_time(1.0 + LONG_WAIT_S)
        line = self.wait_lines()[0]
        self.assertEqual((line["job"], line["kind"]), ("j", "long-running"))
        self.assertEqual((line["waiting"], line["running"]), (2, 0))
        self.assertEqual(line["task_cores"], 20.0)
        self.assertEqual((line["free_cores"], line["most_free_cores"]), (32, 16.0))
        self.assertEqual(line["workers_cores"], 2)

    def test_line_counts_workers_by_lacking_resource_or_constraint(self):
        limit = {"max_per_worker": 1, "cpu_m": 1000}
        rows = (
            ("label", StepSpec(required_label="b"), "label"),
            ("memory", StepSpec(memory_mb=100001), "memory"),
            ("accelerators", StepSpec(gpus=1), "accelerators"),
            ("anti affinity", StepSpec(count=3, **limit), "anti_affinity"),
        )
        for name, spec, expected in self.each(rows):
            job = self.add_job(name, spec)
            if spec.max_per_worker:
                for index, worker in enumerate(self.workers):
                    self.start(job, worker, index=index)
            self.pass_time(1.0 + LONG_WAIT_S)
            self.assertEqual(self.wait_lines()[-1][f"workers_{expected}"], 2)
            self.owner.cancel_job(name)

    def test_line_counts_avoided_and_unreachable_workers(self):
        def avoid(job):
            job.occurrences[0][0].tasks[0].avoided_until_s["w1"] = float("inf")

        def make_unreachable(job):
            self.workers[0].is_reachable = False

        rows = (
            ("avoided", avoid, "avoided"),
            ("unreachable", make_unreachable, "no_starts"),
        )
        for name, change, expected in self.each(rows):
            job = self.add_job(name, SMALL)
            change(job)
            self.pass_time(1.0 + LONG_WAIT_S)
            self.assertEqual(self.wait_lines()[-1][f"workers_{expected}"], 1)
            self.owner.cancel_job(name)
