"""Stored form of a job's progress, written by one owner and read by the next.

The row is written anew with each change, so it is kept small: a done task is stored as
its index alone, and larger rows are compressed.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from fulmarleverd.scheduling.rows import FORMAT_ERRORS, BadRow, pack_large, unpack
from fulmarleverd.scheduling.runs import Run, WorkerKey
from fulmarleverd.scheduling.tasks import Job, JobState, Step, Task


def pack_progress(job: Job) -> bytes:
    """Return the value of a job's progress row, in msgpack.

    It holds the state, whether the job has begun, the cause of its end, the keys of
    workers with runs, the tasks that have run, which refer to the keys by index, and
    the indices of the done tasks of each step. The last two fields count the crashes
    that tasks are suspected of, proved to have had a run there and not; rows of earlier
    versions lack one or both.
    """
    keys: dict[WorkerKey, int] = {}
    started_tasks = [
        packed for task in job.tasks() for packed in _pack_task(task, keys)
    ]
    incarnations = [(key.id, key.incarnation) for key in keys]
    done = list(_done_indices(job))
    fields = [str(job.state), job.has_begun, job.cause, incarnations]
    crashes = list(_counts(job, "crashes"))
    unproven_crashes = list(_counts(job, "unproven_crashes"))
    return pack_large([*fields, started_tasks, done, crashes, unproven_crashes])


def restore_progress(job: Job, data: bytes) -> BadRow | None:
    """Set a job's progress to that which an earlier owner committed.

    Return BadRow if the row can't be decoded; the job may then be set in part.
    """
    try:
        fields = unpack(data)
        state, job.has_begun, job.cause, incarnations, started_tasks, *rest = fields
        job.is_cancelled = state == JobState.CANCELLED
        job.has_failed = state == JobState.FAILED
        keys = [WorkerKey(*incarnation) for incarnation in incarnations]
        for packed in started_tasks:
            _restore_task(job, packed, keys)
        # Rows of earlier versions list done tasks among the started ones.
        for occurrence, number, indices in rest[0] if rest else ():
            _restore_done(job.open_occurrence(occurrence)[number], indices)
        _restore_counts(job, "crashes", rest[1] if len(rest) > 1 else ())
        _restore_counts(job, "unproven_crashes", rest[2] if len(rest) > 2 else ())
    except FORMAT_ERRORS as exc:
        return BadRow(f"progress of job {job.id}: {type(exc).__name__}: {exc}")
    return None


def _restore_task(job: Job, packed: list, keys: list[WorkerKey]) -> None:
    occurrence, number, index, is_done, failures, last_run, ckpt, runs = packed
    step = job.open_occurrence(occurrence)[number]
    task = step.tasks[index]
    task.failures = failures
    task.last_run = last_run
    task.checkpoint = ckpt
    for run_number, key in runs:
        task.runs[run_number] = Run(task, run_number, keys[key])
    if is_done:
        step.complete(task)
    step.refresh(task)


def _restore_done(step: Step, indices: list[int]) -> None:
    for index in indices:
        step.complete(step.tasks[index])


def _has_ended(task: Task) -> bool:
    """Return whether a task is done and nothing of it runs any more."""
    return task.is_done and not task.runs


def _done_indices(job: Job) -> Iterator[list]:
    """Yield occurrence, number and the indices of the ended tasks of each step."""
    for step in job.steps():
        if step.unfinished_tasks < len(step.tasks):
            indices = [task.index for task in step.tasks if _has_ended(task)]
            yield [step.occurrence, step.number, indices]


def _counts(job: Job, field: str) -> Iterator[list]:
    """Yield occurrence, step, index and count of each task whose count is not 0."""
    for task in job.tasks():
        count = getattr(task, field)
        if count:
            yield [task.step.occurrence, task.step.number, task.index, count]


def _restore_counts(job: Job, field: str, counts: Iterable[list]) -> None:
    for occurrence, number, index, count in counts:
        setattr(job.open_occurrence(occurrence)[number].tasks[index], field, count)


def _pack_task(task: Task, keys: dict[WorkerKey, int]) -> Iterator[list]:
    """Yield the packed form of a task that has had a run and has not ended."""
    if not task.last_run or _has_ended(task):
        return
    runs = [
        (run.number, keys.setdefault(run.worker_key, len(keys)))
        for run in task.runs.values()
    ]
    yield [
        task.step.occurrence,
        task.step.number,
        task.index,
        task.is_done,
        task.failures,
        task.last_run,
        task.checkpoint,
        runs,
    ]


def unpack_state(data: bytes) -> tuple[JobState, str] | BadRow:
    """Return the job's state and its cause from a progress row."""
    try:
        fields = unpack(data)
        return JobState(fields[0]), fields[2]
    except FORMAT_ERRORS as exc:
        return BadRow(f"progress row: {type(exc).__name__}: {exc}")
