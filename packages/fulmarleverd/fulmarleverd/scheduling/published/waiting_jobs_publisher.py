"""Publishes how many jobs wait, with the commits of the owner."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.persistence.feeds import Batch
from fulmarleverd.scheduling.persistence.rows import SUMMARY_KEY
from fulmarleverd.scheduling.ports import StoredRow
from fulmarleverd.scheduling.published.publication import Publication
from fulmarleverd.scheduling.published.waiting_jobs import WaitingJobs

# Commits follow each other at least as often as the lease is renewed.
PERIOD_S = 0.4


class WaitingJobsPublisher:
    """Adds the number of waiting jobs to commits, from the first one that can have it.

    So an owner that starts runs has also published how many jobs wait, however short
    its term is. The number is as of the newest answer about the table of jobs.
    """

    __slots__ = ("_owner", "_batch", "_published_s")

    def __init__(self, owner: Owner) -> None:
        self._owner = owner
        # The newest batch of changes; none before all of a snapshot is known.
        self._batch: Batch | None = None
        self._published_s = float("-inf")

    def record(self, batch: Batch) -> None:
        """Record that the rows of a batch are known.

        The rows of a snapshot are of various versions, so only the changes since show
        up to which version all are known.
        """
        self._batch = None if batch.is_snapshot else batch

    def rows(self) -> Iterator[StoredRow]:
        """Yield the row, if it is due, for the commit that is made now."""
        now = self._owner.now_s()
        if self._batch is None or now - self._published_s < PERIOD_S:
            return
        self._published_s = now
        jobs = self._owner.jobs.values()
        by_queue = Counter(job.queue.name for job in jobs if not job.has_begun)
        waiting = WaitingJobs(by_queue, self._batch.version)
        lease = self._owner.lease
        yield Publication(
            lease.vm, lease.token, self._batch.store_time_s, waiting.pack()
        ).to_row(SUMMARY_KEY)
