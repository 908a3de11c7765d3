"""Limits on what services, batch work and teams may reserve in a zone."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping

from fulmarlever.policies.placement import WorkerCapacity
from fulmarlever.structure.configuration import Team
from fulmarlever.structure.fleet import VM
from fulmarlever.structure.size import Size
from fulmarleverd.placement.desired import WORKER_ROLE
from fulmarleverd.placement.task_cache import TaskCache
from fulmarleverd.placement.workloads import Workloads

BATCH_GUARANTEE = 0.25
"""The fraction of a zone's cores that services must leave to batch work.

Less is guaranteed while running and queued batch tasks need less.
"""


def zone_fraction(vms: Mapping[str, VM], zone: str) -> float:
    """Return a zone's fraction of all workers' cores, 1.0 if there are no workers."""
    workers = [vm for vm in vms.values() if vm.role == WORKER_ROLE]
    total = sum(vm.size.cores for vm in workers)
    own = sum(vm.size.cores for vm in workers if vm.zone == zone)
    return own / total if total else 1.0


def zone_quota(quota: Size, fraction: float) -> Size:
    """Return the share of a team's quota that a zone may use.

    ``fraction`` is the zone's fraction of all cores. Accelerators are rounded down.
    """
    return Size(
        quota.cores * fraction,
        quota.memory_mib * fraction,
        int(quota.accelerators * fraction),
    )


class ZoneQuotas:
    """What batch work and teams reserve in a zone, updated during one round.

    A quota is split over the zones in proportion to their cores. A zone can thus start
    a task without asking the others, and a network partition between zones cannot
    lead to more use than the quota allows.
    """

    def __init__(
        self,
        task_cache: TaskCache,
        workloads: Workloads,
        candidates: Iterable[WorkerCapacity],
        teams: Mapping[str, Team],
        fraction: float,
    ) -> None:
        self.workloads = workloads
        self.teams = teams
        self.fraction = fraction
        candidates = list(candidates)
        self.total_cores = sum(candidate.size.cores for candidate in candidates)
        self.unreserved_cores = sum(
            max(0.0, candidate.free.cores) for candidate in candidates
        )
        self.reserved_by_team: dict[str, Size] = defaultdict(Size)
        self.batch_cores = 0.0
        for owner, size in task_cache.reserved_by_owner.items():
            job = workloads.jobs.get(owner)
            if job is not None:
                self.reserved_by_team[job.team] += size
                self.batch_cores += size.cores
        self.wanted_batch_cores = self.batch_cores + self._queued_batch_cores(
            task_cache
        )

    def may_start_service(self, size: Size) -> bool:
        """Return whether batch work keeps its guaranteed cores if a service starts."""
        return (
            self.unreserved_cores - size.cores
            >= self._guaranteed_batch_cores() - self.batch_cores
        )

    def may_evict(self, size: Size) -> bool:
        """Return whether batch work keeps its guaranteed cores after an eviction."""
        return self.batch_cores - size.cores >= self._guaranteed_batch_cores()

    def over_quota(self, team: str, size: Size) -> str:
        """Return the first dimension in which a start exceeds a team's quota.

        ``size`` is the reservation of the task to start. The result is empty if the
        start stays within the quota.
        """
        declared = self.teams.get(team)
        if declared is None or declared.quota is None:
            return ""
        quota = declared.quota
        allowed = zone_quota(quota, self.fraction)
        used = self.reserved_by_team[team] + size
        for name in used.dimensions_exceeding(allowed):
            # A quota of 0 means that the dimension is not limited.
            if getattr(quota, name):
                return name
        return ""

    def record_start(self, size: Size, team: str = "") -> None:
        """Count the reservation of a started task; ``team`` is empty for a service."""
        self.unreserved_cores -= size.cores
        if team:
            self.batch_cores += size.cores
            self.reserved_by_team[team] += size

    def record_eviction(self, size: Size) -> None:
        """Count the eviction of a batch task of a size."""
        self.batch_cores -= size.cores

    def _guaranteed_batch_cores(self) -> float:
        return min(BATCH_GUARANTEE * self.total_cores, self.wanted_batch_cores)

    def _queued_batch_cores(self, task_cache: TaskCache) -> float:
        jobs = self.workloads.jobs
        return sum(
            len(keys) * jobs[owner].size.cores
            for owner, keys in task_cache.queued_by_owner.items()
            if owner in jobs
        )
