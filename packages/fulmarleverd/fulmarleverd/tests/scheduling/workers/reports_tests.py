"""Reports of runs that no job accounts for, and reports that are not complete."""

from __future__ import annotations

from fulmarleverd.scheduling.planning.planner import Planner
from fulmarleverd.scheduling.ports import EndedTask, RunningTask, WorkerReport
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.workers.reports import UNKNOWN_RUN_PAUSE_S
from fulmarleverd.tests.scheduling.base import OwnerTestCase

UNKNOWN = RunningTask("gone.0.0.0", 3, "", 50.0, 0.0)


class UnknownRunTests(OwnerTestCase):
    # Guards against starts beyond the capacity of a worker that does not guard it: what
    # is being stopped takes capacity, also if its job ended under an earlier owner.
    def test_a_worker_gets_no_runs_until_its_unknown_run_is_gone(self):
        busy, other = self.workers
        planner = Planner(self.owner, lambda spec, worker: 0.0)
        rows = ((1, (UNKNOWN,), {other}), (2, (UNKNOWN,), {other}), (3, (), {busy}))
        for number, running, expected in rows:
            report = WorkerReport(1000 * number, "1", running, ())
            self.reports.process(busy, report, self.clock.now)
            if not running:
                self.clock.advance(UNKNOWN_RUN_PAUSE_S)
            job = self.add_job(f"j{number}", StepSpec(cpu_m=10000))
            planner.plan()
            self.assertEqual({run.worker for run in job.runs()}, expected)
        self.assertEqual(len(self.commands.stops_of_unknown), 2)


class MoreEndsTests(OwnerTestCase):
    # Regression (TWICE): a run that was neither in the list of runs nor among the first
    # 500 ends was taken for lost, though its end followed in the next report.
    def test_a_run_is_missing_only_if_no_more_ends_follow(self):
        for has_more_ends, is_kept in self.each(((True, True), (False, False))):
            worker = self.add_worker(f"w-{has_more_ends}")
            worker.is_reconciled = False
            job = self.add_job(worker.id, StepSpec(count=2, cpu_m=1000))
            ended, missing = (self.start(job, worker, 0, index) for index in (0, 1))
            ends = (EndedTask(1, ended.task.name, ended.number, "done"),)
            report = WorkerReport(1000, "1", (), ends, has_more_ends)
            self.reports.process(worker, report, self.clock.now)
            self.assertTrue(ended.task.is_done)
            self.assertEqual(missing.is_active, is_kept)
            self.assertEqual(worker.is_reconciled, not has_more_ends)
