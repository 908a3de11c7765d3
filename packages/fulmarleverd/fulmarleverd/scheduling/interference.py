"""Protects serving tasks from the best-effort tasks on their workers."""

from __future__ import annotations

from collections.abc import Iterator

from fulmarleverd.scheduling.decisions import record_run
from fulmarleverd.scheduling.fleet import Worker
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.pressure import PressureModel, sum_loads
from fulmarleverd.scheduling.runs import Run, RunState
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.target_log import log_target_crossing

# Headroom is the latency target divided by the latency: 1 is just at the target.
# A new task has to leave the first; below the second, tasks are paused until the third
# should be reached; a paused task goes on if that leaves the last.
ADMIT_ABOVE = 1.3
PAUSE_BELOW = 1.1
PAUSE_UNTIL = 1.4
RESUME_ABOVE = 1.4
# A latency is the tail of the last half second: newer reports repeat it, and a change
# of pace shows only in the one after.
SAMPLE_S = 0.45
SETTLE_S = 0.7
# How far ahead the trend of a serving task's headroom is followed.
LOOK_AHEAD_S = 1.0
TREND_WEIGHT = 0.4
MAX_TREND = 0.5
MAX_HEADROOM = 10.0
# After this share of the time that counts as harm, all best-effort tasks are paused.
LONG_OVER_SHARE = 0.4
PAUSED_PERCENT = 0
FULL_PERCENT = 100
MAX_PAUSE_S = 2.0
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
            worker.headrooms = lowest_headrooms(worker)
            self._check(worker)
        else:
            worker.headrooms = {}
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
            sample = run.sample
            if not run.usage or (sample and now - sample.at_s < SAMPLE_S):
                continue
            headroom = headroom_of(run)
            log_target_crossing(run, headroom, loads, now)
            if sample is not None:
                self._compare(run, sample, loads, headroom, now)
            run.sample = ServingSample(now, headroom, loads, sample)

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
        taken = self.model.total_headroom_taken(image, loads)
        taken -= self.model.total_headroom_taken(image, sample.loads)
        slope = (taken - fall) / (now_s - sample.at_s)
        slope = max(-MAX_TREND, min(MAX_TREND, slope))
        sample.trend += TREND_WEIGHT * (slope - sample.trend)

    def _check(self, worker: Worker) -> None:
        """Pause best-effort tasks while a serving task comes near its target."""
        now = self._owner.now_s()
        lowest = min(serving_runs(worker), key=headroom_of, default=None)
        if lowest is None:
            return
        if self._is_long_over(worker, lowest, now):
            self._pause_all(worker)
        elif now >= worker.settled_at_s:
            if headroom_of(lowest) < PAUSE_BELOW:
                self._pause(worker, lowest)
            else:
                self._resume_one(worker)
        self._move_paused(worker, now)

    def _is_long_over(self, worker: Worker, lowest: Run, now_s: float) -> bool:
        """Return whether serving tasks have been over their target for long."""
        if headroom_of(lowest) >= 1.0:
            worker.over_since_s = 0.0
            return False
        worker.over_since_s = worker.over_since_s or now_s
        limit_s = LONG_OVER_SHARE * self._owner.bounds.harm_s
        return now_s - worker.over_since_s >= limit_s

    def _pause_all(self, worker: Worker) -> None:
        """Pause every best-effort task, as what was learned did not find the cause."""
        for run in best_effort_runs(worker):
            if run.pace != PAUSED_PERCENT:
                self._pace(run, PAUSED_PERCENT, worker, 0.0)

    def _taken(self, serving: Run, spec: StepSpec, load: float) -> float:
        return self.model.headroom_taken(serving.task.step.spec.image, spec.image, load)

    def _pause(self, worker: Worker, serving: Run) -> None:
        """Pause the tasks that take most headroom, until enough should be left."""
        missing = PAUSE_UNTIL - headroom_of(serving)
        by_taken = [
            (self._taken(serving, run.task.step.spec, nominal_load(run, worker)), run)
            for run in best_effort_runs(worker)
            if run.pace != PAUSED_PERCENT
        ]
        by_taken.sort(key=lambda pair: -pair[0])
        for taken, run in by_taken:
            if missing <= 0.0 or taken < LEAST_TAKEN:
                break
            missing -= taken
            self._pace(run, PAUSED_PERCENT, worker, taken)

    def _resume_one(self, worker: Worker) -> None:
        for run in best_effort_runs(worker):
            if run.pace != FULL_PERCENT:
                spec = run.task.step.spec
                taken = self._most_taken(spec, worker, RESUME_ABOVE)
                if taken is not None:
                    self._pace(run, FULL_PERCENT, worker, taken)
                    return

    def _resume_all(self, worker: Worker) -> None:
        for run in best_effort_runs(worker):
            if run.pace != FULL_PERCENT:
                self._pace(run, FULL_PERCENT, worker, 0.0)

    def _move_paused(self, worker: Worker, now_s: float) -> None:
        """Stop tasks that have been paused for long; they go on elsewhere."""
        for run in list(best_effort_runs(worker)):
            is_paused = run.pace == PAUSED_PERCENT
            if is_paused and now_s - run.paused_at_s > MAX_PAUSE_S:
                self._owner.stop_run(run, "paused for too long")

    def _pace(self, run: Run, percent: int, worker: Worker, taken: float) -> None:
        now = self._owner.now_s()
        worker.settled_at_s = now + SETTLE_S
        if percent == PAUSED_PERCENT:
            run.paused_at_s = now
        record_run("run-paced", run, percent=percent, headroom_taken=round(taken, 2))
        self._owner.orders.send_pace(run, percent)

    def headroom_taken(self, spec: StepSpec, worker: Worker) -> float | None:
        """Return the headroom that one more task takes, None if it is too much."""
        return self._most_taken(spec, worker, ADMIT_ABOVE)

    def _most_taken(self, spec: StepSpec, worker: Worker, limit: float) -> float | None:
        load = spec.cpu_m / worker.entry.cpu_m
        unseen = unseen_loads(worker)
        most = 0.0
        for image, headroom in worker.headrooms.items():
            taken = self.model.headroom_taken(image, spec.image, load)
            left = headroom - self.model.total_headroom_taken(image, unseen)
            if left - taken < limit and taken >= LEAST_TAKEN:
                return None
            most = max(most, taken)
        return most


def unseen_loads(worker: Worker) -> dict[str, float]:
    """Return the loads of best-effort runs that no report shows at work yet."""
    return sum_loads(
        (run.task.step.spec.image, nominal_load(run, worker))
        for run in worker.runs.values()
        if run.task.step.spec.is_best_effort
        and not run.usage
        and run.pace == FULL_PERCENT
        and run.state is not RunState.STOPPING
    )


def lowest_headrooms(worker: Worker) -> dict[str, float]:
    """Return the lowest expected headroom of each serving image of a worker."""
    lowest: dict[str, float] = {}
    for run in serving_runs(worker):
        image = run.task.step.spec.image
        headroom = expected_headroom(run)
        lowest[image] = min(headroom, lowest.get(image, MAX_HEADROOM))
    return lowest


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
