from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from fulmarlever.policies.interference import LearnedInterference, Sample
from fulmarlever.structure.configuration import (
    Configuration,
    JobSpec,
    ServiceSpec,
    Urgency,
)
from fulmarlever.structure.size import Size
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.placement.interference import ACTION_COOLDOWN_S
from fulmarleverd.placement.latency import LatencyReading
from fulmarleverd.tests.placement.fakes import Cluster

SIZE = Size(16, 32000)
TARGET_S = 0.2
NORMAL_S = 0.05
SERVICE = ServiceSpec("filling", "orders", instances=2, size=Size(4, 1000))


class LearnedInterferenceTests(TableTestCase):
    @given(
        st.floats(0.1, 2.0),
        st.floats(0.0, 2.0),
        st.lists(st.tuples(st.floats(0, 1), st.floats(0, 0.5), st.floats(0, 0.5))),
    )
    def test_estimates_stay_finite_and_positive(self, first, second, rows):
        model = LearnedInterference()
        for number, (load, a, b) in enumerate(rows):
            slowdown = 1 + first * a + second * b
            pressures = {"a": a, "b": b}
            model.observe(Sample("s", load, 0.05 * slowdown, pressures, number))
        self.assertGreaterEqual(model.slowdown("s", {"a": 1.0, "b": 1.0}), 0.0)
        self.assertLess(model.slowdown("s", {"a": 1.0, "b": 1.0}), 1000.0)

    def test_slowdown_is_learned_per_kind_and_not_from_load(self):
        model = LearnedInterference()
        for number in range(400):
            load = (number % 4) / 4
            a, b = (0.4 * (number % 3 == 1), 0.4 * (number % 3 == 2))
            latency_s = 0.05 * (1 + 2 * load) * (1 + 2.0 * a + 0.1 * b)
            pressures = {"noisy": a, "quiet": b}
            model.observe(Sample("s", load, latency_s, pressures, number))
        self.assertAlmostEqual(model.slowdown("s", {"noisy": 0.5}), 1.0, delta=0.2)
        self.assertAlmostEqual(model.slowdown("s", {"quiet": 0.5}), 0.05, delta=0.1)


class InterferenceControllerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = Cluster()
        for name in ("w0", "w1"):
            self.cluster.add_worker(name, rack=name, size=SIZE)
        self.daemon = self.cluster.add_daemon("entry-a-1")
        self.cluster.configure(Configuration(services={"filling": SERVICE}))
        await self.cluster.run(4)
        spec = JobSpec("labels", "packing", "noisy", tasks=4, size=Size(2, 100))
        await self.daemon.jobs.submit_spec(spec)
        await self.cluster.run(4)

    def shares(self) -> list[float]:
        return [
            run.share
            for worker in self.cluster.fleet.workers.values()
            for name, run in worker.running().items()
            if name.startswith("labels")
        ]

    async def run_with_tail(self, seconds: float, tail_s: float) -> None:
        for _ in range(int(seconds)):
            names = self.daemon.placer.zone.state.backends.listed
            mean_s = NORMAL_S * (4 if tail_s > TARGET_S else 1)
            readings = {name: LatencyReading(mean_s, tail_s, 2) for name in names}
            self.daemon.placer.zone.limit_interference(readings)
            await self.cluster.run(1)

    async def test_batch_is_throttled_and_evicted_then_placed_again(self):
        await self.run_with_tail(5, 0.1)
        self.assertEqual(set(self.shares()), {1.0})
        await self.run_with_tail(2, 0.5)
        self.assertIn(0.5, self.shares())
        await self.run_with_tail(8 * ACTION_COOLDOWN_S, 0.5)
        self.assertEqual(self.shares(), [])
        self.assertEqual(self.cluster.task("labels/0")["state"], "queued")
        await self.run_with_tail(2, 0.1)
        self.assertEqual(self.shares(), [])
        await self.run_with_tail(60, 0.1)
        self.assertEqual(len(self.shares()), 4)

    async def test_throttle_stays_between_release_ratio_and_target(self):
        await self.run_with_tail(5, 0.1)
        await self.run_with_tail(2, 0.5)
        shares = self.shares()
        await self.run_with_tail(30, 0.9 * TARGET_S)
        self.assertEqual(self.shares(), shares)
        await self.run_with_tail(8, 0.5 * TARGET_S)
        self.assertEqual(set(self.shares()), {1.0})

    async def test_batch_avoids_workers_of_services_that_it_slows_down(self):
        model = self.daemon.placer.zone.interference_controller.model
        for number in range(50):
            model.observe(Sample("filling", 0.2, 0.05, {}, number))
            model.observe(Sample("filling", 0.2, 0.2, {"noisy": 0.5}, number))
        self.cluster.add_worker("w2", rack="w2", size=SIZE)
        await self.cluster.run(2)
        more = JobSpec(
            "more", "packing", "noisy", tasks=6, size=Size(2, 100), urgency=Urgency.LOW
        )
        await self.daemon.jobs.submit_spec(more)
        await self.cluster.run(4)
        worker_names = {
            self.cluster.fleet.workers_running(f"more/{i}")[0] for i in range(6)
        }
        self.assertEqual(worker_names, {"w2"})
