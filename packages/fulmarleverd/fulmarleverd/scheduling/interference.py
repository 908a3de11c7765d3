"""Protects serving tasks from the best-effort tasks on their workers."""

from __future__ import annotations

from collections.abc import Iterator

from fulmarleverd.scheduling.decisions import record
from fulmarleverd.scheduling.fleet import Worker
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.tasks import Run, RunState

# Shares of the latency target.
RELAX_BELOW = 0.6
RESTRAIN_ABOVE = 0.85
STOP_ABOVE = 1.0
RESTRAIN_FACTOR = 0.8
RELAX_FACTOR = 1.1
MIN_LIMIT = 0.05
RESTRAINED_PERCENT = 40
# How long over the target before best-effort tasks are stopped, as a share of the
# time after which the platform counts harm.
STOP_AFTER_SHARE = 0.35


class InterferenceGuard:
    """Restrains best-effort work beside serving tasks that near their target."""

    def __init__(self, owner: Owner) -> None:
        self._owner = owner
        self._over_since_s: dict[Worker, float] = {}

    def tick(self) -> None:
        """Look at every worker that serves."""
        for worker in self._owner.fleet:
            if worker.has_serving:
                self._check(worker)
            else:
                self._over_since_s.pop(worker, None)

    def _check(self, worker: Worker) -> None:
        worker.pressure = max(_ratios(worker), default=0.0)
        if worker.pressure > STOP_ABOVE:
            self._over(worker)
            return
        self._over_since_s.pop(worker, None)
        if worker.pressure > RESTRAIN_ABOVE:
            self._limit(worker, RESTRAIN_FACTOR)
        elif worker.pressure < RELAX_BELOW:
            self._limit(worker, RELAX_FACTOR)
            self._pace(worker, 100)

    def _limit(self, worker: Worker, factor: float) -> None:
        limit = worker.best_effort_limit * factor
        worker.best_effort_limit = min(1.0, max(MIN_LIMIT, limit))

    def _over(self, worker: Worker) -> None:
        now = self._owner.now_s()
        since_s = self._over_since_s.setdefault(worker, now)
        self._limit(worker, RESTRAIN_FACTOR)
        if now - since_s >= STOP_AFTER_SHARE * self._owner.bounds.harm_s:
            self._stop_all(worker)
        else:
            self._pace(worker, RESTRAINED_PERCENT)

    def _pace(self, worker: Worker, percent: int) -> None:
        for run in best_effort_runs(worker):
            if run.pace != percent:
                self._owner.orders.send_pace(run, percent)

    def _stop_all(self, worker: Worker) -> None:
        record(
            "best-effort-stopped",
            worker=worker.id,
            pressure=round(worker.pressure, 2),
        )
        for run in list(best_effort_runs(worker)):
            self._owner.stop_run(run, "serving tasks beside it miss their target")


def best_effort_runs(worker: Worker) -> Iterator[Run]:
    """Yield the running best-effort runs of a worker."""
    for run in worker.runs.values():
        if run.task.step.spec.is_best_effort and run.state is RunState.RUNNING:
            yield run


def _ratios(worker: Worker) -> Iterator[float]:
    """Yield the tail latency of each serving run as a share of its target."""
    for run in worker.runs.values():
        target_s = run.task.step.spec.latency_target_s
        if target_s and run.state is RunState.RUNNING:
            yield run.usage / 1000.0 / target_s
