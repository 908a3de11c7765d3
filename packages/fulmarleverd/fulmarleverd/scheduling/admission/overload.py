"""Refuses new jobs while the owner has more work than it can start in time.

An owner short of processor time can start only so many tasks per second. A job that
would wait for longer than it is of use, or beyond the number of jobs that can have a
task at work, is better refused. The owner publishes from which priority on that is so
in a row of the store, and every daemon refuses new jobs by it at once.
"""

from __future__ import annotations

from collections import defaultdict

from fulmarlever.clock import Clock
from fulmarlever.outcomes import NotRun
from fulmarleverd.scheduling.decisions import record
from fulmarleverd.scheduling.jobs.tasks import Job
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.persistence.rows import (
    FORMAT_ERRORS,
    OVERLOAD_KEY,
    BadRow,
    pack,
    unpack,
)
from fulmarleverd.scheduling.planning.start_rate import StartRate
from fulmarleverd.scheduling.ports import Store
from fulmarleverd.scheduling.published.row import PublishedRow
from fulmarleverd.scheduling.specs import QueueSpec

# Seconds between two starts of one job while it is kept at work.
START_PERIOD_PER_JOB_S = 2.0
# The overload ends once the work is less than this share of what can be started.
END_SHARE = 0.8
PUBLISH_PERIOD_S = 0.8
RETRY_AFTER_S = 2.0
STATUS_TOO_MANY_REQUESTS = 429


class OverloadPublisher:
    """Publishes from which priority on new jobs are to be refused, if any."""

    def __init__(self, owner: Owner, start_rate: StartRate) -> None:
        self._owner = owner
        self._start_rate = start_rate
        self._refused_from: int | None = None
        # Never, so that the first tick replaces the row of an earlier owner.
        self._published_at_s = 0.0

    def tick(self) -> None:
        """Update the row if the overload has begun, changed or ended, and keep it."""
        now = self._owner.now_s()
        refused_from = self._find_refused_priority()
        has_changed = refused_from != self._refused_from
        is_due = now - self._published_at_s >= PUBLISH_PERIOD_S
        if has_changed:
            record("overload", from_priority=refused_from, jobs=len(self._owner.jobs))
        is_first = not self._published_at_s
        if has_changed or is_first or (refused_from is not None and is_due):
            self._refused_from = refused_from
            self._published_at_s = now
            if refused_from is None:
                self._owner.withdraw(OVERLOAD_KEY)
            else:
                self._owner.publish(OVERLOAD_KEY, pack([refused_from]))

    def _find_refused_priority(self) -> int | None:
        """Return the most urgent priority whose jobs are too many, None for none."""
        if not self._start_rate.is_overloaded:
            return None
        starts_per_s = self._start_rate.made_per_s
        if self._refused_from is not None:
            starts_per_s *= END_SHARE
        by_priority: defaultdict[int, list[Job]] = defaultdict(list)
        for job in self._owner.jobs.values():
            if not job.spec.is_long_running:
                by_priority[job.queue.priority].append(job)
        count = waiting = 0
        for priority, jobs in sorted(by_priority.items()):
            count += len(jobs)
            waiting += sum(len(step.waiting) for job in jobs for step in job.steps())
            deadlines_s = [job.hard_deadline_s for job in jobs if job.hard_deadline_s]
            limit_s = min(deadlines_s, default=float("inf"))
            is_late = waiting > limit_s * starts_per_s
            if is_late or count > START_PERIOD_PER_JOB_S * starts_per_s:
                return priority
        return None


class OverloadReader:
    """Tells a daemon whether new jobs of a queue are to be refused.

    While jobs come in, the published row is read. No job waits for that.
    """

    def __init__(self, store: Store, clock: Clock) -> None:
        self._row = PublishedRow(
            store, clock, OVERLOAD_KEY, "overload-unread", _unpack_priority
        )

    def find_refusal(self, queue: QueueSpec) -> NotRun | None:
        """Return why a new job of a queue is refused now, None if it is accepted."""
        refused_from = self._row.current()
        if refused_from is None or queue.priority < refused_from:
            return None
        reason = "the scheduler has more work than it can start in time"
        return NotRun(reason, RETRY_AFTER_S, STATUS_TOO_MANY_REQUESTS)


def _unpack_priority(value: bytes) -> int | BadRow:
    """Decode the row: the first priority whose jobs are refused."""
    try:
        return int(unpack(value)[0])
    except FORMAT_ERRORS as exc:
        return BadRow(f"malformed row: {exc!r}")
