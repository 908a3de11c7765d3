"""The services and jobs of a zone, and what the placer learned about them."""

from __future__ import annotations

from dataclasses import dataclass, field

from fulmarlever.policies.placement import TaskRequirements
from fulmarlever.policies.sizes import SIZES, SizePolicy
from fulmarlever.structure.configuration import JobSpec, ServiceSpec, Team
from fulmarlever.structure.size import Size
from fulmarlever.structure.task import Task
from fulmarleverd.placement.retries import RetryDelays


@dataclass(slots=True)
class Workloads:
    """The declarations of services, jobs and teams, and the learned sizes of kinds.

    ``services``, ``jobs`` and ``teams`` hold declarations by name, ``submitted_s`` the
    Unix times at which jobs were submitted. ``largest_worker`` is the largest size
    among the workers in each dimension. ``not_owned`` holds the names of jobs that are
    handed over, or being handed over, to the old setup; their tasks are not started.
    ``now_s`` is the monotonic time of the current round.
    """

    services: dict[str, ServiceSpec] = field(default_factory=dict)
    jobs: dict[str, JobSpec] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    submitted_s: dict[str, float] = field(default_factory=dict)
    sizes: SizePolicy = field(default_factory=SIZES.find("learned"))
    largest_worker: Size = field(default_factory=Size)
    not_owned: set[str] = field(default_factory=set)
    retry_delays: RetryDelays = field(default_factory=RetryDelays)
    now_s: float = 0.0

    def kind(self, task: Task) -> str:
        """Return the name of a task's service or the kind of its job."""
        if task.is_service or task.owner not in self.jobs:
            return task.owner
        return self.jobs[task.owner].kind

    def size(self, task: Task) -> Size:
        """Return the size to reserve for a task.

        A learned size is limited to the largest worker, but not below the declaration.
        """
        if task.is_service:
            return self.services[task.owner].size
        job = self.jobs[task.owner]
        return self._limited(self.sizes.size(job.kind, job.size), job.size)

    def requirements(self, task: Task) -> TaskRequirements:
        """Return what a worker must offer to a task.

        Raises ``KeyError`` if the service or job of the task is unknown.
        """
        spec = (self.services if task.is_service else self.jobs)[task.owner]
        return TaskRequirements(
            task.owner,
            self.kind(task),
            self.size(task),
            task.is_service,
            spec.spread_racks,
            frozenset(spec.vms),
            frozenset(task.failures) | self.retry_delays.workers(task.key),
        )

    def _limited(self, size: Size, declared: Size) -> Size:
        largest = self.largest_worker
        return Size(
            min(size.cores, max(largest.cores, declared.cores)),
            min(size.memory_mib, max(largest.memory_mib, declared.memory_mib)),
            size.accelerators,
        )
