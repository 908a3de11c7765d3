"""The service ``scheduler``: waits for the lease and schedules while it holds it."""

from __future__ import annotations

from fulmarleverd.kernel import SERVICES, Kernel, Service
from fulmarleverd.scheduling.lease import SchedulerLease
from fulmarleverd.scheduling.owner_term import OwnerTerm
from fulmarleverd.scheduling.ports import Interface


@SERVICES.register("scheduler")
class SchedulerService(Service):
    """Competes for the lease of the scheduler."""

    name = "scheduler"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.lease: SchedulerLease | None = None

    async def start(self) -> None:
        """Start to compete."""
        interface = self.kernel.find("interface").interface
        self.lease = SchedulerLease(
            interface.store, self.clock, self.settings.vm, self.settings.cores
        )
        self.spawn(self._compete(interface), "scheduler")

    async def _compete(self, interface: Interface) -> None:
        while True:
            await self.lease.acquire()
            await OwnerTerm(interface, self.lease, self.clock).run()

    async def drain(self) -> None:
        """Stop scheduling and give the lease up, so that another daemon takes over."""
        await Service.stop(self)
        await self.lease.release()
