"""Protects serving tasks from the best-effort tasks on their workers."""

from __future__ import annotations

from collections.abc import Iterator

from fulmarleverd.scheduling.decisions import record_run
from fulmarleverd.scheduling.fleet import Worker
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.pressure import PressureModel, sum_loads
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.tasks import Run, RunState

# Headroom is the latency target divided by the latency: 1 is just at the target.
# A new task has to leave the first; tasks are slowed down until the second is kept, and
# get speed back while the third is left.
ADMIT_ABOVE = 1.35
KEEP_ABOVE = 1.2
RESUME_ABOVE = 1.35
# How far ahead the trend of a serving task's headroom is followed.
LOOK_AHEAD_S = 0.8
TREND_WEIGHT = 0.4
MAX_HEADROOM = 10.0
FULL_PERCENT = 100
MIN_STEP_PERCENT = 10
# A task that is slower than this for so long goes on elsewhere.
SLOW_PERCENT = 30
MAX_SLOW_S = 2.5
# Tasks that take less headroom are not the cause of a lack of it.
LEAST_TAKEN = 0.03


class InterferenceGuard:
    """Admits best-effort work beside serving tasks and sets its pace."""

    def __init__(self, owner: Owner, model: PressureModel | None = None) -> None:
        self._owner = owner
        self.model = model or PressureModel()

    def take_report(self, worker: Worker) -> None:
        """Learn from a report that has just been taken, and act on it."""
        self._reset_unknown_paces(worker)
        if worker.has_serving:
            self._learn(worker)
            self._check(worker)
        else:
            self._resume_all(worker)

    def _reset_unknown_paces(self, worker: Worker) -> None:
        """Give full speed to runs that an earlier owner may have slowed down."""
        for run in best_effort_runs(worker):
            if not run.is_pace_known:
                run.is_pace_known = True
                self._owner.orders.send_pace(run, FULL_PERCENT)

    def _learn(self, worker: Worker) -> None:
        now = self._owner.now_s()
        loads = sum_loads(
            (run.task.step.spec.image, load_of(run, worker))
            for run in best_effort_runs(worker)
        )
        for run in serving_runs(worker):
            if not run.usage:
                continue
            headroom = headroom_of(run)
            sample = run.sample
            if sample is not None and now > sample.at_s:
                self._compare(run, sample, loads, headroom, now)
            run.sample = ServingSample(now, headroom, loads, run.sample)

    def _compare(
        self,
        run: Run,
        sample: ServingSample,
        loads: dict[str, float],
        headroom: float,
        now_s: float,
    ) -> None:
        image = run.task.step.spec.image
        fall = sample.headroom - headroom
        self.model.observe(image, sample.loads, loads, fall)
        taken = self.model.taken_by_all(image, loads)
        taken -= self.model.taken_by_all(image, sample.loads)
        slope = (taken - fall) / (now_s - sample.at_s)
        sample.trend += TREND_WEIGHT * (slope - sample.trend)

    def _check(self, worker: Worker) -> None:
        """Slow best-effort tasks down while a serving task comes near its target."""
        lowest = min(serving_runs(worker), key=expected_headroom, default=None)
        if lowest is None:
            return
        if expected_headroom(lowest) < KEEP_ABOVE:
            self._slow_down(worker, lowest)
        else:
            self._speed_up(worker)
        self._move_slow(worker)

    def _taken(self, serving: Run, spec: StepSpec, load: float) -> float:
        return self.model.taken(serving.task.step.spec.image, spec.image, load)

    def _slow_down(self, worker: Worker, serving: Run) -> None:
        """Slow the tasks that take most headroom, until enough should be left."""
        missing = KEEP_ABOVE - expected_headroom(serving)
        by_taken = [
            (self._taken(serving, run.task.step.spec, paced_load(run, worker)), run)
            for run in best_effort_runs(worker)
        ]
        by_taken.sort(key=lambda pair: -pair[0])
        for taken, run in by_taken:
            if missing <= 0.0 or taken < LEAST_TAKEN:
                break
            kept = max(0.0, 1.0 - missing / taken)
            missing -= taken
            self._pace(run, int(run.pace * kept), worker, taken)

    def _speed_up(self, worker: Worker) -> None:
        """Give speed back to slowed tasks, as far as the headroom allows."""
        slowed = [run for run in best_effort_runs(worker) if run.pace < FULL_PERCENT]
        if not slowed:
            return
        spare = [
            (serving, expected_headroom(serving) - RESUME_ABOVE)
            for serving in serving_runs(worker)
        ]
        for run in slowed:
            share = self._affordable_share(run, worker, spare)
            percent = min(FULL_PERCENT, run.pace + int(share * FULL_PERCENT))
            if percent - run.pace >= MIN_STEP_PERCENT or percent == FULL_PERCENT:
                self._pace(run, percent, worker, 0.0)
                return

    def _affordable_share(
        self, run: Run, worker: Worker, spare: list[tuple[Run, float]]
    ) -> float:
        """Return the share of its full speed that a run may gain."""
        share = 1.0
        for serving, left in spare:
            taken = self._taken(serving, run.task.step.spec, nominal_load(run, worker))
            if taken >= LEAST_TAKEN:
                share = min(share, max(0.0, left) / taken)
        return share

    def _resume_all(self, worker: Worker) -> None:
        for run in best_effort_runs(worker):
            if run.pace != FULL_PERCENT:
                self._pace(run, FULL_PERCENT, worker, 0.0)

    def _move_slow(self, worker: Worker) -> None:
        """Stop tasks that have been slow for long; they go on elsewhere."""
        now = self._owner.now_s()
        for run in list(best_effort_runs(worker)):
            is_slow = run.pace < SLOW_PERCENT
            if is_slow and now - run.slow_since_s > MAX_SLOW_S:
                self._owner.stop_run(run, "slowed down for too long")

    def _pace(self, run: Run, percent: int, worker: Worker, taken: float) -> None:
        if abs(percent - run.pace) < MIN_STEP_PERCENT and percent != FULL_PERCENT:
            percent = max(0, run.pace - MIN_STEP_PERCENT)
        if percent == run.pace:
            return
        if percent < SLOW_PERCENT <= run.pace:
            run.slow_since_s = self._owner.now_s()
        record_run("run-paced", run, percent=percent, headroom_taken=round(taken, 2))
        self._owner.orders.send_pace(run, percent)

    def headroom_taken(self, spec: StepSpec, worker: Worker) -> float | None:
        """Return the headroom that one more task takes, None if it is too much."""
        return self._most_taken(spec, worker, ADMIT_ABOVE)

    def _most_taken(self, spec: StepSpec, worker: Worker, limit: float) -> float | None:
        load = spec.cpu_m / worker.entry.cpu_m
        most = 0.0
        for serving in serving_runs(worker):
            taken = self._taken(serving, spec, load)
            left = expected_headroom(serving) - self._unseen(serving, worker)
            if left - taken < limit and taken >= LEAST_TAKEN:
                return None
            most = max(most, taken)
        return most

    def _unseen(self, serving: Run, worker: Worker) -> float:
        """Return the headroom taken by runs that no report shows at work yet."""
        return sum(
            self._taken(serving, run.task.step.spec, nominal_load(run, worker))
            for run in worker.runs.values()
            if run.task.step.spec.is_best_effort
            and not run.usage
            and run.pace == FULL_PERCENT
            and run.state is not RunState.STOPPING
        )


class ServingSample:
    """What one report told of a serving run; ``trend`` is headroom a second."""

    __slots__ = ("at_s", "headroom", "loads", "trend")

    def __init__(
        self,
        at_s: float,
        headroom: float,
        loads: dict[str, float],
        earlier: ServingSample | None,
    ) -> None:
        self.at_s = at_s
        self.headroom = headroom
        self.loads = loads
        self.trend = earlier.trend if earlier else 0.0


def headroom_of(run: Run) -> float:
    """Return the latency target of a serving run divided by its tail latency."""
    if not run.usage:
        return MAX_HEADROOM
    target_ms = run.task.step.spec.latency_target_s * 1000.0
    return min(MAX_HEADROOM, target_ms / run.usage)


def expected_headroom(run: Run) -> float:
    """Return the headroom that a serving run will have soon by its own load."""
    if run.sample is None:
        return headroom_of(run)
    return headroom_of(run) + min(0.0, run.sample.trend) * LOOK_AHEAD_S


def nominal_load(run: Run, worker: Worker) -> float:
    """Return a run's declared cores as a share of its worker."""
    return run.task.step.spec.cpu_m / worker.entry.cpu_m


def paced_load(run: Run, worker: Worker) -> float:
    """Return a run's declared cores at its present pace, as a share of its worker."""
    return nominal_load(run, worker) * run.pace / FULL_PERCENT


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
