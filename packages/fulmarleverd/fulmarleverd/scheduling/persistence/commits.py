"""Group commits of the scheduler: rows and the lease's renewal in one transaction.

Every transaction is conditional on the version of the lease's row and writes a unique
value to that row. A transaction without an answer can therefore be sent again: it
takes effect at most once, and if the condition fails, the row's current value shows
whether an earlier attempt took effect or another daemon holds the lease.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator

from loguru import logger as log

from fulmarlever.outcomes import OutcomeUnknown
from fulmarleverd.scheduling.jobs.tasks import Job
from fulmarleverd.scheduling.metrics import COMMIT_SECONDS, COMMITS
from fulmarleverd.scheduling.persistence.adaptive_timeout import AdaptiveTimeout
from fulmarleverd.scheduling.persistence.progress_rows import progress_rows
from fulmarleverd.scheduling.persistence.rows import lease_row
from fulmarleverd.scheduling.ports import (
    CommitResult,
    Committed,
    ConditionFailed,
    Store,
    StoredRow,
    Transaction,
    TransactionRejected,
)
from fulmarleverd.scheduling.specs import DEFAULT_ROW_BYTES, UNKNOWN_LINK_MBPS
from fulmarleverd.scheduling.term.lease import RENEW_PERIOD_S, SchedulerLease

# The store accepts 100 rows in a transaction, of which the lease's row is one.
MAX_ROWS = 98
MAX_BYTES = 700_000
# How long a commit waits for more changes to be staged.
LINGER_S = 0.003
RETRY_S = 0.1
# On a slow link, commits leave the rest of its bandwidth to calls to workers. The
# changes of some milliseconds then share a commit, and a job that changes often is
# written less often. The pause is bounded, as the lease has to be renewed.
LINK_SHARE = 0.3
MAX_PAUSE_S = 0.25
BITS_PER_MEGABIT = 1e6

Action = Callable[[], None]


class Change:
    """Rows that are committed together, and the job whose progress they hold."""

    __slots__ = ("rows", "job")

    def __init__(self, rows: list[StoredRow], job: Job | None = None) -> None:
        self.rows = rows
        self.job = job

    @property
    def size(self) -> int:
        """Return the bytes of all values."""
        return sum(len(row.value) for row in self.rows)


class CommitQueue:
    """The changes that wait for the next commit, and the loop that commits them.

    If nothing is staged, a commit follows every ``RENEW_PERIOD_S`` seconds, so that the
    lease is renewed. ``published_rows`` yields rows to write with the commit that is
    about to be made. ``link_mbps`` is the bandwidth of the VM's link in megabits per
    second, ``row_bytes`` the largest value of a row. ``on_rejected`` is called with a
    job whose progress the store rejects for good.
    """

    __slots__ = (
        "_store",
        "_lease",
        "_staged_jobs",
        "_staged_rows",
        "_actions",
        "_wake",
        "_timeout",
        "_bytes_per_s",
        "_row_bytes",
        "_pause_s",
        "on_rejected",
        "published_rows",
    )

    def __init__(
        self,
        store: Store,
        lease: SchedulerLease,
        link_mbps: float = UNKNOWN_LINK_MBPS,
        row_bytes: int = DEFAULT_ROW_BYTES,
    ) -> None:
        self._store = store
        self._lease = lease
        self._bytes_per_s = link_mbps * BITS_PER_MEGABIT / 8 * LINK_SHARE
        self._row_bytes = row_bytes
        self._pause_s = 0.0
        self.on_rejected: Callable[[Job], None] = lambda job: None
        self.published_rows: Callable[[], Iterable[StoredRow]] = tuple
        self._staged_jobs: dict[str, Job] = {}
        self._staged_rows: dict[tuple[str, str], StoredRow] = {}
        self._actions: list[Action] = []
        self._wake = asyncio.Event()
        self._timeout = AdaptiveTimeout()

    def stage(self, job: Job) -> None:
        """Write the current progress of a job with the next commit."""
        self._staged_jobs[job.id] = job
        self._wake.set()

    def stage_row(self, row: StoredRow) -> None:
        """Write another row with the next commit, or delete it if its value is empty.

        This does not wake the commit loop.
        """
        self._staged_rows[(row.table, row.key)] = row

    def after_commit(self, action: Action) -> None:
        """Call ``action`` once everything staged so far is committed.

        It is not called if the lease is lost before.
        """
        self._actions.append(action)
        self._wake.set()

    def renew(self) -> None:
        """Commit soon to renew the lease, even if nothing is staged."""
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
            await asyncio.sleep(max(LINGER_S, self._pause_s))
        except TimeoutError:
            return

    async def _commit_all(self) -> None:
        self._wake.clear()
        changes = [
            Change(progress_rows(job, self._row_bytes), job)
            for job in self._staged_jobs.values()
        ]
        changes += [Change([row]) for row in self._staged_rows.values()]
        changes += [Change([row]) for row in self.published_rows()]
        size = sum(change.size for change in changes)
        self._pause_s = min(MAX_PAUSE_S, size / self._bytes_per_s)
        actions = self._actions
        self._staged_jobs = {}
        self._staged_rows = {}
        self._actions = []
        for group in split_changes(changes):
            if not await self._commit(group):
                return
        for action in actions:
            action()

    async def _commit(self, changes: list[Change]) -> bool:
        """Commit changes; return whether the lease is still held."""
        rows = [row for change in changes for row in change.rows]
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
            self._record_result(result, lease.clock_s() - sent_s)
            if isinstance(result, Committed):
                lease.record_renewal(result.version, sent_s)
                return True
            if isinstance(result, ConditionFailed):
                return self._resolve_conflict(result, value, first_sent_s)
            if isinstance(result, TransactionRejected) and changes:
                return await self._commit_apart(changes, result.reason)
            log.bind(event="commit-retry", rows=len(rows)).warning(result.reason)
            await asyncio.sleep(RETRY_S)
        return False

    async def _commit_apart(self, changes: list[Change], reason: str) -> bool:
        """Commit rejected changes one by one, and give up the one that is at fault."""
        if len(changes) > 1:
            for change in changes:
                if not await self._commit([change]):
                    return False
            return True
        change = changes[0]
        key = f"{change.rows[0].table}/{change.rows[0].key}"
        log.bind(event="commit-rejected", key=key, bytes=change.size).error(reason)
        if change.job is not None:
            self.on_rejected(change.job)
        return True

    def _record_result(self, result: CommitResult, took_s: float) -> None:
        COMMITS.labels(type(result).__name__).inc()
        COMMIT_SECONDS.observe(took_s)
        if isinstance(result, OutcomeUnknown):
            self._timeout.record_no_answer()
        else:
            self._timeout.record_answer(took_s)

    def _resolve_conflict(
        self, conflict: ConditionFailed, value: bytes, sent_s: float
    ) -> bool:
        """Return whether a conflict is due to an earlier attempt that took effect.

        Otherwise another daemon has written the lease's row, and the lease is lost.
        """
        for row in conflict.rows:
            if row.table == lease_row().table and row.value == value:
                self._lease.record_renewal(row.version, sent_s)
                return True
        log.bind(event="lease-lost", token=self._lease.token).warning(
            "another daemon has taken the scheduler's lease"
        )
        self._lease.mark_lost()
        return False


def split_changes(changes: list[Change]) -> Iterator[list[Change]]:
    """Yield the changes in groups that fit into one transaction, at least one group.

    A group has at most ``MAX_ROWS`` rows and ``MAX_BYTES`` bytes of values. A larger
    change forms a group of its own.
    """
    group: list[Change] = []
    rows = size = 0
    for change in changes:
        rows += len(change.rows)
        size += change.size
        if group and (rows > MAX_ROWS or size > MAX_BYTES):
            yield group
            group, rows, size = [], len(change.rows), change.size
        group.append(change)
    yield group
