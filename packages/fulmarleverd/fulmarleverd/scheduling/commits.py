"""Group commits of the scheduler: job rows and lease renewal in one transaction.

Every transaction is conditional on the version of the lease's row and rewrites that
row with a value of its own. So a transaction without an answer is simply sent again:
it takes effect at most once, and if the condition fails, the row's current value
tells whether it took effect earlier or another daemon has the lease.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator

from loguru import logger as log

from fulmarlever.outcomes import OutcomeUnknown
from fulmarleverd.scheduling.adaptive_timeout import AdaptiveTimeout
from fulmarleverd.scheduling.lease import RENEW_PERIOD_S, SchedulerLease
from fulmarleverd.scheduling.metrics import COMMIT_SECONDS, COMMITS
from fulmarleverd.scheduling.ports import (
    CommitResult,
    Committed,
    ConditionFailed,
    Store,
    StoredRow,
    Transaction,
)
from fulmarleverd.scheduling.progress_rows import pack_progress
from fulmarleverd.scheduling.rows import lease_row, progress_row
from fulmarleverd.scheduling.tasks import Job

# The store takes 100 rows a transaction; the lease's row is one of them.
MAX_ROWS = 98
MAX_BYTES = 700_000
LINGER_S = 0.003
RETRY_S = 0.1

Action = Callable[[], None]


class CommitLog:
    """The queue of changes that wait for their commit.

    ``actions`` run once everything staged before them is committed.
    """

    __slots__ = (
        "_store",
        "_lease",
        "_dirty",
        "_extra",
        "_actions",
        "_wake",
        "_timeout",
    )

    def __init__(self, store: Store, lease: SchedulerLease) -> None:
        self._store = store
        self._lease = lease
        self._dirty: dict[str, Job] = {}
        self._extra: dict[tuple[str, str], StoredRow] = {}
        self._actions: list[Action] = []
        self._wake = asyncio.Event()
        self._timeout = AdaptiveTimeout()

    def stage(self, job: Job) -> None:
        """Write a job's progress with the next commit."""
        self._dirty[job.id] = job
        self._wake.set()

    def stage_row(self, row: StoredRow) -> None:
        """Write any other row with the next commit; without a value, delete it."""
        self._extra[(row.table, row.key)] = row

    def after_commit(self, action: Action) -> None:
        """Run an action once everything staged so far is committed."""
        self._actions.append(action)
        self._wake.set()

    def renew(self) -> None:
        """Commit soon, also if nothing is staged."""
        self._wake.set()

    async def run(self) -> None:
        """Commit until the lease is lost."""
        while self._lease.is_held:
            await self._wait()
            await self._commit_all()

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(RENEW_PERIOD_S):
                await self._wake.wait()
            await asyncio.sleep(LINGER_S)
        except TimeoutError:
            return

    async def _commit_all(self) -> None:
        self._wake.clear()
        rows = [
            progress_row(job.id, pack_progress(job)) for job in self._dirty.values()
        ]
        rows += self._extra.values()
        actions = self._actions
        self._dirty = {}
        self._extra = {}
        self._actions = []
        for chunk in split_rows(rows):
            if not await self._commit(chunk):
                return
        for action in actions:
            action()

    async def _commit(self, rows: list[StoredRow]) -> bool:
        lease = self._lease
        value = lease.next_row_value()
        tx = Transaction(
            [lease_row(version=lease.version)],
            [lease_row(value), *(row for row in rows if row.value)],
            [row for row in rows if not row.value],
        )
        first_sent_s = lease.clock_s()
        while lease.is_held:
            sent_s = lease.clock_s()
            result = await self._store.transact(tx, self._timeout.timeout_s)
            self._note_time(result, lease.clock_s() - sent_s)
            if isinstance(result, Committed):
                lease.record_renewal(result.version, sent_s)
                return True
            if isinstance(result, ConditionFailed):
                return self._settle(result, value, first_sent_s)
            log.bind(event="commit-retry", rows=len(rows)).warning(result.reason)
            await asyncio.sleep(RETRY_S)
        return False

    def _note_time(self, result: CommitResult, took_s: float) -> None:
        COMMITS.labels(type(result).__name__).inc()
        COMMIT_SECONDS.observe(took_s)
        if isinstance(result, OutcomeUnknown):
            self._timeout.record_no_answer()
        else:
            self._timeout.record_answer(took_s)

    def _settle(self, conflict: ConditionFailed, value: bytes, sent_s: float) -> bool:
        """Find out from the lease's current row who has written it."""
        for row in conflict.rows:
            if row.table == lease_row().table and row.value == value:
                self._lease.record_renewal(row.version, sent_s)
                return True
        log.bind(event="lease-lost", token=self._lease.token).warning(
            "another daemon has taken the scheduler's lease"
        )
        self._lease.mark_lost()
        return False


def split_rows(rows: list[StoredRow]) -> Iterator[list[StoredRow]]:
    """Yield the rows in groups that fit into one transaction, at least one group."""
    chunk: list[StoredRow] = []
    size = 0
    for row in rows:
        if chunk and (len(chunk) >= MAX_ROWS or size + len(row.value) > MAX_BYTES):
            yield chunk
            chunk, size = [], 0
        chunk.append(row)
        size += len(row.value)
    yield chunk
