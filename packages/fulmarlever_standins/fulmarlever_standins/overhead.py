"""A benchmark of the overhead of a daemon, against a minimal proxy and no proxy."""

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
CONCURRENT_RUN_S = 3.0
SINGLE_RUN_S = 2.0
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
COLUMNS = (
    "way", "requests/s", "requests/core-s", "p50 ms", "p50 ms, 1 caller",
    "p99 ms, 1 caller", "p99.9 ms, 1 caller",
)  # fmt: skip


@dataclass(slots=True, frozen=True)
class Route:
    """A route to a backend server and the id of the process whose CPU time counts."""

    name: str
    address: str
    template: RequestTemplate
    pid: int | None


class OverheadBenchmark:
    """Measures every route in turn, ``repeats`` times."""

    def __init__(self, repeats: int) -> None:
        self.repeats = repeats
        self.rows: dict[str, list[tuple[float, ...]]] = {}

    async def run(self) -> str:
        """Run the benchmark; return Markdown tables of medians and of their ratios.

        Raise ``ProcessError`` when a process is not ready in time, and ``AnswerError``
        for an unexpected answer.
        """
        cluster = Cluster.from_zones(
            ["a"], entries=1, workers=2, settings={"log_level": "WARNING"}
        )
        async with cluster:
            server = await self._prepare(cluster)
            with tempfile.TemporaryDirectory() as directory:
                proxy = await self._start_pass_through(cluster, server, Path(directory))
                try:
                    await self._measure(list(self._routes(cluster, server, proxy)))
                finally:
                    await proxy.stop()
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
        await asyncio.sleep(SINGLE_RUN_S)
        return f"{servers[0]['address']}:{servers[0]['port']}"

    async def _start_pass_through(
        self, cluster: Cluster, server: str, directory: Path
    ) -> ChildProcess:
        listen = f"127.{cluster.topology.prefix}.0.9:{PASS_THROUGH_PORT}"
        arguments = ["pass-through", "--listen", listen, "--target", server]
        proxy = ChildProcess("pass-through", [*STANDINS, *arguments], directory)
        await proxy.start()
        await cluster.control.wait_ready(proxy, listen, f"/{SERVICE}/items")
        return proxy

    def _routes(
        self, cluster: Cluster, server: str, proxy: ChildProcess
    ) -> Iterator[Route]:
        vm = cluster.topology.entries[0]
        daemon = cluster.processes[vm.name].pid
        listen = f"127.{cluster.topology.prefix}.0.9:{PASS_THROUGH_PORT}"
        unkeyed = RequestTemplate("PUT", f"/{SERVICE}/items", 256, 512)
        keyed = RequestTemplate("POST", f"/{SERVICE}/orders", 256, 512, has_key=True)
        yield Route("direct", server, unkeyed, None)
        yield Route("pass-through", listen, unkeyed, proxy.pid)
        yield Route("daemon", vm.caller_address, unkeyed, daemon)
        yield Route("daemon, with claims", vm.caller_address, keyed, daemon)

    async def _measure(self, routes: list[Route]) -> None:
        for repeat in range(self.repeats):
            for route in routes:
                row = await self._measure_once(route, f"{route.name}-{repeat}")
                self.rows.setdefault(route.name, []).append(row)

    async def _measure_once(self, route: Route, label: str) -> tuple[float, ...]:
        label = label.replace(" ", "-").replace(",", "")
        concurrent = ClosedLoop(route.template, route.address, f"busy-{label}")
        cpu_before_s = read_cpu_s(route.pid) if route.pid else 0.0
        await concurrent.run(CALLERS, CONCURRENT_RUN_S)
        cpu_s = read_cpu_s(route.pid) - cpu_before_s if route.pid else 0.0
        single = ClosedLoop(route.template, route.address, f"single-{label}")
        await single.run(1, SINGLE_RUN_S)
        return (
            concurrent.count / concurrent.duration_s,
            concurrent.count / cpu_s if cpu_s else 0.0,
            concurrent.percentile_ms(50.0),
            *(single.percentile_ms(p) for p in (50.0, 99.0, 99.9)),
        )

    def _medians(self) -> dict[str, list[float]]:
        return {
            name: [statistics.median(column) for column in zip(*rows, strict=True)]
            for name, rows in self.rows.items()
        }

    def _tables(self) -> str:
        medians = self._medians()
        baseline = medians["pass-through"]
        figures = format_table(
            COLUMNS, ([n, *(f"{x:.4g}" for x in row)] for n, row in medians.items())
        )
        ratios = format_table(
            COLUMNS,
            (
                [n, *(f"{x / y:.2f}" for x, y in zip(row, baseline, strict=True))]
                for n, row in medians.items()
            ),
        )
        return f"{figures}\n\nAs a ratio to the pass-through:\n\n{ratios}"
