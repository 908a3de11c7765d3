"""The owner's periodic work: expired leases, draining workers, due jobs, old rows."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import replace

from fulmarleverd.scheduling.decisions import record
from fulmarleverd.scheduling.health.trust import update_trust
from fulmarleverd.scheduling.interference.model import InterferenceModel
from fulmarleverd.scheduling.jobs.runs import Run, RunState
from fulmarleverd.scheduling.jobs.tasks import Job
from fulmarleverd.scheduling.metrics import WORKERS
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.persistence.rows import (
    INTERFERENCE_KEY,
    SUMMARY_TABLE,
    cancel_row,
    job_row,
    pack,
    progress_row,
)
from fulmarleverd.scheduling.ports import StoredRow
from fulmarleverd.scheduling.workers.fleet import Worker

TICK_S = 0.2
# The state of an ended job is kept for longer than promised to callers, as their clocks
# differ from this VM's.
STATUS_MARGIN_S = 30.0
# Remaining runs are stopped this long before their draining worker shuts down.
DRAIN_MARGIN_S = 1.0
# A worker that may hide ends is used like any other once a gang has waited for this
# long: single runs, which would show whether it does, may never come.
MAX_GANG_WAIT_S = 10.0
# Most jobs store another change sooner than this.
BEGIN_STORED_AFTER_S = 0.5
INTERFERENCE_PERIOD_S = 4.0


# The values of the label of the gauge of workers.
WORKER_STATES = (
    "ready",
    "distrusted",
    "evacuated",
    "draining",
    "unreachable",
    "unlisted",
)


class Housekeeping:
    """The owner's periodic work, done in ticks of ``TICK_S`` seconds."""

    def __init__(self, owner: Owner, model: InterferenceModel) -> None:
        self._owner = owner
        self._model = model
        self._interference: dict = {}
        self._interference_saved_at_s = owner.now_s()

    def tick(self) -> None:
        """Do all periodic work that is due now."""
        owner = self._owner
        for job in list(owner.jobs.values()):
            owner.open_jobs.open_due_occurrences(job)
            self._store_begin(job)
        owner.size_classes.update(owner.jobs.values(), owner.now_s())
        owner.incarnations.retry_withheld()
        for worker in list(owner.fleet):
            self._check_worker(worker)
        self._end_probing([worker for worker in owner.fleet if worker.may_hide_ends])
        self._update_trust()
        owner.expire_orphans()
        self._save_interference()
        self._remove_old_rows()
        self._count_workers()

    def _store_begin(self, job: Job) -> None:
        """Store that a job has begun, unless another change has stored it since."""
        if job.is_begin_stored or not job.has_begun:
            return
        if self._owner.now_s() - job.first_start_s >= BEGIN_STORED_AFTER_S:
            self._owner.commits.stage(job)

    def _check_worker(self, worker: Worker) -> None:
        owner = self._owner
        now = owner.now_s()
        is_unreachable = not worker.is_reachable
        if is_unreachable and now >= owner.lease_ends.end_s(worker):
            if worker.runs:
                owner.expire_worker_lease(worker)
            if not worker.is_listed and not owner.incarnations.is_awaited(worker):
                owner.discard_worker(worker, "unlisted and without an answer")
            return
        if worker.entry.is_draining:
            for run in list(self._runs_to_stop(worker, now)):
                owner.stop_run(run, "its worker is draining")

    def _end_probing(self, probed: list[Worker]) -> None:
        """Use workers that may hide ends like others if gangs wait for them for long.

        A gang needs more runs at a time than such a worker gets. Any other task that
        waits shows by its run whether ends are hidden, and without one none are.
        """
        if not probed:
            return
        now = self._owner.now_s()
        steps = self._owner.open_jobs.ready_steps()
        waited_for = {step.job.queue.service for step in steps if step.spec.is_gang}
        for worker in probed:
            if worker.entry.service not in waited_for:
                worker.gang_waits_since_s = 0.0
                continue
            worker.gang_waits_since_s = worker.gang_waits_since_s or now
            if now - worker.gang_waits_since_s >= MAX_GANG_WAIT_S:
                worker.may_hide_ends = False
                record(
                    "worker-probes-ended",
                    "a gang has waited for long",
                    worker=worker.id,
                    probes=worker.probe_limit,
                )

    def _update_trust(self) -> None:
        """Forget old failures, and decide anew where there were some."""
        owner = self._owner
        concerned = [worker for worker in owner.fleet if worker.failures.is_concerned]
        owner.failures.forget_old((w.failures for w in concerned), owner.now_s())
        for service in sorted({worker.entry.service for worker in concerned}):
            update_trust(owner, service)

    def _runs_to_stop(self, worker: Worker, now_s: float) -> Iterator[Run]:
        """Yield the runs to stop now on a draining worker.

        These are runs of long-running tasks, runs that cannot end in time and save no
        checkpoints, and, shortly before the worker shuts down, all others.
        """
        left_s = worker.drain_until_s - now_s
        for run in worker.runs.values():
            if run.state is not RunState.RUNNING:
                continue
            step = run.task.step
            spec = step.spec
            expected_s = self._owner.run_times.expected_s(step)
            remaining_run_s = expected_s * (1.0 - run.progress_percent / 100.0)
            cannot_finish = remaining_run_s > left_s and not spec.checkpoints
            if spec.is_long_running or cannot_finish or left_s <= DRAIN_MARGIN_S:
                yield run

    def _save_interference(self) -> None:
        """Store the learned interference for the next owner."""
        now = self._owner.now_s()
        if now - self._interference_saved_at_s < INTERFERENCE_PERIOD_S:
            return
        self._interference_saved_at_s = now
        interference = self._model.to_data()
        if interference != self._interference:
            self._interference = interference
            row = StoredRow(SUMMARY_TABLE, INTERFERENCE_KEY, pack(interference))
            self._owner.commits.stage_row(row)

    def _remove_old_rows(self) -> None:
        owner = self._owner
        kept_s = owner.bounds.status_kept_s + STATUS_MARGIN_S
        limit_s = owner.now_s() - kept_s
        ended_at_s = owner.open_jobs.ended_at_s
        expired = [job_id for job_id, at_s in ended_at_s.items() if at_s < limit_s]
        for job_id in expired:
            del ended_at_s[job_id]
            for row in (job_row(job_id), progress_row(job_id), cancel_row(job_id)):
                owner.commits.stage_row(replace(row, value=b""))

    def _count_workers(self) -> None:
        states = Counter(_state(worker) for worker in self._owner.fleet)
        for state in WORKER_STATES:
            WORKERS.labels(state).set(states[state])


def _state(worker: Worker) -> str:
    if not worker.is_listed:
        return "unlisted"
    if not worker.is_reachable:
        return "unreachable"
    if worker.entry.is_draining:
        return "draining"
    if worker.is_evacuated:
        return "evacuated"
    return "distrusted" if worker.failures.is_distrusted else "ready"
