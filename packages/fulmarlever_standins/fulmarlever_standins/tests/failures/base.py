"""A test case with a cluster of real processes, a load and the invariant checks."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter
from collections.abc import Awaitable

from fulmarlever_standins.balancer import Balancer
from fulmarlever_standins.caller import Caller, CallerResult, Reply
from fulmarlever_standins.cluster import Cluster
from fulmarlever_standins.invariants import find_violations
from fulmarlever_standins.load import Load, LoadSpec
from fulmarlever_standins.operator import Operator
from fulmarlever_standins.readiness import wait_for_answers, wait_for_servers

SERVICE = "filling"
LIMIT_S = 30.0
CONFIG = """\
zones: [{zones}]

teams:
  orders: {{}}

services:
  filling:
    team: orders
    urgency: critical
    target: 250ms
    instances: {instances}
    size: {{cores: 4, memory: 8GiB}}
    requests:
      - {{method: POST, path: /orders, idempotent: false}}
    max_run: {max_run}
    guaranteed_share: 60%
    new_share: {new_share}
"""


class FailureTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a cluster with one service before each test.

    A load of ``rate_per_s`` requests of ``work_ms`` each keeps most slots in use, so
    that a slot with two owners leads to an overrun at a backend server.
    """

    zones = ("a", "b")
    entries = 2
    workers = 2
    instances = 4
    new_share = "100%"
    max_run = "2s"
    has_old_setup = False
    probes = 1
    rate_per_s = 120.0
    work_ms = 150
    settings = {"log_level": "INFO", "drain_limit_s": 15.0}

    async def asyncSetUp(self):
        self.cluster = Cluster.from_zones(
            self.zones,
            self.entries,
            self.workers,
            self.settings,
            self.has_old_setup,
        )
        self.addAsyncCleanup(self.cluster.close)
        await self.cluster.start()
        self.operator = Operator(self.cluster)
        config = CONFIG.format(
            zones=", ".join(self.zones),
            instances=self.instances,
            new_share=self.new_share,
            max_run=self.max_run,
        )
        path = self.cluster.directory / "config.yaml"
        path.write_text(config)
        await self.operator.check_output("apply", str(path))
        entries = self.cluster.topology.entries
        self.balancer = await self.enterAsyncContext(Balancer(entries))
        self.caller = await self.enterAsyncContext(Caller())
        await wait_for_servers(self.cluster, self.instances)
        await self.wait_serving(*(vm.name for vm in entries))

    async def wait_serving(self, *names: str) -> None:
        """Wait until requests are served through each named entry VM."""
        entries = [self.cluster.topology.entry(name) for name in names]
        await wait_for_answers(self.caller, entries, [SERVICE], self.probes)

    async def run_load(
        self, duration_s: float, faults: Awaitable, **fields
    ) -> list[CallerResult]:
        """Run a load and the faults at the same time; return the load's results."""
        defaults = {"rate_per_s": self.rate_per_s, "work_ms": self.work_ms}
        spec = LoadSpec(SERVICE, **(defaults | fields))
        load = Load(spec, self.balancer, self.caller)
        results, _ = await asyncio.gather(load.run(duration_s), faults)
        return results

    async def check(self, results: list[CallerResult]) -> Counter[Reply]:
        """Fail on a violated invariant and return the number of results by reply."""
        totals = await self.cluster.backend_totals()
        counts = Counter(result.reply for result in results)
        violations = find_violations(results, totals)
        self.assertEqual(violations, [], f"{counts}\n{self.cluster.log_tails()}")
        self.assertGreater(counts[Reply.SERVED], 0, counts)
        return counts

    def check_none_interrupted(self, results: list[CallerResult]):
        """Fail if a request was lost or has an unknown outcome."""
        interrupted = (Reply.LOST, Reply.UNKNOWN)
        found = {reply: self.details(results, reply) for reply in interrupted}
        self.assertEqual(found, {reply: Counter() for reply in interrupted})

    def details(self, results: list[CallerResult], reply: Reply) -> Counter[str]:
        """Return the number of results by detail, of those with one reply."""
        return Counter(r.detail for r in results if r.reply is reply)
