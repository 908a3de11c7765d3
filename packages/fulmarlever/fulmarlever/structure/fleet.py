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

    ``role`` is ``entry`` or ``worker``. ``address`` is an IP number and ``port`` the
    peers' port of an entry VM or the worker port of a worker.
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
        """Build a VM from its entry in the platform's list."""
        fields = {name: data[name] for name in cls.__slots__ if name in data}
        fields["state"] = VMState(fields.get("state", VMState.LIVE))
        fields["size"] = Size.from_wire(fields.get("size", {}))
        return cls(**fields)

    def to_wire(self) -> dict:
        """Return the form of the platform's list."""
        data = {name: getattr(self, name) for name in self.__slots__}
        data["state"] = str(self.state)
        data["size"] = self.size.to_wire()
        return data


@dataclass(slots=True, frozen=True)
class BackendServer:
    """One running service instance that takes requests.

    ``slots`` is the number of requests it may have in progress and ``connections``
    the number of open connections, over all entry VMs together.
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
        """Build a backend server from its row in the platform's table."""
        return cls(**{name: data[name] for name in cls.__slots__ if name in data})

    def to_wire(self) -> dict:
        """Return the form kept in the platform's table."""
        return {name: getattr(self, name) for name in self.__slots__}
