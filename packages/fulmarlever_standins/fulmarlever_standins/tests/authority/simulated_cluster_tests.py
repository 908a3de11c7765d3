"""The simulated cluster itself."""

from __future__ import annotations

import asyncio

from fulmarlever_standins.authority.simulated_cluster import SimulatedCluster
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase


class RestartTests(SimulatedClusterTestCase):
    # Regression: the late entry of an incarnation that had crashed in between put it
    # back in the place of the next one, so two incarnations ran tasks.
    def test_an_incarnation_that_has_crashed_does_not_return(self):
        async def scenario(cluster: SimulatedCluster) -> None:
            first = cluster.add_worker("w0")
            second = cluster.restart_worker(first, 0.4)
            await asyncio.sleep(0.1)
            third = cluster.restart_worker(second, 0.003)
            for _ in range(3):
                await asyncio.sleep(0.2)
                self.assertIs(cluster.network.workers["w0:1"], third)
                entry = cluster.network.store.value("servers", "w0")
                self.assertIn(b'"born": 3', entry)

        self.run_scenario(scenario)


class FeedTests(SimulatedClusterTestCase):
    # Regression: a change at the moment at which a call for changes timed out was left
    # out of its answer, whose version said that it was in.
    def test_a_change_at_the_end_of_a_call_is_not_lost(self):
        async def scenario(cluster: SimulatedCluster) -> None:
            store = cluster.network.store
            query = {"table": "t", "after": str(store.version), "waitMs": "1000"}
            loop = asyncio.get_running_loop()
            call = asyncio.create_task(store.feed(query))
            await asyncio.sleep(0.0)
            loop.call_later(1.0, store.put, "t", "k", b"v")
            _, answer = await call
            if answer["ver"] >= store.version:
                self.assertEqual([row["key"] for row in answer["rows"]], ["k"])

        self.run_scenario(scenario)
