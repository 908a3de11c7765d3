"""Callers' jobs: accepted, looked up and cancelled on any daemon, through the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
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
from fulmarleverd.scheduling.config_watcher import RETRY_AFTER_S
from fulmarleverd.scheduling.patience import Patience
from fulmarleverd.scheduling.ports import (
    CommitResult,
    Committed,
    ConditionFailed,
    RowSet,
    Store,
    StoredRow,
    Transaction,
)
from fulmarleverd.scheduling.progress_rows import unpack_state
from fulmarleverd.scheduling.rows import (
    SUMMARY_KEY,
    SUMMARY_TABLE,
    JobRow,
    cancel_row,
    job_row,
    pack_job,
    progress_row,
    unpack,
)
from fulmarleverd.scheduling.specs import JobSpec, QueueSpec
from fulmarleverd.scheduling.tasks import FINAL_STATES, JobState

CALL_TIMEOUT_S = 1.2
RETRY_S = 0.05
PENDING_CACHE_S = 0.4
MIN_CANCEL_S = 0.2
# The store is asked at least twice a second, so after such a silence it is unlikely to
# answer this daemon soon; another one may reach it.
SILENT_S = 1.3
# A caller has few attempts, which immediate answers would use up within an outage.
MIN_EFFORT_S = 0.6
MAX_CACHED_STATES = 5000


@dataclass(slots=True, frozen=True)
class JobStatus:
    """What a caller is told about a job."""

    state: JobState
    cause: str = ""


class UnknownJob(Refused):
    """There is no job of that id."""

    __slots__ = ()


class Intake:
    """The calls of callers about jobs.

    ``silence_s`` tells for how many seconds the store has not answered this daemon.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        silence_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._store = store
        self._clock = clock
        self._silence_s = silence_s
        self._final: dict[str, JobStatus] = {}
        self._pending: dict[str, int] = {}
        self._pending_read_s = -1.0
        self._patience = Patience()

    async def submit(
        self, spec: JobSpec, queue: QueueSpec, until_s: float
    ) -> None | NotRun | OutcomeUnknown | Refused:
        """Store a job once. ``until_s`` on the steady clock ends the attempts."""
        error = spec.find_error()
        if error:
            return Refused(error)
        row = JobRow(spec, queue, self._clock.wall())
        tx = Transaction([job_row(spec.id)], [job_row(spec.id, pack_job(row))])
        return await self._insert(tx, spec, until_s)

    async def _insert(
        self, tx: Transaction, spec: JobSpec, until_s: float
    ) -> None | NotRun | OutcomeUnknown:
        may_have_happened = False
        began_s = self._clock.monotonic()
        while True:
            left_s = until_s - self._clock.monotonic()
            if left_s <= 0.0:
                return self._give_up("the store did not answer in time", True)
            result = await self._transact(tx, left_s)
            if isinstance(result, Committed | ConditionFailed):
                # A row under the same id is this job, handed in before.
                return None
            if isinstance(result, Unavailable):
                return self._give_up(result.reason, may_have_happened)
            may_have_happened = True
            tried_s = self._clock.monotonic() - began_s
            if self._silence_s() > SILENT_S and tried_s >= MIN_EFFORT_S:
                # The caller is told now, while it has time to ask elsewhere.
                return OutcomeUnknown(f"the store is silent: {result.reason}")
            log.bind(event="submit-retry", job=spec.id).info(result.reason)
            await asyncio.sleep(RETRY_S)

    async def _transact(self, tx: Transaction, left_s: float) -> CommitResult:
        sent_s = self._clock.monotonic()
        timeout_s = min(self._patience.timeout_s, left_s)
        result = await self._store.transact(tx, timeout_s)
        if isinstance(result, OutcomeUnknown):
            self._patience.unanswered()
        else:
            self._patience.answered(self._clock.monotonic() - sent_s)
        return result

    def _give_up(self, reason: str, may_have_happened: bool) -> NotRun | OutcomeUnknown:
        if may_have_happened:
            return OutcomeUnknown(reason)
        return NotRun(reason, RETRY_AFTER_S)

    async def status(self, job_id: str) -> JobStatus | UnknownJob | Unavailable:
        """Return the state of a job as the store has it now."""
        if job_id in self._final:
            return self._final[job_id]
        rows = await self._read_one(progress_row(job_id))
        if failed(rows):
            return rows
        if not rows.rows:
            return await self._status_before_progress(job_id)
        state = unpack_state(rows.rows[0].value)
        if failed(state):
            log.bind(event="progress-unreadable", job=job_id).error(state.reason)
            return Unavailable(state.reason)
        status = JobStatus(*state)
        if status.state in FINAL_STATES:
            self._remember(job_id, status)
        return status

    async def _status_before_progress(
        self, job_id: str
    ) -> JobStatus | UnknownJob | Unavailable:
        """Return the state of a job of which the owner has not committed anything."""
        rows = await self._read_one(job_row(job_id))
        if failed(rows):
            return rows
        if not rows.rows:
            return UnknownJob(f"no job {job_id}")
        return JobStatus(JobState.QUEUED)

    async def _read_one(self, row: StoredRow) -> RowSet | Unavailable:
        return await self._store.read(
            row.table, row.key, row.key + "\0", CALL_TIMEOUT_S, row.part
        )

    def _remember(self, job_id: str, status: JobStatus) -> None:
        if len(self._final) >= MAX_CACHED_STATES:
            self._final.pop(next(iter(self._final)))
        self._final[job_id] = status

    async def cancel(
        self, job_id: str, until_s: float
    ) -> JobStatus | UnknownJob | NotRun | OutcomeUnknown | Unavailable:
        """Ask for the cancellation of a job."""
        status = await self.status(job_id)
        if failed(status) or status.state in FINAL_STATES:
            return status
        tx = Transaction([], [cancel_row(job_id)])
        while True:
            left_s = until_s - self._clock.monotonic()
            result = await self._transact(tx, max(MIN_CANCEL_S, left_s))
            if isinstance(result, Committed):
                return status
            if self._clock.monotonic() >= until_s:
                return self._give_up(result.reason, True)
            log.bind(event="cancel-retry", job=job_id).info(result.reason)
            await asyncio.sleep(RETRY_S)

    async def pending(self, queue: str) -> int | Unavailable:
        """Return how many jobs of a queue have not begun, at most a second old."""
        now = self._clock.monotonic()
        if self._pending_read_s < 0 or now - self._pending_read_s > PENDING_CACHE_S:
            rows = await self._read_one(StoredRow(SUMMARY_TABLE, SUMMARY_KEY))
            if failed(rows):
                return rows
            self._pending = unpack(rows.rows[0].value) if rows.rows else {}
            self._pending_read_s = now
        return self._pending.get(queue, 0)
