"""Policies that order the queued batch jobs for the start of their tasks."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from fulmarlever.registry import Registry
from fulmarlever.structure.configuration import Urgency

NO_DEADLINE_S = float("inf")


@dataclass(slots=True, frozen=True)
class QueuedJob:
    """A job with queued tasks.

    ``submitted_s`` and ``deadline_s`` are Unix times and ``run_s`` is the expected run
    time of one task, all in seconds. ``rounds``, at least 1, is the number of tasks
    that must run one after the other because the job's share of the workers cannot
    hold all remaining tasks at once.
    """

    name: str
    team: str
    urgency: Urgency
    submitted_s: float
    deadline_s: float = NO_DEADLINE_S
    run_s: float = 0.0
    rounds: float = 1.0

    @property
    def latest_start_s(self) -> float:
        """Return the latest Unix time of a start that meets the deadline."""
        return self.deadline_s - self.run_s * self.rounds


Order = Callable[[Iterable[QueuedJob]], list[QueuedJob]]

ORDERS: Registry[Order] = Registry("queue order")


@ORDERS.register("submission")
def order_by_submission(jobs: Iterable[QueuedJob]) -> list[QueuedJob]:
    """Return jobs in the order of their submission; the naive baseline."""
    return sorted(jobs, key=lambda job: (job.submitted_s, job.name))


@ORDERS.register("latest-start")
def order_by_latest_start(jobs: Iterable[QueuedJob]) -> list[QueuedJob]:
    """Return jobs by urgency, then by the latest start that meets their deadline."""
    return sorted(
        jobs,
        key=lambda job: (job.urgency, job.latest_start_s, job.submitted_s, job.name),
    )
