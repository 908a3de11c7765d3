"""Calls without an answer that were meant for a former incarnation of a worker."""

from __future__ import annotations

import asyncio

from fulmarleverd.scheduling.housekeeping import MAX_GANG_WAIT_S, Housekeeping
from fulmarleverd.scheduling.interference.model import InterferenceModel
from fulmarleverd.scheduling.jobs.runs import Run, RunState
from fulmarleverd.scheduling.ports import (
    Accepted,
    Command,
    EndedTask,
    OtherIncarnation,
    WorkerReport,
)
from fulmarleverd.scheduling.specs import StepSpec, WorkerEntry, WorkerKey
from fulmarleverd.scheduling.workers.fleet import Worker
from fulmarleverd.scheduling.workers.worker_commands import WorkerCommands
from fulmarleverd.tests.scheduling.base import OwnerTestCase

STEP = StepSpec(count=1, cpu_m=1000)


class FormerCallsTestCase(OwnerTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock.advance(100.0)

    def tick(self) -> None:
        Housekeeping(self.owner, InterferenceModel()).tick()

    def send_unanswered(self, worker: Worker) -> Run:
        """Return a run whose start was sent and got no answer."""
        run = self.start(self.add_job("j", STEP), worker)
        run.state = RunState.SENT
        run.has_begun = False
        run.may_arrive_late = True
        run.sent_s = run.last_sent_s = worker.lease_granted_at_s = self.clock.now
        with self.owner.outstanding_calls.sending(worker.key, False):
            pass
        return run

    def add_silent(self, name: str, incarnation: str) -> Worker:
        worker = self.add_worker(name, incarnation=incarnation)
        worker.is_reachable = worker.is_reconciled = False
        return worker

    def report_first(self, worker: Worker, age_s: float) -> None:
        """Process the first report of a worker that started some seconds ago."""
        incarnation = worker.entry.incarnation
        born_s = self.clock.wall() - age_s
        report = WorkerReport(1000, incarnation, born_s=born_s)
        self.reports.process(worker, report, self.clock.now)


class TokenTests(FormerCallsTestCase):
    # Guards against calls for a former incarnation that act in the next one (TWICE).
    def test_the_token_rises_as_another_incarnation_becomes_known(self):
        def find_by_answer(worker: Worker) -> None:
            rejection = OtherIncarnation("2")
            self.owner.incarnations.process_rejection(worker, rejection)

        def find_by_entry(worker: Worker) -> None:
            self.add_silent(worker.id, "2")

        for name, find in self.each(
            (("answer", find_by_answer), ("entry", find_by_entry))
        ):
            worker = self.add_worker(name)
            self.report(worker)
            before = self.owner.call_tokens.current(worker.id)
            find(worker)
            self.assertGreater(self.owner.call_tokens.current(worker.id), before)


class LateStartTests(FormerCallsTestCase):
    # Guards against two runs of a task, one of them on an incarnation that carried out
    # a start for the former one and is cut off before its first report (TWICE).
    def test_the_run_is_kept_until_the_next_incarnation_reports(self):
        def found_by_answer(worker: Worker) -> None:
            self.clock.advance(0.7)
            self.owner.incarnations.add_answering(worker, "2")
            self.clock.advance(0.2)

        def listed(worker: Worker) -> None:
            self.owner.mark_unreachable(worker, "no answer")
            self.add_silent(worker.id, "2")
            self.clock.advance(9.0)

        def listed_for_a_while(worker: Worker) -> None:
            listed(worker)
            self.owner.mark_unlisted(worker.id)
            self.tick()
            self.clock.advance(5.0)

        def after_the_next(worker: Worker) -> None:
            following = self.add_worker(worker.id, incarnation="2")
            self.report(following)
            self.owner.mark_unreachable(following, "no answer")
            self.add_silent(worker.id, "3")
            self.clock.advance(11.0)

        rows = (
            ("found by its answer", found_by_answer),
            ("listed", listed),
            ("listed for a while", listed_for_a_while),
            ("the one after the next", after_the_next),
        )
        for _, restart in self.each(rows):
            self.setUp()
            worker = self.workers[0]
            self.report(worker)
            run = self.send_unanswered(worker)
            restart(worker)
            self.tick()
            self.assertTrue(run.is_active)
            self.clock.advance(30.0)
            self.tick()
            self.assertFalse(run.is_active)

    def test_an_accepted_run_is_not_kept_for_longer_than_its_lease(self):
        worker = self.workers[0]
        self.report(worker)
        run = self.start(self.add_job("j", STEP), worker)
        run.sent_s = run.last_sent_s = worker.lease_granted_at_s = self.clock.now
        self.owner.mark_unreachable(worker, "no answer")
        self.add_silent("w1", "2")
        self.clock.advance(8.0)
        self.tick()
        self.assertFalse(run.is_active)


class LeaseTests(FormerCallsTestCase):
    # Guards against two runs of a task, as a lease on the next incarnation of a worker
    # was longer than the one that the owner had granted (TWICE).
    def test_a_lease_by_the_clock_of_a_former_incarnation_may_be_the_longest(self):
        def known(worker: Worker) -> None:
            pass

        def discarded(worker: Worker) -> None:
            self.clock.advance(8.0)
            self.owner.discard_worker(worker, "unlisted and without an answer")

        for _, restart in self.each((("known", known), ("discarded", discarded))):
            self.setUp()
            worker = self.workers[0]
            self.report(worker)
            with self.owner.outstanding_calls.sending(WorkerKey("w1", "1"), False):
                pass
            restart(worker)
            following = self.add_worker("w1", incarnation="2")
            self.report_first(following, 0.5)
            end_s = self.owner.lease_ends.end_s(following)
            longest_s = self.owner.bounds.worker_lease_s
            self.assertGreater(end_s, self.clock.now + longest_s)

    def test_a_lease_ends_early_if_no_call_can_have_come_late(self):
        worker = self.workers[0]
        self.report_first(worker, 0.5)
        end_s = self.owner.lease_ends.end_s(worker)
        longest_s = self.owner.bounds.worker_lease_s
        self.assertLess(end_s, self.clock.now + longest_s)


class HiddenEndsTests(FormerCallsTestCase):
    def restart_after_acknowledgement(self, silent_s: float = 0.0) -> Worker:
        """Return the next incarnation of a worker with an unanswered acknowledgement.

        It reports after some seconds.
        """
        self.report(self.workers[0])
        with self.owner.outstanding_calls.sending(WorkerKey("w1", "1"), True):
            pass
        self.clock.advance(0.6)
        worker = self.add_worker("w1", incarnation="2")
        self.clock.advance(silent_s)
        self.report_first(worker, silent_s)
        return worker

    # Guards against ends that are never reported, as an acknowledgement for the former
    # incarnation had covered their numbers (TWICE).
    def test_a_worker_that_may_hide_ends_is_probed_first(self):
        for (silent_s,) in self.each(((0.0,), (5.0,), (19.0,))):
            self.setUp()
            worker = self.restart_after_acknowledgement(silent_s)
            self.assertTrue(worker.may_hide_ends)
            run = self.start(self.add_job("j", STEP), worker)
            run.sent_s = self.clock.now
            self.assertFalse(worker.accepts_runs(self.clock.now))
            self.owner.stop_probe(run)
            self.assertEqual(self.commands.stops, [run])
            self.report(worker, ends=((run, "stopped"),))
            self.assertTrue(worker.accepts_runs(self.clock.now))
            other = self.start(self.add_job("k", STEP), worker)
            self.owner.stop_probe(other)
            self.assertEqual(self.commands.stops, [run])

    def test_a_probe_that_a_report_shows_first_is_stopped(self):
        worker = self.restart_after_acknowledgement()
        run = self.send_unanswered(worker)
        self.report(worker, (run, 1.0, 0.0))
        self.assertEqual(self.commands.stops, [run])

    def test_a_run_that_moved_there_is_stopped(self):
        former = self.workers[0]
        self.report(former)
        run = self.send_unanswered(former)
        run.state = RunState.RUNNING
        with self.owner.outstanding_calls.sending(former.key, True):
            pass
        worker = self.add_worker("w1", incarnation="2")
        self.report(worker, (run, 1.0, 0.0))
        self.assertIs(run.worker, worker)
        self.assertEqual(self.commands.stops, [run])

    # Guards against workers that get no runs for as long as they hide ends (LOST).
    def test_probes_double_while_their_ends_are_hidden(self):
        worker = self.restart_after_acknowledgement()
        for number in range(4):
            job = self.add_job(f"j{number}", StepSpec(count=2**number, cpu_m=100))
            for index in range(2**number):
                self.assertTrue(worker.accepts_runs(self.clock.now))
                run = self.start(job, worker, index=index)
                run.sent_s = self.clock.now
                self.owner.stop_probe(run)
                run.confirmed_at_s = self.clock.now
            self.assertFalse(worker.accepts_runs(self.clock.now))
            self.clock.advance(0.1)
            self.report(worker)

    def test_runs_of_an_earlier_owner_are_neither_stopped_nor_counted(self):
        worker = self.restart_after_acknowledgement()
        run = self.start(self.add_job("j", STEP), worker)
        self.owner.stop_probe(run)
        self.assertEqual(self.commands.stops, [])
        self.assertTrue(worker.accepts_runs(self.clock.now))

    # Guards against gangs that wait for good, as no probe fits there (LOST), and
    # against probing that ends by the clock, though no run has shown anything (TWICE,
    # review/11).
    def test_probing_ends_if_a_gang_waits(self):
        single, gang = StepSpec(count=8), StepSpec(count=8, is_gang=True)
        rows = (
            ("no work", (), MAX_GANG_WAIT_S + 0.1, True),
            ("single tasks", (single,), MAX_GANG_WAIT_S + 0.1, True),
            ("a gang", (gang,), MAX_GANG_WAIT_S - 0.1, True),
            ("a gang for long", (gang,), MAX_GANG_WAIT_S + 0.1, False),
        )
        for name, steps, seconds, expected in self.each(rows):
            self.setUp()
            worker = self.restart_after_acknowledgement()
            # The time without a gang does not count.
            self.clock.advance(3.0 * MAX_GANG_WAIT_S)
            housekeeping = Housekeeping(self.owner, InterferenceModel())
            housekeeping.tick()
            if steps:
                self.add_job(name, *steps)
            housekeeping.tick()
            self.clock.advance(seconds)
            self.report(worker)
            housekeeping.tick()
            self.assertEqual(worker.may_hide_ends, expected)

    def test_a_gang_that_no_longer_waits_counts_no_more(self):
        worker = self.restart_after_acknowledgement()
        for number in range(2):
            job = self.add_job(f"j{number}", StepSpec(count=8, is_gang=True))
            self.tick()
            self.clock.advance(0.6 * MAX_GANG_WAIT_S)
            self.report(worker)
            self.tick()
            self.owner.open_jobs.cancel(job.id)
            self.tick()
        self.assertTrue(worker.may_hide_ends)

    # Guards against runs at work of long-running jobs that are stopped (AVAIL).
    def test_long_running_tasks_are_no_probes(self):
        worker = self.restart_after_acknowledgement()
        job = self.add_job("j", StepSpec(count=1, cpu_m=100, is_long_running=True))
        run = self.start(job, worker)
        run.sent_s = self.clock.now
        self.owner.stop_probe(run)
        self.assertEqual(self.commands.stops, [])
        self.assertTrue(worker.accepts_runs(self.clock.now))

    # Guards against many probes at once, whose ends may be hidden as well (TWICE).
    def test_runs_of_the_former_incarnation_are_no_hidden_ends(self):
        former = self.workers[0]
        self.report(former)
        for number in range(5):
            run = self.start(self.add_job(f"j{number}", STEP), former)
            run.sent_s = self.clock.now
        with self.owner.outstanding_calls.sending(former.key, True):
            pass
        worker = self.add_worker("w1", incarnation="2")
        self.report(worker)
        self.assertTrue(worker.may_hide_ends)
        self.assertEqual(worker.probe_limit, 1)

    def test_each_end_is_acknowledged_until_a_call_has_been_answered(self):
        worker = self.workers[0]
        self.assertEqual(worker.end_to_acknowledge(), 0)
        worker.last_end_committed = 3
        self.assertEqual(worker.end_to_acknowledge(), 3)
        worker.record_acknowledged(3)
        self.assertEqual(worker.end_to_acknowledge(), 0)

    def test_a_report_with_a_later_number_is_an_end_too(self):
        worker = self.restart_after_acknowledgement()
        ended = EndedTask(14, "gone.0.0.0", 1, "done")
        report = WorkerReport(1000, "2", (), (ended,))
        self.reports.process(worker, report, self.clock.now)
        self.assertFalse(worker.may_hide_ends)


class OverlookedEntryTests(FormerCallsTestCase):
    # Guards against workers that get no runs for good, as an answer that was on its way
    # when they restarted removed the entry of their next incarnation (LOST).
    def test_an_answer_of_the_former_incarnation_removes_no_entry_for_good(self):
        former = self.add_silent("w9", "1")
        self.start(self.add_job("j", STEP), former)
        self.add_silent("w9", "2")
        self.report(former)
        self.owner.incarnations.add_answering(former, "2")
        (worker,) = self.owner.fleet.incarnations_of("w9")
        self.report(worker)
        self.clock.advance(2.0)
        self.owner.incarnations.list_read_s = self.clock.now
        self.tick()
        self.assertTrue(worker.accepts_runs(self.clock.now))


class StopTests(FormerCallsTestCase):
    # Guards against tasks that wait for the end of a stopped run for good, as its stop
    # was not sent to the incarnation to which the run had moved (LOST).
    def test_a_stop_follows_its_run_to_the_next_incarnation(self):
        sent: list[str] = []

        class Calls:
            async def stop(self, worker: WorkerEntry, command: Command) -> object:
                sent.append(worker.incarnation)
                is_next = worker.incarnation == "2"
                return Accepted(1000) if is_next else OtherIncarnation("2")

        self.report(self.workers[0])
        run = self.send_unanswered(self.workers[0])
        run.state = RunState.STOPPING

        async def stop() -> None:
            commands = WorkerCommands(self.owner, Calls())
            commands.send_stop(run)
            await asyncio.sleep(0.4)

        self.lease.may_extend = True
        asyncio.run(stop())
        self.assertEqual(sent, ["1", "2"])

    # Guards against a cancelled job that works on, as the stop that the former
    # incarnation had accepted was believed of the next one (UNASKED).
    def test_a_stop_is_sent_again_to_the_next_incarnation(self):
        self.report(self.workers[0])
        run = self.send_unanswered(self.workers[0])
        self.owner.stop_run(run, "cancelled")
        run.confirmed_at_s = self.clock.now
        self.assertEqual(self.commands.stops, [run])
        following = self.add_worker("w1", incarnation="2")
        self.report(following, (run, 1.0, 0.0))
        self.assertEqual(self.commands.stops, [run, run])
        self.assertTrue(run.is_active)
        self.assertEqual(run.confirmed_at_s, float("inf"))

    def test_a_start_that_finds_another_incarnation_was_not_carried_out(self):
        class Calls:
            async def start(self, worker: WorkerEntry, command: Command) -> object:
                return OtherIncarnation("2")

        self.report(self.workers[0])
        self.lease.may_extend = True
        run = self.start(self.add_job("j", STEP), self.workers[0])
        run.state = RunState.PLANNED

        async def start() -> None:
            commands = WorkerCommands(self.owner, Calls())
            commands.send_start(run)
            await asyncio.sleep(0.05)

        asyncio.run(start())
        self.assertFalse(run.is_active)
        self.assertTrue(run.task.is_waiting)


class SpeedLimitTests(FormerCallsTestCase):
    # Guards against runs that stay paused, as two limits overtook one another (LOST).
    def test_a_limit_that_a_later_one_overtook_is_not_known(self):
        class Calls:
            async def set_speed_limit(
                self, worker: WorkerEntry, command: Command, percent: int
            ) -> Accepted:
                await asyncio.sleep(0.02 if percent == 0 else 0.0)
                return Accepted(1000)

        run = self.start(self.add_job("j", STEP), self.workers[0])

        async def send() -> None:
            commands = WorkerCommands(self.owner, Calls())
            commands.send_speed_limit(run, 0)
            await asyncio.sleep(0.0)
            commands.send_speed_limit(run, 100)
            await asyncio.sleep(0.05)

        asyncio.run(send())
        self.assertFalse(run.is_speed_limit_known)

    def test_the_limit_on_a_next_incarnation_is_not_known(self):
        run = self.start(self.add_job("j", STEP), self.workers[0])
        self.workers[0].set_speed_limit(run, 0)
        following = self.add_worker("w1", incarnation="2")
        self.report(following, (run, 1.0, 0.0))
        self.assertFalse(run.is_speed_limit_known)
