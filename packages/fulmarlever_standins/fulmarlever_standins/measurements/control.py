"""The cost of the control traffic between daemons, by number of peers and services.

Run ``python -m fulmarlever_standins.measurements.control [SERIES...]``. Daemons that
have only the services ``membership`` and ``timeline`` run in this process, each on a
loopback address. A row has the means per daemon, and for bytes also the largest value
of a daemon:

* ``frames/s``: frames sent and received per second,
* ``payload B/s``: bytes of frames per second in both directions,
* ``wire B/s``: the same plus 52 bytes of IP and TCP headers for each segment that the
  kernel counted, acknowledgements included,
* ``core %``: processor time, including that for publishing load,
* ``KiB``: memory that Python allocated for one daemon from its start on.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import random
import resource
import socket
import struct
import sys
import tracemalloc
from collections.abc import Iterator
from dataclasses import dataclass

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever.structure.fleet import VM
from fulmarleverd.kernel import Kernel, Service
from fulmarleverd.services.membership import Membership
from fulmarleverd.services.timeline import Timeline
from fulmarleverd.settings import Settings

HEADER_BYTES = 52
TCP_INFO_BYTES = 144
TCP_INFO_SEGMENTS_OFFSET = 136
PEER_PORT = 7102
WARM_UP_S = 4.0
WARM_UP_PER_ZONE_S = 2.0
LOAD_CHANGES_PER_S = 0.5
SEED = 7


@dataclass(slots=True, frozen=True)
class Case:
    """A fleet of zones with equally many daemons, which publish loads of services."""

    zones: int
    daemons: int
    services: int = 0

    @property
    def name(self) -> str:
        """Return the label of the case's row."""
        return f"{self.zones} x {self.daemons}, {self.services} services"


@dataclass(slots=True)
class TrafficSums:
    """The traffic of one daemon, summed over its connections since they were opened."""

    frames: int = 0
    payload_bytes: int = 0
    wire_bytes: int = 0

    def since(self, other: TrafficSums) -> TrafficSums:
        """Return the traffic since earlier sums."""
        return TrafficSums(
            self.frames - other.frames,
            self.payload_bytes - other.payload_bytes,
            self.wire_bytes - other.wire_bytes,
        )


class FixedListPlatform(Service):
    """The service ``platform`` with a fixed VM list."""

    name = "platform"

    def __init__(self, kernel: Kernel, vm_list: dict[str, VM]) -> None:
        super().__init__(kernel)
        self._vm_list = vm_list

    def vms(self) -> dict[str, VM]:
        """Return the VM list."""
        return self._vm_list

    def vms_age_s(self) -> float:
        """Return the age of the VM list in seconds."""
        return 0.0


def make_vm_list(case: Case) -> dict[str, VM]:
    """Return the entry VMs of a case by name."""
    found = {}
    for zone in range(case.zones):
        for number in range(case.daemons):
            name = f"entry-{zone}-{number}"
            address = f"127.252.{zone + 1}.{number + 1}"
            found[name] = VM(name, f"zone-{zone}", "entry", address, PEER_PORT)
    return found


def make_daemon(vm: VM, vm_list: dict[str, VM]) -> Kernel:
    """Return a daemon with only those services that exchange control traffic."""
    cfg = Settings(
        vm=vm.name,
        zone=vm.zone,
        address=vm.address,
        platform="127.0.0.1:1",
        peer_secret="a secret for measurements",
    )
    kernel = Kernel(cfg, Clock())
    kernel.add(FixedListPlatform(kernel, vm_list))
    kernel.add(Membership(kernel))
    kernel.add(Timeline(kernel))
    return kernel


def sum_traffic(kernel: Kernel) -> TrafficSums:
    """Return the traffic sums over the open connections of a daemon."""
    total = TrafficSums()
    for stream in kernel.find("membership").streams():
        sock = stream.writer.get_extra_info("socket")
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        segments = sum(struct.unpack_from("=II", info, TCP_INFO_SEGMENTS_OFFSET))
        payload = stream.bytes_in + stream.bytes_out
        total.frames += stream.frames
        total.payload_bytes += payload
        total.wire_bytes += payload + segments * HEADER_BYTES
    return total


async def publish_load(kernels: list[Kernel], services: int) -> None:
    """Change each daemon's load of each service ``LOAD_CHANGES_PER_S`` times a second.

    Runs until it is cancelled, except without services.
    """
    rng = random.Random(SEED)
    loads = [
        {f"service-{number}": [4, 8, 0, 0.05] for number in range(services)}
        for _ in kernels
    ]
    while services:
        for kernel, load in zip(kernels, loads, strict=True):
            for name in load:
                if rng.random() < LOAD_CHANGES_PER_S:
                    load[name] = [rng.randrange(8), 8, rng.randrange(3), 0.05]
            kernel.find("membership").publish("load", load)
            await asyncio.sleep(1.0 / len(kernels))


def cpu_seconds() -> float:
    """Return the processor time of this process in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def measure(case: Case, seconds: float) -> dict[str, float]:
    """Measure one case for some seconds and return its row by column."""
    vm_list = make_vm_list(case)
    kernels = [make_daemon(vm, vm_list) for vm in vm_list.values()]
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for kernel in kernels:
        await kernel.start()
    publishing = asyncio.create_task(publish_load(kernels, case.services))
    await asyncio.sleep(WARM_UP_S + WARM_UP_PER_ZONE_S * case.zones)
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    sums_before = [sum_traffic(kernel) for kernel in kernels]
    cpu_s = cpu_seconds()
    await asyncio.sleep(seconds)
    cpu_s = cpu_seconds() - cpu_s
    sums_after = [sum_traffic(kernel) for kernel in kernels]
    publishing.cancel()
    for kernel in kernels:
        await kernel.stop()
    deltas = [
        later.since(earlier)
        for later, earlier in zip(sums_after, sums_before, strict=True)
    ]
    return summarise(deltas, seconds, cpu_s, memory)


def summarise(
    deltas: list[TrafficSums], seconds: float, cpu_s: float, memory: int
) -> dict[str, float]:
    """Return a row by column from the traffic of each daemon.

    ``memory`` is in bytes, for all daemons together.
    """
    count = len(deltas)
    return {
        "frames/s": sum(delta.frames for delta in deltas) / count / seconds,
        "payload B/s": sum(delta.payload_bytes for delta in deltas) / count / seconds,
        "wire B/s": sum(delta.wire_bytes for delta in deltas) / count / seconds,
        "largest payload B/s": max(delta.payload_bytes for delta in deltas) / seconds,
        "largest wire B/s": max(delta.wire_bytes for delta in deltas) / seconds,
        "core %": 100.0 * cpu_s / count / seconds,
        "KiB": memory / count / 1024,
    }


def slope(points: list[tuple[float, float]]) -> float:
    """Return the slope of the least-squares line through the points."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    slope_numerator = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return slope_numerator / sum((x - mean_x) ** 2 for x, _ in points)


SERIES: dict[str, list[Case]] = {
    "peers": [Case(1, 2), Case(1, 4), Case(1, 8), Case(1, 12)],
    "services": [Case(1, 4, 0), Case(1, 4, 10), Case(1, 4, 40), Case(1, 4, 80)],
    "zones": [Case(2, 3), Case(4, 3), Case(6, 3), Case(9, 3)],
    "size": [Case(9, 8, 0), Case(9, 8, 60)],
}
VARIABLES = {
    "peers": lambda case: case.daemons - 1,
    "services": lambda case: case.services,
    "zones": lambda case: case.zones,
}


def run_series(name: str, seconds: float) -> Iterator[str]:
    """Measure the cases of a series and yield the lines of its Markdown table."""
    rows = []
    for case in SERIES[name]:
        row = asyncio.run(measure(case, seconds))
        if not rows:
            yield "| zones x daemons | " + " | ".join(row) + " |"
            yield "| --- " * (len(row) + 1) + "|"
        rows.append((case, row))
        cells = " | ".join(f"{value:.2f}" for value in row.values())
        yield f"| {case.name} | {cells} |"
    variable = VARIABLES.get(name)
    if variable is not None:
        slopes = {
            column: slope([(variable(case), row[column]) for case, row in rows])
            for column in rows[0][1]
        }
        cells = " | ".join(f"{value:.2f}" for value in slopes.values())
        yield f"| slope per unit of {name} | {cells} |"


def main() -> None:
    """Measure the named series, by default all, and print their tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("series", nargs="*", default=list(SERIES))
    parser.add_argument("--seconds", type=float, default=8.0)
    args = parser.parse_args()
    log.remove()
    log.add(sys.stderr, level="ERROR")
    for name in args.series:
        print(f"\n### {name}\n", flush=True)
        for line in run_series(name, args.seconds):
            print(line, flush=True)


if __name__ == "__main__":
    main()
