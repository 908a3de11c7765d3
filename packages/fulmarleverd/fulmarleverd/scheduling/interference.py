"""Protects serving tasks from the best-effort tasks on their workers."""

from __future__ import annotations

from collections.abc import Iterator

from fulmarleverd.scheduling.decisions import record, record_run
from fulmarleverd.scheduling.fleet import Worker
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.pressure import PressureModel
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.tasks import Run, RunState

# Shares of the latency target: a new task may raise the latency up to the first, a
# paced task gets its speed back below the second, and above the third tasks are paced.
ADMIT_UP_TO = 0.75
RESTORE_BELOW = 0.6
RESTRAIN_ABOVE = 0.92
RESTRAIN_TO = 0.75
PAUSED_PERCENT = 0
FULL_PERCENT = 100
MAX_PAUSE_S = 1.5


class InterferenceGuard:
    """Admits, paces and restores best-effort work beside serving tasks."""

    def __init__(self, owner: Owner, model: PressureModel | None = None) -> None:
        self._owner = owner
        self.model = model or PressureModel()

    def take_report(self, worker: Worker) -> None:
        """Learn from a report that has just been taken, and act on it."""
        self._learn(worker)
        self._check(worker)

    def _learn(self, worker: Worker) -> None:
        loads = [
            (run.task.step.spec.image, load_of(run, worker))
            for run in best_effort_runs(worker)
        ]
        for run in serving_runs(worker):
            if run.usage:
                self.model.observe(run.task.step.spec.image, loads, ratio_of(run))

    def _check(self, worker: Worker) -> None:
        worst = max(serving_runs(worker), key=ratio_of, default=None)
        if worst is None:
            self._restore_all(worker)
            return
        worker.pressure = ratio_of(worst)
        if worker.pressure > RESTRAIN_ABOVE:
            self._restrain(worker, worst)
        elif worker.pressure < RESTORE_BELOW:
            self._restore_one(worker)
        self._move_paused(worker)

    def _move_paused(self, worker: Worker) -> None:
        """Stop tasks that have been paused for long; they go on elsewhere."""
        limit_s = self._owner.now_s() - MAX_PAUSE_S
        for run in list(best_effort_runs(worker)):
            if run.pace == PAUSED_PERCENT and run.paced_at_s < limit_s:
                self._owner.stop_run(run, "paused for too long")

    def _rise(self, serving: Run, spec: StepSpec, load: float) -> float:
        return self.model.rise(serving.task.step.spec.image, spec.image, load)

    def _restrain(self, worker: Worker, serving: Run) -> None:
        """Pause the tasks that raise the latency most, until it should be in bounds."""
        excess = worker.pressure - RESTRAIN_TO
        by_rise = [
            (self._rise(serving, run.task.step.spec, load_of(run, worker)), run)
            for run in best_effort_runs(worker)
            if run.pace != PAUSED_PERCENT
        ]
        by_rise.sort(key=lambda pair: -pair[0])
        for rise, run in by_rise:
            if excess <= 0.0:
                break
            excess -= rise
            self._pace(run, PAUSED_PERCENT, worker, rise)

    def _restore_one(self, worker: Worker) -> None:
        for run in best_effort_runs(worker):
            if (
                run.pace != FULL_PERCENT
                and self.rise_of(run.task.step.spec, worker) is not None
            ):
                self._pace(run, FULL_PERCENT, worker, 0.0)
                return

    def _restore_all(self, worker: Worker) -> None:
        for run in best_effort_runs(worker):
            if run.pace != FULL_PERCENT:
                self._pace(run, FULL_PERCENT, worker, 0.0)

    def _pace(self, run: Run, percent: int, worker: Worker, rise: float) -> None:
        record_run(
            "run-paced",
            run,
            percent=percent,
            pressure=round(worker.pressure, 2),
            rise=round(rise, 2),
        )
        run.paced_at_s = self._owner.now_s()
        self._owner.orders.send_pace(run, percent)

    def rise_of(self, spec: StepSpec, worker: Worker) -> float | None:
        """Return the rise of the latency by one more task, None if it is too much."""
        load = spec.cpu_m / worker.entry.cpu_m
        highest = 0.0
        for serving in serving_runs(worker):
            rise = self._rise(serving, spec, load)
            expected = ratio_of(serving) + rise + self._unseen_rise(serving, worker)
            if expected > ADMIT_UP_TO:
                return None
            highest = max(highest, rise)
        return highest

    def _unseen_rise(self, serving: Run, worker: Worker) -> float:
        """Return the rise by runs that no report shows at work yet."""
        return sum(
            self._rise(serving, run.task.step.spec, nominal_load(run, worker))
            for run in worker.runs.values()
            if run.task.step.spec.is_best_effort
            and not run.usage
            and run.pace == FULL_PERCENT
            and run.state is not RunState.STOPPING
        )

    def describe(self) -> None:
        """Log what has been learned."""
        for serving, image, value in self.model.describe():
            record("pressure", serving=serving, image=image, rise=round(value, 2))


def ratio_of(run: Run) -> float:
    """Return the tail latency of a serving run as a share of its target."""
    return run.usage / 1000.0 / run.task.step.spec.latency_target_s


def nominal_load(run: Run, worker: Worker) -> float:
    """Return a run's declared cores as a share of its worker."""
    return run.task.step.spec.cpu_m / worker.entry.cpu_m


def load_of(run: Run, worker: Worker) -> float:
    """Return a run's cores in use as a share of its worker."""
    return run.usage / worker.entry.cpu_m


def best_effort_runs(worker: Worker) -> Iterator[Run]:
    """Yield the running best-effort runs of a worker."""
    for run in worker.runs.values():
        if run.task.step.spec.is_best_effort and run.state is RunState.RUNNING:
            yield run


def serving_runs(worker: Worker) -> Iterator[Run]:
    """Yield the serving runs of a worker."""
    for run in worker.runs.values():
        if run.task.step.spec.latency_target_s and run.state is RunState.RUNNING:
            yield run
