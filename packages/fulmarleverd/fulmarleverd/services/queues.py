"""The service ``queues``: the operator's configuration on this daemon."""

from __future__ import annotations

from fulmarleverd.kernel import SERVICES, Kernel, Service
from fulmarleverd.scheduling.config_watcher import ConfigWatcher


@SERVICES.register("queues")
class QueuesService(Service):
    """Follows the operator's configuration."""

    name = "queues"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.watcher: ConfigWatcher | None = None

    async def start(self) -> None:
        """Start to follow the configuration."""
        interface = self.kernel.find("interface").interface
        self.watcher = ConfigWatcher(interface, self.clock)
        self.spawn(self.watcher.run(), "queues")
