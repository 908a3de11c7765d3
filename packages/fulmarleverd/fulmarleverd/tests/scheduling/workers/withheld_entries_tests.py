"""Entries that are not believed at first, and are not written again."""

from __future__ import annotations

from dataclasses import replace

from fulmarleverd.scheduling.housekeeping import TICK_S, Housekeeping
from fulmarleverd.scheduling.interference.model import InterferenceModel
from fulmarleverd.scheduling.specs import (
    SchedulingConfig,
    ServiceSpec,
    StepSpec,
)
from fulmarleverd.scheduling.workers.incarnations import (
    DISPUTED_S,
    MISDIRECTED_RETRY_S,
    WITHHELD_RETRY_S,
)
from fulmarleverd.scheduling.workers.lease_ends import MAX_WORKER_LEASE_S
from fulmarleverd.tests.scheduling.base import OwnerTestCase

MAX_WAIT_S = DISPUTED_S + WITHHELD_RETRY_S + TICK_S


class WithheldEntriesTests(OwnerTestCase):
    def setUp(self):
        super().setUp()
        self.housekeeping = Housekeeping(self.owner, InterferenceModel())
        self.named = [ServiceSpec("desk")]
        self.owner.find_config = lambda: SchedulingConfig(1, services=self.named)

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            self.housekeeping.tick()

    # What an entry says otherwise than the first one.
    ROWS = (
        ("fewer cores", {"cpu_m": 8000}),
        ("more cores", {"cpu_m": 64000}),
        ("labels", {"labels": ("b", "r2")}),
        ("zone", {"zone": "y"}),
    )

    # Guards against a worker that stays out of use for good, as its own entry came only
    # once, after it had answered (LOST).
    def test_an_entry_that_nobody_contradicts_is_believed_without_another_write(self):
        for name, fields in self.each(self.ROWS):
            worker = self.add_worker(name)
            self.report(worker)
            own = replace(worker.entry, **fields)
            self.owner.incarnations.process_entry(own)
            self.assertNotEqual(worker.entry, own)
            self.pass_time(MAX_WAIT_S)
            self.assertEqual(worker.entry, own)

    def test_a_contradicted_entry_is_not_believed_later(self):
        for name, fields in self.each(self.ROWS):
            worker = self.add_worker(name)
            self.report(worker)
            own = worker.entry
            self.owner.incarnations.process_entry(replace(own, **fields))
            self.pass_time(1.0)
            self.owner.incarnations.process_entry(own)
            self.pass_time(2 * MAX_WAIT_S)
            self.assertEqual(worker.entry, own)

    # Guards against a worker that started again as another kind, answered before its
    # entry was read, and never gets a run (LOST).
    def test_the_first_entry_of_an_incarnation_known_by_its_report_is_believed(self):
        for name, fields in self.each((("no change", {}), *self.ROWS)):
            worker = self.add_worker(name)
            self.report(worker)
            own = replace(worker.entry, incarnation="2", **fields)
            self.owner.incarnations.add_answering(worker, "2")
            (answering,) = self.owner.fleet.incarnations_of(name)
            self.report(answering)
            self.assertFalse(answering.accepts_runs(self.clock.now))
            self.owner.incarnations.process_entry(own)
            self.assertEqual(answering.entry, own)
            self.assertTrue(answering.accepts_runs(self.clock.now))

    # Guards against workers that stay unknown, as their entries were read before the
    # configuration that names their service.
    def test_an_entry_is_believed_once_its_service_is_named(self):
        entry = replace(self.workers[0].entry, id="w3", service="new-desk")
        self.owner.incarnations.process_entry(entry)
        self.pass_time(2 * WITHHELD_RETRY_S)
        self.assertEqual(self.owner.fleet.incarnations_of("w3"), [])
        self.named.append(ServiceSpec("new-desk"))
        self.pass_time(WITHHELD_RETRY_S + TICK_S)
        (worker,) = self.owner.fleet.incarnations_of("w3")
        self.assertEqual(worker.entry, entry)

    def test_an_entry_of_another_address_is_believed_once_nothing_depends_on_it(self):
        worker = self.workers[0]
        run = self.start(self.add_job("j", StepSpec(cpu_m=1000)), worker)
        self.report(worker, (run, 10.0, 0.0))
        other = replace(worker.entry, address="other:1")
        self.owner.incarnations.process_entry(other)
        self.owner.mark_unreachable(worker, "no answer")
        self.pass_time(WITHHELD_RETRY_S + TICK_S)
        self.assertNotEqual(worker.entry, other)
        self.owner.drop_run(run, "its lease has expired")
        self.pass_time(WITHHELD_RETRY_S + TICK_S)
        self.assertEqual(worker.entry, other)

    # Guards against a worker that stays unknown, as its entry is replaced by that of an
    # earlier incarnation, which is no longer at its address.
    def test_an_earlier_incarnation_does_not_replace_a_withheld_entry(self):
        earlier = self.add_worker("w3")
        entry = replace(earlier.entry, incarnation="2", service="new-desk")
        self.owner.incarnations.process_entry(entry)
        self.owner.incarnations.process_mismatch(earlier, "another worker answers")
        self.named.append(ServiceSpec("new-desk"))
        self.pass_time(MISDIRECTED_RETRY_S + TICK_S)
        incarnations = self.owner.fleet.incarnations_of("w3")
        self.assertIn("2", [worker.entry.incarnation for worker in incarnations])

    # Guards against a larger capacity by another writer, while the worker's own entry
    # cannot be read.
    def test_a_disputed_entry_is_not_believed_while_the_list_cannot_be_read(self):
        worker = self.workers[0]
        self.report(worker)
        self.owner.incarnations.list_read_s = self.clock.now
        other = replace(worker.entry, cpu_m=64_000)
        self.owner.incarnations.process_entry(other)
        self.pass_time(2 * DISPUTED_S)
        self.assertNotEqual(worker.entry, other)
        self.owner.incarnations.list_read_s = self.clock.now
        self.pass_time(WITHHELD_RETRY_S + TICK_S)
        self.assertEqual(worker.entry, other)

    def test_a_removed_entry_is_not_believed_later(self):
        worker = self.workers[0]
        self.report(worker)
        own = worker.entry
        rows = (
            ("removed", lambda: self.owner.incarnations.process_removal("w1")),
            ("not in a snapshot", lambda: self.owner.incarnations.process_snapshot([])),
        )
        for _, remove in self.each(rows):
            self.owner.incarnations.process_entry(replace(own, cpu_m=1000))
            remove()
            self.pass_time(2 * MAX_WAIT_S)
            self.assertEqual(worker.entry, own)
            self.assertFalse(worker.is_listed)

    # Guards against a worker that stays unknown, as something else answered once at the
    # address of its entry.
    def test_a_misdirected_worker_is_tried_again_once_it_has_no_orphans(self):
        for name, has_run in self.each((("idle", False), ("with a run", True))):
            worker = self.add_worker(name)
            lease_end_s = self.clock.now + MAX_WORKER_LEASE_S
            self.lease.earlier_lease_ends_s[worker.key] = lease_end_s
            if has_run:
                self.start(self.add_job("j", StepSpec(cpu_m=1000)), worker)
            self.owner.incarnations.process_mismatch(worker, "another worker")
            self.assertEqual(self.owner.fleet.incarnations_of(name), [])
            self.pass_time(MISDIRECTED_RETRY_S + TICK_S)
            known = self.owner.fleet.incarnations_of(name)
            self.assertEqual(len(known), 0 if has_run else 1)
            self.pass_time(MAX_WORKER_LEASE_S)
            self.assertEqual(list(self.owner.orphans), [])
            self.assertEqual(len(self.owner.fleet.incarnations_of(name)), 1)
