"""Finds stalled runs, runs far behind schedule and workers slower than the others.

Such runs are moved: stopped and started elsewhere, or copied first if their step is
speculative.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from fulmarleverd.scheduling.decisions import record, record_run
from fulmarleverd.scheduling.jobs.runs import FULL_PERCENT, Run, RunState
from fulmarleverd.scheduling.jobs.tasks import Step
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.run_times.run_times import samples_of
from fulmarleverd.scheduling.run_times.whole_runs import is_usual_speed
from fulmarleverd.scheduling.workers.fleet import Worker

# A run is stalled after this time without progress; a long-running task, which needs
# time to start up, after the second one.
STALLED_AFTER_S = 1.6
STARTUP_STALLED_AFTER_S = 4.0
# The relative speed of a worker compares its runs with the other runs of their steps
# rather than with estimates, since the estimates of two jobs may differ in accuracy. It
# is a moving average over reports.
SPEED_SAMPLE_WEIGHT = 0.2
MIN_INTERVAL_S = 0.2
MIN_STEP_SAMPLES = 3
MAX_RELATIVE_SPEED = 2.0
# Below this relative speed a worker becomes slow, above the second one normal again.
SLOW_RELATIVE_SPEED = 0.35
NORMAL_RELATIVE_SPEED = 0.55
# The speed of a best-effort run is divided by the share of its cores that it gets, but
# at least by this, as a run with few cores is slow for that reason alone.
MIN_CORES_SHARE = 0.1
SLOW_FEW_STARTS_S = 1.5
RECOVERY_WEIGHT = 0.02
# A worker on which a run stalled counts as slow for this long, if the stall is at least
# as likely the fault of the worker as that of the step.
STALLED_FEW_STARTS_S = 3.0
MIN_BLAME = 0.5
# A run is moved only if it would otherwise take this much longer.
MIN_GAIN_S = 0.8
# Estimates are rough, so a run is far behind only if its remaining work will take
# longer than this many times the usual duration of its step, and longer than the second
# value.
FAR_BEHIND_FACTOR = 8.0
FAR_BEHIND_S = 4.0
# A wrong estimate is wrong on every worker and must not make a task move for ever. So a
# run stays if its task has lost more than this share of its remaining time by moves.
MAX_LOST_SHARE = 1.0 / 8.0
# A step is long, or its worker slow, if it takes this many times the expected time.
LONG_FACTOR = 1.6


class ProgressMonitor:
    """Tracks the speed of runs and workers, and moves runs that are too slow."""

    def __init__(self, owner: Owner) -> None:
        self._owner = owner

    def process_report(self, worker: Worker) -> None:
        """Update the speeds of a worker after its report and move its slow runs."""
        now = self._owner.now_s()
        for run in list(worker.runs.values()):
            if run.state is RunState.RUNNING:
                self._update_progress(worker, run, now)
        self._classify_speed(worker, now)
        for run in self._movable(self._stalled(worker, now)):
            self._stop_stalled(worker, run, now)
        for run in self._movable(self._far_behind(worker)):
            run.task.lost_when_behind_s += now - run.started_s if run.started_s else 0.0
            run.task.avoid(worker.id, now)
            self._move(run, "far behind its estimate")
        if worker.is_slow:
            for run in self._movable(self._faster_elsewhere(worker)):
                self._move(run, "its worker is slow")

    def _movable(self, runs: Iterable[Run]) -> list[Run]:
        return [run for run in list(runs) if self._owner.may_move(run)]

    def _move(self, run: Run, reason: str) -> None:
        """Start a copy of a run elsewhere if its step allows copies, else stop it."""
        if not self._owner.request_copy(run, reason):
            self._owner.stop_run(run, reason)

    def _update_progress(self, worker: Worker, run: Run, now_s: float) -> None:
        """Update the progress of a run, and its speed once it is to be measured."""
        if run.last_progress_at_s == 0.0 or run.speed_limit_percent < FULL_PERCENT:
            run.last_progress_at_s = now_s
            run.last_progress_percent = run.progress_percent
            return
        interval_s = now_s - run.last_progress_at_s
        if (
            interval_s < MIN_INTERVAL_S
            or run.progress_percent <= run.last_progress_percent
        ):
            return
        progress_share = (
            run.progress_percent - run.last_progress_percent
        ) / FULL_PERCENT
        run.last_progress_percent = run.progress_percent
        run.last_progress_at_s = now_s
        if not run.task.step.spec.is_long_running:
            self._record_speed(worker, run, progress_share / interval_s)

    def _record_speed(self, worker: Worker, run: Run, speed: float) -> None:
        """Update the speeds of a run, its worker and its step.

        ``speed`` is the share of the run's work done per second.
        """
        run.speed = speed if not run.speed else (run.speed + speed) / 2.0
        step = run.task.step
        speed /= _cores_share(run)
        if step.speed_samples >= MIN_STEP_SAMPLES:
            relative_speed = min(MAX_RELATIVE_SPEED, speed / step.speed)
            worker.relative_speed += SPEED_SAMPLE_WEIGHT * (
                relative_speed - worker.relative_speed
            )
        step.add_speed_sample(speed)
        if step.speed_samples >= MIN_STEP_SAMPLES:
            self._record_evidence(worker, run)

    def _record_evidence(self, worker: Worker, run: Run) -> None:
        """Record the duration of a step at its measured speed, and where it was seen.

        A worker that seems to be slow shows nothing about the step.
        """
        step = run.task.step
        samples = samples_of(step)
        samples.progress_s = 1.0 / step.speed
        if worker.id in samples.workers or not is_usual_speed(worker):
            return
        slow, normal = 0, 1
        if samples.progress_s > LONG_FACTOR * self._expected_s(step):
            slow, normal = self._count_other_steps(worker, step)
        if slow <= normal:
            samples.record_worker(worker.id, run.task.index, normal > 0)

    def _count_other_steps(self, worker: Worker, step: Step) -> tuple[int, int]:
        """Return how many other steps are slow on a worker, and how many are not."""
        is_slow: dict[Step, bool] = {}
        for run in worker.runs.values():
            other = run.task.step
            expected_s = self._expected_s(other) if run.speed else 0.0
            if other is not step and expected_s:
                duration_s = _cores_share(run) / run.speed
                is_slow[other] = duration_s > LONG_FACTOR * expected_s
        slow = sum(is_slow.values())
        return slow, len(is_slow) - slow

    def _expected_s(self, step: Step) -> float:
        """Return the expected seconds of a task, without what its own runs show."""
        return self._owner.run_times.expected_step_s(
            step.job.queue.name, step.number, step.spec
        )

    def _classify_speed(self, worker: Worker, now_s: float) -> None:
        """Mark a worker as slow or normal; a slow one gets few starts for a while."""
        if not worker.is_slow and worker.relative_speed < SLOW_RELATIVE_SPEED:
            worker.is_slow = True
            record(
                "worker-slow", worker=worker.id, speed=round(worker.relative_speed, 2)
            )
        elif worker.is_slow and worker.relative_speed > NORMAL_RELATIVE_SPEED:
            worker.is_slow = False
            record(
                "worker-sound", worker=worker.id, speed=round(worker.relative_speed, 2)
            )
        if worker.is_slow:
            worker.slow_until_s = max(worker.slow_until_s, now_s + SLOW_FEW_STARTS_S)
            # A worker without new runs gets no new samples, so its speed is raised.
            worker.relative_speed += RECOVERY_WEIGHT * (1.0 - worker.relative_speed)

    def _stalled(self, worker: Worker, now_s: float) -> Iterator[Run]:
        """Yield the runs without progress; long-running ones only while starting up."""
        for run in worker.runs.values():
            if run.state is not RunState.RUNNING or not run.last_progress_at_s:
                continue
            is_long_running = run.task.step.spec.is_long_running
            if is_long_running and run.progress_percent >= FULL_PERCENT:
                continue
            limit_s = STARTUP_STALLED_AFTER_S if is_long_running else STALLED_AFTER_S
            if now_s - run.last_progress_at_s > limit_s:
                yield run

    def _stop_stalled(self, worker: Worker, run: Run, now_s: float) -> None:
        record_run("run-stalled", run, percent=run.progress_percent)
        run.task.avoid(worker.id, now_s)
        step = run.task.step
        failures = self._owner.failures.record_failure(worker.failures, step, now_s)
        # If other runs of the step stand still as well, the step may be the cause.
        sound_runs = step.done_tasks + step.speed_samples
        if failures.blame(sound_runs) >= MIN_BLAME:
            until_s = now_s + STALLED_FEW_STARTS_S
            worker.slow_until_s = max(worker.slow_until_s, until_s)
        self._move(run, "no progress")

    def _far_behind(self, worker: Worker) -> Iterator[Run]:
        """Yield the runs whose remaining work will take far longer than is usual.

        Runs of tasks that have lost much time by such moves are left out.
        """
        for run in worker.runs.values():
            step = run.task.step
            if run.state is not RunState.RUNNING or step.spec.is_long_running:
                continue
            if not run.speed or run.speed_limit_percent < FULL_PERCENT:
                continue
            remaining_share = 1.0 - run.progress_percent / FULL_PERCENT
            if remaining_share / run.speed <= FAR_BEHIND_S:
                continue
            usual_duration_s = self._usual_duration_s(step)
            limit_s = max(
                FAR_BEHIND_FACTOR * usual_duration_s / _cores_share(run),
                run.task.lost_when_behind_s / MAX_LOST_SHARE,
            )
            if usual_duration_s and remaining_share / run.speed > limit_s:
                yield run

    def _usual_duration_s(self, step: Step) -> float:
        """Return the usual duration of a task of a step, in seconds.

        This is the lesser of the expected time and the duration at the measured speed,
        since all runs of a step may be slow; 0 if neither is known. A step that takes
        as long on several workers of usual speed is long.
        """
        expected_s = self._expected_s(step)
        if step.speed_samples < MIN_STEP_SAMPLES or not step.speed:
            return expected_s
        measured_s = 1.0 / step.speed
        if not expected_s or self._is_long(step):
            return measured_s
        return min(expected_s, measured_s)

    def _is_long(self, step: Step) -> bool:
        """Return whether runs on several workers show that a step is long."""
        if not self._owner.run_times.applies_learned:
            return False
        return step.samples is not None and step.samples.is_seen_elsewhere

    def _faster_elsewhere(self, worker: Worker) -> Iterator[Run]:
        """Yield the runs that would end sooner on a worker of normal speed."""
        for run in worker.runs.values():
            step = run.task.step
            if run.state is not RunState.RUNNING or step.spec.is_long_running:
                continue
            if not run.speed or not step.speed:
                continue
            remaining_share = 1.0 - run.progress_percent / FULL_PERCENT
            resumes = step.spec.checkpoints and run.task.checkpoint
            elsewhere_s = (remaining_share if resumes else 1.0) / step.speed
            if remaining_share / run.speed > elsewhere_s + MIN_GAIN_S:
                yield run


def _cores_share(run: Run) -> float:
    """Return the share of its cores that a best-effort run uses; 1 for other runs."""
    spec = run.task.step.spec
    if not spec.is_best_effort or not spec.cpu_m:
        return 1.0
    return max(MIN_CORES_SHARE, min(1.0, run.latency_ms_or_cpu_m / spec.cpu_m))
