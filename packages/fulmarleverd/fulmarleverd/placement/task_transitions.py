"""The state transitions of a task, as functions that return the changed task.

They return ``None`` if the transition does not apply to the task's state.
"""

from __future__ import annotations

from dataclasses import replace

from fulmarlever.structure.size import Size
from fulmarlever.structure.task import Task, TaskState
from fulmarleverd.placement.orders import Ended, TaskReport
from fulmarleverd.placement.task_cache import RESERVING_STATES

MAX_FAILED_WORKERS = 3
"""The number of distinct workers on which a task fails before it is ``FAILED``."""

MAX_FAILURES = 6
"""The number of failed attempts after which a task is ``FAILED``."""

RUNNING, DONE, FAILED, STOPPED = "running", "done", "failed", "stopped"
"""The states of an attempt in the reports of workers."""


def started(task: Task, worker: str, reservation: Size) -> Task:
    """Return the task as starting its next attempt on a worker."""
    return replace(
        task,
        state=TaskState.STARTING,
        attempt=task.attempt + 1,
        worker=worker,
        reservation=reservation,
        reason="",
    )


def confirmed(task: Task) -> Task | None:
    """Return the task as running after its worker confirmed the start."""
    if task.state is not TaskState.STARTING:
        return None
    return replace(task, state=TaskState.RUNNING)


def requeued(task: Task, reason: str, checkpoint: str = "") -> Task:
    """Return the task as queued again, or as cancelled if that was requested.

    An empty ``checkpoint`` keeps the last one.
    """
    if task.cancel:
        return replace(task, state=TaskState.CANCELLED, reason=task.reason or reason)
    return replace(
        task,
        state=TaskState.QUEUED,
        worker="",
        reservation=Size(),
        checkpoint=checkpoint or task.checkpoint,
        reason=reason,
    )


def stopping(task: Task, reason: str, *, cancel: bool = False) -> Task | None:
    """Return the task as stopping.

    Only a task that reserves capacity can be stopped. A task that is stopping already
    changes only if it is to be cancelled as well.
    """
    if task.state not in RESERVING_STATES:
        return None
    if task.state is TaskState.STOPPING and (task.cancel or not cancel):
        return None
    is_cancelled = task.cancel or cancel
    return replace(task, state=TaskState.STOPPING, cancel=is_cancelled, reason=reason)


def cancelled(task: Task, reason: str) -> Task | None:
    """Return the task as cancelled if it is queued, else as stopping."""
    if task.state is TaskState.QUEUED:
        return replace(task, state=TaskState.CANCELLED, cancel=True, reason=reason)
    return stopping(task, reason, cancel=True)


def attempt_failed(task: Task, reason: str) -> Task:
    """Return the task as queued again, or as failed after too many failed attempts.

    Service instances and tasks to be cancelled never become ``FAILED``.
    """
    failures = [*task.failures, task.worker]
    task = replace(task, failures=failures)
    if task.is_service or task.cancel:
        return requeued(task, reason)
    workers = len(set(failures))
    if workers >= MAX_FAILED_WORKERS or len(failures) >= MAX_FAILURES:
        text = f"failed {len(failures)} times on {workers} workers: {reason}"
        return replace(task, state=TaskState.FAILED, reason=text)
    return requeued(task, reason)


def ended(task: Task, end: Ended) -> Task | None:
    """Return the task after the end of its current attempt."""
    if end.state == DONE and not task.is_service:
        return replace(task, state=TaskState.DONE, result=end.result, reason="")
    if task.state not in RESERVING_STATES:
        return None
    if end.state == FAILED:
        return attempt_failed(task, end.reason or "the task failed")
    reason = task.reason or end.reason or "stopped by its worker"
    return requeued(task, reason, end.checkpoint)


def reported(task: Task, report: TaskReport) -> Task | None:
    """Return the task after a worker's report on its current attempt.

    Reports on other attempts and on tasks in a final state change nothing.
    """
    if report.attempt != task.attempt or task.state.is_final:
        return None
    if report.state == RUNNING:
        return confirmed(task)
    return ended(
        task, Ended(report.state, report.checkpoint, report.reason, report.result)
    )
