"""The service ``interface``: the clients, settings and data formats of the platform."""

from __future__ import annotations

import asyncio

from loguru import logger as log

from fulmarlever.outcomes import failed
from fulmarleverd.kernel import SERVICES, Kernel, Service
from fulmarleverd.scheduling.metrics import LOOP_DELAY_SECONDS
from fulmarleverd.scheduling.ports import Interface

# Settings are also read again without a signal to reload.
RELOAD_PERIOD_S = 1.0


@SERVICES.register("interface")
class InterfaceService(Service):
    """Opens and closes the platform's clients and applies changed settings.

    ``interface`` is set by the daemon's entry point.
    """

    name = "interface"

    def __init__(self, kernel: Kernel, interface: Interface | None = None) -> None:
        super().__init__(kernel)
        self.interface = interface

    async def start(self) -> None:
        """Open the platform's clients and start to poll the settings."""
        await self.interface.open()
        delay = self.interface.loop_delay
        LOOP_DELAY_SECONDS.set_function(lambda: delay.recent_s)
        self.spawn(self._follow_settings(), "settings")

    async def _follow_settings(self) -> None:
        while True:
            await asyncio.sleep(RELOAD_PERIOD_S)
            self.reload()

    def reload(self) -> None:
        """Read the settings again and apply those that may change at run time."""
        changed = self.interface.reload()
        if failed(changed):
            log.bind(event="reload").error(changed.reason)
        elif changed:
            log.bind(event="reload", changed=changed).info("settings applied")

    async def stop(self) -> None:
        """Close the platform's clients."""
        await super().stop()
        await self.interface.close()
