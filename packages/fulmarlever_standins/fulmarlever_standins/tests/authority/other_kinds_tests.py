"""Workers that start again under their ids as another kind."""

from __future__ import annotations

import asyncio

from fulmarlever_standins.authority.simulated_cluster import job
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.scheduling.specs import StepSpec

# The users' requirement: a job must not stand still for longer while there is room.
MAX_IDLE_S = 3.0
OTHER_LABEL = "b"
TASK = StepSpec(cpu_m=1000, required_label=OTHER_LABEL)


class OtherKindsTests(SimulatedClusterTestCase):
    # Seconds from the start of the worker until its entry is written.
    ROWS = (("at once", 0.0), ("after an answer", 1.0), ("late", 4.0))

    # Regression (LOST): the owner held a worker that had answered before its entry was
    # read to the entry of its earlier life, and never gave it a run.
    def test_a_worker_of_another_kind_gets_runs_once_its_entry_is_written(self):
        for name, entry_delay_s in self.each(self.ROWS):

            async def scenario(cluster, entry_delay_s=entry_delay_s):
                cluster.add_daemons("vm-1")
                (worker,) = cluster.add_workers(1)
                owner = await cluster.wait_for_owner()
                restarted = cluster.restart_worker(worker, entry_delay_s)
                restarted.labels = [OTHER_LABEL, "r1-1"]
                restarted.cpu = 16000
                await asyncio.sleep(entry_delay_s)
                self.assertIsNone(await owner.submit(job("j", TASK)))
                await cluster.wait_for_state(owner, "j", "completed", MAX_IDLE_S)

            cluster = self.run_scenario(scenario)
            self.assertEqual(len(cluster.record.starts), 1, name)
