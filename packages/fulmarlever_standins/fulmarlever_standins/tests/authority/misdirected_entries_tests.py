"""Entries by other writers that name a live worker, but lead to another process."""

from __future__ import annotations

import asyncio

from fulmarlever_standins.authority.simulated_cluster import SimulatedCluster, job
from fulmarlever_standins.authority.worker import WorkerCore
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.scheduling.specs import StepSpec

WORKERS = 4
HEARTBEAT_S = 1.1
TASK_S = 6.0
TASK = StepSpec(count=12, cpu_m=3000, estimate_s=TASK_S)
OTHER_SERVICE = {"service": "mail-desk"}
STRANGER = {"address": "stranger:1"}
NOBODY = {"address": "nobody:1"}


class MisdirectedEntriesTests(SimulatedClusterTestCase):
    # What the entry says, whether the owner is killed while it stands, and whether the
    # feed of entries starts anew then.
    ROWS = (
        ("service and address", {**OTHER_SERVICE, **STRANGER}, False, False),
        ("service", OTHER_SERVICE, False, False),
        ("address", STRANGER, False, False),
        ("address of nobody", NOBODY, False, False),
        ("address, draining", {**STRANGER, "state": "draining"}, False, False),
        ("service and address, history", {**OTHER_SERVICE, **STRANGER}, False, True),
        ("service and address, takeover", {**OTHER_SERVICE, **STRANGER}, True, False),
        ("service, takeover", OTHER_SERVICE, True, False),
        ("address, takeover", STRANGER, True, False),
        ("address of nobody, takeover", NOBODY, True, False),
        ("another start, takeover", {**STRANGER, "born": 7}, True, False),
    )

    # Regression (TWICE): an entry of a service that is not named led the owner to
    # another process; as that was not the worker, the worker's live runs were started
    # elsewhere at once.
    def test_runs_of_live_workers_go_on(self):
        for name, fields, kills_owner, drops_history in self.each(self.ROWS):

            async def scenario(
                cluster,
                fields=fields,
                kills_owner=kills_owner,
                drops_history=drops_history,
            ):
                await self.scenario(cluster, fields, kills_owner, drops_history)

            cluster = self.run_scenario(scenario)
            starts = cluster.record.starts
            self.assertEqual((len(starts), set(starts.values())), (12, {1}), name)

    async def scenario(
        self,
        cluster: SimulatedCluster,
        fields: dict,
        kills_owner: bool,
        drops_history: bool,
    ) -> None:
        """Let wrong entries stand for a heartbeat each, while tasks are at work."""
        cluster.add_daemons("vm-1", "vm-2", "vm-3")
        workers = cluster.add_workers(WORKERS)
        stranger = WorkerCore("stranger", "stranger:1", "z")
        cluster.network.workers[stranger.address] = stranger
        for worker in workers:
            worker.task_duration_s = lambda task: TASK_S
        owner = await cluster.wait_for_owner()
        await asyncio.sleep(14.0)
        self.assertIsNone(await owner.submit(job("j", TASK)))
        await asyncio.sleep(1.0)
        for number in range(2):
            self.write(cluster, workers, fields)
            if kills_owner and number == 0:
                del cluster.daemons[owner.vm]
                await owner.kill()
                while cluster.owner() is None:
                    await asyncio.sleep(0.01)
                owner = cluster.owner()
            if drops_history:
                cluster.network.store.drop_history()
            await asyncio.sleep(HEARTBEAT_S)
            self.write(cluster, workers, {})
            await asyncio.sleep(HEARTBEAT_S / 2)
        await cluster.wait_for_state(owner, "j", "completed", 20.0)

    def write(
        self, cluster: SimulatedCluster, workers: list[WorkerCore], fields: dict
    ) -> None:
        """Write the entries of workers with some fields changed."""
        for worker in workers:
            entry = {**worker.entry(), **fields}
            cluster.network.store.put_json("servers", worker.id, entry)

    # Guards against a worker that another writer keeps out of use for good.
    def test_a_worker_that_moved_is_used_again(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1")
            worker = cluster.add_workers(1)[0]
            owner = await cluster.wait_for_owner()
            del cluster.network.workers[worker.address]
            worker.address = "moved:1"
            for _ in range(12):
                cluster.network.add_worker(worker)
                await asyncio.sleep(HEARTBEAT_S)
            self.assertIsNone(await owner.submit(job("j", StepSpec(cpu_m=100))))
            await cluster.wait_for_state(owner, "j", "completed", 5.0)

        self.run_scenario(scenario)

    # Guards against workers of a service that is named only later.
    def test_a_service_that_is_named_later_is_used(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1")
            cluster.add_workers(1)
            owner = await cluster.wait_for_owner()
            late = WorkerCore("late", "late:1", "z")
            cluster.network.workers[late.address] = late
            store = cluster.network.store
            store.put_json("servers", late.id, {**late.entry(), "service": "mail-desk"})
            await asyncio.sleep(HEARTBEAT_S)
            names = [{"name": "desk"}, {"name": "mail-desk"}]
            config = {"version": 2, "routes": [], "services": names}
            store.put_json("op", "config", config)
            await asyncio.sleep(HEARTBEAT_S)
            store.put_json("servers", late.id, {**late.entry(), "service": "mail-desk"})
            await asyncio.sleep(HEARTBEAT_S)
            services = {w.id: w.entry.service for w in owner.term.owner.fleet}
            self.assertEqual(services, {"w0": "desk", "late": "mail-desk"})

        self.run_scenario(scenario)
