"""Holds of a worker end by themselves, and tell their reason and age."""

from __future__ import annotations

from fulmarlever.tests.base import TableTestCase
from fulmarleverd.scheduling.health.crashes import ISOLATION_S
from fulmarleverd.scheduling.holds.hold import LONGEST_HOLD_S, Hold, HoldReason, Holds
from fulmarleverd.scheduling.ports import (
    REJECT_CAPACITY,
    REJECT_INVALID,
    REJECT_UNHEALTHY,
    Rejected,
    RunningTask,
    WorkerReport,
)
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.workers.fleet import Worker
from fulmarleverd.scheduling.workers.reports import UNKNOWN_RUN_PAUSE_S
from fulmarleverd.scheduling.workers.worker_commands import (
    CAPACITY_PAUSE_S,
    UNANSWERED_PAUSE_S,
    UNHEALTHY_PAUSE_S,
    WorkerCommands,
)
from fulmarleverd.tests.scheduling.base import OwnerTestCase

NO_ROOM, ISOLATION = HoldReason.NO_ROOM, HoldReason.ISOLATION


class HoldTests(TableTestCase):
    def test_no_hold_is_longer_than_the_longest_of_its_reason(self):
        for (reason,) in self.each([(reason,) for reason in HoldReason]):
            longest_s = LONGEST_HOLD_S[reason]
            self.assertEqual(Hold(reason, 0.0, 0.0, longest_s).until_s, longest_s)
            with self.assertRaises(ValueError):
                Hold(reason, 0.0, 0.0, longest_s + 0.1)
            with self.assertRaises(ValueError):
                Hold(reason, 0.0, 0.0, float("inf"))

    def test_a_hold_that_is_set_again_keeps_its_age_and_the_later_end(self):
        # Reason, seconds between the two, first and second length; first second of the
        # hold and its end.
        rows = (
            ("renewed", 0.5, 1.0, 1.0, 0.0, 1.5),
            ("not shortened", 0.1, 1.0, 0.1, 0.0, 1.0),
            ("over before", 0.5, 0.4, 1.0, 0.5, 1.5),
        )
        for _, passed_s, first_s, second_s, since_s, until_s in self.each(rows):
            holds = Holds()
            holds.add(NO_ROOM, 0.0, first_s)
            holds.add(NO_ROOM, passed_s, second_s)
            (hold,) = holds.at(passed_s)
            self.assertEqual((hold.since_s, hold.until_s), (since_s, until_s))
            self.assertTrue(holds.is_held_at(until_s - 0.01))
            self.assertFalse(holds.is_held_at(until_s))
            self.assertEqual(list(holds.at(until_s)), [])

    def test_holds_of_several_reasons_last_until_the_last_one_ends(self):
        holds = Holds()
        holds.add(ISOLATION, 0.2, 1.0)
        holds.add(NO_ROOM, 0.1, 0.3)
        self.assertEqual([hold.reason for hold in holds.at(0.3)], [NO_ROOM, ISOLATION])
        self.assertEqual([hold.reason for hold in holds.at(0.5)], [ISOLATION])
        self.assertTrue(holds.is_held_at(1.1))


class ReasonsOfHoldsTests(OwnerTestCase):
    """Each module that holds a worker back names its reason."""

    def reject(self, reason: str) -> None:
        run = self.start_run()
        self.commands_of_owner()._process_rejection(run, run.worker, Rejected(reason))

    def start_run(self):
        job = self.add_job(f"j{len(self.owner.jobs)}", StepSpec(cpu_m=1000))
        return self.owner.assign(job.occurrences[0][0].tasks[0], self.workers[0])

    def commands_of_owner(self) -> WorkerCommands:
        return WorkerCommands(self.owner, None)

    def give_up(self) -> None:
        run = self.start_run()
        self.commands_of_owner()._give_up(run, run.worker)

    def isolate(self) -> None:
        self.owner.crashes.isolate(self.start_run())

    def report_unknown_run(self) -> None:
        unknown = RunningTask("gone.0.0.0", 3, "", 50.0, 0.0)
        report = WorkerReport(1000, "1", (unknown,))
        self.reports.process(self.workers[0], report, self.clock.now)

    def test_reasons(self):
        rows = (
            (NO_ROOM, lambda: self.reject(REJECT_CAPACITY), CAPACITY_PAUSE_S),
            (
                HoldReason.UNHEALTHY,
                lambda: self.reject(REJECT_UNHEALTHY),
                UNHEALTHY_PAUSE_S,
            ),
            (HoldReason.UNHEALTHY, lambda: self.reject("?"), UNHEALTHY_PAUSE_S),
            (HoldReason.UNANSWERED, self.give_up, UNANSWERED_PAUSE_S),
            (ISOLATION, self.isolate, ISOLATION_S),
            (HoldReason.UNKNOWN_RUN, self.report_unknown_run, UNKNOWN_RUN_PAUSE_S),
        )
        for reason, set_hold, length_s in self.each(rows):
            worker = self.workers[0]
            now = self.clock.now
            set_hold()
            (hold,) = worker.holds.at(now)
            self.assertEqual((hold.reason, hold.since_s), (reason, now))
            self.assertAlmostEqual(hold.until_s, now + length_s)
            self.assert_accepts(worker, False)
            self.clock.advance(length_s + 0.01)
            self.assert_accepts(worker, True)

    def test_a_worker_that_finds_a_start_invalid_is_not_held(self):
        self.reject(REJECT_INVALID)
        self.assert_accepts(self.workers[0], True)

    def assert_accepts(self, worker: Worker, expected: bool) -> None:
        """Check whether a worker that answers accepts runs."""
        worker.is_reachable = True
        self.assertEqual(worker.accepts_runs(self.clock.now), expected)
