"""Crowds of clients at a daemon of the product's own interface.

Each test guards against the same fault as those of ``authority_tests``. There is no
lease of a scheduler in this mode.
"""

from __future__ import annotations

import asyncio

from fulmarlever_standins.caller import Caller, CallerRequest, Reply
from fulmarlever_standins.cluster import Cluster
from fulmarlever_standins.operator import Operator
from fulmarlever_standins.readiness import wait_for_answers, wait_for_servers
from fulmarlever_standins.tests.connections.base import (
    MEMORY_MB,
    CrowdTestCase,
    measure_crowd,
)
from fulmarlever_standins.tests.connections.cases import CASES
from fulmarlever_standins.topology import CALLER_PORT

SERVICE = "filling"
CONFIG = """\
zones: [a]

teams:
  orders: {}

services:
  filling:
    team: orders
    urgency: critical
    target: 250ms
    instances: 1
    size: {cores: 4, memory: 8GiB}
    requests:
      - {method: POST, path: /orders, idempotent: false}
    max_run: 2s
    guaranteed_share: 60%
"""


class ProductCluster:
    """A cluster of one daemon, which is restarted between crowds."""

    def __init__(self) -> None:
        self.cluster = Cluster.from_zones(("a",), entries=1, workers=1)
        self.entry = self.cluster.topology.entries[0]

    async def start(self, max_fds: int) -> None:
        """Start everything and wait until the service answers."""
        self.cluster.settings = {
            "memory_bytes": MEMORY_MB << 20,
            "max_descriptors": max_fds,
            "drain_limit_s": 1.0,
        }
        await self.cluster.start()
        path = self.cluster.directory / "config.yaml"
        path.write_text(CONFIG)
        await Operator(self.cluster).check_output("apply", str(path))
        async with Caller() as caller:
            await wait_for_servers(self.cluster, 1)
            await wait_for_answers(caller, [self.entry], [SERVICE])

    async def submit(self) -> bool:
        """Make a request over a new connection; return whether it was served."""
        async with Caller(timeout_s=4.0) as caller:
            req = CallerRequest("ordinary", SERVICE, "POST", "orders", b"order")
            result = await caller.send(req, self.entry.name, self.entry.caller_address)
        return result.reply is Reply.SERVED


class CallersCrowdTests(CrowdTestCase):
    def test_a_daemon_outlives_each_crowd(self):
        for case, kinds, max_fds in CASES:
            with self.subTest(case):
                self.check(*asyncio.run(self.run_crowd(kinds, max_fds)), max_fds)

    async def run_crowd(self, kinds: tuple[str, ...], max_fds: int) -> tuple:
        product = ProductCluster()
        entry = product.entry
        try:
            await product.start(max_fds)
            return await measure_crowd(
                product.cluster.processes[entry.name].pid,
                (entry.address, CALLER_PORT),
                ("POST", f"/{SERVICE}/orders", "desk.example"),
                kinds,
                product.submit,
            )
        finally:
            # A graceful stop would take seconds.
            if entry.name in product.cluster.processes:
                await product.cluster.kill(entry.name)
            await product.cluster.close()
