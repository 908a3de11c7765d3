"""Which ended runs are learned from, and which times they show."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from fulmarleverd.scheduling.jobs.runs import Run, RunState
from fulmarleverd.scheduling.ports import EndedTask, RunningTask, WorkerReport
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.workers.fleet import Worker
from fulmarleverd.tests.scheduling.base import OwnerTestCase

TOOK_S = 2.0
STARTED_MS = 5000
BATCH = StepSpec(cpu_m=1000, estimate_s=1.0)
CHECKPOINTS = StepSpec(cpu_m=1000, estimate_s=1.0, checkpoints=True)
BEST_EFFORT = StepSpec(cpu_m=1000, estimate_s=1.0, is_best_effort=True)
LONG_RUNNING = StepSpec(cpu_m=1000, estimate_s=1.0, is_long_running=True)


def nothing(run: Run) -> None:
    pass


def limit_for_a_while(run: Run) -> None:
    run.worker.set_speed_limit(run, 0)
    run.worker.set_speed_limit(run, 100)


def stop(run: Run) -> None:
    run.state = RunState.STOPPING


def start_again(run: Run) -> None:
    run.may_arrive_late = True


def forget_start(run: Run) -> None:
    """An earlier owner started the run."""
    run.accepted_clock_ms = 0


def make_slow(run: Run) -> None:
    run.worker.is_slow = True


def make_cold(run: Run) -> None:
    """The worker has come back a moment ago."""
    run.worker.entry = replace(run.worker.entry, cold_left_s=3.0)


def disturb(run: Run) -> None:
    run.worker.relative_speed = 0.6


def slow_down(run: Run) -> None:
    run.worker.relative_speed = 0.8


def add_noise(run: Run) -> None:
    run.worker.relative_speed = 0.95


class WholeRunsTests(OwnerTestCase):
    """Guards against estimates that are learned from runs with another time."""

    def learned_s(
        self,
        name: str,
        spec: StepSpec,
        change: Callable[[Run], None] = nothing,
        number: int = 1,
        cpu_m: float = 1000.0,
        gap_s: float = 0.01,
        clock_ms: int = STARTED_MS + int(1000 * TOOK_S),
        how: str = "done",
        delay_s: float = 0.0,
    ) -> float:
        """Return the seconds learned from a run of 2 s, 0 if none.

        ``gap_s`` passes between the report before and the request of the one with the
        end, which the owner processes ``delay_s`` late.
        """
        worker = self.add_worker(name)
        job = self.add_job(name, spec)
        run = self.start(job, worker)
        if number > 1:
            self.report_with(worker, 1000, (), ((run, "failed"),), 0.0)
            run = self.start(job, worker)
        run.accepted_clock_ms = STARTED_MS
        self.clock.advance(1.0)
        self.report_with(worker, STARTED_MS + 1000, ((run, cpu_m),), (), 0.0)
        change(run)
        self.clock.advance(gap_s)
        requested_at_s = self.clock.now
        self.clock.advance(1.0 - gap_s + delay_s)
        held_s = self.clock.now - requested_at_s
        self.report_with(worker, clock_ms, (), ((run, how),), held_s)
        samples = job.occurrences[0][0].samples
        return samples.ended_s[0] if samples and samples.ended_s else 0.0

    def report_with(
        self, worker: Worker, clock_ms: int, running: tuple, ends: tuple, held_s: float
    ) -> None:
        rows = tuple(
            RunningTask(run.task.name, run.number, "", 50.0, cpu_m)
            for run, cpu_m in running
        )
        ended = tuple(
            EndedTask(worker.last_end_seen + 1, run.task.name, run.number, how)
            for run, how in ends
        )
        report = WorkerReport(clock_ms, "1", rows, ended)
        self.reports.process(worker, report, self.clock.now - held_s)

    def test_only_whole_and_undisturbed_runs_are_learned_from(self):
        rows = (
            ("whole", TOOK_S, {}),
            ("processed late by the owner", TOOK_S, {"delay_s": 1.5}),
            ("worker a little slow", 0.8 * TOOK_S, {"change": slow_down}),
            ("worker of usual speed", TOOK_S, {"change": add_noise}),
            ("second run", TOOK_S, {"number": 2}),
            ("with checkpoints", TOOK_S, {"spec": CHECKPOINTS}),
            ("may have resumed", 0.0, {"spec": CHECKPOINTS, "number": 2}),
            ("best effort with all cores", TOOK_S, {"spec": BEST_EFFORT}),
            ("best effort", 0.0, {"spec": BEST_EFFORT, "cpu_m": 600.0}),
            ("long-running", 0.0, {"spec": LONG_RUNNING}),
            ("failed", 0.0, {"how": "failed"}),
            ("paused for a while", 0.0, {"change": limit_for_a_while}),
            ("was to be stopped", 0.0, {"change": stop}),
            ("start sent twice", 0.0, {"change": start_again}),
            ("started by an earlier owner", 0.0, {"change": forget_start}),
            ("slow worker", 0.0, {"change": make_slow}),
            ("cold worker", 0.0, {"change": make_cold}),
            ("disturbed worker", 0.0, {"change": disturb}),
            ("no report requested for long", 0.0, {"gap_s": 0.5}),
            ("report without a clock", 0.0, {"clock_ms": 0}),
            ("clock set back", 0.0, {"clock_ms": STARTED_MS - 1000}),
        )
        for name, expected_s, options in self.each(rows):
            spec = options.pop("spec", BATCH)
            seconds = self.learned_s(name, spec, **options)
            self.assertAlmostEqual(seconds, expected_s)

    # Guards against a first report that ends many runs at once after a change of owner.
    def test_ends_of_the_first_report_are_not_learned_from(self):
        worker = self.add_worker("w3")
        job = self.add_job("j", BATCH)
        run = self.start(job, worker)
        run.accepted_clock_ms = STARTED_MS
        self.clock.advance(2.0)
        self.report_with(worker, STARTED_MS + 2000, (), ((run, "done"),), 0.0)
        self.assertIsNone(job.occurrences[0][0].samples)
