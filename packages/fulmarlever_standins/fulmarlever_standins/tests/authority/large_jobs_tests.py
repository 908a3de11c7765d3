"""Jobs whose progress or specification no row of the store can hold."""

from __future__ import annotations

import asyncio
import random

from fulmarlever.outcomes import Refused
from fulmarlever_standins.authority.simulated_cluster import SimulatedCluster, job
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarlever_standins.tests.authority.takeover_tests import kill_owner
from fulmarleverd.scheduling.specs import StepSpec

TASK_S = 4.0
LARGE = StepSpec(count=6000, cpu_m=1, memory_mb=1, estimate_s=TASK_S, checkpoints=True)
SMALL = StepSpec(count=2, cpu_m=100, memory_mb=10, estimate_s=0.5)


class LargeJobsTests(SimulatedClusterTestCase):
    # Regression (LOST): the progress of one large job outgrew its row. Each owner sent
    # the rejected transaction for ever, and no task of any job started any more.
    def test_a_large_job_and_those_beside_it_are_completed(self):
        for _, is_killed in self.each((("one owner", False), ("two owners", True))):

            async def scenario(cluster, is_killed=is_killed):
                rng = random.Random(1)
                cluster.add_daemons("vm-1", "vm-2")
                for worker in cluster.add_workers(3):
                    self.save_checkpoints(worker, rng)
                await cluster.wait_for_owner()
                reader = next(
                    d for d in cluster.daemons.values() if d is not cluster.owner()
                )
                self.assertIsNone(await reader.submit(job("large", LARGE)))
                await asyncio.sleep(3.0)
                if is_killed:
                    await kill_owner(cluster)
                for number in range(10):
                    self.assertIsNone(await reader.submit(job(f"s{number}", SMALL)))
                for number in range(10):
                    await cluster.wait_for_state(reader, f"s{number}", "completed", 30)
                await cluster.wait_for_state(reader, "large", "completed", 300.0)

            cluster = self.run_scenario(scenario)
            self.assertEqual(set(cluster.record.starts.values()), {1})

    def save_checkpoints(self, worker, rng):
        """Give each run of a worker a checkpoint that compression does not shorten."""
        record = worker.on_start

        def on_start(worker, key):
            record(worker, key)
            worker.running[key].checkpoint = f"{rng.getrandbits(64):016x}"

        worker.on_start = on_start
        worker.task_duration_s = lambda task: (
            TASK_S if task.startswith("large") else 0.5
        )

    def test_a_job_that_no_row_can_hold_is_refused(self):
        async def scenario(cluster: SimulatedCluster) -> None:
            cluster.add_daemons("vm-1")
            cluster.add_workers(1)
            owner = await cluster.wait_for_owner()
            rng = random.Random(1)
            steps = [
                StepSpec(cpu_m=1, image=f"{rng.getrandbits(512):0128x}")
                for _ in range(2000)
            ]
            self.assertIsInstance(await owner.submit(job("j", *steps)), Refused)

        self.run_scenario(scenario)
