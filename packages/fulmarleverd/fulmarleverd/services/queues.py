"""The service ``queues``: watches the operator's configuration of queues."""

from __future__ import annotations

from fulmarleverd.kernel import SERVICES, Kernel, Service
from fulmarleverd.scheduling.persistence.config_watcher import ConfigWatcher


@SERVICES.register("queues")
class QueuesService(Service):
    """Runs the watcher of the operator's configuration.

    ``config_watcher`` is ``None`` until the service is started.
    """

    name = "queues"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.config_watcher: ConfigWatcher | None = None

    async def start(self) -> None:
        """Start to watch the configuration."""
        interface = self.kernel.find("interface").interface
        self.config_watcher = ConfigWatcher(interface, self.clock)
        self.spawn(self.config_watcher.run(), "queues")
