"""Group commits of which the store rejects one change for good."""

from __future__ import annotations

import asyncio

from loguru import logger as log

from fulmarlever.tests.base import TableTestCase
from fulmarleverd.scheduling.jobs.tasks import Job
from fulmarleverd.scheduling.persistence.commits import (
    MAX_BYTES,
    MAX_ROWS,
    Change,
    CommitQueue,
    split_changes,
)
from fulmarleverd.scheduling.persistence.rows import JobRow
from fulmarleverd.scheduling.ports import (
    CommitResult,
    Committed,
    StoredRow,
    Transaction,
    TransactionRejected,
)
from fulmarleverd.scheduling.specs import JobSpec, StepSpec
from fulmarleverd.tests.scheduling.base import QUEUE


class PartialStore:
    """A fake store that rejects transactions with certain keys for good."""

    def __init__(self, rejected: set[str]):
        self._rejected = rejected
        self.keys: set[str] = set()

    async def transact(self, tx: Transaction, timeout_s: float) -> CommitResult:
        keys = {row.key for row in tx.writes}
        if keys & self._rejected:
            return TransactionRejected("too large")
        self.keys |= keys
        return Committed(1)


class HeldLease:
    """A fake lease that ends with the first commit without any change."""

    token = 1
    version = 1
    is_held = True

    def next_row_value(self) -> bytes:
        return b"lease"

    def clock_s(self) -> float:
        return 0.0

    def record_renewal(self, version: int, sent_s: float) -> None:
        pass


def new_job(job_id: str) -> Job:
    return Job(JobRow(JobSpec(job_id, "", (StepSpec(),)), QUEUE, 0.0))


class RejectedChangesTests(TableTestCase):
    def setUp(self):
        log.remove()

    # Regression (LOST): one row that the store rejected kept everything else from being
    # committed, for ever.
    def test_others_are_committed_and_the_job_is_given_up(self):
        rows = (
            ("a job", {"b"}, ["b"], {"a", "c", "row"}),
            ("two jobs", {"a", "b"}, ["a", "b"], {"c", "row"}),
            ("another row", {"row"}, [], {"a", "b", "c"}),
            ("all", {"a", "b", "c", "row"}, ["a", "b", "c"], set()),
        )
        for _, rejected, expected_jobs, expected_keys in self.each(rows):
            store = PartialStore(rejected)
            commits = CommitQueue(store, HeldLease())
            given_up: list[str] = []
            commits.on_rejected = lambda job, ids=given_up: ids.append(job.id)
            called: list[bool] = []
            for job_id in ("a", "b", "c"):
                commits.stage(new_job(job_id))
            commits.stage_row(StoredRow("summary", "row", b"1"))
            commits.after_commit(lambda calls=called: calls.append(True))
            asyncio.run(commits._commit_all())
            self.assertEqual(given_up, expected_jobs)
            self.assertEqual(store.keys - {"scheduler"}, expected_keys)
            self.assertEqual(called, [True])


class SplitChangesTests(TableTestCase):
    def test_the_rows_of_a_change_stay_together(self):
        value = b"x" * (MAX_BYTES // 4)
        rows = (
            ("none", [], 0, [0]),
            ("one", [1], 1, [1]),
            ("rows", [MAX_ROWS - 1, 2, 1], 1, [1, 2]),
            ("bytes", [3, 2, 2], len(value), [1, 2]),
            ("larger than a transaction", [1, 9, 1], len(value), [1, 1, 1]),
        )
        for _, counts, size, expected in self.each(rows):
            changes = [
                Change([StoredRow("t", f"{number}", value[:size])] * count)
                for number, count in enumerate(counts)
            ]
            groups = [len(group) for group in split_changes(changes)]
            self.assertEqual(groups, expected)
