"""The VMs of a cluster, their loopback addresses and the links between zones."""

from __future__ import annotations

import random
import socket
from collections.abc import Iterator
from dataclasses import dataclass

from fulmarlever.structure.size import Size

PLATFORM_PORT = 7000
CONTROL_PORT = 7001
CALLER_PORT = 7100
ADMIN_PORT = 7101
PEER_PORT = 7102
WORKER_PORT = 7200
WORKERS_PER_RACK = 8
WORKER_SIZE = Size(32.0, 125.0 * 1024.0)
RESERVATION_PORT = 7099
FIRST_PREFIX = 2
LAST_PREFIX = 250
FIRST_WORKER_HOST = 100
FIRST_RELAY_SUBNET = 100


@dataclass(slots=True, frozen=True)
class EntryVM:
    """An entry VM. All daemons use the same ports, on different addresses."""

    name: str
    zone: str
    address: str

    @property
    def caller_address(self) -> str:
        """Return ``ADDRESS:PORT`` for callers."""
        return f"{self.address}:{CALLER_PORT}"

    @property
    def admin_address(self) -> str:
        """Return ``ADDRESS:PORT`` of the admin port."""
        return f"{self.address}:{ADMIN_PORT}"

    @property
    def peer_address(self) -> str:
        """Return ``ADDRESS:PORT`` for peers."""
        return f"{self.address}:{PEER_PORT}"


@dataclass(slots=True, frozen=True)
class WorkerVM:
    """A worker and its size."""

    name: str
    zone: str
    address: str
    rack: str
    size: Size = WORKER_SIZE

    @property
    def control_address(self) -> str:
        """Return ``ADDRESS:PORT`` of the worker's HTTP interface."""
        return f"{self.address}:{WORKER_PORT}"


@dataclass(slots=True, frozen=True)
class RelayLink:
    """The link from the entry VMs of one zone to an entry VM of another zone.

    ``source`` is the name of the zone, ``address`` the address of the relay.
    """

    source: str
    target: EntryVM
    address: str

    @property
    def name(self) -> str:
        """Return the name of the link in the relay."""
        return f"{self.source}>{self.target.name}"

    @property
    def arguments(self) -> tuple[str, str]:
        """Return the values of the relay's option ``--link``.

        Daemons give operators this address of the target, so the admin port is
        forwarded as well; it is never blocked.
        """
        return (
            f"{self.name}={self.address}:{PEER_PORT}={self.target.peer_address}",
            f"{self.name}/admin={self.address}:{ADMIN_PORT}={self.target.admin_address}",
        )


@dataclass(slots=True, frozen=True)
class Topology:
    """The zones, entry VMs and workers of a cluster in ``127.PREFIX.0.0/16``."""

    prefix: int
    zones: tuple[str, ...]
    entries: tuple[EntryVM, ...]
    workers: tuple[WorkerVM, ...]

    @classmethod
    def build(
        cls, zones: tuple[str, ...], entries: int, workers: int, prefix: int
    ) -> Topology:
        """Build a topology; ``entries`` and ``workers`` are numbers per zone."""
        return cls(
            prefix,
            zones,
            tuple(_build_entries(zones, entries, prefix)),
            tuple(_build_workers(zones, workers, prefix)),
        )

    @property
    def platform_address(self) -> str:
        """Return ``ADDRESS:PORT`` of the platform."""
        return f"127.{self.prefix}.0.1:{PLATFORM_PORT}"

    @property
    def relay_control_address(self) -> str:
        """Return ``ADDRESS:PORT`` of the relay's control port."""
        return f"127.{self.prefix}.0.2:{CONTROL_PORT}"

    @property
    def old_setup_address(self) -> str:
        """Return ``ADDRESS:PORT`` of the old setup for callers."""
        return f"127.{self.prefix}.0.3:{CALLER_PORT}"

    @property
    def old_setup_control_address(self) -> str:
        """Return ``ADDRESS:PORT`` of the old setup's control port."""
        return f"127.{self.prefix}.0.3:{CONTROL_PORT}"

    def links(self) -> Iterator[RelayLink]:
        """Yield a link from each zone to each entry VM of every other zone."""
        for subnet, source in enumerate(self.zones):
            for host, target in enumerate(self.entries, start=1):
                if target.zone != source:
                    address = f"127.{self.prefix}.{FIRST_RELAY_SUBNET + subnet}.{host}"
                    yield RelayLink(source, target, address)

    def entry(self, name: str) -> EntryVM:
        """Return the entry VM with a name. Raise ``StopIteration`` if there is none."""
        return next(vm for vm in self.entries if vm.name == name)

    def entries_of(self, zone: str) -> list[EntryVM]:
        """Return the entry VMs of a zone."""
        return [vm for vm in self.entries if vm.zone == zone]


_reservations: list[socket.socket] = []


def reserve_loopback_prefix() -> int:
    """Return an unused second byte of 127.0.0.0/8 and reserve it for this process.

    The reservation is a socket that stays bound until the process ends. The call
    tries random prefixes until one is free.
    """
    while True:
        prefix = random.randint(FIRST_PREFIX, LAST_PREFIX)
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{prefix}.0.1", RESERVATION_PORT))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return prefix


def _build_entries(
    zones: tuple[str, ...], count: int, prefix: int
) -> Iterator[EntryVM]:
    for subnet, zone in enumerate(zones, start=1):
        for host in range(1, count + 1):
            yield EntryVM(f"entry-{zone}-{host}", zone, f"127.{prefix}.{subnet}.{host}")


def _build_workers(
    zones: tuple[str, ...], count: int, prefix: int
) -> Iterator[WorkerVM]:
    for subnet, zone in enumerate(zones, start=1):
        for number in range(count):
            address = f"127.{prefix}.{subnet}.{FIRST_WORKER_HOST + number}"
            rack = f"rack-{zone}-{number // WORKERS_PER_RACK + 1}"
            yield WorkerVM(f"worker-{zone}-{number + 1}", zone, address, rack)
