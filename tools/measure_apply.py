"""Measure how long a new configuration takes to be in force on all daemons.

Run ``make setup`` first, then ``.venv/bin/python tools/measure_apply.py``. It starts
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

POLL_INTERVAL_S = 0.02
TIMEOUT_S = 60.0
SETTINGS = {"admin_requests_per_s": 10000, "table_timeout_s": 0.5}
TABLE_HEADING = "| daemons | case | median s | largest s |\n| --- | --- | --- | --- |"


class ApplyBenchmark:
    """Applies configurations to one cluster and counts their generations."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.admin_addresses = [vm.admin for vm in cluster.topology.entries]
        self.generation = 0

    async def time_apply(self, client: AdminClient) -> float:
        """Apply a new file through the first daemon and wait until all daemons have it.

        Return the time in seconds until the last daemon reported the new generation.
        Raise ``SystemExit`` if the apply fails or takes longer than ``TIMEOUT_S``.
        """
        self.generation += 1
        text = f"zones: []\nteams: {{team-{self.generation}: {{}}}}\n"
        started_s = time.monotonic()
        result = await client.post(
            "/v1/apply",
            text=text,
            apply_id=f"measure-{self.generation}",
            if_generation=self.generation - 1,
        )
        if failed(result):
            raise SystemExit(f"apply failed: {result.reason}")
        durations_s = await asyncio.gather(
            *(
                self._wait_until_current(client, address, started_s)
                for address in self.admin_addresses
            )
        )
        return max(durations_s)

    async def _wait_until_current(
        self, client: AdminClient, address: str, started_s: float
    ) -> float:
        while time.monotonic() - started_s < TIMEOUT_S:
            status = await client.get_from(address, "/v1/status")
            if not failed(status) and status["generation"] >= self.generation:
                return time.monotonic() - started_s
            await asyncio.sleep(POLL_INTERVAL_S)
        raise SystemExit(f"{address} has no generation {self.generation}")


def print_row(daemons: int, case: str, durations_s: Iterable[float]) -> None:
    """Print one row of the table; ``durations_s`` must not be empty."""
    durations = list(durations_s)
    median, largest = statistics.median(durations), max(durations)
    print(f"| {daemons} | {case} | {median:.2f} | {largest:.2f} |", flush=True)


async def measure(zones: int, entries: int, rounds: int) -> None:
    """Measure one cluster size in each case and print the rows.

    ``entries`` is the number of entry VMs in each of the zones.
    """
    names = [f"zone-{number}" for number in range(zones)]
    cluster = Cluster.from_zones(names, entries, 0, SETTINGS)
    async with cluster:
        benchmark = ApplyBenchmark(cluster)
        token = cluster.operator_token
        async with AdminClient(benchmark.admin_addresses[:1], token) as client:
            cases = (
                ("all reach the table", {"cut": []}),
                ("last zone cut off from the platform", {"cut": names[-1:]}),
                ("healed", {"cut": []}),
            )
            for case, faults in cases:
                await cluster.faults(**faults)
                durations_s = [
                    await benchmark.time_apply(client) for _ in range(rounds)
                ]
                print_row(len(benchmark.admin_addresses), case, durations_s)


def main() -> None:
    """Measure every cluster size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=9)
    args = parser.parse_args()
    print(TABLE_HEADING)
    for zones, entries in ((2, 2), (3, 3)):
        asyncio.run(measure(zones, entries, args.rounds))


if __name__ == "__main__":
    main()
