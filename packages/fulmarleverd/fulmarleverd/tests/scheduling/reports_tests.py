"""Reports of runs that no job accounts for."""

from __future__ import annotations

from fulmarleverd.scheduling.planner import Planner
from fulmarleverd.scheduling.ports import RunningTask, WorkerReport
from fulmarleverd.scheduling.reports import UNKNOWN_RUN_PAUSE_S
from fulmarleverd.scheduling.specs import StepSpec
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
