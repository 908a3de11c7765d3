"""A fake of the service ``membership`` that calls handlers without sockets."""

from __future__ import annotations

from typing import Any

from fulmarlever.outcomes import Unavailable
from fulmarleverd.kernel import Kernel, Service


class FakeMembership(Service):
    """A fake of the service ``membership``.

    Daemons that share ``network``, a mapping from VM names to fakes, are peers.
    """

    name = "membership"

    def __init__(
        self, kernel: Kernel, network: dict[str, FakeMembership] | None = None
    ) -> None:
        super().__init__(kernel)
        self.network = {} if network is None else network
        self.network[kernel.settings.vm] = self
        self.handlers: dict[type, Any] = {}
        self.topics: dict[str, Any] = {}

    def peers(self) -> list:
        """Return an empty list."""
        return []

    def handle(self, cls: type, handler: Any) -> None:
        """Register the coroutine that answers messages of a class."""
        self.handlers[cls] = handler

    def publish(self, topic: str, value: Any) -> None:
        """Set the value that this daemon publishes for a topic."""
        self.topics[topic] = value

    def view(self, topic: str) -> dict[str, Any]:
        """Return the values of a topic by VM."""
        members = self.network.items()
        return {vm: m.topics[topic] for vm, m in members if topic in m.topics}

    async def call(self, vm: str, message: Any, timeout_s: float) -> Any:
        """Run the handler of a peer and return its result."""
        if vm not in self.network:
            return Unavailable(f"{vm} is not a peer")
        return await self.network[vm].handlers[type(message)](message)
