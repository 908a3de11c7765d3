"""Measure the time from an apply to its being in force on every daemon.

Run it with ``make setup`` done: ``.venv/bin/python tools/measure_apply.py``. It starts
clusters of real processes on loopback addresses and prints one table row per case:
the median and the largest time of ``--rounds`` applies, in seconds.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import time
from collections.abc import Iterable

from fulmarlever.outcomes import failed
from fulmarlever_cli.client import AdminClient
from fulmarlever_standins.cluster import Cluster

POLL_S = 0.02
LIMIT_S = 60.0
SETTINGS = {"admin_requests_per_s": 10000, "table_timeout_s": 0.5}
HEAD = "| daemons | case | median s | largest s |\n| --- | --- | --- | --- |"


class Bench:
    """One cluster and the number of the last generation."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.admins = [vm.admin for vm in cluster.topology.entries]
        self.generation = 0

    async def time_apply(self, client: AdminClient) -> float:
        """Apply a new file through the first daemon and wait until all have it."""
        self.generation += 1
        text = f"zones: []\nteams: {{team-{self.generation}: {{}}}}\n"
        started = time.monotonic()
        result = await client.post(
            "/v1/apply",
            text=text,
            apply_id=f"measure-{self.generation}",
            if_generation=self.generation - 1,
        )
        if failed(result):
            raise SystemExit(f"apply failed: {result.reason}")
        times = await asyncio.gather(
            *(self._wait(client, admin, started) for admin in self.admins)
        )
        return max(times)

    async def _wait(self, client: AdminClient, admin: str, started: float) -> float:
        while time.monotonic() - started < LIMIT_S:
            status = await client.get_from(admin, "/v1/status")
            if not failed(status) and status["generation"] >= self.generation:
                return time.monotonic() - started
            await asyncio.sleep(POLL_S)
        raise SystemExit(f"{admin} has no generation {self.generation}")


def print_row(daemons: int, case: str, times: Iterable[float]) -> None:
    """Print one row of the table."""
    values = list(times)
    median, largest = statistics.median(values), max(values)
    print(f"| {daemons} | {case} | {median:.2f} | {largest:.2f} |", flush=True)


async def measure(zones: int, entries: int, rounds: int) -> None:
    """Measure one size of cluster in each case."""
    names = [f"zone-{number}" for number in range(zones)]
    cluster = Cluster.from_zones(names, entries, 0, SETTINGS)
    async with cluster:
        bench = Bench(cluster)
        token = cluster.operator_token
        async with AdminClient(bench.admins[:1], token) as client:
            cases = (
                ("all reach the table", {"cut": []}),
                ("last zone cut off from the platform", {"cut": names[-1:]}),
                ("healed", {"cut": []}),
            )
            for case, faults in cases:
                await cluster.faults(**faults)
                times = [await bench.time_apply(client) for _ in range(rounds)]
                print_row(len(bench.admins), case, times)


def main() -> None:
    """Measure every size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=9)
    args = parser.parse_args()
    print(HEAD)
    for zones, entries in ((2, 2), (3, 3)):
        asyncio.run(measure(zones, entries, args.rounds))


if __name__ == "__main__":
    main()
