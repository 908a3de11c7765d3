"""No worker of an evacuated zone begins a run, whatever fails at the same time."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from unittest.mock import patch

from fulmarlever.outcomes import failed
from fulmarlever_standins.authority.network import STORE_ADDRESS
from fulmarlever_standins.authority.simulated_cluster import SimulatedCluster, job
from fulmarlever_standins.authority.virtual_time import VirtualClock
from fulmarlever_standins.authority.worker import RunKey, WorkerCore
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarlever_standins.tests.authority.takeover_tests import kill_owner
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.submission.intake import JobStatus

# ``evacuateMs`` of these tests, in seconds. It is lower than in present deployments, so
# that a start which takes effect late, after 3 s, breaks the bound.
EVACUATE_S = 1.0
TASK = {"cpu_m": 1000, "memory_mb": 100, "estimate_s": 0.5}
BATCH = StepSpec(count=6, **TASK)
GANG = StepSpec(count=4, is_gang=True, **TASK)
LONG_RUNNING = StepSpec(count=4, cpu_m=1000, is_long_running=True)
JOB_PERIOD_S = 0.1
FINISH_S = 30.0


class Operator:
    """Writes and removes the rows of zones, and observes the starts on workers.

    ``late`` are the starts that broke the bound. A disturbance of the store extends the
    bound by ``stretch_s``.
    """

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster
        self.stretch_s = 0.0
        self.late: list[str] = []
        self.starts: defaultdict[str, list[float]] = defaultdict(list)
        self._evacuated_at_s: dict[str, float] = {}
        for worker in cluster.network.workers.values():
            self._observe(worker)

    def _observe(self, worker: WorkerCore) -> None:
        record_start = worker.on_start

        def on_start(worker: WorkerCore, key: RunKey) -> None:
            record_start(worker, key)
            now_s = asyncio.get_running_loop().time()
            self.starts[worker.zone].append(now_s)
            asked_s = self._evacuated_at_s.get(worker.zone, now_s)
            if now_s > asked_s + EVACUATE_S + self.stretch_s:
                self.late.append(f"{key[0]} on {worker.id}, {now_s - asked_s:.2f} s")

        worker.on_start = on_start

    def evacuate(self, zone: str) -> None:
        self._evacuated_at_s.setdefault(zone, asyncio.get_running_loop().time())
        self.cluster.evacuate(zone)

    def restore(self, zone: str) -> None:
        self._evacuated_at_s.pop(zone, None)
        self.cluster.restore(zone)


async def evacuate_before_traffic(operator: Operator) -> None:
    """The row is older than all jobs; see ``WRITTEN_BEFORE``."""
    await asyncio.sleep(5.0)


async def evacuate_during_traffic(operator: Operator) -> None:
    operator.evacuate("z")
    await asyncio.sleep(5.0)


async def evacuate_two_zones(operator: Operator) -> None:
    operator.evacuate("z")
    await asyncio.sleep(2.0)
    operator.evacuate("y")
    await asyncio.sleep(3.0)
    operator.restore("z")
    await asyncio.sleep(3.0)
    operator.evacuate("z")
    operator.restore("y")
    await asyncio.sleep(3.0)


async def take_back_and_ask_again(operator: Operator) -> None:
    for pause_s in (0.001, 0.3, 2.0, 0.01):
        operator.evacuate("z")
        await asyncio.sleep(pause_s)
        operator.restore("z")
        await asyncio.sleep(pause_s)
    operator.evacuate("z")
    await asyncio.sleep(4.0)


async def kill_owner_after_the_row(operator: Operator) -> None:
    operator.evacuate("z")
    await kill_owner(operator.cluster)
    await asyncio.sleep(8.0)


async def ask_during_a_takeover(operator: Operator) -> None:
    await kill_owner(operator.cluster)
    await asyncio.sleep(1.0)
    operator.evacuate("z")
    await asyncio.sleep(8.0)


async def ask_as_the_next_owner_begins(operator: Operator) -> None:
    await kill_owner(operator.cluster)
    while operator.cluster.owner() is None:
        await asyncio.sleep(0.001)
    operator.evacuate("z")
    await asyncio.sleep(6.0)


async def refuse_the_next_owner(operator: Operator) -> None:
    """The store refuses the other daemons when it is asked, and comes back."""
    cluster = operator.cluster
    await kill_owner(cluster)
    cluster.network.refused_vms |= set(cluster.daemons)
    operator.evacuate("z")
    await asyncio.sleep(4.0)
    cluster.network.refused_vms.clear()
    await asyncio.sleep(6.0)


async def stop_the_store(operator: Operator) -> None:
    """The store answers nobody from the acknowledgement on."""
    operator.evacuate("z")
    operator.cluster.network.is_store_down = True
    operator.stretch_s = 3.0
    await asyncio.sleep(3.0)
    operator.cluster.network.is_store_down = False
    await asyncio.sleep(6.0)


async def cut_the_owner_from_the_store(operator: Operator) -> None:
    cluster = operator.cluster
    operator.stretch_s = 2.0
    cluster.network.cut(cluster.owner().vm, STORE_ADDRESS)
    operator.evacuate("z")
    await asyncio.sleep(2.0)
    cluster.network.heal()
    await asyncio.sleep(6.0)


async def slow_the_store(operator: Operator) -> None:
    operator.cluster.network.transaction_s = 0.15
    await asyncio.sleep(2.0)
    operator.evacuate("z")
    await asyncio.sleep(5.0)
    operator.cluster.network.transaction_s = 0.0


async def cut_the_zone_off(operator: Operator) -> None:
    """The daemons reach no worker of the zone, for less than their leases."""
    cluster = operator.cluster
    addresses = [w.address for w in cluster.network.workers.values() if w.zone == "z"]
    for vm in cluster.daemons:
        cluster.network.cut(vm, *addresses)
    operator.evacuate("z")
    await asyncio.sleep(4.0)
    cluster.network.heal()
    await asyncio.sleep(4.0)


async def drop_the_history(operator: Operator) -> None:
    """Rows change while the daemons are refused, and the history is dropped."""
    cluster = operator.cluster
    operator.evacuate("y")
    await asyncio.sleep(2.0)
    cluster.network.refused_vms |= set(cluster.daemons)
    operator.stretch_s = 0.5
    await asyncio.sleep(0.5)
    operator.restore("y")
    operator.evacuate("z")
    cluster.network.store.drop_history()
    cluster.network.refused_vms.clear()
    await asyncio.sleep(4.0)
    operator.starts["y"].clear()
    await asyncio.sleep(2.0)
    # The snapshot lacks the row of this zone.
    if not operator.starts["y"]:
        raise AssertionError("the zone whose row is gone gets no runs")


async def delay_starts(operator: Operator) -> None:
    """Starts get no answer and would take effect 3 s later."""
    operator.cluster.network.late_starts = 12
    await asyncio.sleep(0.15)
    operator.evacuate("z")
    await asyncio.sleep(6.0)


async def lose_packets(operator: Operator) -> None:
    operator.cluster.network.loss = 0.1
    operator.stretch_s = 1.0
    operator.evacuate("z")
    await asyncio.sleep(6.0)
    operator.cluster.network.loss = 0.0


async def restart_a_worker(operator: Operator) -> None:
    """Another incarnation answers before its entry tells of it."""
    cluster = operator.cluster
    operator.evacuate("z")
    await asyncio.sleep(1.5)
    worker = cluster.network.workers["z0:1"]
    operator._observe(cluster.restart_worker(worker, 0.4))
    await asyncio.sleep(6.0)


async def delay_the_rows(operator: Operator) -> None:
    """A new daemon holds the lease before its watcher has read the operator's table."""
    cluster = operator.cluster
    store = cluster.network.store
    handle = store.handle
    is_delayed = True

    async def handle_late(method: str, url: str, body: dict | None) -> tuple:
        while is_delayed and "table=op" in url:
            await asyncio.sleep(0.1)
        return await handle(method, url, body)

    operator.evacuate("z")
    store.handle = handle_late
    for vm in list(cluster.daemons):
        await cluster.daemons.pop(vm).kill()
    cluster.add_daemons("vm-4", "vm-5")
    await asyncio.sleep(8.0)
    is_delayed = False
    await asyncio.sleep(4.0)


async def jump_the_wall_clock(operator: Operator) -> None:
    """The Unix time of all daemons jumps forth and back by hours."""
    wall = VirtualClock.wall
    for offset_s in (7200.0, -7200.0):
        with patch.object(VirtualClock, "wall", lambda c, o=offset_s: wall(c) + o):
            operator.evacuate("z")
            await asyncio.sleep(3.0)
        await asyncio.sleep(1.0)


WRITTEN_BEFORE = (evacuate_before_traffic,)


class EvacuationTests(SimulatedClusterTestCase):
    """Jobs come all the time; each row adds one failure, or one order of events."""

    ROWS = (
        ("before traffic", evacuate_before_traffic),
        ("during traffic", evacuate_during_traffic),
        ("two zones", evacuate_two_zones),
        ("taken back and asked again", take_back_and_ask_again),
        ("owner killed after the row", kill_owner_after_the_row),
        ("asked during a takeover", ask_during_a_takeover),
        ("asked as the next owner begins", ask_as_the_next_owner_begins),
        ("store refuses the next owner", refuse_the_next_owner),
        ("store down", stop_the_store),
        ("owner cut from the store", cut_the_owner_from_the_store),
        ("rows read late", delay_the_rows),
        ("slow store", slow_the_store),
        ("zone cut off", cut_the_zone_off),
        ("history dropped", drop_the_history),
        ("starts late", delay_starts),
        ("packets lost", lose_packets),
        ("wall clock jumps", jump_the_wall_clock),
        ("worker restarted", restart_a_worker),
    )
    SEEDS = range(3)

    def test_no_run_begins_in_the_zone_and_no_job_is_lost(self):
        for _, fault in self.each(self.ROWS):
            for seed in self.SEEDS:
                with self.subTest(seed=seed):
                    self.run_row(fault, seed)

    def run_row(self, fault: object, seed: int) -> None:
        async def scenario(cluster: SimulatedCluster) -> None:
            cluster.add_daemons("vm-1", "vm-2", "vm-3")
            for zone in "zyx":
                for number in range(2):
                    cluster.add_worker(f"{zone}{number}", zone=zone)
            operator = Operator(cluster)
            if fault in WRITTEN_BEFORE:
                operator.evacuate("z")
            await cluster.wait_for_owner()
            traffic = asyncio.create_task(self.submit_jobs(cluster))
            await asyncio.sleep(1.0)
            await fault(operator)
            self.assertEqual(operator.late, [])
            for zone in "zy":
                operator.restore(zone)
            restored_s = asyncio.get_running_loop().time()
            await asyncio.sleep(3.0)
            self.assertGreater(operator.starts["z"][-1], restored_s)
            traffic.cancel()
            await self.finish(cluster)

        # A worker that is cut off or restarts may lose the end of a run.
        self.run_scenario(scenario, seed, ends_may_lapse=True)

    async def submit_jobs(self, cluster: SimulatedCluster) -> None:
        """Submit a job of six tasks, or a gang, ten times a second."""
        self.accepted: list[str] = []
        number = 0
        while True:
            number += 1
            daemon = sorted(cluster.daemons.items())[number % len(cluster.daemons)][1]
            name = f"j{number}"
            spec = job(name, GANG if number % 4 == 0 else BATCH)
            if not failed(await daemon.submit(spec)):
                self.accepted.append(name)
            await asyncio.sleep(JOB_PERIOD_S)

    async def finish(self, cluster: SimulatedCluster) -> None:
        daemon = next(iter(cluster.daemons.values()))
        self.assertGreater(len(self.accepted), 20)
        for name in self.accepted:
            await cluster.wait_for_state(daemon, name, "completed", FINISH_S)


class WaitingStepsTests(SimulatedClusterTestCase):
    """Steps that only workers of the evacuated zone can run."""

    ROWS = (
        ("label", StepSpec(count=2, required_label="b", **TASK)),
        ("gang", StepSpec(count=9, cpu_m=8000, is_gang=True, estimate_s=0.5)),
        (
            "rack-bound gang",
            StepSpec(
                count=2, is_gang=True, is_rack_bound=True, required_label="b", **TASK
            ),
        ),
        ("larger than other workers", StepSpec(cpu_m=1000, memory_mb=200_000)),
        (
            "long-running",
            StepSpec(cpu_m=1000, is_long_running=True, required_label="b"),
        ),
    )

    # Guards against a step that is given up, or never started, since its workers accept
    # no runs for a long time.
    def test_they_wait_and_begin_once_the_zone_is_restored(self):
        for _, step in self.each(self.ROWS):

            async def scenario(cluster: SimulatedCluster, step: StepSpec = step):
                cluster.add_daemons("vm-1", "vm-2")
                cluster.add_worker("y0", zone="y")
                for number in range(2):
                    worker = cluster.add_worker(f"z{number}", zone="z")
                    worker.labels = ["b", "r1-1"]
                    worker.memory_mb = 250_000
                    if step.is_long_running:
                        worker.task_duration_s = lambda task: None
                    cluster.network.add_worker(worker)
                owner = await cluster.wait_for_owner()
                cluster.evacuate("z")
                await asyncio.sleep(EVACUATE_S)
                self.assertIsNone(await owner.submit(job("j", step)))
                await asyncio.sleep(15.0)
                self.assertEqual(cluster.record.starts.total(), 0)
                status = await owner.state("j")
                self.assertIsInstance(status, JobStatus)
                self.assertEqual(status.state, "queued")
                cluster.restore("z")
                await asyncio.sleep(1.0)
                self.assertEqual(cluster.record.starts.total(), step.count)

            self.run_scenario(scenario)


class RunsAtWorkTests(SimulatedClusterTestCase):
    """Runs at work when their zone is evacuated stay there to their end."""

    ROWS = (("owner stays", None), ("owner killed", kill_owner))

    # Guards against the interruption of long-running tasks and of batch runs.
    def test_they_go_on(self):
        for _, fault in self.each(self.ROWS):

            async def scenario(cluster: SimulatedCluster, fault: object = fault):
                cluster.add_daemons("vm-1", "vm-2")
                worker = cluster.add_worker("z0", zone="z")
                worker.task_duration_s = lambda task: 6.0 if task[0] == "b" else None
                owner = await cluster.wait_for_owner()
                other = next(d for d in cluster.daemons.values() if d is not owner)
                batch = StepSpec(count=4, cpu_m=1000, estimate_s=6.0)
                self.assertIsNone(await other.submit(job("b", batch)))
                self.assertIsNone(await other.submit(job("l", LONG_RUNNING)))
                await asyncio.sleep(0.5)
                cluster.add_worker("y0", zone="y")
                cluster.evacuate("z")
                if fault is not None:
                    await fault(cluster)
                await cluster.wait_for_state(other, "b", "completed", 8.0)
                await asyncio.sleep(8.0)
                self.assertEqual(len(worker.running), LONG_RUNNING.count)

            cluster = self.run_scenario(scenario)
            self.assertEqual(set(cluster.record.starts.values()), {1})
