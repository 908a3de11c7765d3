"""What the daemon adds to a request: against a bare pass-through and no relay."""

from __future__ import annotations

import asyncio
import statistics
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import yaml

from fulmarlever_standins.client import wait_for
from fulmarlever_standins.closed_loop import ClosedLoop, RequestTemplate
from fulmarlever_standins.cluster import STANDINS, Cluster
from fulmarlever_standins.experiment import read_cpu_s
from fulmarlever_standins.operator import Operator
from fulmarlever_standins.processes import ChildProcess
from fulmarlever_standins.results import format_table

SERVICE = "filling"
INSTANCES = 4
CALLERS = 8
BUSY_S = 3.0
SINGLE_S = 2.0
START_LIMIT_S = 30.0
PASS_THROUGH_PORT = 7300
CONFIGURATION = {
    "zones": ["a"],
    "teams": {"orders": {}},
    "services": {
        SERVICE: {
            "team": "orders",
            "urgency": "critical",
            "instances": INSTANCES,
            "size": {"cores": 4, "memory": "8GiB"},
            "requests": [{"method": "POST", "path": "/orders", "idempotent": False}],
        }
    },
}
HEAD = (
    "way", "requests/s", "requests/core-s", "p50 ms", "p50 ms, 1 caller",
    "p99 ms, 1 caller", "p99.9 ms, 1 caller",
)  # fmt: skip


@dataclass(slots=True, frozen=True)
class Way:
    """One way to a backend server and the process whose time it costs."""

    name: str
    address: str
    exchange: RequestTemplate
    pid: int | None


class OverheadBenchmark:
    """Short rounds over every way in turn, several times."""

    def __init__(self, repeats: int) -> None:
        self.repeats = repeats
        self.rows: dict[str, list[tuple[float, ...]]] = {}

    async def run(self) -> str:
        """Measure and return a Markdown table of medians and one of ratios."""
        cluster = Cluster.from_zones(
            ["a"], entries=1, workers=2, settings={"log_level": "WARNING"}
        )
        async with cluster:
            server = await self._prepare(cluster)
            with tempfile.TemporaryDirectory() as directory:
                relay = await self._start_pass_through(cluster, server, Path(directory))
                try:
                    await self._measure(list(self._ways(cluster, server, relay)))
                finally:
                    await relay.stop()
        return self._tables()

    async def _prepare(self, cluster: Cluster) -> str:
        path = cluster.directory / "configuration.yaml"
        path.write_text(yaml.safe_dump(CONFIGURATION))
        operator = Operator(cluster)
        await operator.check_output("apply", str(path))

        async def read_servers() -> list[dict]:
            services = (await operator.read_json("services"))["services"]
            servers = services[0]["servers"] if services else []
            return servers if len(servers) == INSTANCES else []

        servers = await wait_for(read_servers, "backend servers", START_LIMIT_S)
        await asyncio.sleep(SINGLE_S)
        return f"{servers[0]['address']}:{servers[0]['port']}"

    async def _start_pass_through(
        self, cluster: Cluster, server: str, directory: Path
    ) -> ChildProcess:
        listen = f"127.{cluster.topology.prefix}.0.9:{PASS_THROUGH_PORT}"
        arguments = ["pass-through", "--listen", listen, "--target", server]
        relay = ChildProcess("pass-through", [*STANDINS, *arguments], directory)
        await relay.start()
        await cluster.control.wait_ready(relay, listen, f"/{SERVICE}/items")
        return relay

    def _ways(
        self, cluster: Cluster, server: str, relay: ChildProcess
    ) -> Iterator[Way]:
        vm = cluster.topology.entries[0]
        daemon = cluster.processes[vm.name].pid
        listen = f"127.{cluster.topology.prefix}.0.9:{PASS_THROUGH_PORT}"
        plain = RequestTemplate("PUT", f"/{SERVICE}/items", 256, 512)
        claimed = RequestTemplate("POST", f"/{SERVICE}/orders", 256, 512, has_key=True)
        yield Way("direct", server, plain, None)
        yield Way("pass-through", listen, plain, relay.pid)
        yield Way("daemon", vm.caller_address, plain, daemon)
        yield Way("daemon, with claims", vm.caller_address, claimed, daemon)

    async def _measure(self, ways: list[Way]) -> None:
        for repeat in range(self.repeats):
            for way in ways:
                row = await self._measure_once(way, f"{way.name}-{repeat}")
                self.rows.setdefault(way.name, []).append(row)

    async def _measure_once(self, way: Way, label: str) -> tuple[float, ...]:
        label = label.replace(" ", "-").replace(",", "")
        busy = ClosedLoop(way.exchange, way.address, f"busy-{label}")
        before_s = read_cpu_s(way.pid) if way.pid else 0.0
        await busy.run(CALLERS, BUSY_S)
        cpu_s = read_cpu_s(way.pid) - before_s if way.pid else 0.0
        single = ClosedLoop(way.exchange, way.address, f"single-{label}")
        await single.run(1, SINGLE_S)
        return (
            busy.count / busy.duration_s,
            busy.count / cpu_s if cpu_s else 0.0,
            busy.percentile_ms(50.0),
            *(single.percentile_ms(p) for p in (50.0, 99.0, 99.9)),
        )

    def _medians(self) -> dict[str, list[float]]:
        return {
            name: [statistics.median(column) for column in zip(*rows, strict=True)]
            for name, rows in self.rows.items()
        }

    def _tables(self) -> str:
        medians = self._medians()
        base = medians["pass-through"]
        figures = format_table(
            HEAD, ([n, *(f"{x:.4g}" for x in row)] for n, row in medians.items())
        )
        ratios = format_table(
            HEAD,
            (
                [n, *(f"{x / y:.2f}" for x, y in zip(row, base, strict=True))]
                for n, row in medians.items()
            ),
        )
        return f"{figures}\n\nAs a ratio to the pass-through:\n\n{ratios}"
