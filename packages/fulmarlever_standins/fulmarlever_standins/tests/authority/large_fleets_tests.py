"""An owner whose processor is short for the reports of a large fleet."""

from __future__ import annotations

import asyncio

from fulmarlever_standins.authority.simulated_cluster import SimulatedCluster, job
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.scheduling.specs import StepSpec

WORKERS = 3000
# A call takes 1.3 ms of the owner's processor.
SLOWDOWN = 2.2
LONG = StepSpec(count=4, cpu_m=4000, memory_mb=10, is_long_running=True)
BATCH = StepSpec(count=20, cpu_m=4000, memory_mb=10, estimate_s=1.0)


class LargeFleetsTests(SimulatedClusterTestCase):
    # Regression (LOST): the calls to thousands of idle workers took the owner's
    # processor, so that it started ten tasks a second, and tasks waited for ever more.
    def test_idle_workers_leave_the_processor_to_starts(self):
        async def scenario(cluster: SimulatedCluster) -> None:
            cluster.add_daemons("vm-1")
            cluster.daemons["vm-1"].platform.loop_delay.processor.slowdown = SLOWDOWN
            for worker in cluster.add_workers(WORKERS):
                worker.task_duration_s = lambda task: (
                    None if task.startswith("long") else 1.0
                )
            owner = await cluster.wait_for_owner()
            await asyncio.sleep(8.0)
            for number in range(5):
                await owner.submit(job(f"long{number}", LONG))
                await owner.submit(job(f"batch{number}", BATCH))
            await asyncio.sleep(3.0)
            starts = sum(cluster.record.starts.values())
            self.assertEqual(starts, 5 * (LONG.count + BATCH.count))

        self.run_scenario(scenario)
