"""Which workers are distrusted for failed runs, and what they get then."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from fulmarleverd.scheduling.health.failures import (
    FAILURES_KEPT_S,
    FIRST_PROBE_PAUSE_S,
    MAX_PROBE_PAUSE_S,
    FailureTracker,
    WorkerFailures,
)
from fulmarleverd.scheduling.health.tolerance import ANY_WORKER
from fulmarleverd.scheduling.housekeeping import Housekeeping
from fulmarleverd.scheduling.interference.model import InterferenceModel
from fulmarleverd.scheduling.planning.planner import Planner
from fulmarleverd.scheduling.planning.tolerances import IMPAIRED_WORKERS_AFTER_S
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.tests.scheduling.base import OwnerTestCase

WORKERS = 6
TASKS = 4


class Step:
    """What the tracker reads of a step; each one is another step."""

    def __init__(self, job_id: str, done_tasks: int = 0) -> None:
        self.job_id = job_id
        self.done_tasks = done_tasks


class FailureTrackerTests(OwnerTestCase):
    def distrusted(self, failures: list[tuple[int, Step]]) -> set[int]:
        """Return the workers that are distrusted after some failures."""
        tracker = FailureTracker()
        workers = [WorkerFailures(f"w{number}") for number in range(WORKERS)]
        for number, failed in failures:
            tracker.record_failure(workers[number], failed, 1.0)
            list(tracker.evaluate(workers, 1.0))
        return {n for n, worker in enumerate(workers) if worker.is_distrusted}

    def test_workers_are_distrusted_for_failures_of_several_jobs(self):
        a, b, c = (Step(name) for name in "abc")
        half_done = Step("a", done_tasks=20)
        rows = (
            ("one job, again and again", [(0, a)] * 9, set()),
            ("two steps of one job", [(0, a), (0, Step("a"))], set()),
            ("two jobs", [(0, a), (0, b)], {0}),
            ("two jobs, of which one fails elsewhere", [(0, a), (1, a), (0, b)], set()),
            ("three of them", [(0, a), (1, a), (0, b), (0, c)], {0}),
            ("jobs with runs that go well", [(0, half_done), (0, b)], {0}),
            ("two workers", [(n, s) for s in (a, b, c) for n in (0, 3)], {0, 3}),
            ("all", [(n, s) for s in (a, b, c) for n in range(WORKERS)], set()),
        )
        for _, failures, expected in self.each(rows):
            self.assertEqual(self.distrusted(failures), expected)

    @given(st.lists(st.tuples(st.integers(0, WORKERS - 1), st.integers(0, 9))))
    def test_no_worker_is_distrusted_for_one_job_and_never_most_of_them(self, pairs):
        steps = [Step(str(number)) for number in range(10)]
        failures = [(worker, steps[number]) for worker, number in pairs]
        found = self.distrusted(failures)
        self.assertLessEqual(len(found), WORKERS // 2)
        for worker in found:
            jobs = {number for other, number in pairs if other == worker}
            self.assertGreater(len(jobs), 1)

    def test_failures_are_forgotten(self):
        rows = (
            ("a run that began later went well", lambda w, t: w.record_success(2.0)),
            ("time", lambda w, t: t.forget_old([w], 1.1 + FAILURES_KEPT_S)),
        )
        for _, forget in self.each(rows):
            tracker, worker = FailureTracker(), WorkerFailures("w0")
            others = [WorkerFailures(f"w{number}") for number in range(1, WORKERS)]
            for name in "ab":
                tracker.record_failure(worker, Step(name), 1.0)
            list(tracker.evaluate([worker, *others], 1.0))
            self.assertTrue(worker.is_distrusted)
            forget(worker, tracker)
            self.assertEqual(list(tracker.evaluate([worker, *others], 2.0)), [worker])
            self.assertFalse(worker.is_distrusted)

    def test_a_run_that_began_before_a_failure_proves_nothing(self):
        tracker, worker = FailureTracker(), WorkerFailures("w0")
        tracker.record_failure(worker, Step("a"), 1.0)
        worker.record_success(0.5)
        self.assertEqual(worker.job_ids, ["a"])

    def test_probes_become_rarer(self):
        worker = WorkerFailures("w0")
        worker.distrust(0.0)
        probes = []
        for tenth in range(150):
            now_s = tenth / 10.0
            if not worker.is_avoided_at(now_s):
                probes.append(now_s)
                worker.record_start(now_s)
        self.assertEqual(probes[0], FIRST_PROBE_PAUSE_S)
        pauses = [later - earlier for earlier, later in pairwise(probes)]
        self.assertEqual(pauses, [2.0, *[MAX_PROBE_PAUSE_S] * (len(pauses) - 1)])


class DistrustedWorkersTests(OwnerTestCase):
    def setUp(self):
        super().setUp()
        self.workers += [self.add_worker(f"w{n}") for n in range(3, WORKERS + 1)]
        self.planner = Planner(self.owner, lambda spec, worker: 0.0)

    def fail(self, jobs: int) -> None:
        """Let runs of some jobs fail on the first worker."""
        for _ in range(jobs):
            name = f"failed{len(self.owner.open_jobs.ended_at_s)}"
            job = self.add_job(name, StepSpec(count=1, cpu_m=1))
            run = self.start(job, self.workers[0])
            self.report(self.workers[0], ends=((run, "failed"),))
            self.owner.open_jobs.cancel(job.id)

    def test_a_worker_with_failures_of_several_jobs_gets_probes_alone(self):
        worker = self.workers[0]
        self.fail(1)
        self.assertTrue(worker.accepts_runs(self.clock.now))
        self.fail(2)
        self.assertFalse(worker.accepts_runs(self.clock.now))
        self.assertTrue(worker.accepts_runs(self.clock.now, ANY_WORKER))
        self.clock.advance(FIRST_PROBE_PAUSE_S)
        self.assertTrue(worker.accepts_runs(self.clock.now))
        self.start(self.add_job("probe", StepSpec(count=1, cpu_m=1)), worker)
        self.assertFalse(worker.accepts_runs(self.clock.now))

    # Guards against a long-running task that waits for a sound worker (LOST), and
    # against runs that are given to a worker only to fail there.
    def test_which_jobs_use_a_distrusted_worker(self):
        batch = StepSpec(count=TASKS, cpu_m=32000)
        lasting = StepSpec(count=TASKS, cpu_m=32000, is_long_running=True)
        rows = (
            # Seconds waited, workers that are full, runs on the distrusted worker.
            ("batch, sound workers have room", batch, 2.0, 1, 0),
            ("batch, it has not waited", batch, 0.0, WORKERS - 1, 0),
            ("batch, a full fleet", batch, IMPAIRED_WORKERS_AFTER_S, WORKERS - 1, 0),
            ("lasting, sound workers have room", lasting, 0.0, 1, 0),
            ("lasting, a full fleet", lasting, 0.0, WORKERS - 1, 1),
        )
        for name, spec, waited_s, full, expected in self.each(rows):
            self.setUp()
            self.fail(2)
            filler = StepSpec(count=full, cpu_m=32000, is_long_running=True)
            fillers = self.add_job("filler", filler)
            for index, worker in enumerate(self.workers[1 : full + 1]):
                self.start(fillers, worker, index=index)
            job = self.add_job("tested", spec)
            self.clock.advance(waited_s)
            self.workers[0].failures.distrust(self.clock.now)
            self.planner.plan()
            ids = [run.worker.id for run in job.runs()]
            self.assertEqual(ids.count("w1"), expected, name)

    def test_a_job_that_no_other_worker_can_run_does_not_wait(self):
        self.fail(2)
        worker = self.workers[0]
        worker.entry = replace(worker.entry, labels=("b", "r1"))
        job = self.add_job("j", StepSpec(count=2, cpu_m=1, required_label="b"))
        self.clock.advance(IMPAIRED_WORKERS_AFTER_S)
        worker.failures.distrust(self.clock.now)
        self.planner.plan()
        self.assertEqual([run.worker.id for run in job.runs()], ["w1"])

    # Guards against a worker that stays distrusted as nothing fails any more.
    def test_a_successful_probe_ends_the_distrust(self):
        self.fail(2)
        worker = self.workers[0]
        self.assertTrue(worker.failures.is_distrusted)
        self.clock.advance(FIRST_PROBE_PAUSE_S)
        run = self.start(self.add_job("probe", StepSpec(count=1, cpu_m=1)), worker)
        self.clock.advance(1.0)
        self.report(worker, ends=((run, "done"),))
        Housekeeping(self.owner, InterferenceModel()).tick()
        self.assertFalse(worker.failures.is_distrusted)
