"""The machines of a cluster on loopback addresses, and who reaches whom."""

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
FIRST_RELAY_NET = 100


@dataclass(slots=True, frozen=True)
class EntryVM:
    """One entry VM; all daemons use the same ports on addresses of their own."""

    name: str
    zone: str
    address: str

    @property
    def caller_address(self) -> str:
        """Return the address of the callers' port."""
        return f"{self.address}:{CALLER_PORT}"

    @property
    def admin_address(self) -> str:
        """Return the address of the admin port."""
        return f"{self.address}:{ADMIN_PORT}"

    @property
    def peer_address(self) -> str:
        """Return the address of the peers' port."""
        return f"{self.address}:{PEER_PORT}"


@dataclass(slots=True, frozen=True)
class WorkerVM:
    """One worker."""

    name: str
    zone: str
    address: str
    rack: str
    size: Size = WORKER_SIZE

    @property
    def control_address(self) -> str:
        """Return the address of the worker's port."""
        return f"{self.address}:{WORKER_PORT}"


@dataclass(slots=True, frozen=True)
class RelayLink:
    """The way from the entry VMs of one zone to one entry VM of another."""

    source: str
    target: EntryVM
    address: str

    @property
    def name(self) -> str:
        """Return the name under which the relay knows the link."""
        return f"{self.source}>{self.target.name}"

    @property
    def arguments(self) -> tuple[str, str]:
        """Return the relay's command line arguments.

        Daemons tell operators this address for the target, so the admin port is
        forwarded as well; it is never cut.
        """
        return (
            f"{self.name}={self.address}:{PEER_PORT}={self.target.peer_address}",
            f"{self.name}/admin={self.address}:{ADMIN_PORT}={self.target.admin_address}",
        )


@dataclass(slots=True, frozen=True)
class Topology:
    """Zones, entry VMs, workers and the links between zones, below ``127.prefix``."""

    prefix: int
    zones: tuple[str, ...]
    entries: tuple[EntryVM, ...]
    workers: tuple[WorkerVM, ...]

    @classmethod
    def build(
        cls, zones: tuple[str, ...], entries: int, workers: int, prefix: int
    ) -> Topology:
        """Lay out equal zones with the given numbers of entry VMs and workers."""
        return cls(
            prefix,
            zones,
            tuple(_lay_out_entries(zones, entries, prefix)),
            tuple(_lay_out_workers(zones, workers, prefix)),
        )

    @property
    def platform_address(self) -> str:
        """Return the platform's address."""
        return f"127.{self.prefix}.0.1:{PLATFORM_PORT}"

    @property
    def relay_control_address(self) -> str:
        """Return the address of the relay's control port."""
        return f"127.{self.prefix}.0.2:{CONTROL_PORT}"

    @property
    def old_setup_address(self) -> str:
        """Return the address of the old setup's callers' port."""
        return f"127.{self.prefix}.0.3:{CALLER_PORT}"

    @property
    def old_setup_control_address(self) -> str:
        """Return the address of the old setup's control port."""
        return f"127.{self.prefix}.0.3:{CONTROL_PORT}"

    def links(self) -> Iterator[RelayLink]:
        """Yield a link from each zone to each entry VM of every other zone."""
        for net, source in enumerate(self.zones):
            for host, target in enumerate(self.entries, start=1):
                if target.zone != source:
                    address = f"127.{self.prefix}.{FIRST_RELAY_NET + net}.{host}"
                    yield RelayLink(source, target, address)

    def entry(self, name: str) -> EntryVM:
        """Return the entry VM of a name."""
        return next(vm for vm in self.entries if vm.name == name)

    def entries_of(self, zone: str) -> list[EntryVM]:
        """Return the entry VMs of a zone."""
        return [vm for vm in self.entries if vm.zone == zone]


_reservations: list[socket.socket] = []


def reserve_loopback_prefix() -> int:
    """Return a second byte of 127.0.0.0/8 that no other cluster uses.

    A socket that stays bound until this process ends keeps others from choosing it.
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


def _lay_out_entries(
    zones: tuple[str, ...], count: int, prefix: int
) -> Iterator[EntryVM]:
    for net, zone in enumerate(zones, start=1):
        for host in range(1, count + 1):
            yield EntryVM(f"entry-{zone}-{host}", zone, f"127.{prefix}.{net}.{host}")


def _lay_out_workers(
    zones: tuple[str, ...], count: int, prefix: int
) -> Iterator[WorkerVM]:
    for net, zone in enumerate(zones, start=1):
        for number in range(count):
            address = f"127.{prefix}.{net}.{FIRST_WORKER_HOST + number}"
            rack = f"rack-{zone}-{number // WORKERS_PER_RACK + 1}"
            yield WorkerVM(f"worker-{zone}-{number + 1}", zone, address, rack)
