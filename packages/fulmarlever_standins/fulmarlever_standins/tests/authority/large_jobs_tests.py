"""Jobs with very many tasks or occurrences, or with too large a specification."""

from __future__ import annotations

import asyncio
import random

from fulmarlever.outcomes import Refused
from fulmarlever_standins.authority.simulated_cluster import (
    LABELS_QUEUE,
    TICKET_QUEUE,
    SimulatedCluster,
    job,
)
from fulmarlever_standins.authority.virtual_time import START_UNIX_TIME_S
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarlever_standins.tests.authority.takeover_tests import kill_owner
from fulmarleverd.scheduling.jobs.open_jobs import MAX_WAITING_TASKS
from fulmarleverd.scheduling.planning.held_occurrences import MAX_OPEN_TASKS
from fulmarleverd.scheduling.specs import JobSpec, StepSpec

TASK_S = 4.0
LARGE = StepSpec(count=6000, cpu_m=1, memory_mb=1, estimate_s=TASK_S, checkpoints=True)
SMALL = StepSpec(count=2, cpu_m=100, memory_mb=10, estimate_s=0.5)

YEAR_S = 365 * 86_400.0
MINUTE_S = 60.0
OCCURRENCE = StepSpec(cpu_m=1000, memory_mb=10, estimate_s=0.5)


class LongSchedulesTests(SimulatedClusterTestCase):
    """Schedules that began long ago, so that many occurrences are due at once."""

    def schedule(self, repetitions: int) -> JobSpec:
        start_at_s = START_UNIX_TIME_S - YEAR_S
        return JobSpec("old", "p", (OCCURRENCE,), repetitions, start_at_s, MINUTE_S)

    # Regression (LOST): all due occurrences were opened at once, which took the owner
    # over its memory and kept all other jobs from running.
    def test_other_jobs_run_and_few_tasks_are_open(self):
        async def scenario(cluster: SimulatedCluster) -> None:
            cluster.add_daemons("vm-1")
            for worker in cluster.add_workers(3):
                worker.task_duration_s = lambda task: 0.5
            owner = await cluster.wait_for_owner()
            self.assertIsNone(await owner.submit(self.schedule(525_600)))
            await asyncio.sleep(1.0)
            for number in range(5):
                name = f"s{number}"
                self.assertIsNone(await owner.submit(job(name, SMALL)))
                await cluster.wait_for_state(owner, name, "completed", 5.0)
                old = owner.term.owner.jobs["old"]
                self.assertLessEqual(old.waiting_tasks, MAX_WAITING_TASKS)
                capacity = sum(w.cpu for w in cluster.network.workers.values())
                running = capacity // OCCURRENCE.cpu_m
                open_tasks = sum(1 for _ in old.tasks())
                self.assertLessEqual(open_tasks, MAX_WAITING_TASKS + 2 * running)

        self.run_scenario(scenario)

    # Regression (LOST): an occurrence whose waiting tasks were over the limit held the
    # next one back, though a limit of its own step kept its tasks from starting.
    def test_occurrences_start_beside_tasks_that_cannot(self):
        spread = StepSpec(1300, 20, memory_mb=10, estimate_s=60.0, max_per_worker=2)
        first = StepSpec(1, 20, memory_mb=10, estimate_s=60.0)
        dependent = StepSpec(1300, 20, memory_mb=10, estimate_s=60.0, after=(0,))
        plain = StepSpec(1300, 40, memory_mb=10, estimate_s=60.0)
        rows = (
            ("at most two on a worker", (spread,), LABELS_QUEUE),
            ("an earlier step runs", (first, dependent), LABELS_QUEUE),
            ("tickets for one worker, which is full", (plain,), TICKET_QUEUE),
        )
        for _, steps, queue in self.each(rows):

            async def scenario(cluster, steps=steps, queue=queue):
                cluster.add_daemons("vm-1")
                for worker in cluster.add_workers(3):
                    worker.task_duration_s = lambda task: 60.0
                cluster.network.admission.is_admitted = self.is_admitted
                owner = await cluster.wait_for_owner()
                start_at_s = START_UNIX_TIME_S - YEAR_S
                repeated = JobSpec("j", "p", steps, 3, start_at_s, MINUTE_S)
                self.assertIsNone(await owner.submit(repeated, queue))
                await asyncio.sleep(6.0)
                begun = {task.split(".")[1] for task in cluster.record.starts}
                self.assertEqual(begun, {"0", "1", "2"})

            self.run_scenario(scenario)

    def is_admitted(self, step: str, worker: str) -> bool:
        """Admit occurrence 0 to worker w0 alone, the others to all workers."""
        return worker == "w0" or step.split(".")[1] != "0"

    # Occurrences beyond the limit are opened only as long as their tasks start.
    def test_few_tasks_are_open_if_most_cannot_start(self):
        none = StepSpec(1300, 20, memory_mb=10, required_label="none")
        spread = StepSpec(1300, 20, memory_mb=10, estimate_s=60.0, max_per_worker=1)
        first = StepSpec(1, 20, memory_mb=10, estimate_s=0.1)
        dependent = StepSpec(1300, 20, 10, required_label="none", after=(0,))
        rows = (
            ("no worker has the label", (none,), LABELS_QUEUE, 1300),
            ("one on a worker", (spread,), LABELS_QUEUE, MAX_OPEN_TASKS + 1300),
            ("a later step", (first, dependent), LABELS_QUEUE, MAX_OPEN_TASKS + 1301),
            ("no tickets", (spread,), TICKET_QUEUE, MAX_OPEN_TASKS + 1300),
        )
        for _, steps, queue, most in self.each(rows):

            async def scenario(cluster, steps=steps, queue=queue, most=most):
                cluster.add_daemons("vm-1")
                for worker in cluster.add_workers(3):
                    worker.task_duration_s = lambda task: (
                        0.1 if task.split(".")[2] == "0" and len(steps) > 1 else 60.0
                    )
                cluster.network.admission.is_admitted = lambda step, worker: False
                owner = await cluster.wait_for_owner()
                start_at_s = START_UNIX_TIME_S - YEAR_S
                repeated = JobSpec("j", "p", steps, 1000, start_at_s, MINUTE_S)
                self.assertIsNone(await owner.submit(repeated, queue))
                await asyncio.sleep(20.0)
                open_tasks = sum(1 for _ in owner.term.owner.jobs["j"].tasks())
                self.assertLessEqual(open_tasks, most)

            self.run_scenario(scenario)

    # Guards against occurrences that wait for tasks that never end.
    def test_long_running_occurrences_start_beside_those_before(self):
        # Tasks of an occurrence, occurrences.
        rows = (
            ("fewer tasks than may wait", 700, 4),
            ("more", MAX_WAITING_TASKS + 300, 3),
        )
        for _, tasks, repetitions in self.each(rows):
            spec = StepSpec(
                tasks, 20, memory_mb=10, estimate_s=0.5, is_long_running=True
            )

            async def scenario(cluster, spec=spec, repetitions=repetitions):
                cluster.add_daemons("vm-1")
                for worker in cluster.add_workers(3):
                    worker.task_duration_s = lambda task: None
                owner = await cluster.wait_for_owner()
                start_at_s = START_UNIX_TIME_S - YEAR_S
                repeated = JobSpec("j", "p", (spec,), repetitions, start_at_s, MINUTE_S)
                self.assertIsNone(await owner.submit(repeated))
                await asyncio.sleep(20.0)
                running = len(cluster.record.running())
                self.assertEqual(running, repetitions * spec.count)

            self.run_scenario(scenario)

    def test_each_occurrence_runs_once_under_any_number_of_owners(self):
        repetitions = 3000

        async def scenario(cluster: SimulatedCluster) -> None:
            cluster.add_daemons("vm-0")
            for worker in cluster.add_workers(3):
                worker.task_duration_s = lambda task: 0.5
            owner = await cluster.wait_for_owner()
            self.assertIsNone(await owner.submit(self.schedule(repetitions)))
            for number in range(1, 5):
                await asyncio.sleep(2.0)
                await kill_owner(cluster)
                cluster.add_daemons(f"vm-{number}")
                owner = await cluster.wait_for_owner()
            await cluster.wait_for_state(owner, "old", "completed", 120.0)

        cluster = self.run_scenario(scenario)
        self.assertEqual(len(cluster.record.done), repetitions)
        self.assertEqual(set(cluster.record.done.values()), {1})


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
