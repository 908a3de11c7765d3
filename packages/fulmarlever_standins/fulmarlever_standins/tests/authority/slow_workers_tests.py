"""Tasks that can run only on a worker that was slower than others of late."""

from __future__ import annotations

import asyncio

from fulmarlever_standins.authority.simulated_cluster import SimulatedCluster, job
from fulmarlever_standins.authority.worker import RunKey, WorkerCore
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.scheduling.specs import StepSpec

WORKERS = 4
TASK_S = 4.0
SLOW_FACTOR = 5.0
# Long enough that the owner finds the worker slow.
SLOW_FOR_S = 6.0
# The users' requirement: a job must not stand still for longer while there is room.
MAX_IDLE_S = 3.0
MEASURED = StepSpec(count=40, cpu_m=1000, estimate_s=TASK_S)
BESIDE = StepSpec(cpu_m=1000, required_label="b", is_long_running=True)


class SlowWorkersTests(SimulatedClusterTestCase):
    # Regression (LOST): a worker that had been slow for some seconds got no starts for
    # half a minute, not even of tasks that no other worker could run.
    def test_tasks_that_no_other_worker_can_run_do_not_wait(self):
        rows = (
            ("nothing beside it", {"is_long_running": True}, False),
            ("long-running", {"is_long_running": True}, True),
            ("batch", {}, True),
            ("gang", {"is_gang": True, "count": 2}, True),
        )
        for name, options, has_other_run in self.each(rows):
            options = {"cpu_m": 8000, "estimate_s": 1.0, **options}
            spec = StepSpec(required_label="b", **options)
            waited_s = self.play(spec, has_other_run)
            self.assertIsNotNone(waited_s, f"{name}: never started")
            self.assertLess(waited_s, MAX_IDLE_S, name)

    def test_a_slow_worker_gets_no_tasks_that_others_can_run(self):
        rows = (("batch", {}), ("long-running", {"is_long_running": True}))
        for name, options in self.each(rows):
            spec = StepSpec(count=9, cpu_m=1000, **options)
            self.assertIsNone(self.play(spec, True), name)

    def play(self, spec: StepSpec, has_other_run: bool) -> float | None:
        """Return how long a job waited for its first start on a slow worker."""
        started_s: list[float] = []
        accepted_s: list[float] = []

        async def scenario(cluster: SimulatedCluster) -> None:
            loop = asyncio.get_running_loop()
            cluster.add_daemons("vm-1")
            workers = cluster.add_workers(WORKERS)
            slow = workers[0]
            slow.labels = ["b", "r1-1"]
            cluster.network.add_worker(slow)
            lasting = ("beside", "tested") if spec.is_long_running else ("beside",)
            factors = dict.fromkeys(workers, 1.0)
            factors[slow] = SLOW_FACTOR

            def attach(worker: WorkerCore) -> None:
                def duration_s(task: str) -> float | None:
                    is_lasting = task.startswith(lasting)
                    return None if is_lasting else TASK_S * factors[worker]

                worker.task_duration_s = duration_s

            for worker in workers:
                attach(worker)
            record_start = slow.on_start

            def on_start(worker: WorkerCore, key: RunKey) -> None:
                record_start(worker, key)
                if key[0].startswith("tested"):
                    started_s.append(loop.time())

            slow.on_start = on_start
            owner = await cluster.wait_for_owner()
            if has_other_run:
                self.assertIsNone(await owner.submit(job("beside", BESIDE)))
            self.assertIsNone(await owner.submit(job("measured", MEASURED)))
            await asyncio.sleep(SLOW_FOR_S)
            factors[slow] = 1.0
            self.assertIsNone(await owner.submit(job("tested", spec)))
            accepted_s.append(loop.time())
            await asyncio.sleep(60.0 if spec.required_label else TASK_S)

        self.run_scenario(scenario)
        return started_s[0] - accepted_s[0] if started_s else None
