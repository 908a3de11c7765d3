"""Malformed entries in the list of workers do not disturb the scheduler."""

from __future__ import annotations

import asyncio
import random

from fulmarlever_standins.authority.simulated_cluster import SimulatedCluster, job
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.scheduling.specs import StepSpec


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
        else:
            store.put("servers", "other", entry)


class OtherWriterTests(SimulatedClusterTestCase):
    """Another writer's entries stand under the keys of live workers, time and again."""

    WORKERS = 6
    HEARTBEAT_S = 1.1
    DISTURBED_S = 40.0
    TASK = StepSpec(count=4, cpu_m=3000, memory_mb=100, estimate_s=2.0)
    ROWS = (
        ("no start time", {"born": None}, False),
        ("earlier start time", {"born": 0}, False),
        ("later start time", {"born": 10**12}, False),
        ("unknown state", {"state": "odd"}, False),
        ("no labels", {"labels": None}, False),
        ("no state, history dropped", {"state": None}, True),
        ("no start time, history dropped", {"born": None}, True),
        ("later start time, history dropped", {"born": 10**12}, True),
    )

    # Regression (TWICE): an entry without a start time counted as a restart of its
    # worker, whose live tasks were then started a second time elsewhere.
    def test_live_workers_keep_their_tasks(self):
        for name, fields, drops_history in self.each(self.ROWS):

            async def scenario(
                cluster, name=name, fields=fields, drops_history=drops_history
            ):
                cluster.add_daemons("vm-1", "vm-2")
                workers = cluster.add_workers(self.WORKERS)
                for worker in workers:
                    worker.task_duration_s = lambda task: 2.0
                    worker.labels = ["a", "r1-1"]
                owner = await cluster.wait_for_owner()
                # The leases that earlier owners may have granted are over.
                await asyncio.sleep(14.0)
                writers = [
                    asyncio.create_task(self.write(cluster, worker, fields))
                    for worker in workers
                ]
                if drops_history:
                    writers.append(asyncio.create_task(self.drop_history(cluster)))
                job_ids = [f"j{n}" for n in range(int(self.DISTURBED_S / 0.5))]
                for job_id in job_ids:
                    self.assertIsNone(await owner.submit(job(job_id, self.TASK)))
                    await asyncio.sleep(0.5)
                for writer in writers:
                    writer.cancel()
                for job_id in job_ids:
                    await cluster.wait_for_state(owner, job_id, "completed", 10.0)

            cluster = self.run_scenario(scenario)
            self.assertEqual(set(cluster.record.starts.values()), {1})

    async def write(self, cluster, worker, fields):
        """Write a wrong entry and the worker's own one by turns."""
        wrong = {**worker.entry(), **fields}
        wrong = {name: value for name, value in wrong.items() if value is not None}
        while True:
            await asyncio.sleep(self.HEARTBEAT_S * random.uniform(0.45, 0.55))
            cluster.network.store.put_json("servers", worker.id, wrong)
            await asyncio.sleep(self.HEARTBEAT_S * random.uniform(0.45, 0.55))
            cluster.network.store.put_json("servers", worker.id, worker.entry())

    async def drop_history(self, cluster):
        """Let the followers of all tables read a new snapshot now and then."""
        while True:
            await asyncio.sleep(random.uniform(0.5, 1.5))
            cluster.network.store.drop_history()
