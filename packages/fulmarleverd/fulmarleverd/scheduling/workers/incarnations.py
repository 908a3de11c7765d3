"""Which incarnation of a worker holds its runs, and which entries describe it.

An entry in the list of workers may come from another writer. So an incarnation replaces
others only once it has answered, keeps the address at which it did, and has ended only
if something else answers there.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import replace
from typing import TYPE_CHECKING

from fulmarleverd.scheduling.calls.outstanding import MAX_LATE_S
from fulmarleverd.scheduling.decisions import record, record_run
from fulmarleverd.scheduling.jobs.runs import Run, RunState
from fulmarleverd.scheduling.ports import OtherIncarnation, Rejected, WorkerReport
from fulmarleverd.scheduling.specs import WorkerEntry, WorkerKey
from fulmarleverd.scheduling.workers.fleet import DisputedEntry, Worker
from fulmarleverd.scheduling.workers.withheld_entries import WithheldEntries

if TYPE_CHECKING:
    from fulmarleverd.scheduling.owner import Owner


# Longer than a worker takes to write its entry anew.
DISPUTED_S = 3.0
# How far the times of day of two VMs may usually be apart.
WALL_TOLERANCE_S = 1.0
# How long a worker that is not listed has for its first report.
FIRST_REPORT_S = 3.0
# A worker that is reached answers its first calls within this time.
MAX_UNANSWERED_S = 1.0
# An entry that is not believed is looked at again each time after this, in seconds, as
# it is not written again.
WITHHELD_RETRY_S = 1.0
# So is one at whose address something else answered, as the worker may have it by then.
MISDIRECTED_RETRY_S = 5.0


class Incarnations:
    """Takes entries in, and moves runs between the incarnations of a worker."""

    def __init__(self, owner: Owner) -> None:
        self._owner = owner
        self.withheld = WithheldEntries()
        # When the list of workers was last read, on the owner's clock.
        self.list_read_s = float("inf")

    def process_entry(self, entry: WorkerEntry) -> None:
        """Add or update a worker by an entry in the list, if it may be the worker's.

        Otherwise the entry is withheld until the reason has passed.
        """
        known = self._owner.fleet.find(WorkerKey(entry.id, entry.incarnation))
        reason = self._find_contradiction(entry, known)
        if not reason:
            self.withheld.forget(entry.id)
            self._owner.add_worker(entry)
            return
        retry_at_s = self._owner.now_s() + WITHHELD_RETRY_S
        if self.withheld.add(entry, reason, retry_at_s):
            record(
                "worker-entry-ignored",
                reason,
                key=entry.id,
                service=entry.service,
                address=entry.address,
            )

    def process_removal(self, worker_id: str) -> None:
        """Note that the list has no entry of a worker any more."""
        self.withheld.forget(worker_id)
        self._owner.mark_unlisted(worker_id)

    def process_snapshot(self, worker_ids: Container[str]) -> None:
        """Note that the list has entries of these workers only."""
        self.withheld.keep_only(worker_ids)
        for worker in list(self._owner.fleet):
            if worker.id not in worker_ids:
                self._owner.mark_unlisted(worker.id)

    def retry_withheld(self) -> None:
        """Look again at the withheld entries that are due."""
        due = self.withheld.due(self._known_until_s())
        if not due:
            return
        services = {item.entry.service for item in due}
        named = {service for service in services if self._is_named(service)}
        orphaned = {run.worker_key for run in self._owner.orphans}
        for item in due:
            key = WorkerKey(item.entry.id, item.entry.incarnation)
            if key in orphaned:
                # Its runs are left to an entry that leads to the worker.
                continue
            if item.entry.service in named or self._owner.fleet.find(key):
                self.process_entry(item.entry)

    def _find_contradiction(self, entry: WorkerEntry, known: Worker | None) -> str:
        """Return why an entry cannot be the worker's own, or an empty string.

        An incarnation that answers keeps its address. Once it does not answer any more
        and has no runs, nothing depends on that.
        """
        is_kept = known is not None and (known.is_reachable or known.runs)
        if is_kept and known.first_answer_s:
            if known.entry.address != entry.address:
                return "the worker answers at another address"
            if known.is_described and self._is_disputed(entry, known):
                return "the worker said something else of itself"
        is_same = known is not None and known.entry.service == entry.service
        if not is_same and not self._is_named(entry.service):
            return "the configuration names no such service"
        return ""

    def _is_disputed(self, entry: WorkerEntry, known: Worker) -> bool:
        """Return whether an entry contradicts what stays the same in an incarnation.

        If nobody contradicts it for a while, the earlier entry was the wrong one.
        """
        now = self._known_until_s()
        traits = entry.lasting_traits
        if traits == known.entry.lasting_traits:
            known.disputed = None
            return False
        if known.disputed is None or known.disputed.traits != traits:
            known.disputed = DisputedEntry(traits, now)
        return now - known.disputed.since_s < DISPUTED_S

    def _known_until_s(self) -> float:
        """Return until when a newer entry would have been read."""
        return min(self._owner.now_s(), self.list_read_s)

    def _is_named(self, service: str) -> bool:
        """Return whether the configuration, or an open job, names a service."""
        cfg = self._owner.find_config()
        jobs = self._owner.jobs.values()
        return (
            cfg.version < 0
            or cfg.names_service(service)
            or any(job.queue.service == service for job in jobs)
        )

    def process_rejection(self, worker: Worker, rejection: Rejected) -> None:
        """Process an answer that says that it is not from the worker of a call."""
        if self._owner.fleet.find(worker.key) is not worker:
            # Another call has found out before.
            return
        if isinstance(rejection, OtherIncarnation):
            self.add_answering(worker, rejection.incarnation)
        else:
            self.process_mismatch(worker, rejection.reason)

    def process_mismatch(self, worker: Worker, reason: str) -> None:
        """Note that at a worker's address another worker or incarnation answers.

        It has certainly ended only if it has answered there itself. Otherwise the
        address may be that of an entry by another writer, and its runs may go on
        elsewhere until their lease is over.
        """
        owner = self._owner
        if worker.first_answer_s:
            others = (other for other in owner.fleet if other is not worker)
            address = worker.entry.address
            if any(o.entry.address == address and self._was_cut_off(o) for o in others):
                owner.crashes.record_unproven_crash(worker)
                owner.discard_worker(worker, reason)
            else:
                owner.replace_worker(worker, reason)
            return
        record(
            "worker-misdirected",
            reason,
            worker=worker.id,
            runs=len(worker.runs),
            address=worker.entry.address,
        )
        owner.crashes.record_silence(worker)
        for run in list(worker.runs.values()):
            worker.remove(run)
            run.worker = None
            # Once its worker appears, a report without the run ends it, and it is
            # stopped anew if its job has ended.
            run.state = RunState.RUNNING
            run.confirmed_at_s = owner.now_s()
            owner.add_orphan(run)
        owner.fleet.remove(worker)
        owner.crashes.record_unproven_crash(worker)
        if worker.is_listed and worker.id not in self.withheld:
            retry_at_s = owner.now_s() + MISDIRECTED_RETRY_S
            self.withheld.add(worker.entry, reason, retry_at_s)

    def remove_unanswered(self, worker: Worker) -> None:
        """Remove the other incarnations that have neither answered nor have a run."""
        for other in self._owner.fleet.incarnations_of(worker.id):
            if other is not worker and not other.first_answer_s and not other.runs:
                self._owner.fleet.remove(other)

    def adopt_orphans(self, worker: Worker) -> None:
        """Assign the runs to a worker that were left to its incarnation."""
        owner = self._owner
        for run in [run for run in owner.orphans if run.worker_key == worker.key]:
            del owner.orphans[run]
            worker.add(run)
            if run.task.step.job.is_final:
                owner.stop_run(run, "its job ended before its worker was known")

    def add_answering(self, worker: Worker, incarnation: str) -> None:
        """Add another incarnation that answers under a worker's id and address.

        It gets no starts until its own entry in the list of workers describes it.
        """
        owner = self._owner
        answering = owner.fleet.find(WorkerKey(worker.id, incarnation))
        if answering is None:
            answering = owner.add_worker(replace(worker.entry, incarnation=incarnation))
            answering.is_listed = answering.is_described = False
        self.confirm(answering)

    def confirm(self, worker: Worker) -> None:
        """Remove the other incarnations of a worker that has answered.

        Their runs are kept until the answer has been processed.
        """
        owner = self._owner
        for other in owner.fleet.incarnations_of(worker.id):
            if other is not worker:
                owner.call_tokens.rise(worker.id)
                record(
                    "worker-lost",
                    "another life answers",
                    worker=worker.id,
                    incarnation=other.entry.incarnation,
                    number=other.last_end_seen,
                    runs=len(other.runs),
                )
                worker.may_have_former_calls = True
                # Its runs are kept as long as the lease of the former incarnation.
                worker.lease_granted_at_s = max(
                    worker.lease_granted_at_s, other.lease_granted_at_s
                )
                self._withhold_unanswered(other)
                self._record_crash(other, worker)
                for run in list(other.runs.values()):
                    other.remove(run)
                    self._move(run, worker)
                owner.fleet.remove(other)
        for run in list(owner.orphans):
            if run.worker_key.id == worker.id and run.worker_key != worker.key:
                del owner.orphans[run]
                worker.may_have_former_calls = True
                self._move(run, worker)

    def _record_crash(self, former: Worker, worker: Worker) -> None:
        """Count the crash of an incarnation, in whose place another one answers.

        If that one did not answer for a while after it was listed, the worker was cut
        off. So it may have been for longer, and its runs may have ended before the
        crash.
        """
        if self._was_cut_off(worker):
            self._owner.crashes.record_unproven_crash(former)
        else:
            self._owner.crashes.record_crash(former)

    def _was_cut_off(self, worker: Worker) -> bool:
        """Return whether a worker did not answer for a while after it was listed."""
        answered_s = worker.first_answer_s or self._owner.now_s()
        unanswered_s = answered_s - worker.known_since_s
        return worker.is_described and unanswered_s > MAX_UNANSWERED_S

    def record_first_report(self, worker: Worker, report: WorkerReport) -> None:
        """Note what calls a worker may have carried out before its first report.

        Calls that got no answer may have been meant for a former incarnation. Since
        this report the worker refuses their tokens.
        """
        owner = self._owner
        age_s = max(0.0, owner.clock.wall() - report.born_s) + WALL_TOLERANCE_S
        born_s = owner.now_s() - age_s
        calls = owner.outstanding_calls
        may_be_earlier = owner.lease.may_have_earlier_calls(born_s, MAX_LATE_S)
        worker.may_have_former_calls |= may_be_earlier or calls.any_call.may_reach(
            worker.key, born_s
        )
        worker.may_hide_ends = may_be_earlier or calls.acknowledgements.may_reach(
            worker.key, born_s
        )
        worker.knows_all_ends = not may_be_earlier and age_s < MAX_LATE_S
        record(
            "worker-first-report",
            worker=worker.id,
            incarnation=worker.entry.incarnation,
            age_s=round(age_s, 3),
            runs=len(report.running),
            ends=len(report.ended),
            may_have_former_calls=worker.may_have_former_calls,
            may_hide_ends=worker.may_hide_ends,
        )

    def may_be_on_next(self, run: Run) -> bool:
        """Return whether a next incarnation that has not answered may have a run.

        Its start got no answer, so the next one may have carried it out, and may be
        cut off from this owner since.
        """
        if run.is_own and not run.may_arrive_late:
            return False
        owner = self._owner
        others = owner.fleet.incarnations_of(run.worker_key.id)
        is_silent = any(
            not other.first_answer_s and not _is_sole(other, others, run)
            for other in others
        )
        return is_silent and owner.now_s() < owner.lease_ends.late_start_end_s(run)

    def is_awaited(self, worker: Worker) -> bool:
        """Return whether runs depend on what a silent worker will say.

        One that has just been found is not given up before its first report.
        """
        owner = self._owner
        if worker.runs:
            return True
        if worker.first_answer_s:
            return False
        if owner.now_s() - worker.known_since_s < FIRST_REPORT_S:
            return True
        others = owner.fleet.incarnations_of(worker.id)
        runs = [run for other in others for run in other.runs.values()]
        runs += [run for run in owner.orphans if run.worker_key.id == worker.id]
        return any(self.may_be_on_next(run) for run in runs)

    def _withhold_unanswered(self, worker: Worker) -> None:
        """Keep the entry of an incarnation that is removed before it has answered.

        It may be the next one of the worker whose answer was on its way before.
        """
        if worker.is_listed and worker.is_described and not worker.first_answer_s:
            retry_at_s = self._owner.now_s() + WITHHELD_RETRY_S
            reason = "another incarnation has answered"
            self.withheld.add(worker.entry, reason, retry_at_s)

    def _move(self, run: Run, worker: Worker) -> None:
        """Keep a run until the first report of its worker's next incarnation.

        Both incarnations answer under one id, so either may have accepted the start. A
        start that is delivered late runs on the next incarnation.
        """
        owner = self._owner
        if run.state is RunState.PLANNED:
            owner.drop_run(run, "its worker has restarted")
            return
        run.move_to_incarnation(worker.key)
        worker.add(run)
        record_run("run-moved", run, "its worker has restarted")
        run.may_arrive_late |= run.state is RunState.SENT
        job = run.task.step.job
        if job.is_final:
            owner.stop_run(run, "its job ended before its worker was known")
            return
        owner.commits.stage(job)
        if run.state is RunState.SENT:
            owner.stop_run(run, "its worker has restarted")
        elif run.state is RunState.STOPPING and run.confirmed_at_s < float("inf"):
            # The former incarnation has accepted the stop, this one has not.
            run.confirmed_at_s = float("inf")
            owner.commands.send_stop(run)


def _is_sole(worker: Worker, others: list[Worker], run: Run) -> bool:
    """Return whether a worker is the only known incarnation, and the one of a run."""
    return (
        len(others) == 1 and run.worker is worker and not worker.may_have_former_calls
    )
