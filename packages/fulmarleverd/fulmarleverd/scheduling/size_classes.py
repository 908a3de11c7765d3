"""Which sizes of jobs are served less often than the others of their queue.

The least work first serves most jobs of an overload, and never the largest. So the jobs
of each queue are put into classes by their work, and a class that is served less
often than the whole queue goes first until it has caught up.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from fulmarleverd.scheduling.order import (
    HARD_DEADLINE_FACTOR,
    latency_objective_s,
    total_work_core_s,
)
from fulmarleverd.scheduling.tasks import Job, JobState

# The classes are cut at these shares of the recent jobs of a queue, by their work.
CUTS = (0.7, 0.9)
RECENT_JOBS = 200
# Fewer jobs don't tell the sizes apart.
MIN_RECENT_JOBS = 10
# A class is short if it is served less than this part as often as the whole queue.
SHORT_OF_ALL = 0.95
# About this many of the last jobs of a queue decide which class is short.
MEMORY_JOBS = 100.0


class SizeClasses:
    """Follows how jobs of each queue end, and marks the jobs that are to go first."""

    def __init__(self) -> None:
        self._queues: dict[str, QueueSizes] = {}

    def classify_job(self, job: Job) -> None:
        """Put a new job into a class."""
        if _has_objective(job):
            sizes = self._queues.setdefault(job.queue.name, QueueSizes())
            job.size_class = sizes.classify(total_work_core_s(job.spec))
            job.hard_deadline_s = HARD_DEADLINE_FACTOR * latency_objective_s(job)
            job.is_size_underserved = sizes.is_short(job.size_class)

    def record_end(self, job: Job, age_s: float) -> None:
        """Take note of a job that has ended, ``age_s`` after its acceptance."""
        if job.state is JobState.COMPLETED:
            self._note(job, age_s <= job.hard_deadline_s)

    def update(self, jobs: Iterable[Job], now_s: float) -> None:
        """Count open jobs that are too late to be of use, and mark who goes first."""
        short = {name: sizes.short_classes() for name, sizes in self._queues.items()}
        for job in jobs:
            if now_s - job.since_s > job.hard_deadline_s:
                self._note(job, False)
            job.is_size_underserved = job.size_class in short.get(job.queue.name, ())

    def _note(self, job: Job, is_served: bool) -> None:
        sizes = self._queues.get(job.queue.name)
        if sizes is not None and _has_objective(job) and not job.is_outcome_counted:
            job.is_outcome_counted = True
            sizes.count(job.size_class, is_served)


class QueueSizes:
    """The sizes and fates of the recent jobs of one queue."""

    __slots__ = ("_recent", "_served", "_ended")

    def __init__(self) -> None:
        self._recent: deque[float] = deque(maxlen=RECENT_JOBS)
        # By class; each begins with one job that was served.
        self._served = [1.0] * (len(CUTS) + 1)
        self._ended = [1.0] * (len(CUTS) + 1)

    def classify(self, work: float) -> int:
        """Return the class of a job by its core-seconds, the largest last."""
        self._recent.append(work)
        if len(self._recent) < MIN_RECENT_JOBS:
            return 0
        smaller = sum(1 for other in self._recent if other < work)
        return sum(smaller >= cut * len(self._recent) for cut in CUTS)

    def count(self, size_class: int, is_served: bool) -> None:
        """Count a job that was served or came too late."""
        kept = 1.0 - 1.0 / MEMORY_JOBS
        self._served = [count * kept for count in self._served]
        self._ended = [count * kept for count in self._ended]
        self._served[size_class] += is_served
        self._ended[size_class] += 1.0

    def short_classes(self) -> set[int]:
        """Return the classes that are served less often than the whole queue."""
        return {number for number in range(len(self._ended)) if self.is_short(number)}

    def is_short(self, size_class: int) -> bool:
        """Return whether a class is served less often than the whole queue."""
        share = self._served[size_class] / self._ended[size_class]
        return share < SHORT_OF_ALL * sum(self._served) / sum(self._ended)


def _has_objective(job: Job) -> bool:
    """Return whether a job is to complete within some time after its acceptance."""
    return not job.spec.is_long_running and not job.spec.repetitions
