"""Structured log lines for decisions of the scheduler and the inputs behind them."""

from __future__ import annotations

from loguru import logger as log

from fulmarleverd.scheduling.jobs.runs import Run


def record(event: str, outcome: str = "", **inputs: object) -> None:
    """Log a decision with its inputs as fields; ``event`` names its kind."""
    log.bind(event=event, **inputs).info(outcome)


def record_run(event: str, run: Run, outcome: str = "", **inputs: object) -> None:
    """Log a decision about a run, with the fields that identify the run."""
    step = run.task.step
    log.bind(
        event=event,
        job=step.job.id,
        task=run.task.name,
        run=run.number,
        worker=run.worker_key.id,
        incarnation=run.worker_key.incarnation,
        **inputs,
    ).info(outcome)
