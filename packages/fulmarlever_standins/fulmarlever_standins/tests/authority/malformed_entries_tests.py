"""Malformed entries in the list of workers do not disturb the scheduler."""

from __future__ import annotations

import asyncio
import base64

from fulmarlever_standins.authority.simulated_cluster import SimulatedCluster, job
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase


class MalformedEntriesTests(SimulatedClusterTestCase):
    # Regression: one entry with deeply nested values, a number too large or a port out
    # of range ended the scheduler of each owner in turn.
    def test_the_owner_keeps_the_lease_and_completes_jobs(self):
        rows = (
            ("nested", lambda entry: b"[" * 100_000),
            (
                "large",
                lambda entry: {**entry, "capacity": {"cpu": 10**400, "memMb": 1}},
            ),
            ("time", lambda entry: {**entry, "remainingMs": 10**400}),
            ("port", lambda entry: {**entry, "address": "10.0.0.1:70000"}),
        )
        for _, make_entry in self.each(rows):

            async def scenario(cluster, make_entry=make_entry):
                cluster.add_daemons("vm-1", "vm-2")
                workers = cluster.add_workers(2)
                owner = await cluster.wait_for_owner()
                term = owner.term
                self.add_entry(cluster, make_entry(workers[0].entry()))
                await asyncio.sleep(2.0)
                await owner.submit(job("j"))
                await cluster.wait_for_state(owner, "j", "completed", 5.0)
                await asyncio.sleep(5.0)
                self.assertIs(cluster.owner(), owner)
                self.assertIs(owner.term, term)

            self.run_scenario(scenario)

    def add_entry(self, cluster: SimulatedCluster, entry: bytes | dict) -> None:
        """Write an entry, as given or as JSON."""
        store = cluster.network.store
        if isinstance(entry, dict):
            store.put_json("servers", "other", entry)
            return
        value = base64.b64encode(entry).decode()
        row = {"table": "servers", "part": "", "key": "other", "value": value}
        status, _ = store.transact({"expected": [], "setKeys": [row], "remove": []})
        self.assertEqual(status, 200)
