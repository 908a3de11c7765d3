"""Which leases on workers a new owner has to wait for, and what it passes on."""

from __future__ import annotations

from fulmarleverd.scheduling.lease_ends import MAX_SILENT_NAMED, LeaseEnds
from fulmarleverd.scheduling.rows import JobRow
from fulmarleverd.scheduling.runs import WorkerKey
from fulmarleverd.scheduling.specs import Bounds, JobSpec, StepSpec
from fulmarleverd.tests.scheduling.base import QUEUE, OwnerTestCase

# The owner took over at second 0; earlier owners may have extended leases until then.
GRANTS_END_S = 3.0
BOUNDS = Bounds(worker_lease_s=5.0)
LENGTH_S = 5.0 / 0.98 + 0.3
STEP = StepSpec(count=1, cpu_m=1000)


class LeaseEndsTests(OwnerTestCase):
    def setUp(self):
        super().setUp()
        self.start_s = self.clock.boot()
        self.lease.earlier_extensions_end_s = self.start_s + GRANTS_END_S
        self.ends = LeaseEnds(self.lease, self.clock, BOUNDS)
        self.worker = self.workers[0]

    def named(self) -> dict[str, float]:
        """Return what is left of the leases of silent workers, by worker."""
        silent = self.ends.unresponsive_workers(self.owner.fleet, self.owner.orphans)
        return {worker.key.id: worker.lease_left_s for worker in silent}

    def test_what_an_owner_has_to_wait_for(self):
        # First answer, last grant, named end (0 for none); expected end.
        rows = (
            ("never reached", 0.0, 0.0, 0.0, GRANTS_END_S + LENGTH_S),
            ("named as silent", 0.0, 0.0, 4.0, 4.0),
            ("named, start without an answer", 0.0, 2.0, 4.0, 2.0 + LENGTH_S),
            ("answered", 1.0, 0.0, 0.0, 1.0 + LENGTH_S),
            ("answered and extended", 1.0, 2.0, 0.0, 2.0 + LENGTH_S),
        )
        for _, answer_s, grant_s, named_s, expected_s in self.each(rows):
            self.worker.first_answer_s = answer_s and self.start_s + answer_s
            self.worker.granted_s = grant_s and self.start_s + grant_s
            ends_s = {self.worker.key: self.start_s + named_s} if named_s else {}
            self.lease.earlier_lease_ends_s = ends_s
            end_s = self.ends.end_s(self.worker) - self.start_s
            self.assertAlmostEqual(end_s, expected_s)

    def test_silent_workers_with_runs_are_named(self):
        rows = (("silent", True, 1), ("answers", False, 0))
        for name, is_silent, expected in self.each(rows):
            worker = self.add_worker(name)
            self.start(self.add_job(name, STEP), worker)
            worker.is_silent = is_silent
            self.assertEqual(len(self.named()), expected)
            worker.is_silent = False
        self.worker.is_silent = True
        self.assertEqual(self.named(), {}, "it runs nothing")

    def test_runs_on_unknown_workers_are_named(self):
        job = self.add_job("j", STEP)
        job.occurrences[0][0].tasks[0].add_run(WorkerKey("gone", "1"))
        self.owner.orphans.update(job.runs())
        self.assertAlmostEqual(self.named()["gone"], GRANTS_END_S + LENGTH_S)

    def test_what_an_earlier_owner_named_is_passed_on_until_it_is_over(self):
        key = WorkerKey("gone", "1")
        self.lease.earlier_lease_ends_s = {key: self.start_s + 4.0}
        self.clock.advance(1.0)
        self.assertAlmostEqual(self.named()["gone"], 3.0)
        self.clock.advance(3.0)
        self.assertEqual(self.named(), {})

    def test_the_row_stays_small(self):
        for number in range(MAX_SILENT_NAMED + 20):
            worker = self.add_worker(f"s{number}")
            row = JobRow(JobSpec(f"j{number}", "", (STEP,)), QUEUE, 0.0)
            self.owner.add_job(row)
            self.start(self.owner.jobs[f"j{number}"], worker)
            worker.is_silent = True
        self.assertEqual(len(self.named()), MAX_SILENT_NAMED)
