"""Which ended runs show the run time of their step, and how long they were at work."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarleverd.scheduling.jobs.runs import Run
    from fulmarleverd.scheduling.workers.fleet import Worker

# A run may have ended while no report was requested from its worker, which is later
# than its time at work by up to that gap.
MAX_GAP_S = 0.1
MAX_GAP_SHARE = 0.1
# A worker below the first relative speed is disturbed. Below the second one the time
# of its runs is multiplied by its relative speed, above it the difference is noise.
MIN_RELATIVE_SPEED = 0.7
USUAL_RELATIVE_SPEED = 0.9
# A best-effort run that uses less than this share of its cores lacked the others.
FULL_CORES_SHARE = 0.9


def whole_run_s(run: Run, worker: Worker, gap_s: float) -> float:
    """Return the seconds that a run which ended as done was at work, 0 if not certain.

    It is called as the worker's report of the end is processed. ``gap_s`` is how long
    no report had been requested before. The seconds are measured on the worker's clock,
    so delays of the owner don't count, and are those at usual speed.
    """
    started_ms, ended_ms = run.accepted_clock_ms, worker.clock_ms
    if not 0 < started_ms < ended_ms or run.may_arrive_late:
        return 0.0
    if run.was_limited or _resumed(run) or lacks_cores(run):
        return 0.0
    if not is_usual_speed(worker):
        return 0.0
    seconds = (ended_ms - started_ms) / 1000.0
    if gap_s > max(MAX_GAP_S, MAX_GAP_SHARE * seconds):
        return 0.0
    is_usual = worker.relative_speed >= USUAL_RELATIVE_SPEED
    return seconds if is_usual else seconds * worker.relative_speed


def is_usual_speed(worker: Worker) -> bool:
    """Return whether a worker is not known to be slower than others."""
    if worker.is_slow or worker.is_cold:
        return False
    return worker.relative_speed >= MIN_RELATIVE_SPEED


def _resumed(run: Run) -> bool:
    """Return whether a run may have begun from a checkpoint."""
    return run.task.step.spec.checkpoints and run.number > 1


def lacks_cores(run: Run) -> bool:
    """Return whether a best-effort run was last reported without all its cores."""
    spec = run.task.step.spec
    used_m = run.latency_ms_or_cpu_m
    return spec.is_best_effort and used_m < FULL_CORES_SHARE * spec.cpu_m
