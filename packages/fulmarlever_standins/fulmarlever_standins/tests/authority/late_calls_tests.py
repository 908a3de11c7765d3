"""What stand-ins of workers make of calls that arrive late, or at another life."""

from __future__ import annotations

import asyncio

from fulmarlever_standins.authority.network import (
    LEASE_PATH,
    START_PATH,
    WORKER_PATHS,
    LateCalls,
)
from fulmarlever_standins.authority.simulated_cluster import SimulatedCluster
from fulmarlever_standins.authority.worker import MAX_LEASE_S, WorkerCore
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase

TARGET = {"X-Target-Instance": "w0"}
TIMEOUT_S = 0.5
DELAY_S = 4.0
START = {"task": "t.0.0.0", "run": 1, "deadlineMs": 3_000}
BODIES = {
    START_PATH: START,
    "/run-stop": {"task": "t.0.0.0", "run": 1},
    LEASE_PATH: {"lastSeen": 0},
    "/pace": {"task": "t.0.0.0", "run": 1, "percent": 50},
}


async def call(cluster: SimulatedCluster, path: str, **fields: object) -> object:
    """Call the worker w0 and return the result."""
    body = {**BODIES[path], **fields}
    client = cluster.network.client("vm")
    return await client.call("POST", "w0:1", path, TIMEOUT_S, body, TARGET)


class EarlyAcknowledgementTests(SimulatedClusterTestCase):
    # The lease granted before the end, in ms, whether it lapses between, known ends.
    ROWS = (("lease held", 3_000, False, {1}), ("lease lapsed", 200, True, set()))

    def test_an_end_acknowledged_before_it_occurs_is_never_reported(self):
        for _, lease_ms, lapses, expected in self.each(self.ROWS):

            async def scenario(
                cluster, lease_ms=lease_ms, lapses=lapses, expected=expected
            ):
                worker = cluster.add_worker("w0")
                until_ms = worker.clock_ms() + lease_ms
                await call(cluster, LEASE_PATH, lastSeen=3, deadlineMs=until_ms)
                await asyncio.sleep(0.5 if lapses else 0.0)
                await call(cluster, START_PATH)
                await asyncio.sleep(1.0)
                report = await call(cluster, LEASE_PATH)
                self.assertEqual(report.body["finished"], [])
                self.assertEqual(report.body["running"], [])
                self.assertEqual(worker.known_ends, expected)

            self.run_scenario(scenario)


class LateCallTests(SimulatedClusterTestCase):
    def test_a_late_call_of_any_kind_is_carried_out_by_who_is_there_then(self):
        for (path,) in self.each((path,) for path in WORKER_PATHS):

            async def scenario(cluster, path=path):
                former = cluster.add_worker("w0")
                cluster.network.late_calls.append(LateCalls([DELAY_S], (path,)))
                received = {}
                self.observe(former, received)
                await call(cluster, path)
                self.observe(cluster.restart_worker(former, 0.0), received)
                await asyncio.sleep(DELAY_S - 1.0)
                self.assertEqual(received, {})
                await asyncio.sleep(1.0)
                self.assertEqual(received, {2: path})

            self.run_scenario(scenario)

    def test_a_late_call_has_no_effect_if_nobody_is_there(self):
        async def scenario(cluster):
            worker = cluster.add_worker("w0")
            cluster.network.late_calls.append(LateCalls([DELAY_S]))
            await call(cluster, START_PATH)
            cluster.crash_worker(worker)
            await asyncio.sleep(2.0 * DELAY_S)

        self.assertEqual(self.run_scenario(scenario).record.starts, {})

    def test_only_calls_to_the_given_addresses_are_late(self):
        async def scenario(cluster):
            cluster.add_worker("w0")
            late = LateCalls([DELAY_S], addresses=("w1:1",))
            cluster.network.late_calls.append(late)
            answer = await call(cluster, START_PATH)
            self.assertEqual(answer.status, 200)
            self.assertEqual(late.delays_s, [DELAY_S])

        self.run_scenario(scenario)

    def test_a_lease_by_another_clock_is_cut_to_the_longest_one(self):
        async def scenario(cluster):
            worker = cluster.add_worker("w0")
            await call(cluster, LEASE_PATH, deadlineMs=1_000_000)
            granted_s = worker.lease_until_s
            await call(cluster, LEASE_PATH, deadlineMs=2_000)
            self.assertAlmostEqual(granted_s, MAX_LEASE_S, delta=0.1)
            self.assertEqual(worker.lease_until_s, granted_s)

        self.run_scenario(scenario)

    @staticmethod
    def observe(worker: WorkerCore, received: dict[int, str]) -> None:
        """Note which incarnation carries out which call."""
        handle = worker.handle

        async def note(path: str, body: dict, target: str) -> tuple:
            received[worker.born] = path
            return await handle(path, body, target)

        worker.handle = note
