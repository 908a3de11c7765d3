"""What each kind of work and each team may use of a zone."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping

from fulmarlever.policies.placement import Room
from fulmarlever.structure.configuration import Team
from fulmarlever.structure.fleet import VM
from fulmarlever.structure.size import Size
from fulmarleverd.placement.book import TaskBook
from fulmarleverd.placement.desired import WORKER_ROLE
from fulmarleverd.placement.lookup import Lookup

BATCH_GUARANTEE = 0.25
"""The part of a zone's cores that services leave to batch work that wants them."""


def zone_part(vms: Mapping[str, VM], zone: str) -> float:
    """Return a zone's part of the cores of all workers, from 0 to 1."""
    workers = [vm for vm in vms.values() if vm.role == WORKER_ROLE]
    total = sum(vm.size.cores for vm in workers)
    own = sum(vm.size.cores for vm in workers if vm.zone == zone)
    return own / total if total else 1.0


def quota_part(quota: Size, part: float) -> Size:
    """Return the part of a quota that a zone may use."""
    return Size(
        quota.cores * part, quota.memory_mib * part, int(quota.accelerators * part)
    )


class Shares:
    """The use of a zone by batch work and by teams during one round.

    Quotas are split over the zones by their cores, so that no zone has to ask another
    one before a start and a cut between zones cannot lead to more than the quota.
    """

    def __init__(
        self,
        book: TaskBook,
        lookup: Lookup,
        rooms: Iterable[Room],
        teams: Mapping[str, Team],
        part: float,
    ) -> None:
        self.lookup = lookup
        self.teams = teams
        self.part = part
        rooms = list(rooms)
        self.capacity = sum(room.size.cores for room in rooms)
        self.free = sum(max(0.0, room.free.cores) for room in rooms)
        self.by_team: dict[str, Size] = defaultdict(Size)
        self.batch = 0.0
        for owner, size in book.reserved_by_owner.items():
            job = lookup.jobs.get(owner)
            if job is not None:
                self.by_team[job.team] += size
                self.batch += size.cores
        self.batch_wanted = self.batch + self._queued_cores(book)

    def may_start_service(self, size: Size) -> bool:
        """Return whether a start leaves batch work what is guaranteed to it."""
        return self.free - size.cores >= self._guaranteed() - self.batch

    def may_evict(self, size: Size) -> bool:
        """Return whether services may evict batch work of a size."""
        return self.batch - size.cores >= self._guaranteed()

    def over_quota(self, team: str, size: Size) -> str:
        """Return the first dimension in which a start exceeds a quota, or nothing."""
        declared = self.teams.get(team)
        if declared is None or declared.quota is None:
            return ""
        quota = declared.quota
        part = quota_part(quota, self.part)
        used = self.by_team[team] + size
        for name in used.dimensions_exceeding(part):
            # A quota that does not name a dimension does not limit it.
            if getattr(quota, name):
                return name
        return ""

    def start(self, size: Size, team: str = "") -> None:
        """Take note of a start; ``team`` is empty for a service."""
        self.free -= size.cores
        if team:
            self.batch += size.cores
            self.by_team[team] += size

    def evict(self, size: Size) -> None:
        """Take note of an eviction of batch work."""
        self.batch -= size.cores

    def _guaranteed(self) -> float:
        return min(BATCH_GUARANTEE * self.capacity, self.batch_wanted)

    def _queued_cores(self, book: TaskBook) -> float:
        jobs = self.lookup.jobs
        return sum(
            len(keys) * jobs[owner].size.cores
            for owner, keys in book.queued.items()
            if owner in jobs
        )
