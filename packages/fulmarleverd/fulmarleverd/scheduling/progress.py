"""Finds runs that stand still and workers that are much slower than the others."""

from __future__ import annotations

from collections.abc import Iterator

from fulmarleverd.scheduling.decisions import record, record_run
from fulmarleverd.scheduling.fleet import Worker
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.runs import COMPLETE_PERCENT, Run, RunState
from fulmarleverd.scheduling.tasks import Step

# A run without any progress for this long stands still; long-running tasks take some
# time to start up.
STALL_S = 1.6
STARTUP_S = 4.0
# A worker's speed is the progress of its runs as a share of that of the other runs of
# their steps, as the estimates of two jobs may be far apart; smoothed over reports.
SPEED_WEIGHT = 0.2
MIN_INTERVAL_S = 0.2
MIN_STEP_SAMPLES = 3
MAX_SHARE = 2.0
# Below this speed a worker is slow; above the second no longer.
SLOW_SHARE = 0.35
SOUND_SHARE = 0.55
# A best-effort run that gets few cores is slow for that reason alone.
MIN_CORES_SHARE = 0.1
SLOW_PAUSE_S = 1.5
RECOVERY_WEIGHT = 0.02
STALLED_PAUSE_S = 3.0
# A run is moved only if it would otherwise take this much longer.
MIN_GAIN_S = 0.8
# Estimates are rough, so a run is far behind only once it would take this many times
# what its step usually takes, and this long. After each move the factor counts once
# more: an estimate may be wrong on every worker, but the task must not move for ever.
FAR_BEHIND_FACTOR = 8.0
FAR_BEHIND_S = 4.0


class ProgressWatch:
    """Follows the progress of runs from report to report."""

    def __init__(self, owner: Owner) -> None:
        self._owner = owner

    def take_report(self, worker: Worker) -> None:
        """Look at the runs of a worker after its report."""
        now = self._owner.now_s()
        for run in list(worker.runs.values()):
            if run.state is RunState.RUNNING:
                self._follow(worker, run, now)
        self._judge(worker, now)
        for run in list(self._stalled(worker, now)):
            self._stop_stalled(worker, run, now)
        for run in list(self._far_behind(worker)):
            run.task.moves_as_behind += 1
            run.task.avoid.add(worker.id)
            self._move(run, "far behind its estimate")
        if worker.is_slow:
            for run in list(self._worth_moving(worker)):
                self._move(run, "its worker is slow")

    def _move(self, run: Run, why: str) -> None:
        """Let a task run elsewhere, beside this run if its step allows copies."""
        if not self._owner.request_copy(run, why):
            self._owner.stop_run(run, why)

    def _follow(self, worker: Worker, run: Run, now_s: float) -> None:
        if run.progress_at_s == 0.0 or run.pace < COMPLETE_PERCENT:
            run.progress_at_s = now_s
            run.progress = run.percent
            return
        interval_s = now_s - run.progress_at_s
        if interval_s < MIN_INTERVAL_S or run.percent <= run.progress:
            return
        gained = (run.percent - run.progress) / COMPLETE_PERCENT
        run.progress = run.percent
        run.progress_at_s = now_s
        if not run.task.step.spec.is_long_running:
            self._note_speed(worker, run, gained / interval_s)

    def _note_speed(self, worker: Worker, run: Run, speed: float) -> None:
        """Take note of a run's speed, as a share of its work a second."""
        run.speed = speed if not run.speed else (run.speed + speed) / 2.0
        step = run.task.step
        speed /= _cores_share(run)
        if step.speed_samples >= MIN_STEP_SAMPLES:
            share = min(MAX_SHARE, speed / step.speed)
            worker.speed += SPEED_WEIGHT * (share - worker.speed)
        step.note_speed(speed)

    def _judge(self, worker: Worker, now_s: float) -> None:
        if not worker.is_slow and worker.speed < SLOW_SHARE:
            worker.is_slow = True
            record("worker-slow", worker=worker.id, speed=round(worker.speed, 2))
        elif worker.is_slow and worker.speed > SOUND_SHARE:
            worker.is_slow = False
            record("worker-sound", worker=worker.id, speed=round(worker.speed, 2))
        if worker.is_slow:
            worker.avoid_until_s = max(worker.avoid_until_s, now_s + SLOW_PAUSE_S)
            # Without new runs there are no new figures, so trust comes back in time.
            worker.speed += RECOVERY_WEIGHT * (1.0 - worker.speed)

    def _stalled(self, worker: Worker, now_s: float) -> Iterator[Run]:
        for run in worker.runs.values():
            if run.state is not RunState.RUNNING or not run.progress_at_s:
                continue
            is_lasting = run.task.step.spec.is_long_running
            if is_lasting and run.percent >= COMPLETE_PERCENT:
                continue
            limit_s = STARTUP_S if is_lasting else STALL_S
            if now_s - run.progress_at_s > limit_s:
                yield run

    def _stop_stalled(self, worker: Worker, run: Run, now_s: float) -> None:
        record_run("run-stalled", run, percent=run.percent)
        run.task.avoid.add(worker.id)
        worker.avoid_until_s = max(worker.avoid_until_s, now_s + STALLED_PAUSE_S)
        self._move(run, "no progress")

    def _far_behind(self, worker: Worker) -> Iterator[Run]:
        """Yield runs that will take many times as long as their step usually does."""
        for run in worker.runs.values():
            step = run.task.step
            if run.state is not RunState.RUNNING or step.spec.is_long_running:
                continue
            if not run.speed or run.pace < COMPLETE_PERCENT:
                continue
            usual_s = _usual_s(step)
            factor = FAR_BEHIND_FACTOR ** (1 + run.task.moves_as_behind)
            limit_s = max(FAR_BEHIND_S, factor * usual_s / _cores_share(run))
            left = 1.0 - run.percent / COMPLETE_PERCENT
            if usual_s and left / run.speed > limit_s:
                yield run

    def _worth_moving(self, worker: Worker) -> Iterator[Run]:
        """Yield the runs that would end sooner on a sound worker."""
        for run in worker.runs.values():
            step = run.task.step
            if run.state is not RunState.RUNNING or step.spec.is_long_running:
                continue
            if not run.speed or not step.speed:
                continue
            left = 1.0 - run.percent / COMPLETE_PERCENT
            is_saved = step.spec.checkpoints and run.task.checkpoint
            there_s = (left if is_saved else 1.0) / step.speed
            if left / run.speed > there_s + MIN_GAIN_S:
                yield run


def _cores_share(run: Run) -> float:
    """Return which share of its cores a best-effort run gets; 1 for other runs."""
    spec = run.task.step.spec
    if not spec.is_best_effort or not spec.cpu_m:
        return 1.0
    return max(MIN_CORES_SHARE, min(1.0, run.usage / spec.cpu_m))


def _usual_s(step: Step) -> float:
    """Return how long a task of a step takes: as its runs tell, or as estimated.

    The lesser of the two, as all runs of a step may crawl; 0 if neither is known.
    """
    known_s = [step.spec.estimate_s] if step.spec.estimate_s else []
    if step.speed_samples >= MIN_STEP_SAMPLES and step.speed:
        known_s.append(1.0 / step.speed)
    return min(known_s, default=0.0)
