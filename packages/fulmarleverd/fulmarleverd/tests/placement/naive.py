"""A naive placer for differential tests: first fit, without safe leases or fencing."""

from __future__ import annotations

from fulmarlever.policies.placement import PLACEMENTS
from fulmarlever.structure.table import Change, WritePriority
from fulmarleverd.placement.lease import ZoneLease
from fulmarleverd.placement.worker_reports import ReportProcessor
from fulmarleverd.placement.zone import Zone
from fulmarleverd.tests.placement.fakes import Daemon


class NaiveLease(ZoneLease):
    """A lease that never expires for its holder, and is taken over without waiting."""

    @property
    def is_valid(self) -> bool:
        return self.is_held

    @property
    def epoch(self) -> int:
        return 1

    def mark_lost(self) -> None:
        self._observed = None

    def _is_free(self, placer, heartbeat, received_s) -> bool:
        return (
            placer is None
            or not self.row.holder
            or heartbeat == self._last_heartbeat(heartbeat)
        )

    def _last_heartbeat(self, heartbeat) -> object:
        previous, self._observed = self._observed, heartbeat
        return previous


class Unconditional:
    """A platform that commits changes without their conditions."""

    def __init__(self, platform) -> None:
        self._platform = platform

    def __getattr__(self, name: str) -> object:
        return getattr(self._platform, name)

    async def commit(self, change: Change, priority: WritePriority) -> object:
        change.conditions.clear()
        return await self._platform.commit(change, priority)


def naive_daemon(daemon: Daemon) -> None:
    """Replace the lease and the zone of a daemon's placer by naive ones."""
    lease = daemon.placer.lease
    daemon.placer.lease = NaiveLease(
        lease.platform,
        lease.clock,
        "a",
        f"{lease.holder}#{lease.incarnation}",
        lease.lease_s,
    )
    daemon.placer.make_zone = NaiveZone


class NaiveZone(Zone):
    """A zone whose placer relies on its own copy of the rows."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)
        self.writer.platform = Unconditional(self.platform)
        self.queue.place = PLACEMENTS.find("first-fit")
        self.report_processor = NaiveReportProcessor(self.state)


class NaiveReportProcessor(ReportProcessor):
    """Treats the tasks of an unreachable worker as ended, without waiting."""

    def _are_leases_expired(self, view) -> bool:
        return True
