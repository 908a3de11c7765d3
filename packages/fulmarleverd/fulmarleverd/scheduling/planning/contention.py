"""Where best-effort jobs compete for what the other tasks leave."""

from __future__ import annotations

from fulmarleverd.scheduling.jobs.tasks import Job
from fulmarleverd.scheduling.owner import Owner

# While at least this share of a service's cores is reserved, best-effort jobs wait for
# headroom and jobs without a run for trusted workers: what is reserved goes first.
BUSY_SHARE = 0.5


class Contention:
    """How busy the services of an owner are, and how many best-effort jobs wait.

    Each service is looked at once.
    """

    __slots__ = ("_owner", "_is_busy", "_waiting_jobs")

    def __init__(self, owner: Owner) -> None:
        self._owner = owner
        self._is_busy: dict[str, bool] = {}
        self._waiting_jobs: dict[str, int] = {}

    def is_busy(self, service: str) -> bool:
        """Return whether half of the cores of a service are reserved."""
        if service not in self._is_busy:
            workers = self._owner.fleet.workers_of(service)
            workers = [worker for worker in workers if worker.is_listed]
            reserved_m = sum(worker.reserved_cpu_m for worker in workers)
            total_m = sum(worker.entry.cpu_m for worker in workers)
            self._is_busy[service] = reserved_m >= BUSY_SHARE * total_m
        return self._is_busy[service]

    def waiting_jobs(self, service: str) -> int:
        """Return how many jobs without a run wait for what serving tasks leave.

        None counts while the service is busy, or while it has no serving tasks: then
        jobs wait for cores, in the order of their use.
        """
        if service not in self._waiting_jobs:
            waiting = 0
            if self._has_serving_tasks(service) and not self.is_busy(service):
                jobs = self._owner.jobs.values()
                waiting = sum(_waits(job) for job in jobs if _uses(job, service))
            self._waiting_jobs[service] = waiting
        return self._waiting_jobs[service]

    def _has_serving_tasks(self, service: str) -> bool:
        workers = self._owner.fleet.workers_of(service)
        return any(worker.serving_run_count for worker in workers)


def _uses(job: Job, service: str) -> bool:
    return job.queue.service == service and job.spec.is_best_effort


def _waits(job: Job) -> bool:
    """Return whether a job has no run and a best-effort task to start."""
    ready = any(step.spec.is_best_effort for step in job.ready_steps())
    return ready and not job.has_runs
