"""Calls that were meant for a worker's former incarnation and reach the next one.

Issue 47: both share the id that a call names, and the next one knows nothing of before.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from functools import partial

from fulmarlever.tests.base import wait_until
from fulmarlever_standins.authority.network import LEASE_PATH, START_PATH, LateCalls
from fulmarlever_standins.authority.simulated_cluster import SimulatedCluster, job
from fulmarlever_standins.authority.worker import RunKey, WorkerCore
from fulmarlever_standins.tests.authority.base import SimulatedClusterTestCase
from fulmarleverd.scheduling.specs import StepSpec

ENTRY_DELAY_S = 0.003
# A start is sent before the entry of the next incarnation is known.
LATE_ENTRY_DELAY_S = 0.4
# Longer than a worker's lease, so that a run that is cut off lapses.
LONG_TASK_S = 12.0
# Longer than a lease that begins with a late call.
CUT_S = 18.0
# From then on the former clock is further ahead than the longest lease.
FORMER_LIFE_S = 6.0
FORMER_TASKS = 5
FORMER_JOB = StepSpec(count=FORMER_TASKS, cpu_m=1000, memory_mb=100, estimate_s=0.5)
NEXT_JOB = StepSpec(count=3, cpu_m=1000, memory_mb=100, estimate_s=1.0)
LONG_JOB = StepSpec(count=2, cpu_m=1000, memory_mb=100, estimate_s=LONG_TASK_S)
COMPLETED_S = 60.0


def cut_off(cluster: SimulatedCluster, worker: WorkerCore) -> None:
    """Cut a worker off from all daemons, also from those that start later."""
    for vm in ("vm-1", "vm-2"):
        cluster.network.cut(vm, worker.address)


async def restart_between_calls(
    cluster: SimulatedCluster, worker: WorkerCore
) -> WorkerCore:
    """Restart a worker right after it has reported, with no call in progress.

    The call that finds the next incarnation extends the former one's lease.
    """
    handle = worker.handle
    reported = asyncio.get_running_loop().create_future()

    async def report(path: str, body: dict, target: str) -> tuple:
        answer = await handle(path, body, target)
        if path == LEASE_PATH and not reported.done():
            reported.set_result(None)
        return answer

    worker.handle = report
    await reported
    return cluster.restart_worker(worker, ENTRY_DELAY_S)


async def restart_during_a_call(
    cluster: SimulatedCluster,
    worker: WorkerCore,
    entry_delay_s: float = ENTRY_DELAY_S,
) -> WorkerCore:
    """Restart a worker while a call waits for a report."""
    calls = worker.report_calls
    await wait_until(lambda: worker.report_calls > calls)
    await asyncio.sleep(1.5)
    return cluster.restart_worker(worker, entry_delay_s)


Restart = Callable[[SimulatedCluster, WorkerCore], Coroutine[None, None, WorkerCore]]


class FormerAcknowledgementTests(SimulatedClusterTestCase):
    """Acknowledgements of the former incarnation's ends, in calls for a report."""

    # Each end that the next incarnation forgets is never reported: its task starts
    # again after it was done.
    def test_the_call_that_finds_the_next_incarnation_acknowledges_none_of_its_ends(
        self,
    ):
        rows = (
            ("between calls", restart_between_calls),
            ("during a call", partial(restart_during_a_call, entry_delay_s=2.0)),
        )
        for _, restart in self.each(rows):
            self.play(restart)

    # The same, seconds after the owner has known the next incarnation.
    def test_a_late_call_acknowledges_none_of_the_next_ones_ends(self):
        for _, delay_s in self.each((("soon", 4.0), ("long after", 9.0))):
            self.play(restart_as_call_is_on_its_way(delay_s), wait_s=delay_s - 2.0)

    def play(self, restart: Restart, wait_s: float = 3.0) -> None:
        """Restart a worker whose ends are acknowledged; its next runs end once."""

        async def scenario(cluster: SimulatedCluster) -> None:
            cluster.add_daemons("vm-1")
            worker = cluster.add_workers(1)[0]
            owner = await cluster.wait_for_owner()
            self.assertIsNone(await owner.submit(job("former", FORMER_JOB)))
            await wait_until(lambda: worker.last_seen == FORMER_TASKS)
            worker.task_duration_s = lambda task: 3.0
            await restart(cluster, worker)
            await asyncio.sleep(wait_s)
            self.assertIsNone(await owner.submit(job("next", NEXT_JOB)))
            await cluster.wait_for_state(owner, "next", "completed", COMPLETED_S)
            await asyncio.sleep(5.0)

        self.run_scenario(scenario)


def restart_as_call_is_on_its_way(delay_s: float) -> Restart:
    """Return a restart beside a call for a report that arrives late."""

    async def restart(cluster: SimulatedCluster, worker: WorkerCore) -> WorkerCore:
        late = LateCalls([delay_s], (LEASE_PATH,), (worker.address,))
        cluster.network.late_calls.append(late)
        await wait_until(lambda: not late.delays_s)
        return cluster.restart_worker(worker, ENTRY_DELAY_S)

    return restart


class CutIncarnation:
    """A worker that restarts and is cut off, with runs that the next one has begun.

    ``cut_after_s`` is for how long the next incarnation answers once it has begun a
    run; 0 means that it is cut off before it has told of it.
    """

    def __init__(self, cluster: SimulatedCluster, cut_after_s: float) -> None:
        self._cluster = cluster
        self._cut_after_s = cut_after_s
        self.has_begun = asyncio.Event()

    def attach(self, worker: WorkerCore) -> None:
        """Cut this incarnation off after its first start."""
        record_start = worker.on_start
        loop = asyncio.get_running_loop()

        def on_start(worker: WorkerCore, key: RunKey) -> None:
            record_start(worker, key)
            if not self.has_begun.is_set():
                self.has_begun.set()
                loop.call_later(self._cut_after_s, cut_off, self._cluster, worker)

        worker.on_start = on_start


async def start_after_lease_call(
    cluster: SimulatedCluster, worker: WorkerCore, cut: CutIncarnation
) -> None:
    """A call that extends the former lease finds the next incarnation, then a start."""
    cut.attach(await restart_between_calls(cluster, worker))
    await asyncio.sleep(0.3)
    await submit_long_job(cluster)


async def start_at_once(
    cluster: SimulatedCluster, worker: WorkerCore, cut: CutIncarnation
) -> None:
    """A start, with the end of the former lease, is the first call to the next one."""
    cut.attach(await restart_during_a_call(cluster, worker, LATE_ENTRY_DELAY_S))
    await submit_long_job(cluster)


async def start_late(
    cluster: SimulatedCluster, worker: WorkerCore, cut: CutIncarnation
) -> None:
    """All starts to the former incarnation arrive late, at the next one."""
    late = LateCalls([3.0] * 16, (START_PATH,), (worker.address,))
    cluster.network.late_calls.append(late)
    await submit_long_job(cluster)
    await wait_until(lambda: len(late.delays_s) <= 14)
    cluster.network.late_calls.remove(late)
    cut.attach(cluster.restart_worker(worker, ENTRY_DELAY_S))
    cut_off(cluster, worker)


async def lease_call_late(
    cluster: SimulatedCluster, worker: WorkerCore, cut: CutIncarnation
) -> None:
    """A call that extends the former lease arrives once the next one is known."""
    late = LateCalls([4.0], (LEASE_PATH,), (worker.address,))
    cluster.network.late_calls.append(late)
    await wait_until(lambda: not late.delays_s)
    cut.attach(cluster.restart_worker(worker, ENTRY_DELAY_S))
    await asyncio.sleep(3.3)
    await submit_long_job(cluster)


async def submit_long_job(cluster: SimulatedCluster) -> None:
    """Submit the job whose tasks run for longer than a lease."""
    result = await cluster.owner().submit(job("long", LONG_JOB))
    if result is not None:
        raise AssertionError(result.reason)


Begin = Callable[
    [SimulatedCluster, WorkerCore, CutIncarnation], Coroutine[None, None, None]
]


class FormerLeaseTests(SimulatedClusterTestCase):
    """Leases and starts for the former incarnation; the next one is then cut off.

    A run of it may go on for the longest lease that a worker grants, longer than the
    lease that its owner meant to grant.
    """

    # The owner counts the lease from its last call, and starts the task elsewhere.
    def test_a_lease_by_the_former_clock_is_over_before_the_task_starts_elsewhere(self):
        self.play(start_after_lease_call, 0.4)

    # The same, where the call that extends the lease is carried out late.
    def test_a_late_lease_by_the_former_clock_is_over_before_the_task_starts_elsewhere(
        self,
    ):
        self.play(lease_call_late, 0.9)

    # The owner has never heard of the incarnation that runs the task.
    def test_a_start_by_the_former_clock_is_over_before_the_task_starts_elsewhere(self):
        self.play(start_at_once, 0.0)

    # The lease begins when the start arrives, seconds after the owner has sent it.
    def test_a_late_start_in_the_next_incarnation_is_over_before_another_start(self):
        self.play(start_late, 0.0)

    # The next owner trusts the row in which the former owner counted the lease's end.
    def test_the_next_owner_waits_for_a_lease_by_the_former_clock(self):
        self.play(start_after_lease_call, 0.4, kill_after_s=3.0)

    # As before; the former owner had not heard of the incarnation either.
    def test_the_next_owner_waits_for_a_start_by_the_former_clock(self):
        self.play(start_at_once, 0.0, kill_after_s=3.0)

    # As before; the start arrives after the row was written.
    def test_the_next_owner_waits_for_a_late_start(self):
        self.play(start_late, 0.0, kill_after_s=0.5)

    def play(
        self, begin: Begin, cut_after_s: float, kill_after_s: float | None = None
    ) -> None:
        """Let the next incarnation begin long tasks and be cut off; no task runs twice.

        ``kill_after_s`` is when after the first start the owner is killed, if at all.
        """

        async def scenario(cluster: SimulatedCluster) -> None:
            cluster.add_daemons("vm-1")
            worker = cluster.add_worker("w0")
            worker.task_duration_s = lambda task: LONG_TASK_S
            await cluster.wait_for_owner()
            await asyncio.sleep(FORMER_LIFE_S)
            cut = CutIncarnation(cluster, cut_after_s)
            await begin(cluster, worker, cut)
            await asyncio.wait_for(cut.has_begun.wait(), 10.0)
            cluster.add_worker("w1").task_duration_s = worker.task_duration_s
            if kill_after_s is not None:
                await asyncio.sleep(kill_after_s)
                await cluster.daemons.pop("vm-1").kill()
                cluster.add_daemons("vm-2")
            await asyncio.sleep(CUT_S)
            cluster.network.heal()
            owner = await cluster.wait_for_owner()
            await cluster.wait_for_state(owner, "long", "completed", COMPLETED_S)

        self.run_scenario(scenario, ends_may_lapse=True)
