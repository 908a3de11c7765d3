"""Protects serving tasks from interference by best-effort tasks on their workers.

The headroom of a serving task is its latency target divided by its tail latency: at 1
it just meets the target, below 1 it misses it.
"""

from __future__ import annotations

from collections.abc import Iterator

from fulmarleverd.scheduling.decisions import record_run
from fulmarleverd.scheduling.interference.model import InterferenceModel, sum_loads
from fulmarleverd.scheduling.interference.target_log import log_target_crossing
from fulmarleverd.scheduling.jobs.runs import HeadroomSample, Run, RunState
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.planning.contention import Contention
from fulmarleverd.scheduling.planning.placement import MIN_HEADROOM
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.workers.fleet import Worker

# A best-effort task is admitted if at least this headroom remains.
MIN_HEADROOM_TO_ADMIT = 1.3
# Below ``MIN_HEADROOM``, tasks are paused until this one is expected.
HEADROOM_AFTER_PAUSE = 1.4
# A paused task resumes if at least this headroom remains.
MIN_HEADROOM_TO_RESUME = 1.4
# A reported tail latency covers the last half second. Reports within that time repeat
# it, and the effect of a speed limit shows only in the latency of the next half second.
SAMPLE_INTERVAL_S = 0.45
SPEED_LIMIT_EFFECT_S = 0.7
# The trend of a serving task's headroom is extrapolated by this time.
TREND_HORIZON_S = 1.0
TREND_WEIGHT = 0.4
MAX_TREND_PER_S = 0.5
MAX_HEADROOM = 10.0
# All best-effort tasks are paused once a target has been missed for this share of the
# time after which that counts as harm.
MAX_TARGET_MISSED_SHARE = 0.4
PAUSED_SPEED_PERCENT = 0
FULL_SPEED_PERCENT = 100
MAX_PAUSE_S = 2.0
# While other jobs wait, the only run of a job keeps its place for longer: it would
# hardly find another one.
MAX_PAUSE_OF_ONLY_RUN_S = 6.0
# How often the jobs that wait are counted.
CONTENTION_PERIOD_S = 1.0
# Tasks that take less headroom than this do not cause a lack of it.
MIN_HEADROOM_TAKEN = 0.03


class InterferenceGuard:
    """Admits best-effort tasks beside serving tasks and limits their speed.

    ``model`` predicts the headroom that best-effort images take from serving images.
    """

    def __init__(self, owner: Owner, model: InterferenceModel | None = None) -> None:
        self._owner = owner
        self.model = model or InterferenceModel()
        self._contention = Contention(owner)
        self._contention_at_s = owner.now_s()

    def process_report(self, worker: Worker) -> None:
        """Learn from the last report of a worker and set its speed limits."""
        self._reset_unknown_speed_limits(worker)
        if worker.serving_run_count:
            self._update_model(worker)
            worker.headroom_by_image = lowest_headroom_by_image(worker)
            self._adjust_speed_limits(worker)
        else:
            worker.headroom_by_image = {}
            self._resume_all(worker)

    def _reset_unknown_speed_limits(self, worker: Worker) -> None:
        """Give full speed to runs that an earlier owner may have limited."""
        for run in best_effort_runs(worker):
            if not run.is_speed_limit_known:
                run.is_speed_limit_known = True
                self._owner.commands.send_speed_limit(run, FULL_SPEED_PERCENT)

    def _update_model(self, worker: Worker) -> None:
        """Add the changes since the last samples of the serving runs to the model."""
        now = self._owner.now_s()
        loads = sum_loads(
            (run.task.step.spec.image, load_of(run, worker))
            for run in best_effort_runs(worker)
        )
        for run in serving_runs(worker):
            sample = run.headroom_sample
            if not run.latency_ms_or_cpu_m or (
                sample and now - sample.at_s < SAMPLE_INTERVAL_S
            ):
                continue
            headroom = headroom_of(run)
            log_target_crossing(run, headroom, loads, now)
            if sample is not None:
                self._observe_change(run, sample, loads, headroom, now)
            run.headroom_sample = HeadroomSample(now, headroom, loads, sample)

    def _observe_change(
        self,
        run: Run,
        sample: HeadroomSample,
        loads: dict[str, float],
        headroom: float,
        now_s: float,
    ) -> None:
        """Add the change since a sample to the model and to the sample's trend."""
        image = run.task.step.spec.image
        headroom_lost = sample.headroom - headroom
        self.model.observe(image, sample.loads, loads, headroom_lost)
        taken = self.model.total_headroom_taken(image, loads)
        taken -= self.model.total_headroom_taken(image, sample.loads)
        trend_per_s = (taken - headroom_lost) / (now_s - sample.at_s)
        trend_per_s = max(-MAX_TREND_PER_S, min(MAX_TREND_PER_S, trend_per_s))
        sample.trend += TREND_WEIGHT * (trend_per_s - sample.trend)

    def _adjust_speed_limits(self, worker: Worker) -> None:
        """Pause or resume best-effort tasks by the lowest headroom of a worker."""
        now = self._owner.now_s()
        lowest_run = min(serving_runs(worker), key=headroom_of, default=None)
        if lowest_run is None:
            return
        if self._misses_target_for_long(worker, lowest_run, now):
            self._pause_all(worker)
        elif now >= worker.speed_limits_effective_at_s:
            if headroom_of(lowest_run) < MIN_HEADROOM:
                self._pause_until_headroom(worker, lowest_run)
            else:
                self._resume_one(worker)
        self._stop_long_paused(worker, now)

    def _misses_target_for_long(
        self, worker: Worker, lowest_run: Run, now_s: float
    ) -> bool:
        """Return whether a serving task has missed its target for too long."""
        if headroom_of(lowest_run) >= 1.0:
            worker.target_missed_since_s = 0.0
            return False
        worker.target_missed_since_s = worker.target_missed_since_s or now_s
        limit_s = MAX_TARGET_MISSED_SHARE * self._owner.bounds.harm_s
        return now_s - worker.target_missed_since_s >= limit_s

    def _pause_all(self, worker: Worker) -> None:
        """Pause every best-effort task, as the model did not identify the cause."""
        for run in best_effort_runs(worker):
            if run.speed_limit_percent != PAUSED_SPEED_PERCENT:
                self._limit_speed(run, PAUSED_SPEED_PERCENT, worker, 0.0)

    def _taken(self, serving: Run, spec: StepSpec, load: float) -> float:
        return self.model.headroom_taken(serving.task.step.spec.image, spec.image, load)

    def _pause_until_headroom(self, worker: Worker, serving: Run) -> None:
        """Pause the tasks that take most headroom, until enough should remain."""
        missing = HEADROOM_AFTER_PAUSE - headroom_of(serving)
        by_taken = [
            (self._taken(serving, run.task.step.spec, nominal_load(run, worker)), run)
            for run in best_effort_runs(worker)
            if run.speed_limit_percent != PAUSED_SPEED_PERCENT
        ]
        by_taken.sort(key=lambda pair: -pair[0])
        for taken, run in by_taken:
            if missing <= 0.0 or taken < MIN_HEADROOM_TAKEN:
                break
            missing -= taken
            self._limit_speed(run, PAUSED_SPEED_PERCENT, worker, taken)

    def _resume_one(self, worker: Worker) -> None:
        """Resume the first paused task that leaves enough headroom, if any."""
        for run in best_effort_runs(worker):
            if run.speed_limit_percent != FULL_SPEED_PERCENT:
                spec = run.task.step.spec
                has_turn = self._has_turn(run)
                least = MIN_HEADROOM if has_turn else MIN_HEADROOM_TO_RESUME
                taken = self._max_taken(spec, worker, least)
                if taken is not None:
                    self._limit_speed(run, FULL_SPEED_PERCENT, worker, taken)
                    return

    def _resume_all(self, worker: Worker) -> None:
        for run in best_effort_runs(worker):
            if run.speed_limit_percent != FULL_SPEED_PERCENT:
                self._limit_speed(run, FULL_SPEED_PERCENT, worker, 0.0)

    def _stop_long_paused(self, worker: Worker, now_s: float) -> None:
        """Stop tasks that have been paused for too long, to run them elsewhere."""
        for run in list(best_effort_runs(worker)):
            is_paused = run.speed_limit_percent == PAUSED_SPEED_PERCENT
            if not is_paused:
                continue
            most_s = MAX_PAUSE_OF_ONLY_RUN_S if self._has_turn(run) else MAX_PAUSE_S
            is_long_paused = now_s - run.paused_at_s > most_s
            if is_long_paused and self._owner.may_move(run):
                self._owner.stop_run(run, "paused for too long")

    def _has_turn(self, run: Run) -> bool:
        """Return whether a run is its job's only one, while other jobs have none."""
        now = self._owner.now_s()
        if now - self._contention_at_s >= CONTENTION_PERIOD_S:
            self._contention_at_s = now
            self._contention = Contention(self._owner)
        job = run.task.step.job
        waiting = self._contention.waiting_jobs(job.queue.service)
        return job.run_count == 1 and waiting > 0

    def _limit_speed(
        self, run: Run, percent: int, worker: Worker, taken: float
    ) -> None:
        now = self._owner.now_s()
        worker.speed_limits_effective_at_s = now + SPEED_LIMIT_EFFECT_S
        if percent == PAUSED_SPEED_PERCENT:
            run.paused_at_s = now
        record_run("run-paced", run, percent=percent, headroom_taken=round(taken, 2))
        self._owner.commands.send_speed_limit(run, percent)

    def headroom_taken(self, spec: StepSpec, worker: Worker) -> float | None:
        """Return the headroom that one more task takes from serving tasks.

        Return None if too little headroom would remain.
        """
        return self._max_taken(spec, worker, MIN_HEADROOM_TO_ADMIT)

    def _max_taken(
        self, spec: StepSpec, worker: Worker, min_headroom: float
    ) -> float | None:
        """Return the most headroom that one more task takes from a serving image.

        Return None if less than ``min_headroom`` would remain to an image.
        """
        load = _share_of_worker(spec.cpu_m, worker)
        taken_by_image = {
            image: self.model.headroom_taken(image, spec.image, load)
            for image in worker.headroom_by_image
        }
        for image, headroom in self._disturbed(worker, taken_by_image):
            if headroom - taken_by_image[image] < min_headroom:
                return None
        unreported = unreported_loads(worker) if taken_by_image else {}
        for image, headroom in self._disturbed(worker, taken_by_image):
            remaining = headroom - self.model.total_headroom_taken(image, unreported)
            if remaining - taken_by_image[image] < min_headroom:
                return None
        return max(taken_by_image.values(), default=0.0)

    def _disturbed(
        self, worker: Worker, taken_by_image: dict[str, float]
    ) -> Iterator[tuple[str, float]]:
        """Yield the serving images that a task would disturb, and their headroom."""
        for image, headroom in worker.headroom_by_image.items():
            if taken_by_image[image] >= MIN_HEADROOM_TAKEN:
                yield image, headroom


def unreported_loads(worker: Worker) -> dict[str, float]:
    """Return the loads by image of best-effort runs without a reported use yet."""
    return sum_loads(
        (run.task.step.spec.image, nominal_load(run, worker))
        for run in worker.runs.values()
        if run.task.step.spec.is_best_effort
        and not run.latency_ms_or_cpu_m
        and run.speed_limit_percent == FULL_SPEED_PERCENT
        and run.state is not RunState.STOPPING
    )


def lowest_headroom_by_image(worker: Worker) -> dict[str, float]:
    """Return the lowest expected headroom of each serving image on a worker."""
    lowest: dict[str, float] = {}
    for run in serving_runs(worker):
        image = run.task.step.spec.image
        headroom = expected_headroom(run)
        lowest[image] = min(headroom, lowest.get(image, MAX_HEADROOM))
    return lowest


def headroom_of(run: Run) -> float:
    """Return a serving run's latency target divided by its tail latency.

    The result is at most ``MAX_HEADROOM``, also before the first latency is reported.
    """
    if not run.latency_ms_or_cpu_m:
        return MAX_HEADROOM
    target_ms = run.task.step.spec.latency_target_s * 1000.0
    return min(MAX_HEADROOM, target_ms / run.latency_ms_or_cpu_m)


def expected_headroom(run: Run) -> float:
    """Return a serving run's headroom, extrapolated by its trend if that falls."""
    if run.headroom_sample is None:
        return headroom_of(run)
    return headroom_of(run) + min(0.0, run.headroom_sample.trend) * TREND_HORIZON_S


def nominal_load(run: Run, worker: Worker) -> float:
    """Return a run's declared cores as a share of its worker's cores."""
    return _share_of_worker(run.task.step.spec.cpu_m, worker)


def load_of(run: Run, worker: Worker) -> float:
    """Return a best-effort run's cores in use as a share of its worker's cores."""
    return _share_of_worker(run.latency_ms_or_cpu_m, worker)


def _share_of_worker(cpu_m: float, worker: Worker) -> float:
    """Return thousandths of a core as a share of a worker's cores.

    The capacity of a worker may shrink while it runs tasks, also to nothing.
    """
    return cpu_m / max(1, worker.entry.cpu_m)


def best_effort_runs(worker: Worker) -> Iterator[Run]:
    """Yield the running best-effort runs of a worker."""
    for run in worker.runs.values():
        if run.task.step.spec.is_best_effort and run.state is RunState.RUNNING:
            yield run


def serving_runs(worker: Worker) -> Iterator[Run]:
    """Yield the running serving runs of a worker."""
    for run in worker.runs.values():
        if run.task.step.spec.latency_target_s and run.state is RunState.RUNNING:
            yield run
