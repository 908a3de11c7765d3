"""Tasks that fail or stand still on one of the few workers that can run them."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from fulmarlever_standins.authority.simulated_cluster import (
    LABELS_QUEUE,
    TICKET_QUEUE,
    SimulatedCluster,
    job,
)
from fulmarlever_standins.authority.worker import RunKey, WorkerCore
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.scheduling.specs import StepSpec

WORKERS = 6
TASK_S = 0.5
# The users' requirement: a job must not stand still for longer while there is room.
MAX_IDLE_S = 3.0
# Longer than a test case.
ENDLESS_S = 1000.0
TASK = {"cpu_m": 3000, "memory_mb": 100, "estimate_s": TASK_S}
LARGE_MB = 200_000
FILLER = StepSpec(cpu_m=30000, is_long_running=True, required_label="b")
ADVISED_QUEUE = replace(TICKET_QUEUE, max_attempts=2)


def label_one(cluster: SimulatedCluster) -> None:
    """Give the label ``b`` to one worker alone."""
    change(cluster, "w0", labels=["b", "r1-1"])


def enlarge_one(cluster: SimulatedCluster) -> None:
    """Give one worker alone enough memory for the task."""
    change(cluster, "w0", memory_mb=2 * LARGE_MB)


def admit_one(cluster: SimulatedCluster) -> None:
    """Let the admission service admit one worker alone."""
    cluster.network.admission.is_admitted = lambda step, worker: worker == "w0"


def label_two(cluster: SimulatedCluster) -> None:
    """Give the label ``b`` to two workers, of which a lasting job fills one."""
    for name in ("w0", "w1"):
        change(cluster, name, labels=["b", "r1-1"])


def change(cluster: SimulatedCluster, worker_id: str, **fields: object) -> None:
    """Change attributes of a worker and its entry in the store."""
    worker = cluster.network.workers[f"{worker_id}:1"]
    for name, value in fields.items():
        setattr(worker, name, value)
    cluster.network.add_worker(worker)


class WrongFirstRun:
    """Lets the first run of one task fail, or stand still, on all workers.

    ``begun_s`` and ``ended_s`` are when the runs of the task began and ended, by their
    numbers, in seconds of the event loop.
    """

    def __init__(self, task: str, is_long_running: bool, stands_still: bool) -> None:
        self._task = task
        self._sound_task_s = None if is_long_running else TASK_S
        self._wrong_task_s = ENDLESS_S if stands_still else TASK_S
        self.begun_s: dict[int, float] = {}
        self.ended_s: dict[int, float] = {}

    def attach(self, worker: WorkerCore) -> None:
        """Decide on the runs of a worker and observe those of the task."""
        record_start, record_end = worker.on_start, worker.on_end

        def on_start(worker: WorkerCore, key: RunKey) -> None:
            record_start(worker, key)
            self._observe(self.begun_s, key)

        def on_end(worker: WorkerCore, key: RunKey, outcome: str) -> None:
            record_end(worker, key, outcome)
            self._observe(self.ended_s, key)

        worker.on_start, worker.on_end = on_start, on_end
        worker.task_duration_s = self._duration_s
        worker.task_fails = self._goes_wrong

    def _observe(self, times_s: dict[int, float], key: RunKey) -> None:
        if key[0] == self._task:
            times_s[key[1]] = asyncio.get_running_loop().time()

    def _goes_wrong(self, task: str) -> bool:
        return task == self._task and not self.ended_s

    def _duration_s(self, task: str) -> float | None:
        if self._goes_wrong(task):
            return self._wrong_task_s
        return None if task.startswith("filler") else self._sound_task_s


class FewWorkersTests(SimulatedClusterTestCase):
    # What limits the workers, the job's step, its queue, whether another job fills all
    # workers but the one that fails.
    ROWS = (
        ("label", label_one, {"required_label": "b"}, LABELS_QUEUE, 0),
        ("size", enlarge_one, {"memory_mb": LARGE_MB}, LABELS_QUEUE, 0),
        ("ticket", admit_one, {}, ADVISED_QUEUE, 0),
        ("others are full", label_two, {"required_label": "b"}, LABELS_QUEUE, 1),
        (
            "gang",
            label_one,
            {"required_label": "b", "is_gang": True, "count": 1},
            LABELS_QUEUE,
            0,
        ),
        (
            "lasting",
            label_one,
            {"required_label": "b", "is_long_running": True},
            LABELS_QUEUE,
            0,
        ),
        (
            "anti-affinity",
            lambda cluster: None,
            {"count": WORKERS, "max_per_worker": 1, "is_long_running": True},
            LABELS_QUEUE,
            0,
        ),
    )

    # Regression (LOST): a task that had failed on the only worker that could run it
    # never ran again, since other workers were left that could not.
    def test_a_task_that_failed_once_runs_again(self):
        for name, limit, options, queue, fillers in self.each(self.ROWS):
            self.play(name, limit, options, queue, fillers, stands_still=False)

    def test_a_task_that_stood_still_runs_again(self):
        for name, limit, options, queue, fillers in self.each(self.ROWS[:4]):
            self.play(name, limit, options, queue, fillers, stands_still=True)

    def play(self, name, limit, options, queue, fillers, *, stands_still):
        """Let the first run of the last task go wrong; it must soon run again."""
        spec = StepSpec(**{"count": 2, **TASK, **options})
        last = f"tested.0.0.{spec.count - 1}"
        observed = WrongFirstRun(last, spec.is_long_running, stands_still)

        async def scenario(cluster: SimulatedCluster) -> None:
            cluster.add_daemons("vm-1")
            for worker in cluster.add_workers(WORKERS):
                observed.attach(worker)
            limit(cluster)
            owner = await cluster.wait_for_owner()
            if fillers:
                self.assertIsNone(await owner.submit(job("filler", FILLER)))
                await asyncio.sleep(1.0)
            self.assertIsNone(await owner.submit(job("tested", spec), queue))
            await asyncio.sleep(15.0)
            self.assertIn(2, observed.begun_s, f"{name}: never started again")
            idle_s = observed.begun_s[2] - observed.ended_s[1]
            self.assertLess(idle_s, MAX_IDLE_S, name)

        self.run_scenario(scenario)
