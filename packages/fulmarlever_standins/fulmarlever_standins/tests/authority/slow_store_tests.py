"""A slow store, which applies few transactions per second in each partition."""

from __future__ import annotations

import asyncio

from fulmarlever.outcomes import failed
from fulmarlever_standins.authority.simulated_cluster import SimulatedCluster, job
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.scheduling.housekeeping import STATUS_MARGIN_S
from fulmarleverd.scheduling.specs import Bounds, StepSpec

# Sixty times the usual 3 ms of a transaction.
TRANSACTION_S = 0.18
JOBS = 100
PAUSE_S = 0.05
STEP = StepSpec(count=2, cpu_m=100, memory_mb=10, estimate_s=0.5)


class SlowStoreTests(SimulatedClusterTestCase):
    def test_twenty_jobs_per_second_are_accepted_and_completed(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1", "vm-2", "vm-3")
            cluster.add_workers(4)
            await cluster.wait_for_owner()
            cluster.network.transaction_s = TRANSACTION_S
            daemons = list(cluster.daemons.values())
            calls = []
            for number in range(JOBS):
                daemon = daemons[number % len(daemons)]
                calls.append(
                    asyncio.create_task(daemon.submit(job(f"j{number}", STEP)))
                )
                await asyncio.sleep(PAUSE_S)
            results = await asyncio.gather(*calls)
            self.assertEqual([r for r in results if failed(r)], [])
            took_s = await cluster.wait_for_state(
                daemons[0], f"j{JOBS - 1}", "completed"
            )
            self.assertLess(took_s, 4.0)

        self.run_scenario(scenario)

    def test_rows_of_old_jobs_are_removed_from_every_partition(self):
        async def scenario(cluster: SimulatedCluster):
            cluster.bounds = Bounds(status_kept_s=1.0)
            cluster.add_daemons("vm-1")
            cluster.add_workers(2)
            owner = await cluster.wait_for_owner()
            for number in range(5):
                await owner.submit(job(f"j{number}", STEP))
            await owner.intake.cancel("j4", 5.0)
            await cluster.wait_for_state(owner, "j3", "completed")
            await asyncio.sleep(1.0 + STATUS_MARGIN_S + 1.0)
            self.assertEqual(cluster.network.store.keys("jobs"), [])
            self.assertEqual(cluster.network.store.keys("progress"), [])

        self.run_scenario(scenario)

    def test_the_state_of_a_job_without_progress_is_queued(self):
        async def scenario(cluster: SimulatedCluster):
            cluster.add_daemons("vm-1")
            daemon = cluster.daemons["vm-1"]
            await daemon.submit(job("j", STEP))
            status = await daemon.state("j")
            self.assertEqual(str(status.state), "queued")
            unknown = await daemon.state("k")
            self.assertTrue(failed(unknown))

        self.run_scenario(scenario)
