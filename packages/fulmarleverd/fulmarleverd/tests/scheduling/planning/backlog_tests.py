"""Log lines about steps that wait for a worker."""

from __future__ import annotations

from collections import Counter

from loguru import logger as log

from fulmarleverd.loop_delay import LoopDelay
from fulmarleverd.scheduling.holds.held_tasks import (
    HOLD_PERIOD_S,
    LONG_HOLD_S,
    MAX_LINES_PER_TICK,
)
from fulmarleverd.scheduling.holds.hold import HoldReason
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
            self.owner.open_jobs.cancel(name)

    def test_line_counts_avoided_and_held_workers(self):
        def avoid(job):
            job.occurrences[0][0].tasks[0].avoided_until_s["w1"] = float("inf")

        def make_unreachable(job):
            self.workers[0].is_reachable = False

        def make_reachable(job):
            self.workers[0].is_reachable = True
            self.workers[0].is_reconciled = False

        def hold(job):
            self.workers[0].is_reconciled = True
            self.workers[0].holds.add(HoldReason.UNANSWERED, self.clock.now, 4.0)

        rows = (
            ("avoided", avoid, "avoided"),
            ("unreachable", make_unreachable, "unreachable"),
            ("unreconciled", make_reachable, "unreconciled"),
            ("held", hold, "unanswered_starts"),
        )
        for name, change, expected in self.each(rows):
            job = self.add_job(name, SMALL)
            change(job)
            self.pass_time(1.0 + LONG_WAIT_S)
            self.assertEqual(self.wait_lines()[-1][f"workers_{expected}"], 1)
            self.owner.open_jobs.cancel(name)

    # Distinguishes a hold that outlasts its reason from one that has just begun.
    def test_line_names_the_oldest_hold_with_its_age(self):
        self.report(self.workers[0])
        self.owner.mark_unreachable(self.workers[0], "no answer")
        self.clock.advance(4.0)
        self.owner.mark_unlisted("w2")
        self.add_job("j", SMALL)
        self.pass_time(1.0 + LONG_WAIT_S)
        line = self.wait_lines()[0]
        self.assertEqual(
            (line["workers_unreachable"], line["workers_unlisted"]), (1, 1)
        )
        self.assertEqual(line["oldest_hold"], "unreachable")
        self.assertEqual(line["oldest_hold_worker"], "w1")
        self.assertEqual(line["oldest_hold_s"], 4.0 + 1.0 + LONG_WAIT_S)

    def test_line_tells_whether_workers_are_free(self):
        self.add_job("j", SMALL)
        self.pass_time(1.0 + LONG_WAIT_S)
        self.assertEqual(self.wait_lines()[0]["workers_free"], 2)

    def held_lines(self) -> list[dict]:
        return [line for line in self.lines if line["event"] == "task-held"]

    def test_a_task_with_an_uncertain_run_is_logged_periodically(self):
        run = self.start(self.add_job("j", SMALL), self.workers[0])
        self.owner.stop_run(run, "test")
        self.pass_time(LONG_HOLD_S - 1.0)
        self.assertEqual(self.held_lines(), [])
        self.pass_time(1.0 + 2 * HOLD_PERIOD_S)
        ages_s = [line["held_s"] for line in self.held_lines()]
        self.assertEqual(ages_s, [LONG_HOLD_S + n * HOLD_PERIOD_S for n in range(3)])
        line = self.held_lines()[0]
        self.assertEqual((line["task"], line["worker"]), ("j.0.0.0", "w1"))
        self.assertEqual((line["run"], line["state"]), (1, "stopping"))

    def test_orphans_and_runs_on_silent_workers_are_logged(self):
        orphan = self.start(self.add_job("a", SMALL), self.workers[0])
        silent = self.start(self.add_job("b", SMALL), self.workers[1])
        at_work = self.add_worker("w3")
        self.start(self.add_job("c", SMALL), at_work)
        self.owner.incarnations.process_mismatch(self.workers[0], "another worker")
        self.owner.mark_unreachable(self.workers[1], "no answer")
        self.pass_time(LONG_HOLD_S)
        tasks = {line["task"] for line in self.held_lines()}
        self.assertEqual(tasks, {orphan.task.name, silent.task.name})

    def test_runs_of_ended_jobs_are_not_logged(self):
        self.start(self.add_job("j", SMALL), self.workers[0])
        self.owner.open_jobs.cancel("j")
        self.pass_time(2 * LONG_HOLD_S)
        self.assertEqual(self.held_lines(), [])

    def test_the_lines_of_a_tick_are_limited_and_the_oldest_come_first(self):
        count = 2 * MAX_LINES_PER_TICK
        job = self.add_job("j", StepSpec(count=count, cpu_m=100))
        runs = [self.start(job, self.workers[0], index=n) for n in range(count)]
        for run in reversed(runs):
            self.owner.stop_run(run, "test")
            self.clock.advance(0.001)
        self.pass_time(LONG_HOLD_S + 1.0)
        first = [line["task"] for line in self.held_lines()[:MAX_LINES_PER_TICK]]
        self.assertEqual(first, [r.task.name for r in reversed(runs)][: len(first)])
        self.assertEqual(len(self.held_lines()), count)
        self.pass_time(1.0)
        self.assertEqual(len(self.held_lines()), count)
