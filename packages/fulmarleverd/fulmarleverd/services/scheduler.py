"""The service ``scheduler``: schedules jobs while this daemon holds the lease."""

from __future__ import annotations

from fulmarleverd.kernel import SERVICES, Kernel, Service
from fulmarleverd.scheduling.persistence.config_watcher import ConfigWatcher
from fulmarleverd.scheduling.ports import Interface
from fulmarleverd.scheduling.term.lease import SchedulerLease
from fulmarleverd.scheduling.term.owner_term import OwnerTerm


@SERVICES.register("scheduler")
class SchedulerService(Service):
    """Acquires the scheduler's lease and schedules jobs until it is lost."""

    name = "scheduler"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.lease: SchedulerLease | None = None

    async def start(self) -> None:
        """Start to compete for the lease."""
        interface = self.kernel.find("interface").interface
        self.lease = SchedulerLease(
            interface.store, self.clock, self.settings.vm, self.settings.cores
        )
        watcher = self.kernel.find("queues").config_watcher
        self.spawn(self._compete(interface, watcher), "scheduler")

    async def _compete(self, interface: Interface, watcher: ConfigWatcher) -> None:
        while True:
            await self.lease.acquire()
            term = OwnerTerm(
                interface,
                self.lease,
                self.clock,
                watcher.evacuated,
                lambda: watcher.config,
            )
            await term.run()

    async def drain(self) -> None:
        """Stop scheduling and release the lease for another daemon."""
        await Service.stop(self)
        await self.lease.release()
