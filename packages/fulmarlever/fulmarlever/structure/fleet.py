"""The VMs, workers and backend servers of the fleet."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from fulmarlever.structure.size import Size


class VMState(StrEnum):
    """The state of a VM in the platform's VM list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True, frozen=True)
class VM:
    """One entry of the platform's VM list.

    ``role`` is ``entry`` or ``worker``. ``address`` is an IP address. ``port`` is the
    port for peers on an entry VM and the port of the worker's API on a worker.
    """

    name: str
    zone: str
    role: str
    address: str
    port: int
    state: VMState = VMState.LIVE
    rack: str = ""
    size: Size = Size()

    @classmethod
    def from_wire(cls, data: dict) -> VM:
        """Build a VM from its entry in the platform's VM list.

        Raise ``TypeError`` for a missing field and ``ValueError`` for an unknown state.
        """
        fields = {name: data[name] for name in cls.__slots__ if name in data}
        fields["state"] = VMState(fields.get("state", VMState.LIVE))
        fields["size"] = Size.from_wire(fields.get("size", {}))
        return cls(**fields)

    def to_wire(self) -> dict:
        """Return the entry in the platform's VM list."""
        data = {name: getattr(self, name) for name in self.__slots__}
        data["state"] = str(self.state)
        data["size"] = self.size.to_wire()
        return data


@dataclass(slots=True, frozen=True)
class BackendServer:
    """One running service instance that serves requests.

    ``slots`` is the maximum number of requests in progress, and ``connections`` the
    maximum number of open connections, over all entry VMs together. ``leaving`` is
    set before the instance is stopped.
    """

    name: str
    service: str
    zone: str
    worker: str
    address: str
    port: int
    slots: int = 8
    connections: int = 64
    leaving: bool = False

    @classmethod
    def from_wire(cls, data: dict) -> BackendServer:
        """Build a backend server from its row in the platform's table.

        Raise ``TypeError`` for a missing field.
        """
        return cls(**{name: data[name] for name in cls.__slots__ if name in data})

    def to_wire(self) -> dict:
        """Return the row for the platform's table."""
        return {name: getattr(self, name) for name in self.__slots__}
