"""Which incarnation of a worker holds its runs, while several are known under one id.

An entry in the list of workers may come from another writer, so an incarnation replaces
others only once it has answered.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from fulmarleverd.scheduling.decisions import record, record_run
from fulmarleverd.scheduling.fleet import Worker
from fulmarleverd.scheduling.runs import Run, RunState, WorkerKey

if TYPE_CHECKING:
    from fulmarleverd.scheduling.owner import Owner


class Incarnations:
    """Moves runs between the incarnations of a worker, and to those that appear."""

    def __init__(self, owner: Owner) -> None:
        self._owner = owner

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
            answering.is_listed = False
        self.confirm(answering)

    def confirm(self, worker: Worker) -> None:
        """Remove the other incarnations of a worker that has answered.

        Their runs are kept until the answer has been processed.
        """
        owner = self._owner
        for other in owner.fleet.incarnations_of(worker.id):
            if other is not worker:
                record("worker-lost", "another life answers", worker=worker.id)
                owner.crashes.record_crash(other)
                for run in list(other.runs.values()):
                    other.remove(run)
                    self._move(run, worker)
                owner.fleet.remove(other)
        for run in list(owner.orphans):
            if run.worker_key.id == worker.id and run.worker_key != worker.key:
                del owner.orphans[run]
                self._move(run, worker)

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
