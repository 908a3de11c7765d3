"""Policies that order the queue of batch jobs."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from fulmarlever.registry import Registry
from fulmarlever.structure.configuration import Urgency

NO_DEADLINE_S = float("inf")


@dataclass(slots=True, frozen=True)
class QueuedJob:
    """A job with queued tasks.

    ``submitted_s`` and ``deadline_s`` are Unix times, ``run_s`` is the expected run
    time of one task, and ``rounds`` is how many times over its remaining tasks must
    run one after the other in its part of the fleet, at least 1.
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
        """Return the Unix time at which the job must have started."""
        return self.deadline_s - self.run_s * self.rounds


Order = Callable[[Iterable[QueuedJob]], list[QueuedJob]]

ORDERS: Registry[Order] = Registry("queue order")


@ORDERS.register("submission")
def order_by_submission(jobs: Iterable[QueuedJob]) -> list[QueuedJob]:
    """Return jobs as they were submitted; the naive version."""
    return sorted(jobs, key=lambda job: (job.submitted_s, job.name))


@ORDERS.register("latest-start")
def order_by_latest_start(jobs: Iterable[QueuedJob]) -> list[QueuedJob]:
    """Return jobs by urgency, then by the latest start that meets the deadline."""
    return sorted(
        jobs,
        key=lambda job: (job.urgency, job.latest_start_s, job.submitted_s, job.name),
    )
