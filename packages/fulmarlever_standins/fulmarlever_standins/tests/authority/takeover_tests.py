from __future__ import annotations

import asyncio
import random

from fulmarlever_standins.authority.network import STORE_ADDRESS
from fulmarlever_standins.authority.simulated_cluster import SimulatedCluster, job
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.term.lease import LEASE_S

LONG = StepSpec(count=4, cpu_m=1000, memory_mb=100, estimate_s=3.0)
LATER = StepSpec(count=2, cpu_m=1000, memory_mb=100, estimate_s=0.5, after=(0,))


async def kill_owner(cluster: SimulatedCluster) -> None:
    owner = cluster.owner()
    del cluster.daemons[owner.vm]
    await owner.kill()


async def cut_owner_from_store(cluster: SimulatedCluster) -> None:
    cluster.network.cut(cluster.owner().vm, STORE_ADDRESS)


async def refuse_owner(cluster: SimulatedCluster) -> None:
    cluster.network.refused_vms.add(cluster.owner().vm)


async def cut_owner_from_all(cluster: SimulatedCluster) -> None:
    addresses = [STORE_ADDRESS, *cluster.network.workers]
    cluster.network.cut(cluster.owner().vm, *addresses)


def delay_worker_list(cluster: SimulatedCluster) -> None:
    """Let calls for the list of workers wait for ever."""
    store = cluster.network.store
    handle = store.handle

    async def handle_or_wait(method: str, url: str, body: dict | None) -> tuple:
        if "table=servers" in url:
            await asyncio.Event().wait()
        return await handle(method, url, body)

    store.handle = handle_or_wait


class TakeoverTests(SimulatedClusterTestCase):
    ROWS = (
        ("killed", kill_owner, 1.0),
        ("killed early", kill_owner, 0.05),
        ("killed as tasks end", kill_owner, 3.01),
        ("cut from the store", cut_owner_from_store, 1.0),
        ("cut from the store as tasks end", cut_owner_from_store, 2.9),
        ("refused by the store", refuse_owner, 1.0),
        ("refused by the store as tasks end", refuse_owner, 2.9),
        ("cut from everything", cut_owner_from_all, 1.0),
    )

    def test_another_daemon_completes_the_job(self):
        for _, fault, after_s in self.each(self.ROWS):

            async def scenario(cluster, fault=fault, after_s=after_s):
                cluster.add_daemons("vm-1", "vm-2", "vm-3")
                for worker in cluster.add_workers(3):
                    worker.task_duration_s = lambda task: (
                        3.0 if ".0.0." in task else 0.5
                    )
                owner = await cluster.wait_for_owner()
                other = next(d for d in cluster.daemons.values() if d is not owner)
                self.assertIsNone(await other.submit(job("j", LONG, LATER)))
                await asyncio.sleep(after_s)
                await fault(cluster)
                took_s = await cluster.wait_for_state(other, "j", "completed")
                self.assertLess(took_s, 8.0)

            cluster = self.run_scenario(scenario)
            self.assertEqual(sum(cluster.record.done.values()), 6)

    # Regression (MIXED): a new owner that takes long to read the list of workers left
    # the number of waiting jobs that the earlier owner had published.
    def test_the_number_of_waiting_jobs_is_known_before_the_workers(self):
        async def scenario(cluster):
            delay_worker_list(cluster)
            cluster.add_daemons("vm-1", "vm-2")
            daemon = cluster.daemons["vm-1"]
            for number in range(3):
                self.assertIsNone(await daemon.submit(job(f"j{number}", LONG)))
            await asyncio.sleep(3.0)
            self.assertEqual(await daemon.intake.pending("labels"), 3)

        self.run_scenario(scenario)

    def test_a_job_cancelled_without_an_owner_is_stopped(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1")
            worker = cluster.add_workers(1)[0]
            worker.task_duration_s = lambda task: None
            owner = await cluster.wait_for_owner()
            await owner.submit(job("j", LONG))
            await asyncio.sleep(0.5)
            await kill_owner(cluster)
            self.assertEqual(len(worker.running), 4)
            await owner.intake.cancel("j", 100.0)
            cluster.add_daemons("vm-2")
            await cluster.wait_for_owner()
            await asyncio.sleep(1.0)
            self.assertEqual(len(worker.running), 0)

        self.run_scenario(scenario)

    def test_at_most_one_daemon_holds_the_lease(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1", "vm-2", "vm-3")
            cluster.add_workers(1)
            await cluster.wait_for_owner()
            cluster.network.cut(cluster.owner().vm, STORE_ADDRESS)
            for _ in range(int(3 * LEASE_S / 0.01)):
                self.assertLessEqual(cluster.count_owners(), 1)
                await asyncio.sleep(0.01)
            self.assertEqual(cluster.count_owners(), 1)

        self.run_scenario(scenario)

    def test_ends_that_occur_between_two_owners_are_not_lost(self):
        """A new owner reads the committed runs before it processes reports."""

        async def scenario(cluster):
            cluster.add_daemons("vm-1")
            worker = cluster.add_workers(1)[0]
            owner = await cluster.wait_for_owner()
            await owner.submit(job("j", StepSpec(count=3, cpu_m=1, estimate_s=0.5)))
            await asyncio.sleep(0.3)
            await kill_owner(cluster)
            await asyncio.sleep(0.5)
            self.assertEqual(len(worker.ends), 3)
            cluster.add_daemons("vm-2")
            await cluster.wait_for_state(cluster.daemons["vm-2"], "j", "completed")

        cluster = self.run_scenario(scenario)
        self.assertEqual(set(cluster.record.starts.values()), {1})


class ManyEndsTests(SimulatedClusterTestCase):
    """A worker ends more runs than one report of it holds while the owner changes."""

    ALL_END_AFTER_S = 4.0
    # Seconds from the moment at which all tasks end to the fault, number of tasks.
    ROWS = (
        ("killed before the ends", kill_owner, -0.05, 1300),
        ("killed shortly after the ends", kill_owner, 0.01, 1300),
        ("killed after some reports", kill_owner, 0.2, 1300),
        ("exactly one report", kill_owner, -0.05, 500),
        ("refused by the store", refuse_owner, -0.05, 1300),
        ("cut from everything", cut_owner_from_all, -0.05, 1300),
    )

    # Regression (TWICE): a new owner took the runs behind the first 500 ends of a
    # report for lost, and started tasks again that were done.
    def test_no_task_whose_end_follows_in_a_later_report_starts_again(self):
        for _, fault, fault_after_s, tasks in self.each(self.ROWS):

            async def scenario(
                cluster, fault=fault, fault_after_s=fault_after_s, tasks=tasks
            ):
                loop = asyncio.get_running_loop()
                cluster.add_daemons("vm-1", "vm-2", "vm-3")
                worker = cluster.add_workers(1)[0]
                owner = await cluster.wait_for_owner()
                end_s = loop.time() + self.ALL_END_AFTER_S
                worker.task_duration_s = lambda task: end_s - loop.time()
                other = next(d for d in cluster.daemons.values() if d is not owner)
                spec = StepSpec(count=tasks, cpu_m=1, estimate_s=self.ALL_END_AFTER_S)
                self.assertIsNone(await other.submit(job("j", spec)))
                await asyncio.sleep(end_s - loop.time() + fault_after_s)
                self.assertEqual(len(cluster.record.starts), tasks)
                await fault(cluster)
                await cluster.wait_for_state(other, "j", "completed")

            cluster = self.run_scenario(scenario)
            self.assertEqual(set(cluster.record.starts.values()), {1})


class RepeatedTakeoverTests(SimulatedClusterTestCase):
    """Two owners are killed after a worker has crashed for good."""

    # The longest worker lease on a slow clock, a takeover, and the start elsewhere.
    LIMIT_S = 8.0 + 2.5 + 1.0
    # The seed decides when daemons check the lease.
    SEEDS = range(30)

    # Regression: a new owner assumed leases granted by earlier owners for too long, for
    # more than a takeover.
    def test_long_running_tasks_of_a_lost_worker_run_elsewhere_in_time(self):
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                self.run_scenario(self.lose_a_worker_and_two_owners, seed)

    async def lose_a_worker_and_two_owners(self, cluster: SimulatedCluster) -> None:
        cluster.add_daemons("vm-1", "vm-2", "vm-3")
        for worker in cluster.add_workers(2):
            worker.task_duration_s = lambda task: None
        owner = await cluster.wait_for_owner()
        long_running = StepSpec(count=2, cpu_m=1000, is_long_running=True)
        self.assertIsNone(await owner.submit(job("j", long_running)))
        await asyncio.sleep(1.0)
        lost = next(w for w in cluster.network.workers.values() if w.running)
        names = {task for task, _ in lost.running}
        cluster.crash_worker(lost)
        for pause_s in (0.5, 6.0):
            await asyncio.sleep(pause_s)
            await kill_owner(cluster)
            if pause_s < 1.0:
                cluster.network.store.remove("servers", lost.id)
        await asyncio.sleep(self.LIMIT_S - 6.5)
        running = {
            task for w in cluster.network.workers.values() for task, _ in w.running
        }
        self.assertLessEqual(names, running)


class UnreachableWorkersTests(SimulatedClusterTestCase):
    """Workers become unreachable while owners change and the store is cut off.

    A new owner relies on the lease's row for the workers that are unreachable, so a
    worker that answers again must get no lease that the row does not account for.
    ``run_scenario`` checks that no task runs twice.
    """

    SEEDS = range(20)
    FAULTS_PER_SEED = 14

    def test_no_task_runs_twice(self):
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                self.run_random_faults(random.Random(seed))

    # Regression: a worker named as unreachable got a lease that the row did not state.
    def test_a_worker_that_answers_again_gets_no_lease_before_a_commit(self):
        async def scenario(cluster):
            cluster.add_daemons("vm-1", "vm-2")
            for worker in cluster.add_workers(2):
                worker.task_duration_s = lambda task: None
            owner = await cluster.wait_for_owner()
            long_running = StepSpec(count=2, cpu_m=1000, is_long_running=True)
            await owner.submit(job("j", long_running))
            await asyncio.sleep(1.0)
            unreachable = next(w for w in cluster.network.workers.values() if w.running)
            for vm in cluster.daemons:
                cluster.network.cut(vm, unreachable.address)
            await asyncio.sleep(5.0)
            cluster.network.cuts.discard((owner.vm, unreachable.address))
            known = next(w for w in owner.term.owner.fleet if w.id == unreachable.id)
            while not known.is_reachable:
                await asyncio.sleep(0.0002)
            # The commit that would record the answer does not reach the store.
            cluster.network.cut(owner.vm, STORE_ADDRESS)
            await asyncio.sleep(6.0)
            self.assertEqual(unreachable.running, {})
            self.assertEqual(len(cluster.record.running()), 2)

        self.run_scenario(scenario)

    def run_random_faults(self, rng: random.Random) -> None:
        async def scenario(cluster):
            cluster.add_daemons("vm-1", "vm-2", "vm-3")
            for worker in cluster.add_workers(3):
                worker.task_duration_s = lambda task: None
            owner = await cluster.wait_for_owner()
            long_running = StepSpec(count=6, cpu_m=1000, is_long_running=True)
            await owner.submit(job("j", long_running))
            await asyncio.sleep(1.0)
            for number in range(self.FAULTS_PER_SEED):
                rng.choice((cut_worker, heal, replace_owner, cut_store_off))(
                    cluster, rng, number
                )
                await asyncio.sleep(rng.choice((0.02, 0.3, 1.0, 2.5, 4.0)))
            cluster.network.heal()
            await asyncio.sleep(20.0)
            self.assertEqual(len(cluster.record.running()), 6)

        self.run_scenario(scenario)


def cut_worker(cluster: SimulatedCluster, rng: random.Random, number: int) -> None:
    """Cut one worker off from all daemons; its runs continue."""
    address = rng.choice(sorted(cluster.network.workers))
    for vm in cluster.daemons:
        cluster.network.cut(vm, address)


def heal(cluster: SimulatedCluster, rng: random.Random, number: int) -> None:
    """Reconnect everything that is cut off."""
    cluster.network.heal()


def replace_owner(cluster: SimulatedCluster, rng: random.Random, number: int) -> None:
    """Crash the owner, if there is one, and start a new daemon."""
    owner = cluster.owner()
    if owner is not None:
        del cluster.daemons[owner.vm]
        owner.kill_nowait()
        cluster.add_daemons(f"vm-{number + 10}")


def cut_store_off(cluster: SimulatedCluster, rng: random.Random, number: int) -> None:
    """Cut the owner off from the store; it may still extend leases of workers."""
    owner = cluster.owner()
    if owner is not None:
        cluster.network.cut(owner.vm, STORE_ADDRESS)
