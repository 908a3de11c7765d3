"""The service that places a zone's tasks while it holds the zone's lease."""

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

ROUND_INTERVAL_S = 0.5
"""The maximum pause between two rounds without an event."""

LATENCY_INTERVAL_S = 2.0
"""The time between two samples of service latencies."""

MIN_ROUND_PAUSE_S = 0.1
"""The minimum pause between two rounds, so that events share a group commit."""

OBSERVE_FRACTION = 1 / 6
"""The interval at which a daemon without the lease reads it, in lease durations."""

RENEW_FRACTION = 1 / 3
"""The interval at which the holder renews its lease, in lease durations."""


@SERVICES.register("placer")
class Placer(Service):
    """Competes for the zone's lease and, as its holder, runs the placement rounds.

    Every daemon of a zone runs this service; only the lease's holder reads and changes
    the zone's tasks and calls its workers. ``zone`` is set while this daemon is the
    holder. ``make_zone`` builds it and is replaced in tests.
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
        """Start the background tasks for the lease, the rounds and the latencies."""
        self.prepare()
        self.spawn(self._keep_lease(), "placer lease")
        self.spawn(self._place(), "placer rounds")
        self.spawn(self._watch_latencies(), "placer latencies")

    def prepare(self) -> None:
        """Build the lease and subscribe to worker reports, without background tasks."""
        settings = self.settings
        self.lease = ZoneLease(
            self.kernel.find("platform"),
            self.clock,
            settings.zone,
            self._identity(),
            settings.placer_lease_s,
        )
        self.kernel.find("workers").reports.subscribe(self._add_report)

    async def drain(self) -> None:
        """Stop placing and release the lease, so that another daemon can take it."""
        await super().stop()
        self._leave()
        if self.lease is not None:
            await self.lease.release()

    @property
    def is_holder(self) -> bool:
        """Return whether this daemon holds a valid lease."""
        return self.lease is not None and self.lease.is_valid

    @property
    def epoch(self) -> int:
        """Return the lease epoch read last, 0 before ``prepare``."""
        return self.lease.epoch if self.lease else 0

    @property
    def task_cache(self) -> TaskCache:
        """Return the zone's tasks; empty if this daemon is not the holder."""
        return self.zone.task_cache if self.zone else TaskCache()

    def plan(self, worker: str) -> SyncPlan:
        """Return the renewals and acknowledgements for a worker's next sync call."""
        if self.zone is None:
            return SyncPlan(self.epoch)
        return self.zone.plan(worker)

    def on_higher_epoch(self) -> None:
        """Read the lease before renewing it; a worker may know a higher epoch."""
        if self.lease is not None:
            self.lease.require_reread()

    async def step(self) -> None:
        """Renew or read the lease once, and take over or leave the zone accordingly."""
        held_epoch = self.zone.epoch if self.zone else 0
        await self.lease.step()
        if self.zone and not (self.lease.is_held and self.epoch == held_epoch):
            self._leave()
        if self.lease.is_valid and self.zone is None:
            await self._take_over()

    async def round(self) -> None:
        """Run one round of placement if this daemon holds a valid lease.

        With an expired lease that nobody else is known to hold, only stop the tasks
        that must not run without the table.
        """
        if self.zone is not None and self.lease.is_valid:
            await self.zone.round(self._configuration())
            if not self.lease.is_held:
                self._leave()
        elif self.zone is not None and self.lease.is_held:
            self.zone.outbox.stop_isolated_tasks()

    def wake(self) -> None:
        """Begin the next round without waiting for the interval."""
        self._wake.set()

    async def _take_over(self) -> None:
        zone = self.make_zone(self.kernel, self.lease, self.spawn, self.wake)
        if not await zone.load() or not self.lease.is_valid:
            return
        self.zone = zone
        self.kernel.find("workers").attach_placer(self)
        self.kernel.find("timeline").record(
            "placer.takeover", detail=f"epoch {self.epoch}"
        )
        self.wake()

    def _leave(self) -> None:
        if self.zone is not None:
            self.zone = None
            self.kernel.find("workers").detach_placer()
            self.kernel.find("timeline").record("placer.left")

    def _add_report(self, report: WorkerReport) -> None:
        if self.zone is not None and self.zone.add_report(report):
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
                self.zone.limit_interference(self.feed.readings())
            await asyncio.sleep(LATENCY_INTERVAL_S)

    async def _place(self) -> None:
        while True:
            await self.round()
            await asyncio.sleep(MIN_ROUND_PAUSE_S)
            try:
                await asyncio.wait_for(self._wake.wait(), ROUND_INTERVAL_S)
            except TimeoutError:
                continue
            finally:
                self._wake.clear()
