"""The owner's regular work: lapsed leases, leaving workers, due times, old rows."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import replace

from fulmarleverd.scheduling.fleet import Worker
from fulmarleverd.scheduling.metrics import WORKERS
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.ports import StoredRow
from fulmarleverd.scheduling.pressure import PressureModel
from fulmarleverd.scheduling.rows import (
    PRESSURE_KEY,
    SUMMARY_KEY,
    SUMMARY_TABLE,
    cancel_row,
    job_row,
    pack,
    progress_row,
)
from fulmarleverd.scheduling.runs import Run, RunState

TICK_S = 0.2
# Kept longer than callers may ask, as their clocks and ours differ.
STATUS_MARGIN_S = 30.0
# An end on a leaving worker is stopped this long before the worker goes.
LEAVE_MARGIN_S = 1.0
SUMMARY_PERIOD_S = 0.8
LEARNED_PERIOD_S = 4.0


class Housekeeping:
    """One tick of the owner's regular work."""

    def __init__(self, owner: Owner, model: PressureModel) -> None:
        self._owner = owner
        self._model = model
        self._learned: dict = {}
        self._learned_at_s = owner.now_s()
        self._summary: dict[str, int] = {}
        self._summary_at_s = 0.0

    def tick(self) -> None:
        """Do what is due now."""
        owner = self._owner
        for job in list(owner.jobs.values()):
            owner.open_due_occurrences(job)
        owner.sizes.update(owner.jobs.values(), owner.now_s())
        for worker in list(owner.fleet):
            self._check_worker(worker)
        owner.expire_orphans()
        self._publish_summary()
        self._publish_learned()
        self._remove_old_rows()
        self._count_workers()

    def _check_worker(self, worker: Worker) -> None:
        owner = self._owner
        now = owner.now_s()
        is_silent = not worker.is_reachable
        if is_silent and now >= owner.lease_ends.end_s(worker):
            if worker.runs:
                owner.expire_silent(worker)
            if not worker.is_listed:
                owner.lose_worker(worker, "unlisted and silent")
            return
        if worker.distrusted_until_s and now >= worker.distrusted_until_s:
            worker.distrusted_until_s = 0.0
            owner.changed.set()
        if worker.entry.is_draining:
            for run in list(self._leaving_runs(worker, now)):
                owner.stop_run(run, "its worker is leaving")

    def _leaving_runs(self, worker: Worker, now_s: float) -> Iterator[Run]:
        """Yield the runs to move off a leaving worker now."""
        left_s = worker.drain_until_s - now_s
        for run in worker.runs.values():
            if run.state is not RunState.RUNNING:
                continue
            spec = run.task.step.spec
            need_s = spec.estimate_s * (1.0 - run.percent / 100.0)
            is_hopeless = need_s > left_s and not spec.checkpoints
            if spec.is_long_running or is_hopeless or left_s <= LEAVE_MARGIN_S:
                yield run

    def _publish_summary(self) -> None:
        owner = self._owner
        now = owner.now_s()
        if now - self._summary_at_s < SUMMARY_PERIOD_S:
            return
        pending = Counter(
            job.queue.name for job in owner.jobs.values() if not job.has_begun
        )
        if pending != self._summary or not self._summary_at_s:
            self._summary = dict(pending)
            self._summary_at_s = now
            row = StoredRow(SUMMARY_TABLE, SUMMARY_KEY, pack(self._summary))
            owner.commits.stage_row(row)

    def _publish_learned(self) -> None:
        """Keep what was learned of interference for a later owner."""
        now = self._owner.now_s()
        if now - self._learned_at_s < LEARNED_PERIOD_S:
            return
        self._learned_at_s = now
        learned = self._model.to_data()
        if learned != self._learned:
            self._learned = learned
            row = StoredRow(SUMMARY_TABLE, PRESSURE_KEY, pack(learned))
            self._owner.commits.stage_row(row)

    def _remove_old_rows(self) -> None:
        owner = self._owner
        kept_s = owner.bounds.status_kept_s + STATUS_MARGIN_S
        limit_s = owner.now_s() - kept_s
        old = [job_id for job_id, ended_s in owner.final.items() if ended_s < limit_s]
        for job_id in old:
            del owner.final[job_id]
            for row in (job_row(job_id), progress_row(job_id), cancel_row(job_id)):
                owner.commits.stage_row(replace(row, value=b""))

    def _count_workers(self) -> None:
        states = Counter(_state(worker) for worker in self._owner.fleet)
        for state in ("ready", "draining", "unreachable", "unlisted"):
            WORKERS.labels(state).set(states[state])


def _state(worker: Worker) -> str:
    if not worker.is_listed:
        return "unlisted"
    if not worker.is_reachable:
        return "unreachable"
    return "draining" if worker.entry.is_draining else "ready"
