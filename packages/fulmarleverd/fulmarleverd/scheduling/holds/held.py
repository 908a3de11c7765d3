"""What holds a worker or a task at the moment, for logs."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from fulmarleverd.scheduling.holds.hold import HoldReason
from fulmarleverd.scheduling.jobs.runs import Run, RunState
from fulmarleverd.scheduling.workers.fleet import Worker


class WorkerState(StrEnum):
    """Why a worker gets no runs until an event.

    ``UNLISTED`` waits for its entry in the list of workers, ``UNREACHABLE`` for an
    answer, ``UNRECONCILED`` for a report of all its runs, ``PROBED`` for a report of
    the end of a run that was started there to see it, and ``DRAINING`` for its end.
    """

    UNLISTED = "unlisted"
    UNREACHABLE = "unreachable"
    UNRECONCILED = "unreconciled"
    PROBED = "probed"
    DRAINING = "draining"


class RunUncertainty(StrEnum):
    """Why it is not known what became of a run, so that its task is not planned.

    ``NOT_COMMITTED`` waits for the commit of the assignment, ``NOT_ANSWERED`` for the
    answer to the start, ``STOPPING`` for the end of a stopped run, ``NO_WORKER`` for
    its worker to appear, and ``SILENT_WORKER`` for an answer of its worker or the end
    of its lease.
    """

    NOT_COMMITTED = "not committed"
    NOT_ANSWERED = "not answered"
    STOPPING = "stopping"
    NO_WORKER = "no worker"
    SILENT_WORKER = "silent worker"


UNCERTAIN_STATES = {
    RunState.PLANNED: RunUncertainty.NOT_COMMITTED,
    RunState.SENT: RunUncertainty.NOT_ANSWERED,
    RunState.STOPPING: RunUncertainty.STOPPING,
}


@dataclass(slots=True, frozen=True)
class HeldWorker:
    """Why a worker gets no runs, and since when on the owner's clock."""

    worker: Worker
    reason: WorkerState | HoldReason
    since_s: float


@dataclass(slots=True, frozen=True)
class HeldTask:
    """A run that keeps its task from being planned, and since when.

    ``since_s`` is on the owner's clock.
    """

    run: Run
    reason: RunUncertainty
    since_s: float


def holds_of_worker(worker: Worker, now_s: float) -> Iterator[HeldWorker]:
    """Yield what keeps all new runs from a worker, what needs an event first."""
    if not worker.is_listed:
        since_s = worker.unlisted_since_s or worker.known_since_s
        yield HeldWorker(worker, WorkerState.UNLISTED, since_s)
    if not worker.is_reachable:
        since_s = worker.last_report_s or worker.known_since_s
        yield HeldWorker(worker, WorkerState.UNREACHABLE, since_s)
    elif not worker.is_reconciled:
        since_s = worker.unreconciled_since_s
        yield HeldWorker(worker, WorkerState.UNRECONCILED, since_s)
    if worker.may_hide_ends and not worker.accepts_probes():
        yield HeldWorker(worker, WorkerState.PROBED, worker.first_answer_s)
    if worker.entry.is_draining:
        yield HeldWorker(worker, WorkerState.DRAINING, worker.draining_since_s)
    for hold in worker.holds.at(now_s):
        yield HeldWorker(worker, hold.reason, hold.since_s)


def hold_of_run(run: Run) -> HeldTask | None:
    """Return why a run keeps its task from being planned, None if it is at work."""
    worker = run.worker
    if worker is None:
        return HeldTask(run, RunUncertainty.NO_WORKER, run.uncertain_since_s)
    if run.state in UNCERTAIN_STATES:
        return HeldTask(run, UNCERTAIN_STATES[run.state], run.uncertain_since_s)
    if not worker.is_reachable:
        since_s = worker.last_report_s or worker.known_since_s
        return HeldTask(run, RunUncertainty.SILENT_WORKER, since_s)
    return None
