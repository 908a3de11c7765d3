"""The state changes of one task, as functions from the old to the new state."""

from __future__ import annotations

from dataclasses import replace

from fulmarlever.structure.size import Size
from fulmarlever.structure.task import Task, TaskState
from fulmarleverd.placement.orders import Ended, TaskReport
from fulmarleverd.placement.task_cache import RESERVING_STATES

MAX_FAILED_WORKERS = 3
"""The number of distinct workers after which a failing task is given up."""

MAX_FAILURES = 6
"""The number of failed attempts after which a task is given up."""

RUNNING, DONE, FAILED, STOPPED = "running", "done", "failed", "stopped"


def started(task: Task, worker: str, reservation: Size) -> Task:
    """Return the task with its next attempt recorded for a worker."""
    return replace(
        task,
        state=TaskState.STARTING,
        attempt=task.attempt + 1,
        worker=worker,
        reservation=reservation,
        reason="",
    )


def confirmed(task: Task) -> Task | None:
    """Return the task as running after its worker said so."""
    if task.state is not TaskState.STARTING:
        return None
    return replace(task, state=TaskState.RUNNING)


def requeued(task: Task, reason: str, checkpoint: str = "") -> Task:
    """Return the task queued again, or cancelled when that was asked for."""
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
    """Return the task marked to be stopped, or nothing when it holds no room."""
    if task.state not in RESERVING_STATES:
        return None
    if task.state is TaskState.STOPPING and (task.cancel or not cancel):
        return None
    is_cancelled = task.cancel or cancel
    return replace(task, state=TaskState.STOPPING, cancel=is_cancelled, reason=reason)


def cancelled(task: Task, reason: str) -> Task | None:
    """Return the task cancelled at once when queued, else marked to be stopped."""
    if task.state is TaskState.QUEUED:
        return replace(task, state=TaskState.CANCELLED, cancel=True, reason=reason)
    return stopping(task, reason, cancel=True)


def attempt_failed(task: Task, reason: str) -> Task:
    """Return the task queued again, or given up after failures on several workers."""
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
    """Return the task after a report, or nothing when the report changes nothing."""
    if report.attempt != task.attempt or task.state.is_final:
        return None
    if report.state == RUNNING:
        return confirmed(task)
    return ended(
        task, Ended(report.state, report.checkpoint, report.reason, report.result)
    )
