"""The open jobs of the scheduler: their occurrences, cancellations and ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever.outcomes import failed
from fulmarleverd.scheduling.cancellations.lone import LoneCancels
from fulmarleverd.scheduling.decisions import record
from fulmarleverd.scheduling.fairness.size_classes import SizeClasses
from fulmarleverd.scheduling.jobs.runs import Run, RunState
from fulmarleverd.scheduling.jobs.tasks import Job, Step
from fulmarleverd.scheduling.metrics import JOBS_OPEN
from fulmarleverd.scheduling.persistence.commits import CommitQueue
from fulmarleverd.scheduling.persistence.progress_rows import (
    StoredProgress,
    restore_progress,
)
from fulmarleverd.scheduling.persistence.rows import CANCEL_SUFFIX, JobRow
from fulmarleverd.scheduling.ports import StoredRow

# A job that is this old counts as late in any case. A larger age may come from the
# difference between the clocks of two VMs.
MAX_RESTORED_AGE_S = 60.0
NO_PROGRESS = StoredProgress()
# A job whose occurrences have been due for long opens more of them only as its waiting
# tasks get runs, so that its memory and the time of a plan are bounded.
MAX_WAITING_TASKS = 1000


class OpenJobs:
    """The jobs of an owner that have not ended.

    ``by_id`` are these jobs. ``ended_at_s`` maps the ids of ended jobs to the time of
    the end in seconds on the clock of the leases. ``lone_cancels`` are cancellations of
    jobs that are not stored. ``on_run_found`` is called with each run that an earlier
    owner has started, and ``on_end`` with each job that has ended, whose runs are to be
    stopped. ``changed`` is set when the planner has to run again.
    """

    __slots__ = (
        "by_id",
        "ended_at_s",
        "lone_cancels",
        "on_run_found",
        "on_end",
        "_clock",
        "_commits",
        "_size_classes",
        "_changed",
    )

    def __init__(
        self,
        clock: Clock,
        commits: CommitQueue,
        size_classes: SizeClasses,
        changed: asyncio.Event,
    ) -> None:
        self.by_id: dict[str, Job] = {}
        self.ended_at_s: dict[str, float] = {}
        self.lone_cancels = LoneCancels()
        self.on_run_found: Callable[[Run], None] = lambda run: None
        self.on_end: Callable[[Job], None] = lambda job: None
        self._clock = clock
        self._commits = commits
        self._size_classes = size_classes
        self._changed = changed
        commits.on_rejected = self.give_up_unstorable

    def add(
        self,
        row: JobRow,
        progress: StoredProgress = NO_PROGRESS,
        is_new: bool = True,
    ) -> None:
        """Add a job with its committed progress, unless it is known already.

        If the progress cannot be decoded, the job is logged and left out. A job read
        from a snapshot is not new; its age is known only from the Unix times of two
        VMs.
        """
        if row.spec.id in self.by_id or row.spec.id in self.ended_at_s:
            return
        is_cancelled = self.lone_cancels.take(row.spec.id)
        job = Job(row)
        job.progress_parts = progress.parts
        error = restore_progress(job, progress.value) if progress.value else None
        if failed(error):
            log.bind(event="progress-unreadable", job=job.id).error(error.reason)
            return
        if job.is_final:
            self.ended_at_s[job.id] = self._clock.boot()
            return
        age_s = 0.0 if is_new else self._clock.wall() - job.accepted_s
        job.since_s = self._clock.boot() - min(max(0.0, age_s), MAX_RESTORED_AGE_S)
        self.by_id[job.id] = job
        JOBS_OPEN.set(len(self.by_id))
        self._size_classes.classify_job(job)
        self.open_due_occurrences(job)
        job.sort_occurrences()
        for run in job.runs():
            run.state = RunState.RUNNING
            run.is_speed_limit_known = False
            self.on_run_found(run)
        record(
            "job-known",
            job=job.id,
            queue=job.queue.name,
            state=str(job.state),
            kind=job.spec.steps[0].kind,
            steps=len(job.spec.steps),
            tasks=sum(step.count for step in job.spec.steps),
            widest_cores=round(job.spec.widest_cpu_m / 1000.0, 1),
            size_class=job.size_class,
            age_s=round(self._clock.boot() - job.since_s, 3),
            max_unavailable=job.spec.steps[0].max_unavailable,
        )
        self._changed.set()
        if is_cancelled:
            self.cancel(job.id)

    def open_due_occurrences(self, job: Job) -> None:
        """Create the steps of the occurrences that are due, and forget ended ones."""
        if job.spec.repetitions:
            job.retire_occurrences()
        limit = max(0, MAX_WAITING_TASKS - job.tasks_per_occurrence)
        while self.has_due_occurrence(job):
            if job.occurrences and job.waiting_tasks > limit:
                break
            self.open_next_occurrence(job)

    def has_due_occurrence(self, job: Job) -> bool:
        """Return whether an occurrence of a job is due that has not been opened."""
        job.skip_known_occurrences()
        occurrence = job.next_occurrence
        if occurrence >= job.spec.occurrences:
            return False
        return job.spec.due_s(occurrence) <= self._clock.wall()

    def open_next_occurrence(self, job: Job) -> None:
        """Create the steps of the next occurrence of a job."""
        job.open_occurrence(job.next_occurrence)
        job.next_occurrence += 1
        self._changed.set()

    def ready_steps(self) -> Iterator[Step]:
        """Yield the steps of all open jobs that have tasks to start."""
        for job in self.by_id.values():
            yield from job.ready_steps()

    def process_cancellation(self, row: StoredRow) -> None:
        """Cancel the job of a cancellation's row, at once or once it is known."""
        job_id = row.key.removesuffix(CANCEL_SUFFIX)
        if job_id in self.by_id:
            self.cancel(job_id)
        elif job_id not in self.ended_at_s:
            self.lone_cancels.add(row, self._clock.boot())

    def cancel(self, job_id: str) -> None:
        """Cancel a job and stop its runs."""
        job = self.by_id.get(job_id)
        if job is not None and not job.is_final:
            job.is_cancelled = True
            self.finish(job, "cancelled by its caller")

    def fail(self, job: Job, cause: str) -> None:
        """End a job as failed and stop its runs."""
        if not job.is_final:
            job.has_failed = True
            self.finish(job, cause)

    def give_up_unstorable(self, job: Job) -> None:
        """End a job whose progress the store rejects, so that others go on."""
        self.fail(job, "its progress is too large for the store")

    def finish(self, job: Job, cause: str) -> None:
        """Record the end of a job and stop its remaining runs."""
        job.cause = cause
        job.final_at_s = self._clock.boot()
        self.ended_at_s[job.id] = job.final_at_s
        del self.by_id[job.id]
        JOBS_OPEN.set(len(self.by_id))
        self._commits.stage(job)
        age_s = round(job.final_at_s - job.since_s, 3)
        self._size_classes.record_end(job, age_s)
        began_s = job.first_start_s - job.since_s if job.first_start_s else None
        record(
            "job-ended",
            cause,
            job=job.id,
            queue=job.queue.name,
            state=str(job.state),
            age_s=age_s,
            hard_deadline_s=round(job.hard_deadline_s, 3),
            size_class=job.size_class,
            first_start_age_s=None if began_s is None else round(began_s, 3),
            interrupted_runs=job.interrupted_runs,
        )
        self.on_end(job)
