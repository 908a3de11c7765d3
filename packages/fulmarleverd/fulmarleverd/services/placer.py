"""The placer of a zone: it holds the zone's lease and drives the zone's tasks."""

from __future__ import annotations

import asyncio
from typing import ClassVar

from fulmarlever.exceptions import KernelError
from fulmarlever.structure.configuration import Configuration
from fulmarleverd.kernel import SERVICES, Kernel, Service
from fulmarleverd.placement.latency import LatencyFeed
from fulmarleverd.placement.lease import ZoneLease
from fulmarleverd.placement.orders import WorkerReport
from fulmarleverd.placement.task_cache import TaskCache
from fulmarleverd.placement.zone import Zone
from fulmarleverd.services.workers import SyncPlan

ROUND_S = 0.5
"""The time between two rounds when nothing happens."""

WATCH_S = 2.0
"""The time between two looks at the latencies of services."""

ROUND_GAP_S = 0.1
"""The shortest time between two rounds, so that events share a group commit."""

OBSERVE_FRACTION = 1 / 6
"""How often a daemon without the lease looks at it, in lease times."""

RENEW_FRACTION = 1 / 3
"""How often the holder renews its lease, in lease times."""


@SERVICES.register("placer")
class Placer(Service):
    """One daemon's part in placing its zone.

    Every daemon of a zone runs this service; only the holder of the zone's lease reads
    the zone's tasks and workers and changes them.
    """

    name: ClassVar[str] = "placer"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.make_zone: type[Zone] = Zone
        self.zone: Zone | None = None
        self.lease: ZoneLease | None = None
        self.feed = LatencyFeed(kernel)
        self._wake = asyncio.Event()

    async def start(self) -> None:
        """Start to watch the lease, and to place once it is held."""
        self.prepare()
        self.spawn(self._keep_lease(), "placer lease")
        self.spawn(self._place(), "placer rounds")
        self.spawn(self._watch_latencies(), "placer latencies")

    def prepare(self) -> None:
        """Find the other services and build the lease without starting anything."""
        settings = self.settings
        self.lease = ZoneLease(
            self.kernel.find("platform"),
            self.clock,
            settings.zone,
            self._identity(),
            settings.placer_lease_s,
        )
        self.kernel.find("workers").reports.subscribe(self._take_report)

    async def drain(self) -> None:
        """Give the lease back, so that another daemon goes on at once."""
        await super().stop()
        self._leave()
        if self.lease is not None:
            await self.lease.release()

    @property
    def is_holder(self) -> bool:
        """Return whether this daemon may place now."""
        return self.lease is not None and self.lease.is_valid

    @property
    def epoch(self) -> int:
        """Return the epoch of the placer row seen last."""
        return self.lease.epoch if self.lease else 0

    @property
    def task_cache(self) -> TaskCache:
        """Return the tasks of the zone; empty when this daemon is not the holder."""
        return self.zone.task_cache if self.zone else TaskCache()

    def plan(self, worker: str) -> SyncPlan:
        """Return what the next synchronisation of a worker carries."""
        if self.zone is None:
            return SyncPlan(self.epoch)
        return self.zone.plan(worker)

    def deposed(self) -> None:
        """Read the lease again, because a worker has seen a higher epoch."""
        if self.lease is not None:
            self.lease.doubt()

    async def step(self) -> None:
        """Renew or observe the lease once, and follow a change of holder."""
        held_epoch = self.zone.epoch if self.zone else 0
        await self.lease.step()
        if self.zone and not (self.lease.is_held and self.epoch == held_epoch):
            self._leave()
        if self.lease.is_valid and self.zone is None:
            await self._take_over()

    async def round(self) -> None:
        """Carry out one round of decisions, when this daemon may."""
        if self.zone is not None and self.lease.is_valid:
            await self.zone.round(self._configuration())
            if not self.lease.is_held:
                self._leave()
        elif self.zone is not None and self.lease.is_held:
            self.zone.outbox.stop_isolated_tasks()

    def wake(self) -> None:
        """Begin the next round without waiting."""
        self._wake.set()

    async def _take_over(self) -> None:
        zone = self.make_zone(self.kernel, self.lease, self.spawn, self.wake)
        if not await zone.load() or not self.lease.is_valid:
            return
        self.zone = zone
        self.kernel.find("workers").take_duty(self)
        self.kernel.find("timeline").record(
            "placer.takeover", detail=f"epoch {self.epoch}"
        )
        self.wake()

    def _leave(self) -> None:
        if self.zone is not None:
            self.zone = None
            self.kernel.find("workers").drop_duty()
            self.kernel.find("timeline").record("placer.left")

    def _take_report(self, report: WorkerReport) -> None:
        if self.zone is not None and self.zone.take_report(report):
            self.wake()

    def _configuration(self) -> Configuration:
        return self.kernel.find("config").current()

    def _identity(self) -> str:
        try:
            return self.kernel.find("membership").identity
        except KernelError:
            return f"{self.settings.vm}#{int(self.clock.wall() * 1000)}"

    async def _keep_lease(self) -> None:
        while True:
            await self.step()
            fraction = RENEW_FRACTION if self.lease.is_held else OBSERVE_FRACTION
            await asyncio.sleep(self.settings.placer_lease_s * fraction)

    async def _watch_latencies(self) -> None:
        while True:
            self.feed.refresh()
            if self.zone is not None and self.lease.is_valid:
                self.zone.watch(self.feed.readings())
            await asyncio.sleep(WATCH_S)

    async def _place(self) -> None:
        while True:
            await self.round()
            await asyncio.sleep(ROUND_GAP_S)
            try:
                await asyncio.wait_for(self._wake.wait(), ROUND_S)
            except TimeoutError:
                continue
            finally:
                self._wake.clear()
