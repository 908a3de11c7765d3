"""What the placer knows about the owners of tasks."""

from __future__ import annotations

from dataclasses import dataclass, field

from fulmarlever.policies.placement import TaskRequirements
from fulmarlever.policies.sizes import SIZES, Sizes
from fulmarlever.structure.configuration import JobSpec, ServiceSpec, Team
from fulmarlever.structure.size import Size
from fulmarlever.structure.task import Task
from fulmarleverd.placement.retries import Retries


@dataclass(slots=True)
class Lookup:
    """The declarations of services and jobs, and what was learned about their kinds.

    ``submitted_s`` holds Unix times by job. ``largest`` is the largest worker in each
    dimension; no reservation is larger. ``held`` holds the
    jobs that the old setup owns. ``now_s`` is the monotonic time of the round.
    """

    services: dict[str, ServiceSpec] = field(default_factory=dict)
    jobs: dict[str, JobSpec] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    submitted_s: dict[str, float] = field(default_factory=dict)
    sizes: Sizes = field(default_factory=SIZES.find("learned"))
    largest: Size = field(default_factory=Size)
    held: set[str] = field(default_factory=set)
    retries: Retries = field(default_factory=Retries)
    now_s: float = 0.0

    def kind(self, task: Task) -> str:
        """Return the name of a service or the kind of a job."""
        if task.is_service or task.owner not in self.jobs:
            return task.owner
        return self.jobs[task.owner].kind

    def size(self, task: Task) -> Size:
        """Return the size to reserve for a task."""
        if task.is_service:
            return self.services[task.owner].size
        job = self.jobs[task.owner]
        return self._fitting(self.sizes.size(job.kind, job.size), job.size)

    def requirements(self, task: Task) -> TaskRequirements:
        """Return what a task looks for."""
        spec = (self.services if task.is_service else self.jobs)[task.owner]
        return TaskRequirements(
            task.owner,
            self.kind(task),
            self.size(task),
            task.is_service,
            spec.spread_racks,
            frozenset(spec.vms),
            frozenset(task.failures) | self.retries.workers(task.key),
        )

    def _fitting(self, size: Size, declared: Size) -> Size:
        largest = self.largest
        return Size(
            min(size.cores, max(largest.cores, declared.cores)),
            min(size.memory_mib, max(largest.memory_mib, declared.memory_mib)),
            size.accelerators,
        )
