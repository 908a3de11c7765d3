"""Shares what the serving tasks leave by jobs, not by runs.

Load: more best-effort jobs than the headroom and the cores of a service allow at a
time, while under half of its cores are reserved. A job that has a run and many waiting
tasks would take each place that becomes free, so that others wait for as long as it
lasts.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from fulmarleverd.scheduling.jobs.tasks import Step
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.planning.obstacles import (
    find_constraint_obstacle,
    min_free_cpu_m,
)
from fulmarleverd.scheduling.planning.order import StartQuota
from fulmarleverd.scheduling.planning.tolerances import Tolerances
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.workers.fleet import Worker


class Turns:
    """The services in which best-effort jobs take turns during one plan.

    There each job may start one best-effort task if it has no run, and none if it has,
    until every job has its turn. A job counts as waiting once it tolerates workers with
    low headroom; a task that no worker could run without the other best-effort runs
    keeps nobody waiting.
    """

    __slots__ = ("_services",)

    def __init__(
        self, owner: Owner, tolerances: Tolerances, ready: Iterable[Step]
    ) -> None:
        self._services: set[str] = set()
        now = owner.now_s()
        for step in ready:
            service = step.job.queue.service
            if service in self._services or not step.spec.is_best_effort:
                continue
            tolerance = tolerances.find(step)
            if not tolerance.low_headroom:
                continue
            if not tolerances.contention.waiting_jobs(service):
                continue
            workers = owner.fleet.workers_accepting_runs(service, now, tolerance)
            if any(_may_run_alone(step, worker) for worker in workers):
                self._services.add(service)

    def limit(self, quotas: Iterable[StartQuota]) -> Iterator[StartQuota]:
        """Yield the quotas that the turns leave, in the same order."""
        for quota in quotas:
            step = quota.step
            has_turns = step.job.queue.service in self._services
            if not has_turns or not step.spec.is_best_effort:
                yield quota
            elif not step.job.has_runs:
                yield StartQuota(step, 1)


def _may_run_alone(step: Step, worker: Worker) -> bool:
    """Return whether a worker could run a task if it had no best-effort runs."""
    if find_constraint_obstacle(step, worker) is not None:
        return False
    spec = step.spec
    free_m = worker.free_best_effort_cpu_m() + worker.best_effort_cpu_m
    has_cores = free_m >= min_free_cpu_m(spec)
    return has_cores and _has_memory_alone(spec, worker)


def _has_memory_alone(spec: StepSpec, worker: Worker) -> bool:
    """Return whether a worker has the memory and the accelerators for a task alone."""
    reserving = [
        run.task.step.spec
        for run in worker.runs.values()
        if not run.task.step.spec.is_best_effort
    ]
    memory_mb = sum(other.memory_mb for other in reserving) + spec.memory_mb
    gpus = sum(other.gpus for other in reserving) + spec.gpus
    return memory_mb <= worker.entry.memory_mb and gpus <= worker.entry.gpus
