"""Log lines about serving tasks that start or stop missing their latency target."""

from __future__ import annotations

from fulmarleverd.scheduling.decisions import record_run
from fulmarleverd.scheduling.jobs.runs import Run


def log_target_crossing(
    run: Run, headroom: float, loads: dict[str, float], now_s: float
) -> None:
    """Log a line if a new latency sample crosses the target.

    ``headroom`` is the latency target divided by the tail latency, so below 1.0 the
    target is missed. ``loads`` are the shares of the worker's cores in use by each
    best-effort image on it. ``run.target_missed_since_s`` is set while the target is
    missed.
    """
    if headroom < 1.0 and not run.target_missed_since_s:
        run.target_missed_since_s = now_s
        record_run(
            "target-missed",
            run,
            image=run.task.step.spec.image,
            tail_ms=round(run.latency_ms_or_cpu_m),
            target_ms=round(run.task.step.spec.latency_target_s * 1000.0),
            beside={image: round(load, 3) for image, load in loads.items()},
        )
    elif headroom >= 1.0 and run.target_missed_since_s:
        over_s = round(now_s - run.target_missed_since_s, 2)
        run.target_missed_since_s = 0.0
        record_run("target-met", run, over_s=over_s, beside_count=len(loads))
