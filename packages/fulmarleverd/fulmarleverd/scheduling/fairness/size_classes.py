"""Size classes of jobs: which sizes are served less often than the rest of a queue.

Under overload, serving the least work first completes the most jobs but never the
largest ones. So the jobs of each queue are divided into classes by their work, and a
class that is served less often than the whole queue goes first until it has caught up.
A job counts as served if it completes before its hard deadline.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from fulmarleverd.scheduling.jobs.tasks import Job, JobState
from fulmarleverd.scheduling.planning.order import (
    HARD_DEADLINE_FACTOR,
    latency_objective_s,
)
from fulmarleverd.scheduling.run_times import RunTimes

# Quantiles of the work of a queue's recent jobs that separate the classes.
CLASS_QUANTILES = (0.7, 0.9)
RECENT_JOBS = 200
# Fewer jobs can't be divided by their work; all are in the first class then.
MIN_RECENT_JOBS = 10
# A class is underserved if the share of its jobs that are served is below this fraction
# of the share of the whole queue.
UNDERSERVED_THRESHOLD = 0.95
# The counts decay with each counted job, so about this many of a queue's last jobs
# decide which class is underserved.
DECAY_JOBS = 100.0


@dataclass(slots=True, frozen=True)
class SizeShare:
    """The share of the jobs of a queue and size class that are served, from 0 to 1.

    ``jobs`` is the weight of the jobs counted.
    """

    queue: str
    size_class: int
    jobs: float
    share: float
    is_underserved: bool


class SizeClasses:
    """Counts the outcomes of jobs by queue and size, and marks underserved jobs."""

    def __init__(self, run_times: RunTimes) -> None:
        self._run_times = run_times
        self._stats_by_queue: dict[str, QueueSizeStats] = {}

    def classify_job(self, job: Job) -> None:
        """Set the size class and the hard deadline of a new job.

        Jobs without a latency objective are left unchanged. The steps of the job need
        not exist yet.
        """
        if _has_objective(job):
            stats = self._stats_by_queue.setdefault(job.queue.name, QueueSizeStats())
            job.size_class = stats.classify(
                self._run_times.total_work_core_s(job.spec, job.queue)
            )
            self._update_hard_deadline(job)
            job.is_size_underserved = stats.is_underserved(job.size_class)

    def record_end(self, job: Job, age_s: float) -> None:
        """Count a job that completed ``age_s`` seconds after its acceptance.

        Cancelled and failed jobs are not counted.
        """
        self._update_hard_deadline(job)
        if job.state is JobState.COMPLETED:
            self._count_outcome(job, age_s <= job.hard_deadline_s)

    def update(self, jobs: Iterable[Job], now_s: float) -> None:
        """Count open jobs past their hard deadline and mark jobs of underserved sizes.

        ``now_s`` is on the owner's clock.
        """
        underserved = {
            name: stats.underserved_classes()
            for name, stats in self._stats_by_queue.items()
        }
        for job in jobs:
            if self._is_too_late(job, now_s):
                self._count_outcome(job, False)
            job.is_size_underserved = job.size_class in underserved.get(
                job.queue.name, ()
            )

    def _is_too_late(self, job: Job, now_s: float) -> bool:
        """Return whether a job is past its hard deadline and not counted yet."""
        if job.is_outcome_counted or now_s - job.since_s <= job.hard_deadline_s:
            return False
        # The job's own runs may have shown that it takes longer.
        self._update_hard_deadline(job)
        return now_s - job.since_s > job.hard_deadline_s

    def _update_hard_deadline(self, job: Job) -> None:
        if _has_objective(job):
            objective_s = latency_objective_s(job, self._run_times)
            job.hard_deadline_s = HARD_DEADLINE_FACTOR * objective_s

    def shares(self) -> Iterator[SizeShare]:
        """Yield the share served of each size class of each queue."""
        for name, stats in self._stats_by_queue.items():
            yield from stats.shares(name)

    def _count_outcome(self, job: Job, is_served: bool) -> None:
        stats = self._stats_by_queue.get(job.queue.name)
        if stats is not None and _has_objective(job) and not job.is_outcome_counted:
            job.is_outcome_counted = True
            stats.count(job.size_class, is_served)


class QueueSizeStats:
    """The work of the recent jobs of one queue, and their outcomes by size class."""

    __slots__ = ("_recent_work", "_served", "_total")

    def __init__(self) -> None:
        self._recent_work: deque[float] = deque(maxlen=RECENT_JOBS)
        # Weighted counts by class; each class starts with one job that was served.
        self._served = [1.0] * (len(CLASS_QUANTILES) + 1)
        self._total = [1.0] * (len(CLASS_QUANTILES) + 1)

    def classify(self, work: float) -> int:
        """Add a job's core-seconds to the recent work and return the job's class.

        Class 0 holds the smallest jobs.
        """
        self._recent_work.append(work)
        if len(self._recent_work) < MIN_RECENT_JOBS:
            return 0
        smaller = sum(1 for other in self._recent_work if other < work)
        return sum(
            smaller >= quantile * len(self._recent_work) for quantile in CLASS_QUANTILES
        )

    def count(self, size_class: int, is_served: bool) -> None:
        """Count a job that was served, or that missed its hard deadline."""
        decay = 1.0 - 1.0 / DECAY_JOBS
        self._served = [count * decay for count in self._served]
        self._total = [count * decay for count in self._total]
        self._served[size_class] += is_served
        self._total[size_class] += 1.0

    def shares(self, queue: str) -> Iterator[SizeShare]:
        """Yield the share served of each class; ``queue`` is the name of the queue."""
        for number, (served, total) in enumerate(
            zip(self._served, self._total, strict=True)
        ):
            is_underserved = self.is_underserved(number)
            yield SizeShare(queue, number, total, served / total, is_underserved)

    def underserved_classes(self) -> set[int]:
        """Return the classes that are served less often than the whole queue."""
        return {
            number for number in range(len(self._total)) if self.is_underserved(number)
        }

    def is_underserved(self, size_class: int) -> bool:
        """Return whether a class is served less often than the whole queue."""
        share = self._served[size_class] / self._total[size_class]
        return share < UNDERSERVED_THRESHOLD * sum(self._served) / sum(self._total)


def _has_objective(job: Job) -> bool:
    """Return whether a job has a latency objective."""
    return not job.spec.is_long_running and not job.spec.repetitions
