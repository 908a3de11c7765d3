"""The cancellations without a job, as the owner knows them, and their removal."""

from __future__ import annotations

import asyncio
from collections.abc import Container

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarleverd.scheduling.metrics import LONE_CANCELS
from fulmarleverd.scheduling.persistence.rows import CANCEL_SUFFIX, cancel_row
from fulmarleverd.scheduling.ports import (
    Committed,
    ConditionFailed,
    Store,
    StoredRow,
    Transaction,
)

# Longer than any write without an answer may take to take effect.
LONE_CANCEL_KEPT_S = 60.0
REMOVAL_PERIOD_S = 1.0
REMOVAL_TIMEOUT_S = 1.0


class LoneCancel:
    """A cancellation without a job: its row, and when the owner first saw it."""

    __slots__ = ("row", "seen_s")

    def __init__(self, row: StoredRow, seen_s: float) -> None:
        self.row = row
        self.seen_s = seen_s


class LoneCancels:
    """The lone cancellations by the ids of their jobs.

    Times are in seconds on the owner's clock.
    """

    __slots__ = ("_by_job",)

    def __init__(self) -> None:
        self._by_job: dict[str, LoneCancel] = {}

    def __len__(self) -> int:
        return len(self._by_job)

    def add(self, row: StoredRow, now_s: float) -> None:
        """Note the row of a cancellation whose job is not known."""
        self._by_job[_job_id(row)] = LoneCancel(row, now_s)

    def take(self, job_id: str) -> bool:
        """Forget the cancellation of a job, and return whether there was one."""
        return self._by_job.pop(job_id, None) is not None

    def forget_removed(self, row: StoredRow) -> None:
        """Forget a cancellation whose row does not exist any more."""
        self._by_job.pop(_job_id(row), None)

    def keep_only(self, keys: Container[str]) -> None:
        """Forget the cancellations whose rows are not among some keys."""
        for cancel in list(self._by_job.values()):
            if cancel.row.key not in keys:
                self.forget_removed(cancel.row)

    def expired(self, now_s: float) -> list[StoredRow]:
        """Return the rows that no late submission needs any more."""
        until_s = now_s - LONE_CANCEL_KEPT_S
        return [
            cancel.row for cancel in self._by_job.values() if cancel.seen_s < until_s
        ]

    def is_current(self, row: StoredRow) -> bool:
        """Return whether a row is the latest one of its cancellation."""
        cancel = self._by_job.get(_job_id(row))
        return cancel is not None and cancel.row.version == row.version


class LoneCancelRemover:
    """Removes the rows of lone cancellations after a while.

    A row that has been written anew since is kept, as it belongs to a later request.
    """

    def __init__(self, store: Store, cancels: LoneCancels, clock: Clock) -> None:
        self._store = store
        self._cancels = cancels
        self._clock = clock

    async def run(self) -> None:
        """Remove rows again and again, until cancelled."""
        while True:
            await asyncio.sleep(REMOVAL_PERIOD_S)
            for row in self._cancels.expired(self._clock.boot()):
                await self._remove(row)
            LONE_CANCELS.set(len(self._cancels))

    async def _remove(self, row: StoredRow) -> None:
        tx = Transaction([row], deletes=[row])
        result = await self._store.transact(tx, REMOVAL_TIMEOUT_S)
        if not isinstance(result, Committed | ConditionFailed):
            log.bind(event="lone-cancel-kept", key=row.key).info(result.reason)
        elif self._cancels.is_current(row):
            self._cancels.forget_removed(row)


def lone_cancel_row(job_id: str, version: int = 0) -> StoredRow:
    """Return the row of a cancellation as of a version, 0 for none, as a condition."""
    row = cancel_row(job_id)
    return StoredRow(row.table, row.key, b"", version, partition=row.partition)


def _job_id(row: StoredRow) -> str:
    return row.key.removesuffix(CANCEL_SUFFIX)
