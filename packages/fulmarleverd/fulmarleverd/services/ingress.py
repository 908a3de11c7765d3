"""The service ``ingress``: the job API for callers and the readiness probe."""

from __future__ import annotations

import asyncio

from fulmarleverd.kernel import SERVICES, Kernel, Service
from fulmarleverd.scheduling.specs import QueueSpec
from fulmarleverd.scheduling.submission.api import JobCalls
from fulmarleverd.scheduling.submission.intake import Intake

# The load balancer stops sending callers to this daemon after two failed readiness
# probes, which are one second apart.
UNREADY_S = 2.2
POLL_S = 0.05


@SERVICES.register("ingress")
class IngressService(Service):
    """Serves callers until all requests in progress have been answered."""

    name = "ingress"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._server = None

    async def start(self) -> None:
        """Open the ports for callers and for the readiness probe."""
        interface = self.kernel.find("interface").interface
        config_watcher = self.kernel.find("queues").config_watcher

        def forecast_queues() -> tuple[QueueSpec, ...]:
            """Return the queues whose jobs may be refused by the forecast."""
            has_forecast = interface.settings.has_admission_forecast
            return config_watcher.config.queues if has_forecast else ()

        calls = JobCalls(
            Intake(
                interface.store,
                self.clock,
                config_watcher.age_s,
                forecast_queues,
            ),
            config_watcher,
            self.clock,
            lambda: self.kernel.is_draining,
        )
        self._server = interface.build_server(calls)
        settings = self.settings
        await self._server.open(settings.caller_address, settings.ready_address)

    async def drain(self) -> None:
        """Make callers and the load balancer use another daemon, then finish requests.

        Responses close their connections and the readiness probe fails. Waiting for
        the requests in progress ends at the drain limit.
        """
        self._server.is_closing = True
        await asyncio.sleep(min(UNREADY_S, self.kernel.drain_left_s()))
        while self._server.in_progress and self.kernel.drain_left_s() > 0:
            await asyncio.sleep(POLL_S)

    async def stop(self) -> None:
        """Close the ports."""
        await super().stop()
        await self._server.close()
