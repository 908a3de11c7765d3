"""One queue submits more work than the workers can complete in time."""

from __future__ import annotations

import asyncio
from functools import partial

from fulmarlever.outcomes import NotRun
from fulmarlever_standins.authority.network import STORE_ADDRESS
from fulmarlever_standins.authority.simulated_cluster import (
    LABELS_QUEUE,
    PLANS_QUEUE,
    SimulatedCluster,
    job,
)
from fulmarlever_standins.authority.virtual_time import VirtualClock
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.platform.store import AuthorityStore
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.submission.intake import Intake

WORKERS = 4
LOAD_S = 40.0
TASK_S = 2.0
URGENT_TASK_S = 0.5
# The jobs of a second are 256 core-seconds, twice what the 128 cores can do.
BATCH = StepSpec(count=64, cpu_m=1000, memory_mb=10, estimate_s=TASK_S)
BATCH_PERIOD_S = 0.5
URGENT = StepSpec(count=4, cpu_m=1000, memory_mb=10, estimate_s=URGENT_TASK_S)
URGENT_PERIOD_S = 0.5
# Stretch 1.5 and 0.25 s, three times for the hard deadline.
URGENT_DEADLINE_S = 3.0 * (1.5 * URGENT_TASK_S + 0.25)
# Until the accepted work is done, with a change of the owner.
DRAIN_S = 30.0


class AdmissionControlTests(SimulatedClusterTestCase):
    ROWS = (("the owner stays", None), ("the owner is killed", LOAD_S / 2.0))

    def test_refused_jobs_never_run_and_urgent_ones_are_untouched(self):
        for _, killed_at_s in self.each(self.ROWS):
            self.run_scenario(partial(self.overload, killed_at_s=killed_at_s))

    async def overload(
        self, cluster: SimulatedCluster, killed_at_s: float | None
    ) -> None:
        cluster.add_daemons("vm-1", "vm-2")
        for worker in cluster.add_workers(WORKERS):
            worker.task_duration_s = lambda task: (
                URGENT_TASK_S if task.startswith("u") else TASK_S
            )
        owner = await cluster.wait_for_owner()
        # A third daemon accepts the jobs, so that none is lost with the owner.
        http = cluster.network.client("vm-3")
        self.intake = Intake(
            AuthorityStore(STORE_ADDRESS, http),
            VirtualClock(),
            queues=lambda: (LABELS_QUEUE, PLANS_QUEUE),
        )
        self.loop = asyncio.get_running_loop()
        self.until_s = self.loop.time() + LOAD_S
        self.refused: dict[str, float] = {}
        self.accepted: list[str] = []
        urgent = asyncio.create_task(self.submit_urgent())
        batch = asyncio.create_task(self.submit_batch())
        if killed_at_s is not None:
            await asyncio.sleep(killed_at_s)
            before = len(self.refused)
            del cluster.daemons[owner.vm]
            await owner.kill()
        await batch
        latencies_s = await urgent
        # The overload was refused in part, also by the next owner's forecast.
        self.assertGreater(len(self.refused), 10)
        self.assertGreater(len(self.accepted), 10)
        if killed_at_s is None:
            self.assertLess(max(latencies_s), URGENT_DEADLINE_S)
        else:
            self.assertGreater(len(self.refused), before)
        # They are told whole seconds, and not all the same ones.
        told_s = set(self.refused.values())
        self.assertTrue(all(value == int(value) >= 1 for value in told_s), told_s)
        self.assertGreater(len(told_s), 2)
        await self.check_end(cluster)

    async def check_end(self, cluster: SimulatedCluster) -> None:
        """Check what ran, and that the refusals end when the overload has ended."""
        await asyncio.sleep(DRAIN_S)
        started = {task.split(".")[0] for task in cluster.record.starts}
        self.assertFalse(started & self.refused.keys())
        self.assertLessEqual(set(self.accepted), started)
        for number in range(5):
            self.assertIsNone(await self.submit(f"late-{number}", BATCH, PLANS_QUEUE))
            await asyncio.sleep(BATCH_PERIOD_S)
        # A caller that was refused may submit the same job again.
        again = next(iter(self.refused))
        self.assertIsNone(await self.submit(again, BATCH, PLANS_QUEUE))
        await asyncio.sleep(10.0)
        self.assertIn(f"{again}.0.0.0", cluster.record.done)

    async def submit(self, name: str, step: StepSpec, queue: object) -> object:
        return await self.intake.submit(job(name, step), queue, self.loop.time() + 3.0)

    async def submit_batch(self) -> None:
        number = 0
        while self.loop.time() < self.until_s:
            name = f"b{number}"
            result = await self.submit(name, BATCH, PLANS_QUEUE)
            if isinstance(result, NotRun):
                self.refused[name] = result.retry_after_s
            else:
                self.assertIsNone(result)
                self.accepted.append(name)
                # A repeated submission of a stored job is accepted in any case.
                self.assertIsNone(await self.submit(name, BATCH, PLANS_QUEUE))
            number += 1
            await asyncio.sleep(BATCH_PERIOD_S)

    async def submit_urgent(self) -> list[float]:
        """Submit urgent jobs, none of which is refused; return their latencies."""
        waits: list[asyncio.Task] = []
        number = 0
        while self.loop.time() < self.until_s:
            name = f"u{number}"
            self.assertIsNone(await self.submit(name, URGENT, LABELS_QUEUE))
            waits.append(asyncio.create_task(self.completion_s(name)))
            number += 1
            await asyncio.sleep(URGENT_PERIOD_S)
        return list(await asyncio.gather(*waits))

    async def completion_s(self, name: str) -> float:
        started_s = self.loop.time()
        while (await self.intake.status(name)).state != "completed":
            await asyncio.sleep(0.1)
        return self.loop.time() - started_s
