"""Stored form of a job's progress, written by one owner and read by the next.

The row is written anew with each change, so it is kept small: a done task is stored as
its index alone, and larger rows are compressed. A value that is too large for a row is
split over further rows, which are written in the same transaction.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from fulmarleverd.scheduling.jobs.number_ranges import NumberRanges
from fulmarleverd.scheduling.jobs.runs import Run
from fulmarleverd.scheduling.jobs.tasks import FINAL_STATES, Job, JobState, Step, Task
from fulmarleverd.scheduling.persistence.rows import (
    FORMAT_ERRORS,
    BadRow,
    pack,
    pack_large,
    progress_part_row,
    progress_row,
    unpack,
)
from fulmarleverd.scheduling.ports import StoredRow
from fulmarleverd.scheduling.specs import WorkerKey

# The number of fields in the progress row of a value that is split.
SPLIT_FIELDS = 4


def progress_rows(job: Job, max_bytes: int) -> list[StoredRow]:
    """Return the rows that hold a job's progress, each of at most ``max_bytes``.

    Rows that are no longer needed have no value. The progress row of a value that is
    split holds the state, whether the job has begun, the cause of its end and the
    number of parts; an ended job needs none, as nobody goes on from its progress.
    Earlier versions do not decode such a row, and leave the job out.
    """
    value = pack_progress(job)
    job.is_begin_stored = job.has_begun
    parts: list[bytes] = []
    # A value with ended occurrences is always split: earlier versions would run these
    # again, and leave split ones out.
    if len(value) > max_bytes or job.ended_occurrences:
        if not job.is_final:
            starts = range(0, len(value), max_bytes)
            parts = [value[start : start + max_bytes] for start in starts]
        value = pack([str(job.state), job.has_begun, job.cause, len(parts)])
    earlier, job.progress_parts = job.progress_parts, len(parts)
    removed = [b""] * (earlier - len(parts))
    return [
        progress_row(job.id, value),
        *(
            progress_part_row(job.id, number, part)
            for number, part in enumerate(parts + removed)
        ),
    ]


@dataclass(slots=True, frozen=True)
class StoredProgress:
    """A job's progress as stored: its value, empty if none, and its further rows."""

    value: bytes = b""
    parts: int = 0


def join_progress(job_id: str, rows: Mapping[str, bytes]) -> StoredProgress:
    """Return the progress of a job from the values of all progress rows by key.

    The parts of a value are written together, so those that exist are all of them.
    """
    parts: list[bytes] = []
    while (key := progress_part_row(job_id, len(parts)).key) in rows:
        parts.append(rows[key])
    value = b"".join(parts) if parts else rows.get(job_id, b"")
    return StoredProgress(value, len(parts))


def pack_progress(job: Job) -> bytes:
    """Return the value of a job's progress row, in msgpack.

    It holds the state, whether the job has begun, the cause of its end, the keys of
    workers with runs, the tasks that have run, which refer to the keys by index, and
    the indices of the done tasks of each step. The last fields count the crashes that
    tasks are suspected of, proved to have had a run there and not, and list the ranges
    of ended occurrences; rows of earlier versions lack some of these.
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
    ended = job.ended_occurrences.to_list()
    return pack_large([*fields, started_tasks, done, crashes, unproven_crashes, ended])


def restore_progress(job: Job, data: bytes) -> BadRow | None:
    """Set a job's progress to that which an earlier owner committed.

    Return BadRow if the row can't be decoded; the job may then be set in part.
    """
    try:
        fields = unpack(data)
        if len(fields) == SPLIT_FIELDS:
            return _restore_end(job, fields)
        state, job.has_begun, job.cause, incarnations, started_tasks, *rest = fields
        job.is_begin_stored = job.has_begun
        job.is_cancelled = state == JobState.CANCELLED
        job.has_failed = state == JobState.FAILED
        keys = [WorkerKey(*incarnation) for incarnation in incarnations]
        for packed in started_tasks:
            _restore_task(job, packed, keys)
        # Rows of earlier versions list done tasks among the started ones.
        for occurrence, number, indices in rest[0] if rest else ():
            _restore_done(job.open_occurrence(occurrence)[number], indices)
        _restore_counts(job, "crashes", rest[1] if len(rest) > 1 else ())
        ended = rest[3] if len(rest) > 3 else ()
        job.restore_ended_occurrences(NumberRanges(ended))
        _restore_counts(job, "unproven_crashes", rest[2] if len(rest) > 2 else ())
    except FORMAT_ERRORS as exc:
        return BadRow(f"progress of job {job.id}: {type(exc).__name__}: {exc}")
    return None


def _restore_end(job: Job, fields: list) -> BadRow | None:
    """Set the state of an ended job whose progress row holds nothing else."""
    state, job.has_begun, job.cause, parts = fields
    if parts or state not in FINAL_STATES:
        return BadRow(f"progress of job {job.id}: parts are missing")
    job.is_cancelled = state == JobState.CANCELLED
    job.has_failed = state == JobState.FAILED
    job.unfinished_steps = 0
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


@dataclass(slots=True, frozen=True)
class StoredState:
    """A job's state as stored, whether it has begun, and the cause of its end."""

    state: JobState
    has_begun: bool
    cause: str


def unpack_state(data: bytes) -> StoredState | BadRow:
    """Return the job's state from a progress row."""
    try:
        state, has_begun, cause, *_ = unpack(data)
        return StoredState(JobState(state), bool(has_begun), cause)
    except FORMAT_ERRORS as exc:
        return BadRow(f"progress row: {type(exc).__name__}: {exc}")
