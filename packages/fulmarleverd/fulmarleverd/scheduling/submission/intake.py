"""Submission, lookup and cancellation of jobs, on any daemon, through the store.

Daemons that do not hold the scheduler's lease answer callers, too. They share nothing
with the owner but the rows of the store.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever.outcomes import (
    NotRun,
    OutcomeUnknown,
    Refused,
    Unavailable,
    failed,
)
from fulmarleverd.scheduling.admission.overload import OverloadReader
from fulmarleverd.scheduling.admission.policy import AdmissionPolicy
from fulmarleverd.scheduling.admission.refusals import AdmissionRefusal
from fulmarleverd.scheduling.admission.retries import (
    DEFAULT_WINDOW_S,
    RetrySchedule,
    RoomWindow,
)
from fulmarleverd.scheduling.cancellations.lone import lone_cancel_row
from fulmarleverd.scheduling.cancellations.quota import LoneCancelQuota
from fulmarleverd.scheduling.cancellations.uncertain import UncertainSubmissions
from fulmarleverd.scheduling.jobs.tasks import FINAL_STATES, JobState
from fulmarleverd.scheduling.metrics import ADMISSION_REFUSALS
from fulmarleverd.scheduling.persistence.adaptive_timeout import AdaptiveTimeout
from fulmarleverd.scheduling.persistence.config_watcher import RETRY_AFTER_S
from fulmarleverd.scheduling.persistence.feeds import read_row
from fulmarleverd.scheduling.persistence.progress_rows import unpack_state
from fulmarleverd.scheduling.persistence.rows import (
    JobRow,
    cancel_row,
    job_row,
    pack_job,
    progress_row,
)
from fulmarleverd.scheduling.ports import (
    CommitResult,
    Committed,
    ConditionFailed,
    Store,
    StoredRow,
    Transaction,
    TransactionRejected,
)
from fulmarleverd.scheduling.published.waiting_jobs_reader import WaitingJobsReader
from fulmarleverd.scheduling.specs import JobSpec, QueueSpec

RETRY_S = 0.05
MIN_CANCEL_S = 0.2
# The store is asked at least twice a second, so after this time without an answer it is
# unlikely to answer this daemon soon; another daemon may reach it.
STORE_UNRESPONSIVE_S = 1.3
# A caller makes few attempts, which immediate failures would use up during an outage.
MIN_SUBMIT_S = 0.6
MAX_CACHED_STATES = 5000


@dataclass(slots=True, frozen=True)
class JobStatus:
    """The state of a job as reported to callers, and why it ended, if it has."""

    state: JobState
    cause: str = ""


class UnknownJob(Refused):
    """No job has the requested id."""

    __slots__ = ()


class Intake:
    """Submits, looks up and cancels jobs in the store.

    ``store_unanswered_s`` returns for how many seconds the store has not answered this
    daemon. ``queues`` returns the configured queues; without them, no job is refused
    by its forecast.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        store_unanswered_s: Callable[[], float] = lambda: 0.0,
        queues: Callable[[], Iterable[QueueSpec]] = lambda: (),
    ) -> None:
        self._store = store
        self._clock = clock
        self._store_unanswered_s = store_unanswered_s
        self._final_statuses: dict[str, JobStatus] = {}
        self._waiting_jobs = WaitingJobsReader(store, clock)
        self._timeout = AdaptiveTimeout()
        self._overload = OverloadReader(store, clock)
        self._lone_cancels = LoneCancelQuota(clock)
        self._uncertain = UncertainSubmissions(clock)
        self._retries = RetrySchedule(clock)
        self._admission = AdmissionPolicy.from_store(
            store, clock, self._retries, queues
        )

    async def submit(
        self, spec: JobSpec, queue: QueueSpec, until_s: float
    ) -> None | NotRun | OutcomeUnknown | Refused:
        """Store a job, at most once for its id.

        ``until_s`` is the time at which the attempts end, in seconds on the steady
        clock. Return ``None`` once the job is stored, also if it was before; ``NotRun``
        if it certainly is not; ``OutcomeUnknown`` if it may be; ``Refused`` if the
        specification is invalid or too large for the store, or if the job has been
        cancelled before it was stored.
        """
        error = spec.find_error()
        if error:
            return Refused(error)
        refusal = self._find_refusal(spec, queue)
        if refusal is not None:
            return await self._refuse_unless_stored(spec, refusal)
        row = JobRow(spec, queue, self._clock.wall())
        # A job that is cancelled before it is stored must not be stored any more.
        absent = [job_row(spec.id), lone_cancel_row(spec.id)]
        tx = Transaction(absent, [job_row(spec.id, pack_job(row))])
        result = await self._insert(tx, spec, until_s)
        if isinstance(result, OutcomeUnknown):
            self._uncertain.add(spec.id)
        else:
            self._uncertain.discard(spec.id)
        return result

    def _find_refusal(self, spec: JobSpec, queue: QueueSpec) -> NotRun | None:
        """Return why a new job is refused, with the time of its return."""
        refusal = self._overload.find_refusal(queue)
        if refusal is None:
            return self._admission.find_refusal(spec, queue)
        # How soon the owner catches up is not known, so returns are only spread.
        window = RoomWindow(latest_s=DEFAULT_WINDOW_S)
        refusal.retry_after_s = self._retries.refuse(spec.id, window, "even")
        return refusal

    async def _refuse_unless_stored(
        self, spec: JobSpec, refusal: NotRun
    ) -> None | NotRun | OutcomeUnknown:
        """Return a refusal, or ``None`` if the job was stored by an earlier attempt."""
        rows = await read_row(self._store, job_row(spec.id))
        if failed(rows):
            return OutcomeUnknown(rows.reason)
        if rows.rows:
            self._retries.forget(spec.id)
            return None
        if spec.id in self._uncertain:
            return OutcomeUnknown("an earlier submission may still take effect")
        is_by_forecast = isinstance(refusal, AdmissionRefusal)
        reason = "forecast" if is_by_forecast else "overload"
        ADMISSION_REFUSALS.labels(reason).inc()
        return refusal

    async def _insert(
        self, tx: Transaction, spec: JobSpec, until_s: float
    ) -> None | NotRun | OutcomeUnknown | Refused:
        may_be_applied = False
        started_s = self._clock.monotonic()
        while True:
            left_s = until_s - self._clock.monotonic()
            if left_s <= 0.0:
                return self._failure("the store did not answer in time", True)
            result = await self._transact(tx, left_s)
            if isinstance(result, Committed):
                return None
            if isinstance(result, ConditionFailed):
                return _find_earlier(result, spec.id)
            if isinstance(result, TransactionRejected):
                return Refused(result.reason)
            if isinstance(result, Unavailable):
                return self._failure(result.reason, may_be_applied)
            may_be_applied = True
            elapsed_s = self._clock.monotonic() - started_s
            if (
                self._store_unanswered_s() > STORE_UNRESPONSIVE_S
                and elapsed_s >= MIN_SUBMIT_S
            ):
                # Answer while the caller still has time to try another daemon.
                return OutcomeUnknown(f"the store is silent: {result.reason}")
            log.bind(event="submit-retry", job=spec.id).info(result.reason)
            await asyncio.sleep(RETRY_S)

    async def _transact(self, tx: Transaction, left_s: float) -> CommitResult:
        sent_s = self._clock.monotonic()
        timeout_s = min(self._timeout.timeout_s, left_s)
        result = await self._store.transact(tx, timeout_s)
        if isinstance(result, OutcomeUnknown):
            self._timeout.record_no_answer()
        else:
            self._timeout.record_answer(self._clock.monotonic() - sent_s)
        return result

    def _failure(self, reason: str, may_be_applied: bool) -> NotRun | OutcomeUnknown:
        if may_be_applied:
            return OutcomeUnknown(reason)
        return NotRun(reason, RETRY_AFTER_S)

    async def status(self, job_id: str) -> JobStatus | UnknownJob | Unavailable:
        """Return the state of a job as stored now.

        ``Unavailable`` means that the store does not answer, that the progress row
        cannot be decoded, or that a submission may still take effect.
        """
        status = await self._stored_status(job_id)
        if isinstance(status, UnknownJob) and job_id in self._uncertain:
            return Unavailable(f"a submission of job {job_id} may still take effect")
        return status

    async def _stored_status(self, job_id: str) -> JobStatus | UnknownJob | Unavailable:
        """Return the state of a job by its rows alone."""
        if job_id in self._final_statuses:
            return self._final_statuses[job_id]
        rows = await read_row(self._store, progress_row(job_id))
        if failed(rows):
            return rows
        if not rows.rows:
            return await self._status_before_progress(job_id)
        state = unpack_state(rows.rows[0].value)
        if failed(state):
            log.bind(event="progress-unreadable", job=job_id).error(state.reason)
            return Unavailable(state.reason)
        status = JobStatus(state.state, state.cause)
        if status.state in FINAL_STATES:
            self._cache_status(job_id, status)
        return status

    async def _status_before_progress(
        self, job_id: str
    ) -> JobStatus | UnknownJob | Unavailable:
        """Return the state of a job for which the owner has committed nothing yet."""
        rows = await read_row(self._store, job_row(job_id))
        if failed(rows):
            return rows
        if not rows.rows:
            return UnknownJob(f"no job {job_id}")
        return JobStatus(JobState.QUEUED)

    def _cache_status(self, job_id: str, status: JobStatus) -> None:
        if len(self._final_statuses) >= MAX_CACHED_STATES:
            self._final_statuses.pop(next(iter(self._final_statuses)))
        self._final_statuses[job_id] = status

    async def cancel(
        self, job_id: str, until_s: float
    ) -> JobStatus | UnknownJob | NotRun | OutcomeUnknown | Unavailable:
        """Request the cancellation of a job; the owner carries it out.

        Return the state before the cancellation, or ``UnknownJob`` if there is no such
        job and, for as long as a write may take effect late, there will not be one.
        ``until_s`` is the time at which the attempts end, in seconds on the steady
        clock.
        """
        status = await self._stored_status(job_id)
        if isinstance(status, UnknownJob):
            return await self._cancel_unknown(job_id, until_s)
        if failed(status) or status.state in FINAL_STATES:
            return status
        result = await self._write_cancel(job_id, [], until_s)
        return status if isinstance(result, Committed) else result

    async def _cancel_unknown(
        self, job_id: str, until_s: float
    ) -> JobStatus | UnknownJob | NotRun | OutcomeUnknown | Unavailable:
        """Keep a job that is not stored from being stored by a late submission."""
        if not self._lone_cancels.take():
            reason = "too many cancellations of unknown jobs"
            return NotRun(reason, RETRY_AFTER_S)
        result = await self._write_cancel(job_id, [job_row(job_id)], until_s)
        if isinstance(result, ConditionFailed):
            # The submission has taken effect in the meantime.
            return await self.cancel(job_id, until_s)
        if not isinstance(result, Committed):
            return result
        self._uncertain.discard(job_id)
        return UnknownJob(f"no job {job_id}")

    async def _write_cancel(
        self, job_id: str, conditions: list[StoredRow], until_s: float
    ) -> Committed | ConditionFailed | NotRun | OutcomeUnknown:
        """Write the row of a cancellation, with retries until a time."""
        tx = Transaction(conditions, [cancel_row(job_id)])
        while True:
            left_s = until_s - self._clock.monotonic()
            result = await self._transact(tx, max(MIN_CANCEL_S, left_s))
            if isinstance(result, Committed | ConditionFailed):
                return result
            if self._clock.monotonic() >= until_s:
                return self._failure(result.reason, True)
            log.bind(event="cancel-retry", job=job_id).info(result.reason)
            await asyncio.sleep(RETRY_S)

    async def pending(self, queue: str) -> int | Unavailable:
        """Return the number of jobs of a queue that have not begun, at most 2 s old."""
        return await self._waiting_jobs.find(queue)


def _find_earlier(conflict: ConditionFailed, job_id: str) -> None | Refused:
    """Return why a job is not stored, ``None`` if an earlier attempt has stored it."""
    if any(row.key == job_id for row in conflict.rows):
        return None
    return Refused(f"job {job_id} has been cancelled before it was submitted")
