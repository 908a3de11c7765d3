"""Tells callers of any daemon how many jobs wait, whoever owns the lease.

An owner publishes the number with the version of the table of jobs up to which it
counts. While that is recent, it is given. Otherwise this daemon adds what has been
accepted and cancelled since that version, so it does not depend on an owner. Without a
published number, or if the store has dropped the history since, it counts all rows.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from enum import StrEnum

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever.outcomes import Unavailable, failed
from fulmarleverd.scheduling.metrics import PENDING_AGE_SECONDS, PENDING_REFRESHES
from fulmarleverd.scheduling.persistence.feeds import read_row
from fulmarleverd.scheduling.persistence.rows import SUMMARY_KEY, SUMMARY_TABLE
from fulmarleverd.scheduling.ports import ABSENT, HistoryGone, RowSet, Store, StoredRow
from fulmarleverd.scheduling.published.job_changes import JobChanges
from fulmarleverd.scheduling.published.publication import Publication
from fulmarleverd.scheduling.published.waiting_jobs import WaitingJobs
from fulmarleverd.scheduling.published.waiting_jobs_count import count_waiting_jobs

# A number may be this old when it is given.
MAX_AGE_S = 2.0
# A published number that is older when it is read is brought up to date.
RECENT_S = 1.5
# The history may be dropped again while the rows are counted.
MAX_ATTEMPTS = 3


class Source(StrEnum):
    """How a number was found."""

    PUBLISHED = "published"
    CHANGES = "changes"
    ROWS = "rows"


# For how long a number is given again without a call, by how much it cost.
KEPT_S = {Source.PUBLISHED: 0.4, Source.CHANGES: 0.8, Source.ROWS: 1.6}


class WaitingJobsReader:
    """The number of waiting jobs by queue, read from the store while it is asked for.

    Callers that ask at the same time share one refresh.
    """

    __slots__ = (
        "_store",
        "_clock",
        "_base",
        "_base_version",
        "_changes",
        "_counts",
        "_source",
        "_right_at_s",
        "_refreshed_s",
        "_refreshing",
    )

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._base: WaitingJobs | None = None
        # The version of the published row when the base was found.
        self._base_version = ABSENT
        self._changes = JobChanges(store)
        self._counts: Counter[str] = Counter()
        self._source = Source.PUBLISHED
        # When the counts were right, at the latest, and when they were asked for.
        self._right_at_s = float("-inf")
        self._refreshed_s = float("-inf")
        self._refreshing: asyncio.Task | None = None

    async def find(self, queue: str) -> int | Unavailable:
        """Return how many jobs of a queue wait, at most ``MAX_AGE_S`` seconds old."""
        if not (self._is_kept() and self._is_recent()):
            error = await self._refresh_once()
            if failed(error):
                return error
            if not self._is_recent():
                return Unavailable("the store answered too late")
        return max(0, self._counts[queue])

    def _is_kept(self) -> bool:
        return self._clock.boot() - self._refreshed_s <= KEPT_S[self._source]

    def _is_recent(self) -> bool:
        return self._clock.boot() - self._right_at_s <= MAX_AGE_S

    async def _refresh_once(self) -> Unavailable | None:
        """Refresh the counts, or wait for the refresh that is in progress."""
        if self._refreshing is None or self._refreshing.done():
            self._refreshing = asyncio.get_running_loop().create_task(self._refresh())
        # A caller that goes away does not end the refresh of the others.
        return await asyncio.shield(self._refreshing)

    async def _refresh(self) -> Unavailable | None:
        asked_s = self._clock.boot()
        read = await read_row(self._store, StoredRow(SUMMARY_TABLE, SUMMARY_KEY))
        if failed(read):
            return read
        published = _unpack(read)
        version = read.rows[0].version if read.rows else ABSENT
        if published is None:
            # Nothing tells which jobs have begun since an earlier count.
            self._use(None, version)
        elif self._base is None or version != self._base_version:
            self._use(published.waiting, version)
        if published is not None and published.age_s <= RECENT_S:
            source = Source.PUBLISHED
            self._right_at_s = asked_s - published.age_s
        else:
            source = await self._follow_changes(read.version)
        if failed(source):
            return source
        self._record(source)
        self._log(source, published)
        return None

    def _use(self, base: WaitingJobs | None, version: int) -> None:
        """Go on from another base; ``None`` if the row has none that can be used."""
        self._base = base
        self._base_version = version
        if base is not None:
            self._changes.begin_after(base.jobs_version)

    async def _follow_changes(self, until_version: int) -> Source | Unavailable:
        """Bring base and changes up to a version of the store; return the source."""
        source = Source.CHANGES
        for _ in range(MAX_ATTEMPTS):
            if self._base is None:
                source = Source.ROWS
                counted = await count_waiting_jobs(self._store)
                if failed(counted):
                    return counted
                self._use(counted, self._base_version)
            asked_s = self._clock.boot()
            error = await self._changes.read_to(until_version)
            if not failed(error):
                self._right_at_s = asked_s
                return source
            if not isinstance(error, HistoryGone):
                return error
            self._base = None
        return Unavailable(error.reason)

    def _record(self, source: Source) -> None:
        """Use base and changes, which are right as of ``_right_at_s``."""
        self._counts = Counter(self._base.by_queue)
        self._counts.update(self._changes.by_queue())
        self._refreshed_s = self._clock.boot()
        PENDING_REFRESHES.labels(source).inc()
        PENDING_AGE_SECONDS.observe(self._refreshed_s - self._right_at_s)

    def _log(self, source: Source, published: Published | None) -> None:
        """Log how the number is found when that changes."""
        if source is self._source:
            return
        self._source = source
        origin = published.publication if published else None
        log.bind(
            event="pending-source",
            source=source,
            vm=origin.vm if origin else "",
            term=origin.term if origin else 0,
            row_age_s=round(published.age_s, 3) if published else None,
        ).info("")


class Published:
    """A published number with its origin and its age as the store answered."""

    __slots__ = ("publication", "waiting", "age_s")

    def __init__(
        self, publication: Publication, waiting: WaitingJobs, age_s: float
    ) -> None:
        self.publication = publication
        self.waiting = waiting
        self.age_s = age_s


def _unpack(read: RowSet) -> Published | None:
    """Return what is published, ``None`` if nothing is that can be decoded."""
    if not read.rows:
        return None
    publication = Publication.from_row(read.rows[0])
    waiting = (
        publication if failed(publication) else WaitingJobs.unpack(publication.value)
    )
    if failed(waiting):
        log.bind(event="pending-unreadable").error(waiting.reason)
        return None
    return Published(publication, waiting, publication.age_s(read))
