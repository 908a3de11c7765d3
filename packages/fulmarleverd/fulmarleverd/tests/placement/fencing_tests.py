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
from fulmarleverd.tests.placement.fakes import Cluster, settle

SIZE = Size(8, 8000)


def job(name: str, urgency: Urgency = Urgency.LOW) -> JobSpec:
    return JobSpec(name, "packing", "kind", size=SIZE, urgency=urgency)


class FencingTests(unittest.IsolatedAsyncioTestCase):
    """One mechanism each; the tests fail without it."""

    async def begin(self, *workers: str) -> None:
        self.cluster = Cluster()
        self.fleet = self.cluster.fleet
        for name in workers:
            self.cluster.add_worker(name, rack=name, size=SIZE)
        self.first = self.cluster.add_daemon("entry-a-1")
        self.second = self.cluster.add_daemon("entry-a-2")
        await self.cluster.run(2)
        self.assertTrue(self.first.placer.is_holder)

    async def test_late_start_of_a_frozen_holder_is_refused_by_the_table(self):
        await self.begin("w0")
        await self.first.jobs.submit_spec(job("blocker"))
        await self.cluster.run(2)
        await self.first.jobs.submit_spec(job("later"))
        await self.cluster.run(2)
        writer = self.first.placer.zone.writer
        start = started(writer.task_cache.get("task/a/later/0"), "w0", SIZE)
        self.first.platform.is_holding = True
        await writer.write(WriteBatch({start.key: start}))
        self.fleet.workers["w0"].finish("blocker/0")
        await self.second.jobs.submit_spec(job("urgent", Urgency.CRITICAL))
        await self.cluster.run(14, self.second)
        self.assertEqual(self.fleet.places("urgent/0"), ["w0"])
        self.first.platform.deliver_held()
        states = [
            self.cluster.task(f"{name}/0")["state"] for name in ("urgent", "later")
        ]
        self.assertEqual(states, ["running", "queued"])

    async def test_start_that_waited_in_a_frozen_worker_is_refused_by_it(self):
        await self.begin("w0", "w1")
        await self.first.jobs.submit_spec(job("labels"))
        self.cluster.clock.advance(1.0)
        await self.first.sync()
        links = {("entry-a-1", "w0"), ("entry-a-1", "w1")}
        self.fleet.hold |= links
        await self.first.placer.round()
        await settle()
        place = self.cluster.task("labels/0")["worker"]
        self.fleet.hold -= links
        self.fleet.frozen.add(place)
        await self.cluster.run(40, self.first)
        other = {"w0": "w1", "w1": "w0"}[place]
        self.assertEqual(self.fleet.places("labels/0"), [other])
        self.fleet.frozen.clear()
        self.fleet.deliver_held()
        self.assertEqual(self.fleet.places("labels/0"), [other])

    async def test_worker_with_an_unknown_run_takes_nothing_new(self):
        await self.begin("w0", "w1")
        service = ServiceSpec("filling", "orders", instances=1, size=SIZE)
        self.cluster.configure(Configuration(services={"filling": service}))
        await self.cluster.run(4, self.first)
        (place,) = self.fleet.places("filling/0")
        self.fleet.frozen.add(place)
        await self.cluster.run(40, self.first)
        self.assertEqual(len(self.fleet.places("filling/0")), 2)
        await self.first.jobs.submit_spec(job("labels"))
        await self.cluster.run(3, self.first)
        self.fleet.workers[place].refuses_stops = True
        self.fleet.frozen.clear()
        await self.cluster.run(6, self.first)
        self.assertEqual(self.fleet.workers[place].overruns, 0)
        self.fleet.workers[place].refuses_stops = False
        await self.cluster.run(6, self.first)
        self.assertEqual(self.fleet.places("labels/0"), [place])
        self.assertEqual(self.fleet.workers[place].overruns, 0)

    async def test_late_write_of_unknown_outcome_has_no_effect(self):
        await self.begin("w0")
        await self.first.jobs.submit_spec(job("labels"))
        self.first.platform.is_holding = True
        self.cluster.clock.advance(1.0)
        await self.first.placer.round()
        self.first.platform.is_holding = False
        await self.first.placer.round()
        self.first.platform.deliver_held()
        await self.cluster.run(4, self.first)
        self.assertEqual(self.fleet.places("labels/0"), ["w0"])
