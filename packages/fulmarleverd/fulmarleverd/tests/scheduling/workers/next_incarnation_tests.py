"""Tests of the runs of a worker that starts again under its id."""

from __future__ import annotations

from dataclasses import replace

from fulmarleverd.scheduling.jobs.runs import RunState
from fulmarleverd.scheduling.specs import StepSpec, WorkerKey
from fulmarleverd.scheduling.workers.incarnations import DISPUTED_S
from fulmarleverd.tests.scheduling.base import OwnerTestCase

STEP = StepSpec(count=1, cpu_m=1000)


class NextIncarnationTests(OwnerTestCase):
    # State before, whether a start may still arrive, whether the next incarnation
    # reports the run; whether it is stopped there, whether the report ends it.
    ROWS = (
        ("not sent", RunState.PLANNED, False, False, False, True),
        ("without an answer", RunState.SENT, False, False, True, False),
        ("accepted, reported", RunState.RUNNING, False, True, False, False),
        ("accepted, not reported", RunState.RUNNING, False, False, False, True),
        ("accepted at the second attempt", RunState.RUNNING, True, False, True, False),
    )

    def test_runs_wait_for_the_first_report(self):
        for name, state, may_arrive, is_reported, is_stopped, is_ended in self.each(
            self.ROWS
        ):
            worker = self.add_worker(name)
            run = self.start(self.add_job(name, STEP), worker)
            run.state = state
            run.may_arrive_late = may_arrive
            self.clock.advance(0.1)
            next_incarnation = self.add_worker(name, incarnation="2")
            self.clock.advance(0.1)
            self.report(next_incarnation, *([(run, 10.0, 0.0)] if is_reported else []))
            self.assertEqual(run in self.commands.stops, is_stopped)
            self.assertEqual(not run.is_active, is_ended)
            self.assertNotIn(worker, list(self.owner.fleet))

    def test_runs_of_ended_jobs_are_stopped(self):
        worker = self.add_worker("w3")
        run = self.start(self.add_job("j", STEP), worker)
        worker.remove(run)
        run.worker = None
        self.owner.orphans[run] = None
        self.owner.open_jobs.cancel("j")
        self.assertEqual(self.commands.stops, [])
        next_incarnation = self.add_worker("w3", incarnation="2")
        self.assertEqual(self.commands.stops, [])
        self.report(next_incarnation)
        self.assertEqual(self.commands.stops, [run])

    # Regression: the order of a set, by memory addresses, decided which task was
    # started first, so a play of the simulation could not be repeated.
    def test_runs_whose_worker_is_not_known_keep_their_order(self):
        job = self.add_job("j", StepSpec(count=40, cpu_m=100))
        tasks = job.occurrences[0][0].tasks
        runs = [task.add_run(WorkerKey("w3", "1")) for task in tasks]
        # Neither the order of their addresses nor its reverse.
        runs = runs[20:] + runs[:20]
        for run in runs:
            self.owner._attach_run(run)
        worker = self.add_worker("w3")
        self.assertEqual(list(worker.runs.values()), runs)

    # Regression (TWICE): an entry by another writer removed the live incarnation.
    def test_an_entry_replaces_no_incarnation_before_it_answers(self):
        worker = self.workers[0]
        run = self.start(self.add_job("j", STEP), worker)
        self.report(worker, (run, 10.0, 0.0))
        for incarnation in ("0", "2", "3"):
            self.add_worker("w1", incarnation=incarnation)
            others = self.owner.fleet.incarnations_of("w1")
            self.assertEqual([w.key.incarnation for w in others], ["1", incarnation])
            self.assertIs(run.worker, worker)
        self.owner.incarnations.add_answering(others[1], "1")
        self.assertEqual(self.owner.fleet.incarnations_of("w1"), [worker])
        self.assertTrue(run.is_active)
        self.assertEqual(run.task.crashes + run.task.unproven_crashes, 0)

    def test_an_incarnation_known_by_its_report_gets_no_starts_before_its_entry(self):
        worker = self.workers[0]
        self.owner.incarnations.add_answering(worker, "2")
        next_incarnation = next(iter(self.owner.fleet.incarnations_of("w1")))
        next_incarnation.is_reconciled = next_incarnation.is_reachable = True
        self.assertEqual(next_incarnation.entry.incarnation, "2")
        self.assertFalse(next_incarnation.accepts_runs(self.clock.now))
        self.add_worker("w1", incarnation="2")
        self.assertTrue(next_incarnation.accepts_runs(self.clock.now))


class MisdirectedWorkersTests(OwnerTestCase):
    # Guards against a run that nobody has and nobody plans again, as its worker was
    # looked for at the address of another one while it was stopped.
    def test_a_run_that_its_worker_lacks_is_planned_again(self):
        worker = self.add_worker("w3")
        worker.is_reachable = False
        run = self.start(self.add_job("j", STEP), worker)
        self.owner.stop_run(run, "its worker does not answer")
        self.owner.incarnations.process_mismatch(worker, "another worker")
        self.assertIn(run, self.owner.orphans)
        self.clock.advance(1.0)
        found = self.add_worker("w3")
        self.assertIs(run.worker, found)
        self.report(found)
        self.assertFalse(run.is_active)
        self.assertTrue(run.task.is_waiting)


class ReturningWorkersTests(OwnerTestCase):
    # Guards against runs that are in no list any more, as a late answer to a command of
    # an earlier stay in the fleet removed the worker that has them.
    def test_a_late_answer_removes_no_worker_that_came_back(self):
        rows = (("never answered", False), ("answered", True))
        for name, has_answered in self.each(rows):
            earlier = self.add_worker(name)
            if has_answered:
                self.report(earlier)
            self.owner.discard_worker(earlier, "unlisted and without an answer")
            present = self.add_worker(name)
            run = self.start(self.add_job(name, STEP), present)
            self.owner.incarnations.process_mismatch(earlier, "another worker")
            self.assertEqual(self.owner.fleet.incarnations_of(name), [present])
            self.assertIs(run.worker, present)


class DrainingEntriesTests(OwnerTestCase):
    # Guards against runs that are stopped at once as their worker begins to drain, as
    # another writer's entry had said long before that it drains.
    def test_the_time_that_is_left_counts_from_the_last_begin(self):
        worker = self.workers[0]
        self.report(worker)
        own = worker.entry
        draining = replace(own, is_draining=True, remaining_s=5.0)
        for _ in range(2):
            self.owner.incarnations.process_entry(draining)
            self.clock.advance(1.0)
            self.owner.incarnations.process_entry(draining)
            self.assertEqual(worker.drain_until_s, self.clock.now + 4.0)
            self.assertFalse(worker.accepts_runs(self.clock.now))
            self.owner.incarnations.process_entry(own)
            self.assertTrue(worker.accepts_runs(self.clock.now))
            self.clock.advance(60.0)


class DisputedEntriesTests(OwnerTestCase):
    # What an entry says otherwise, and whether the worker is held to what it said.
    ROWS = (
        ("address", {"address": "other:1"}, True),
        ("service", {"service": "mail-desk"}, True),
        ("zone", {"zone": "y"}, True),
        ("cores", {"cpu_m": 320_000}, True),
        ("labels", {"labels": ("b", "r2")}, True),
        ("state", {"is_draining": True}, False),
        ("warm-up", {"cold_left_s": 3.0}, False),
    )

    # Guards against runs that another writer's entry sends to a worker without the
    # label or the room for them (ROUTE, LIMIT).
    def test_a_worker_that_answers_is_held_to_what_it_said(self):
        for name, fields, is_held in self.each(self.ROWS):
            worker = self.add_worker(name)
            self.report(worker)
            own = worker.entry
            other = replace(own, **fields)
            for _ in range(5):
                self.owner.incarnations.process_entry(other)
                self.assertEqual(worker.entry, own if is_held else other)
                self.clock.advance(1.0)
                self.owner.incarnations.process_entry(own)
                self.clock.advance(0.1)

    # Guards against a worker that another writer's first entry keeps out of use.
    def test_an_entry_that_nobody_contradicts_is_believed(self):
        for name, fields, _ in self.each(self.ROWS[1:5]):
            worker = self.add_worker(name)
            self.report(worker)
            other = replace(worker.entry, **fields)
            self.owner.incarnations.process_entry(other)
            self.assertNotEqual(worker.entry, other)
            self.clock.advance(DISPUTED_S)
            self.owner.incarnations.process_entry(other)
            self.assertEqual(worker.entry, other)
