"""The cost of idle daemons, by the length of the VM list and by their number.

Run ``python -m fulmarlever_standins.measurements.idle``. The platform, the daemons and
the workers run in separate processes.

In the first table, one daemon reads a VM list filled with VMs of a role that no daemon
uses, so that only the cost of reading the list grows. A row has the daemon's processor
time and resident memory, and the size of the list as JSON.

In the second table, a zone has daemons and workers but no work. A row has the processor
time of the busiest daemon, which is the placer, and of the least busy one, and the
reads and writes of the table per second.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
from pathlib import Path

from fulmarlever_standins.cluster import Cluster

VM_LIST_SIZES = (0, 400, 800, 1672)
ZONE_SHAPES = ((1, 0), (2, 0), (4, 0), (2, 8), (2, 16))
WARM_UP_S = 3.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
VMS_PER_RACK = 8
FIRST_FIELD = 3
"""The number in proc(5) of the first field after the command's name."""

USER_TICKS_FIELD = 14
SYSTEM_TICKS_FIELD = 15
RESIDENT_PAGES_FIELD = 24


def make_entry(number: int) -> dict:
    """Return one entry of the VM list."""
    return {
        "name": f"listed-zone-{number % 9}-{number}",
        "zone": f"zone-{number % 9}",
        "role": "listed",
        "address": f"10.{number // 250}.{number % 250}.7",
        "port": 7200,
        "state": "live",
        "rack": f"rack-{number // VMS_PER_RACK}",
        "size": {"cores": 32.0, "memory_mib": 128000.0, "accelerators": 1},
    }


def read_process(pid: int) -> tuple[float, int]:
    """Return the processor time in seconds and the resident bytes of a process."""
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rsplit(")", 1)[1].split()
    user = int(fields[USER_TICKS_FIELD - FIRST_FIELD])
    system = int(fields[SYSTEM_TICKS_FIELD - FIRST_FIELD])
    pages = int(fields[RESIDENT_PAGES_FIELD - FIRST_FIELD])
    return (user + system) / TICKS_PER_S, pages * PAGE_BYTES


async def measure(seconds: float) -> list[tuple[int, float, float, int]]:
    """Return rows of VMs listed, percent of a core, resident MiB and list bytes."""
    rows = []
    async with Cluster.from_zones(["a"], entries=1, workers=0) as cluster:
        name = cluster.topology.entries[0].name
        pid = cluster.processes[name].pid
        listed = 0
        for size in VM_LIST_SIZES:
            for number in range(listed, size):
                address = cluster.topology.platform_address
                await cluster.control.post(address, "/v1/vms", make_entry(number))
            listed = size
            await asyncio.sleep(WARM_UP_S)
            before, _ = read_process(pid)
            await asyncio.sleep(seconds)
            after, resident_bytes = read_process(pid)
            vm_list_json = json.dumps({"vms": [make_entry(n) for n in range(size)]})
            core_percent = 100.0 * (after - before) / seconds
            rows.append(
                (size, core_percent, resident_bytes / (1 << 20), len(vm_list_json))
            )
    return rows


async def measure_zone(daemons: int, workers: int, seconds: float) -> list[float]:
    """Return the largest and least percent of a core, reads and writes per second."""
    async with Cluster.from_zones(["a"], entries=daemons, workers=workers) as cluster:
        pids = [cluster.processes[vm.name].pid for vm in cluster.topology.entries]
        await asyncio.sleep(WARM_UP_S)
        counters = await cluster.counters()
        before = [read_process(pid)[0] for pid in pids]
        await asyncio.sleep(seconds)
        core_percents = [
            100.0 * (read_process(pid)[0] - used) / seconds
            for pid, used in zip(pids, before, strict=True)
        ]
        later = await cluster.counters()
    rates = [(later[name] - counters[name]) / seconds for name in ("reads", "writes")]
    return [max(core_percents), min(core_percents), *rates]


def main() -> None:
    """Measure and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    args = parser.parse_args()
    print("| VMs in the list | core % | MiB | list bytes |\n| --- | --- | --- | --- |")
    for size, core_percent, mebibytes, list_bytes in asyncio.run(measure(args.seconds)):
        print(f"| {size} | {core_percent:.2f} | {mebibytes:.1f} | {list_bytes} |")
    print("\n| daemons, workers | largest core % | least core % | reads/s | writes/s |")
    print("| --- | --- | --- | --- | --- |")
    for daemons, workers in ZONE_SHAPES:
        row = asyncio.run(measure_zone(daemons, workers, args.seconds))
        cells = " | ".join(f"{value:.2f}" for value in row)
        print(f"| {daemons}, {workers} | {cells} |")


if __name__ == "__main__":
    main()
