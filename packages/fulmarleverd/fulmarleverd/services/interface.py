"""The service ``interface``: the platform's settings, clients and formats."""

from __future__ import annotations

from fulmarleverd.kernel import SERVICES, Kernel, Service
from fulmarleverd.scheduling.ports import Interface


@SERVICES.register("interface")
class InterfaceService(Service):
    """Opens and closes the platform's clients. ``interface`` is set by the binary."""

    name = "interface"

    def __init__(self, kernel: Kernel, interface: Interface | None = None) -> None:
        super().__init__(kernel)
        self.interface = interface

    async def start(self) -> None:
        """Open the connections."""
        await self.interface.open()

    async def stop(self) -> None:
        """Close the connections."""
        await super().stop()
        await self.interface.close()
