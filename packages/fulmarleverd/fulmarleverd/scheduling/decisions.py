"""One structured log line for each decision on a job or on what is believed."""

from __future__ import annotations

from loguru import logger as log

from fulmarleverd.scheduling.runs import Run


def record(event: str, outcome: str = "", **inputs: object) -> None:
    """Write a decision with its inputs; ``event`` names its kind."""
    log.bind(event=event, **inputs).info(outcome)


def record_run(event: str, run: Run, outcome: str = "", **inputs: object) -> None:
    """Write a decision about a run."""
    step = run.task.step
    log.bind(
        event=event,
        job=step.job.id,
        task=run.task.name,
        run=run.number,
        worker=run.worker_key.id,
        **inputs,
    ).info(outcome)
