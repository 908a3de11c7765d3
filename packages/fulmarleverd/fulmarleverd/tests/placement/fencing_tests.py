from __future__ import annotations

import unittest

from fulmarlever.structure.configuration import (
    Configuration,
    JobSpec,
    ServiceSpec,
    Urgency,
)
from fulmarlever.structure.size import Size
from fulmarleverd.placement.task_transitions import started
from fulmarleverd.placement.writer import WriteBatch
from fulmarleverd.tests.placement.fakes import Cluster, run_pending_calls

SIZE = Size(8, 8000)


def job(name: str, urgency: Urgency = Urgency.LOW) -> JobSpec:
    return JobSpec(name, "packing", "kind", size=SIZE, urgency=urgency)


class FencingTests(unittest.IsolatedAsyncioTestCase):
    """Each test covers one fencing mechanism and fails without it."""

    async def begin(self, *workers: str) -> None:
        self.cluster = Cluster()
        self.fleet = self.cluster.fleet
        for name in workers:
            self.cluster.add_worker(name, rack=name, size=SIZE)
        self.first = self.cluster.add_daemon("entry-a-1")
        self.second = self.cluster.add_daemon("entry-a-2")
        await self.cluster.run(2)
        self.assertTrue(self.first.placer.is_holder)

    async def test_delayed_start_write_of_a_former_placer_is_refused_by_the_table(self):
        await self.begin("w0")
        await self.first.jobs.submit_spec(job("blocker"))
        await self.cluster.run(2)
        await self.first.jobs.submit_spec(job("later"))
        await self.cluster.run(2)
        writer = self.first.placer.zone.writer
        start = started(writer.task_cache.get("task/a/later/0"), "w0", SIZE)
        self.first.platform.delays_writes = True
        await writer.write(WriteBatch({start.key: start}))
        self.fleet.workers["w0"].finish("blocker/0")
        await self.second.jobs.submit_spec(job("urgent", Urgency.CRITICAL))
        await self.cluster.run(14, self.second)
        self.assertEqual(self.fleet.workers_running("urgent/0"), ["w0"])
        self.first.platform.deliver_delayed()
        states = [
            self.cluster.task(f"{name}/0")["state"] for name in ("urgent", "later")
        ]
        self.assertEqual(states, ["running", "queued"])

    async def test_start_order_delayed_by_a_frozen_worker_is_refused_by_the_worker(
        self,
    ):
        await self.begin("w0", "w1")
        await self.first.jobs.submit_spec(job("labels"))
        self.cluster.clock.advance(1.0)
        await self.first.sync()
        links = {("entry-a-1", "w0"), ("entry-a-1", "w1")}
        self.fleet.delayed_links |= links
        await self.first.placer.round()
        await run_pending_calls()
        worker = self.cluster.task("labels/0")["worker"]
        self.fleet.delayed_links -= links
        self.fleet.frozen.add(worker)
        await self.cluster.run(40, self.first)
        other_worker = {"w0": "w1", "w1": "w0"}[worker]
        self.assertEqual(self.fleet.workers_running("labels/0"), [other_worker])
        self.fleet.frozen.clear()
        self.fleet.deliver_delayed()
        self.assertEqual(self.fleet.workers_running("labels/0"), [other_worker])

    async def test_worker_with_an_orphan_gets_no_new_task(self):
        await self.begin("w0", "w1")
        service = ServiceSpec("filling", "orders", instances=1, size=SIZE)
        self.cluster.configure(Configuration(services={"filling": service}))
        await self.cluster.run(4, self.first)
        (worker,) = self.fleet.workers_running("filling/0")
        self.fleet.frozen.add(worker)
        await self.cluster.run(40, self.first)
        self.assertEqual(len(self.fleet.workers_running("filling/0")), 2)
        await self.first.jobs.submit_spec(job("labels"))
        await self.cluster.run(3, self.first)
        self.fleet.workers[worker].refuses_stops = True
        self.fleet.frozen.clear()
        await self.cluster.run(6, self.first)
        self.assertEqual(self.fleet.workers[worker].overruns, 0)
        self.fleet.workers[worker].refuses_stops = False
        await self.cluster.run(6, self.first)
        self.assertEqual(self.fleet.workers_running("labels/0"), [worker])
        self.assertEqual(self.fleet.workers[worker].overruns, 0)

    async def test_delayed_write_of_unknown_outcome_has_no_effect(self):
        await self.begin("w0")
        await self.first.jobs.submit_spec(job("labels"))
        self.first.platform.delays_writes = True
        self.cluster.clock.advance(1.0)
        await self.first.placer.round()
        self.first.platform.delays_writes = False
        await self.first.placer.round()
        self.first.platform.deliver_delayed()
        await self.cluster.run(4, self.first)
        self.assertEqual(self.fleet.workers_running("labels/0"), ["w0"])
