"""Tasks that crash each worker that starts them, beside tasks that don't."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from fulmarlever_standins.authority.simulated_cluster import (
    LABELS_QUEUE,
    SimulatedCluster,
    job,
)
from fulmarlever_standins.authority.worker import RunKey, WorkerCore
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.scheduling.specs import StepSpec

WORKERS = 12
CRASHING_JOBS = 4
RESTART_S = 3.2
TASK_S = 1.0
# The users' requirement: a task may be started at most twice more after three workers
# have crashed under it.
MAX_STARTS = 5
# A task under which fewer workers have crashed must not be given up.
MIN_CRASHES = 2
SETTLE_S = 25.0
# Workers that crash in waves by themselves, none of them because of a task.
WAVES = 14
WAVE_PERIOD_S = 2.5
SILENT_S = 2.0
WORKERS_PER_WAVE = 2

BATCH = {"cpu_m": 1000, "memory_mb": 100, "estimate_s": TASK_S}
LASTING = {**BATCH, "is_long_running": True}
BEST_EFFORT = {**BATCH, "is_best_effort": True, "checkpoints": True}


class Crashes:
    """Crashes the workers that start a run of a crashing task, and counts the crashes.

    The tasks are crashing whose job's id begins with ``crashing`` and whose index is 0.
    """

    def __init__(self, cluster: SimulatedCluster, delay_s: float, new_id: bool) -> None:
        self._cluster = cluster
        self._delay_s = delay_s
        self._new_id = new_id
        self.by_task: Counter[str] = Counter()

    def attach(self, worker: WorkerCore) -> None:
        """Crash a worker once it has started a crashing task."""
        record = worker.on_start
        worker.task_duration_s = self._duration_s

        def start(worker: WorkerCore, key: RunKey) -> None:
            record(worker, key)
            if key[0].startswith("crashing") and key[0].endswith(".0"):
                loop = asyncio.get_running_loop()
                loop.call_later(self._delay_s, self._crash, worker, key)

        worker.on_start = start

    def _duration_s(self, task: str) -> float | None:
        return None if "lasting" in task else TASK_S

    def _crash(self, worker: WorkerCore, key: RunKey) -> None:
        if self._cluster.network.workers.get(worker.address) is not worker:
            return
        self.by_task[key[0]] += 1
        self._cluster.crash_worker(worker)
        asyncio.get_running_loop().call_later(RESTART_S, self._restart, worker)

    def _restart(self, old: WorkerCore) -> None:
        self._cluster.network.store.remove("servers", old.id)
        name = f"{old.id}+" if self._new_id else old.id
        worker = WorkerCore(name, old.address, old.zone, old.born + 1)
        self._cluster.record.attach(worker)
        self.attach(worker)
        self._cluster.network.add_worker(worker)


class CrashingTasksTests(SimulatedClusterTestCase):
    # Regression (BUDGET): a task that crashes its workers was started on one after the
    # other, to the end of the day.
    def test_a_task_that_crashes_its_workers_is_given_up(self):
        # Name, kind of the tasks, seconds from start to crash, whether the worker comes
        # back under another id, seconds between two deaths of the owner.
        rows = (
            ("batch", BATCH, 0.01, True, None),
            ("same id", BATCH, 0.01, False, None),
            ("late crash", BATCH, 0.4, True, None),
            ("with copies", {**BATCH, "is_speculative": True}, 0.01, True, None),
            ("long-running", LASTING, 0.01, True, None),
            ("best effort", BEST_EFFORT, 0.01, True, None),
            ("owners die", BATCH, 0.01, True, 4.0),
        )
        for name, options, delay_s, new_id, owner_dies_s in self.each(rows):
            crashes = self.play(name, options, delay_s, new_id, owner_dies_s)
            for task, count in crashes.by_task.items():
                self.assertGreaterEqual(count, MIN_CRASHES, task)

    def play(
        self,
        name: str,
        options: dict,
        delay_s: float,
        new_id: bool,
        owner_dies_s: float | None,
    ) -> Crashes:
        seen: list[Crashes] = []
        kind = "lasting" if "is_long_running" in options else "batch"

        async def scenario(cluster: SimulatedCluster) -> None:
            crashes = Crashes(cluster, delay_s, new_id)
            seen.append(crashes)
            cluster.add_daemons("vm-1", "vm-2", "vm-3")
            for worker in cluster.add_workers(WORKERS):
                crashes.attach(worker)
            await cluster.wait_for_owner()
            dying = asyncio.create_task(self.kill_owners(cluster, owner_dies_s))
            spec = StepSpec(count=3, **options)
            crashing = [f"crashing-{kind}-{number}" for number in range(CRASHING_JOBS)]
            usual = [f"usual-{number}" for number in range(20)]
            innocent = job("innocent-lasting", StepSpec(count=6, **LASTING))
            await self.submit(cluster, innocent)
            for number, job_id in enumerate(usual):
                if number < CRASHING_JOBS:
                    await self.submit(cluster, job(crashing[number], spec))
                await self.submit(cluster, job(job_id, StepSpec(count=6, **BATCH)))
                await asyncio.sleep(0.3)
            await asyncio.sleep(SETTLE_S)
            dying.cancel()
            reader = next(iter(cluster.daemons.values()))
            for job_id in crashing:
                await cluster.wait_for_state(reader, job_id, "failed")
                status = await reader.state(job_id)
                self.assertIn("crash", status.cause)
            for job_id in usual:
                await cluster.wait_for_state(reader, job_id, "completed")
            await cluster.wait_for_state(reader, innocent.id, "running", 1.0)

        cluster = self.run_scenario(scenario)
        for task, starts in cluster.record.starts.items():
            if task.startswith("crashing") and task.endswith(".0"):
                self.assertLessEqual(starts, MAX_STARTS, f"{name}: {task}")
        return seen[0]

    async def submit(self, cluster: SimulatedCluster, spec: object) -> None:
        daemon = next(iter(cluster.daemons.values()))
        self.assertIsNone(await daemon.submit(spec, LABELS_QUEUE))

    async def kill_owners(
        self, cluster: SimulatedCluster, period_s: float | None
    ) -> None:
        """Kill the owner every ``period_s`` seconds and start its daemon again."""
        while period_s is not None:
            await asyncio.sleep(period_s)
            owner = cluster.owner()
            if owner is not None:
                del cluster.daemons[owner.vm]
                await owner.kill()
                cluster.add_daemons(owner.vm)


class CrashWavesTests(SimulatedClusterTestCase):
    """Workers fall silent in waves and come back as new ones, at most some at once."""

    # The seed decides which workers crash.
    SEEDS = range(4)

    # Regression (LOST): a start that a crashed worker never answered counted as a crash
    # under the task, so jobs were given up though one worker or none had crashed so.
    def test_no_task_is_given_up_under_which_fewer_than_two_workers_crashed(self):
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                self.play(seed)

    def play(self, seed: int) -> None:
        crashes: Counter[str] = Counter()

        async def scenario(cluster: SimulatedCluster) -> None:
            cluster.add_daemons("vm-1", "vm-2", "vm-3")
            for worker in cluster.add_workers(WORKERS):
                worker.task_duration_s = lambda task: TASK_S
            await cluster.wait_for_owner()
            waves = asyncio.create_task(self.crash_in_waves(cluster, crashes))
            job_ids = [f"usual-{number}" for number in range(6 * WAVES)]
            for job_id in job_ids:
                daemon = cluster.daemons["vm-1"]
                spec = StepSpec(count=12, **BATCH)
                self.assertIsNone(await daemon.submit(job(job_id, spec)))
                await asyncio.sleep(WAVE_PERIOD_S / 6)
            await waves
            await asyncio.sleep(SETTLE_S)
            for job_id in job_ids:
                status = await cluster.daemons["vm-1"].state(job_id)
                if status.state == "failed":
                    task = status.cause.split()[-1]
                    self.assertGreaterEqual(crashes[task], MIN_CRASHES, status.cause)
                else:
                    self.assertEqual(status.state, "completed")

        self.run_scenario(scenario, seed)

    async def crash_in_waves(
        self, cluster: SimulatedCluster, crashes: Counter[str]
    ) -> None:
        """Crash workers and count the tasks that have a run on them at that time."""
        rng = random.Random(random.random())
        for wave in range(WAVES):
            await asyncio.sleep(WAVE_PERIOD_S)
            workers = sorted(cluster.network.workers.values(), key=lambda w: w.id)
            for worker in rng.sample(workers, WORKERS_PER_WAVE):
                crashes.update(task for task, _ in worker.running)
                self.silence(cluster, worker)
                loop = asyncio.get_running_loop()
                loop.call_later(SILENT_S, self.restart, cluster, worker, wave)

    def silence(self, cluster: SimulatedCluster, worker: WorkerCore) -> None:
        """Crash a worker so that calls to it get no answer rather than an error."""
        for vm in cluster.daemons:
            cluster.network.cut(vm, worker.address)
        cluster.crash_worker(worker)

    def restart(self, cluster: SimulatedCluster, old: WorkerCore, wave: int) -> None:
        """Start a worker at the address of a crashed one, under another id."""
        for vm in cluster.daemons:
            cluster.network.cuts.discard((vm, old.address))
        cluster.network.store.remove("servers", old.id)
        worker = WorkerCore(f"{old.address}-{wave}", old.address, old.zone)
        worker.task_duration_s = old.task_duration_s
        cluster.record.attach(worker)
        cluster.network.add_worker(worker)
