"""Tests of when leases on workers expire and which the next owner is told of."""

from __future__ import annotations

from fulmarleverd.scheduling.persistence.rows import JobRow
from fulmarleverd.scheduling.specs import Bounds, JobSpec, StepSpec, WorkerKey
from fulmarleverd.scheduling.workers.lease_ends import (
    MAX_UNRESPONSIVE_LISTED,
    LeaseEnds,
)
from fulmarleverd.tests.scheduling.base import QUEUE, OwnerTestCase

# The owner took over at second 0; earlier owners may have extended leases until then.
EXTENSIONS_END_S = 3.0
BOUNDS = Bounds(worker_lease_s=5.0)
MAX_LEASE_S = 5.0 / 0.98 + 0.3
STEP = StepSpec(count=1, cpu_m=1000)


class LeaseEndsTests(OwnerTestCase):
    def setUp(self):
        super().setUp()
        self.start_s = self.clock.boot()
        self.lease.earlier_extensions_end_s = self.start_s + EXTENSIONS_END_S
        self.ends = LeaseEnds(self.lease, self.clock, BOUNDS)
        self.worker = self.workers[0]

    def seconds_left(self) -> dict[str, float]:
        """Return the seconds left of unresponsive workers' leases, by worker id."""
        unresponsive = self.ends.unresponsive_workers(
            self.owner.fleet, self.owner.orphans
        )
        return {worker.key.id: worker.lease_left_s for worker in unresponsive}

    def test_the_end_of_a_worker_lease(self):
        # First answer, last grant, listed end (0 for none); expected end.
        rows = (
            ("never reached", 0.0, 0.0, 0.0, EXTENSIONS_END_S + MAX_LEASE_S),
            ("listed as unresponsive", 0.0, 0.0, 4.0, 4.0),
            ("listed, start without an answer", 0.0, 2.0, 4.0, 2.0 + MAX_LEASE_S),
            ("answered", 1.0, 0.0, 0.0, 1.0 + MAX_LEASE_S),
            ("answered and extended", 1.0, 2.0, 0.0, 2.0 + MAX_LEASE_S),
        )
        for _, answer_s, grant_s, listed_s, expected_s in self.each(rows):
            self.worker.first_answer_s = answer_s and self.start_s + answer_s
            self.worker.lease_granted_at_s = grant_s and self.start_s + grant_s
            ends_s = {self.worker.key: self.start_s + listed_s} if listed_s else {}
            self.lease.earlier_lease_ends_s = ends_s
            end_s = self.ends.end_s(self.worker) - self.start_s
            self.assertAlmostEqual(end_s, expected_s)

    def test_unresponsive_workers_with_runs_are_listed(self):
        rows = (("unresponsive", True, 1), ("answers", False, 0))
        for name, is_unresponsive, expected in self.each(rows):
            worker = self.add_worker(name)
            self.start(self.add_job(name, STEP), worker)
            worker.is_unresponsive = is_unresponsive
            self.assertEqual(len(self.seconds_left()), expected)
            worker.is_unresponsive = False
        self.worker.is_unresponsive = True
        self.assertEqual(self.seconds_left(), {}, "it runs nothing")

    def test_unknown_workers_with_runs_are_listed(self):
        job = self.add_job("j", STEP)
        job.occurrences[0][0].tasks[0].add_run(WorkerKey("gone", "1"))
        self.owner.orphans.update(dict.fromkeys(job.runs()))
        self.assertAlmostEqual(
            self.seconds_left()["gone"], EXTENSIONS_END_S + MAX_LEASE_S
        )

    def test_workers_listed_by_an_earlier_owner_are_listed_until_the_lease_ends(self):
        key = WorkerKey("gone", "1")
        self.lease.earlier_lease_ends_s = {key: self.start_s + 4.0}
        self.clock.advance(1.0)
        self.assertAlmostEqual(self.seconds_left()["gone"], 3.0)
        self.clock.advance(3.0)
        self.assertEqual(self.seconds_left(), {})

    def test_the_number_of_listed_workers_is_limited(self):
        for number in range(MAX_UNRESPONSIVE_LISTED + 20):
            worker = self.add_worker(f"s{number}")
            row = JobRow(JobSpec(f"j{number}", "", (STEP,)), QUEUE, 0.0)
            self.owner.open_jobs.add(row)
            self.start(self.owner.jobs[f"j{number}"], worker)
            worker.is_unresponsive = True
        self.assertEqual(len(self.seconds_left()), MAX_UNRESPONSIVE_LISTED)
