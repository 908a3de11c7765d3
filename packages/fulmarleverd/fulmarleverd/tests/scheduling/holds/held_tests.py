"""What holds a worker or a task, and since when."""

from __future__ import annotations

from fulmarleverd.scheduling.holds.held import (
    RunUncertainty,
    WorkerState,
    hold_of_run,
    holds_of_worker,
)
from fulmarleverd.scheduling.holds.hold import HoldReason
from fulmarleverd.scheduling.jobs.runs import Run, RunState
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.workers.fleet import Worker
from fulmarleverd.tests.scheduling.base import OwnerTestCase

STEP = StepSpec(cpu_m=1000)


class HeldWorkersTests(OwnerTestCase):
    def test_each_state_is_named_with_its_age(self):
        def unlist(worker: Worker) -> None:
            self.owner.mark_unlisted(worker.id)

        def silence(worker: Worker) -> None:
            self.report(worker)
            self.owner.mark_unreachable(worker, "no answer")

        def expire(worker: Worker) -> None:
            self.owner.expire_worker_lease(worker)

        def drain(worker: Worker) -> None:
            self.add_worker(worker.id, is_draining=True)

        def hold(worker: Worker) -> None:
            worker.holds.add(HoldReason.UNANSWERED, self.clock.now, 4.0)

        def probe(worker: Worker) -> None:
            worker.may_hide_ends = True
            worker.first_answer_s = self.clock.now
            self.start(self.add_job(f"{worker.id}-probe", STEP), worker).sent_s = 1.0

        rows = (
            ("probed", probe, WorkerState.PROBED),
            ("unlisted", unlist, WorkerState.UNLISTED),
            ("unreachable", silence, WorkerState.UNREACHABLE),
            ("unreconciled", expire, WorkerState.UNRECONCILED),
            ("draining", drain, WorkerState.DRAINING),
            ("held", hold, HoldReason.UNANSWERED),
        )
        for name, change, reason in self.each(rows):
            worker = self.add_worker(name)
            self.clock.advance(10.0)
            self.assertEqual(list(holds_of_worker(worker, self.clock.now)), [])
            since_s = self.clock.now
            change(worker)
            self.clock.advance(1.0)
            (held,) = holds_of_worker(worker, self.clock.now)
            self.assertEqual((held.reason, held.since_s), (reason, since_s))
            self.assertFalse(worker.accepts_runs(self.clock.now))

    def test_an_incarnation_known_by_its_answer_is_unlisted_since_then(self):
        self.clock.advance(5.0)
        self.owner.incarnations.add_answering(self.workers[0], "2")
        (worker,) = self.owner.fleet.incarnations_of("w1")
        held = next(holds_of_worker(worker, self.clock.now))
        self.assertEqual(
            (held.reason, held.since_s), (WorkerState.UNLISTED, self.clock.now)
        )


class HeldTasksTests(OwnerTestCase):
    def test_each_uncertain_run_is_named_with_its_age(self):
        def plan(worker: Worker) -> Run:
            task = self.add_job(worker.id, STEP).occurrences[0][0].tasks[0]
            return self.owner.assign(task, worker)

        def send(worker: Worker) -> Run:
            run = plan(worker)
            run.state = RunState.SENT
            return run

        def stop(worker: Worker) -> Run:
            run = self.start(self.add_job(worker.id, STEP), worker)
            self.clock.advance(5.0)
            self.owner.stop_run(run, "test")
            return run

        def orphan(worker: Worker) -> Run:
            run = self.start(self.add_job(worker.id, STEP), worker)
            self.clock.advance(5.0)
            self.owner.incarnations.process_mismatch(worker, "another worker")
            return run

        def silence(worker: Worker) -> Run:
            run = self.start(self.add_job(worker.id, STEP), worker)
            self.clock.advance(5.0)
            self.report(worker, (run, 10.0, 0.0))
            self.owner.mark_unreachable(worker, "no answer")
            return run

        rows = (
            ("planned", plan, RunUncertainty.NOT_COMMITTED),
            ("sent", send, RunUncertainty.NOT_ANSWERED),
            ("stopping", stop, RunUncertainty.STOPPING),
            ("orphan", orphan, RunUncertainty.NO_WORKER),
            ("silent worker", silence, RunUncertainty.SILENT_WORKER),
        )
        for name, make, reason in self.each(rows):
            run = make(self.add_worker(name))
            since_s = self.clock.now
            self.clock.advance(3.0)
            held = hold_of_run(run)
            self.assertEqual((held.reason, held.since_s), (reason, since_s))

    def test_a_run_at_work_holds_nothing(self):
        run = self.start(self.add_job("j", STEP), self.workers[0])
        self.assertIsNone(hold_of_run(run))
