"""The service ``ingress``: the calls of callers and the readiness probe."""

from __future__ import annotations

import asyncio

from fulmarleverd.kernel import SERVICES, Kernel, Service
from fulmarleverd.scheduling.api import JobCalls
from fulmarleverd.scheduling.intake import Intake

# Two readiness probes, a second apart, take this daemon out of the rotation.
UNREADY_S = 2.2
POLL_S = 0.05


@SERVICES.register("ingress")
class IngressService(Service):
    """Serves callers until everything in progress has been answered."""

    name = "ingress"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._server = None

    async def start(self) -> None:
        """Listen for callers."""
        interface = self.kernel.find("interface").interface
        watcher = self.kernel.find("queues").watcher
        calls = JobCalls(
            Intake(interface.store, self.clock, watcher.age_s),
            watcher,
            self.clock,
            lambda: self.kernel.is_draining,
        )
        self._server = interface.build_server(calls)
        settings = self.settings
        await self._server.open(settings.caller_address, settings.ready_address)

    async def drain(self) -> None:
        """Tell the balancer and callers to go elsewhere; answer what has arrived."""
        self._server.is_closing = True
        await asyncio.sleep(min(UNREADY_S, self.kernel.drain_left_s()))
        while self._server.in_progress and self.kernel.drain_left_s() > 0:
            await asyncio.sleep(POLL_S)

    async def stop(self) -> None:
        """Stop listening."""
        await super().stop()
        await self._server.close()
