"""Fakes for the placer's tests: in-memory workers, and daemons that share a table."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace

from reactivex.subject import BehaviorSubject

from fulmarlever.clock import ManualClock
from fulmarlever.outcomes import OutcomeUnknown, Refused, Unavailable
from fulmarlever.structure.configuration import Configuration
from fulmarlever.structure.fleet import VM
from fulmarlever.structure.size import Size
from fulmarlever.structure.table import Change
from fulmarlever_standins.table import MemoryTable
from fulmarleverd.kernel import Kernel, Service
from fulmarleverd.placement.orders import (
    Ended,
    Started,
    StartOrder,
    StopOrder,
    SyncAnswer,
    SyncOrder,
    TaskReport,
    ThrottleOrder,
)
from fulmarleverd.services.jobs import Jobs
from fulmarleverd.services.placer import Placer
from fulmarleverd.services.workers import Workers
from fulmarleverd.tests.base import FakePlatform, make_kernel

WORKER_SIZE = Size(32, 125000, 0)


@dataclass(slots=True)
class FakeRun:
    """One attempt on a fake worker; ``lease_end`` is a monotonic time."""

    order: StartOrder
    lease_end: float
    state: str = "running"
    checkpoint: str = ""
    usage: Size = field(default_factory=Size)
    share: float = 1.0


class FakeWorker:
    """A worker that follows the workers' protocol.

    ``clock_offset_s`` is the difference of its own clock from the cluster's clock.
    ``starts`` lists the accepted starts as (task, attempt, checkpoint). ``overruns``
    counts the starts that were refused because the task did not fit.
    """

    def __init__(self, vm: VM, clock: ManualClock) -> None:
        self.vm = vm
        self.clock = clock
        self.clock_offset_s = 500.0
        self.epoch = 0
        self.attempts: dict[str, int] = {}
        self.runs: dict[str, FakeRun] = {}
        self.fails_starts = False
        self.refuses_stops = False
        self.starts: list[tuple[str, int, str]] = []
        self.ends: dict[tuple[str, int], str] = {}
        self.overruns = 0
        self.checkpoint_count = 0

    def running(self) -> dict[str, FakeRun]:
        """Stop runs with an expired lease; return the others that run, by task."""
        now = self.clock.monotonic()
        for run in self.runs.values():
            if run.state == "running" and run.lease_end <= now:
                run.state = "stopped"
        return {n: run for n, run in self.runs.items() if run.state == "running"}

    def reserved(self) -> Size:
        """Return the sum of the running tasks' reservations."""
        return sum((run.order.size for run in self.running().values()), Size())

    def start(self, order: StartOrder) -> Started | Refused:
        """Execute a start order."""
        self.running()
        run = self.runs.get(order.task)
        if self._is_late(order.not_after_s) or not self._is_current(order):
            return Refused("late or fenced")
        if run is not None and run.order.attempt == order.attempt:
            is_running = run.state == "running"
            return Started("127.0.0.1", 9000) if is_running else Refused("over")
        if order.attempt <= self.attempts.get(order.task, 0) or self.fails_starts:
            return Refused("over")
        if not (self.reserved() + order.size).fits_in(self.vm.size):
            self.overruns += 1
            return Refused("does not fit")
        self.attempts[order.task] = order.attempt
        end = self.clock.monotonic() + order.lease_s
        self.runs[order.task] = FakeRun(order, end, checkpoint=order.checkpoint)
        self.starts.append((order.task, order.attempt, order.checkpoint))
        return Started("127.0.0.1", 9000)

    def sync(self, order: SyncOrder) -> SyncAnswer | Refused:
        """Execute renewals and acknowledgements, and return a report."""
        running = self.running()
        if order.epoch < self.epoch:
            return Refused("the epoch is over")
        self.epoch = order.epoch
        for item in order.renew if not self._is_late(order.not_after_s) else ():
            run = running.get(item.task)
            if run and run.order.attempt == item.attempt:
                end = self.clock.monotonic() + order.lease_s
                run.lease_end = max(run.lease_end, end)
        for item in order.acknowledge:
            run = self.runs.get(item.task)
            if run and run.order.attempt == item.attempt and run.state != "running":
                del self.runs[item.task]
        return SyncAnswer(
            self.vm.name,
            self.vm.size,
            tuple(self._report(run) for run in self.runs.values()),
            self.clock.monotonic() + self.clock_offset_s,
        )

    def stop(self, order: StopOrder) -> Ended | Refused:
        """Execute a stop order."""
        self.running()
        if not self._is_current(order) or self.refuses_stops:
            return Refused("fenced")
        self.attempts[order.task] = order.attempt
        run = self.runs.get(order.task)
        if run is None or run.order.attempt < order.attempt:
            return Ended("stopped")
        if run.state == "running":
            run.state = "stopped"
            if order.checkpoint:
                self.checkpoint_count += 1
                run.checkpoint = f"{order.task}@{order.attempt}.{self.checkpoint_count}"
        return Ended(run.state, run.checkpoint)

    def throttle(self, order: ThrottleOrder) -> bool:
        """Execute a throttle order."""
        if order.task in self.running():
            self.runs[order.task].share = order.share
        return True

    def finish(self, task: str, state: str = "done") -> None:
        """End a running task in a state, without a stop order."""
        if task in self.running():
            self.runs[task].state = state
            self.ends[task, self.runs[task].order.attempt] = state

    def _is_current(self, order: StartOrder | StopOrder) -> bool:
        last_attempt = self.attempts.get(order.task, 0)
        if order.epoch < self.epoch or order.attempt < last_attempt:
            return False
        self.epoch = order.epoch
        return True

    def _is_late(self, not_after_s: float | None) -> bool:
        now_s = self.clock.monotonic() + self.clock_offset_s
        return not_after_s is not None and now_s > not_after_s

    def _report(self, run: FakeRun) -> TaskReport:
        return TaskReport(
            run.order.task,
            run.order.attempt,
            run.state,
            checkpoint=run.checkpoint,
            usage=run.usage,
        )


class FakeFleet:
    """The fake workers and the network links from the daemons to them.

    ``cut_links`` and ``delayed_links`` hold (VM, worker) pairs, and ``frozen`` the
    workers that do not answer. An order over a cut link fails. An order over a delayed
    link, or to a frozen worker, is executed only by ``deliver_delayed``.
    ``lose_answers`` is the number of next answers that are lost.
    """

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.workers: dict[str, FakeWorker] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.frozen: set[str] = set()
        self.delayed_links: set[tuple[str, str]] = set()
        self.delayed_orders: list[tuple[str, str, object]] = []
        self.lose_answers = 0

    def add(self, name: str, zone: str = "a", rack: str = "r1", size=WORKER_SIZE) -> VM:
        """Add a worker and return its VM."""
        vm = VM(name, zone, "worker", "127.0.0.1", 1, rack=rack, size=size)
        self.workers[name] = FakeWorker(vm, self.clock)
        return vm

    def call(self, daemon: str, worker: str, verb: str, order: object) -> object:
        """Send an order to a worker and return its answer, subject to the faults."""
        link = (daemon, worker)
        if link in self.cut_links:
            return Unavailable("cut")
        if worker in self.frozen or link in self.delayed_links:
            self.delayed_orders.append((worker, verb, order))
            return OutcomeUnknown("no answer")
        answer = getattr(self.workers[worker], verb)(order)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return OutcomeUnknown("answer lost")
        return answer

    def deliver_delayed(self) -> None:
        """Execute delayed orders, but not on frozen workers; the answers are lost."""
        delayed, self.delayed_orders = self.delayed_orders, []
        for worker, verb, order in delayed:
            if worker in self.frozen:
                self.delayed_orders.append((worker, verb, order))
            else:
                getattr(self.workers[worker], verb)(order)

    def workers_running(self, task: str) -> list[str]:
        """Return the names of the workers on which a task runs now."""
        return [n for n, worker in self.workers.items() if task in worker.running()]


class FakeWorkerClient:
    """The worker client of one daemon, which calls the fake fleet."""

    def __init__(self, daemon: str, fleet: FakeFleet) -> None:
        self.daemon = daemon
        self.fleet = fleet

    async def start(self, vm: VM, order: StartOrder) -> object:
        return self.fleet.call(self.daemon, vm.name, "start", order)

    async def sync(self, vm: VM, order: SyncOrder) -> object:
        return self.fleet.call(self.daemon, vm.name, "sync", order)

    async def stop(self, vm: VM, order: StopOrder) -> object:
        return self.fleet.call(self.daemon, vm.name, "stop", order)

    async def throttle(self, vm: VM, order: ThrottleOrder) -> object:
        return self.fleet.call(self.daemon, vm.name, "throttle", order)

    async def close(self) -> None:
        return None


class FakeConfig(Service):
    """The service ``config`` with a configuration that the test sets."""

    name = "config"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.configuration = Configuration()
        self.drained = BehaviorSubject(frozenset())

    def current(self) -> Configuration:
        return self.configuration


class FakeMembership(Service):
    """The service ``membership`` with ended processes that the test sets."""

    name = "membership"

    def __init__(self, kernel: Kernel, identity: str) -> None:
        super().__init__(kernel)
        self.identity = identity
        self.ended: set[str] = set()

    def is_ended(self, vm: str, incarnation: int) -> bool:
        return f"{vm}#{incarnation}" in self.ended


class FaultyPlatform(FakePlatform):
    """The fake platform of one daemon, which can delay writes to the table."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.delays_writes = False
        self.delayed_writes: list[Change] = []

    async def write(self, change: Change) -> object:
        if self.delays_writes:
            self.delayed_writes.append(change)
            return OutcomeUnknown("no answer")
        return await super().write(change)

    def deliver_delayed(self) -> None:
        """Apply every delayed write to the table; the answers are lost."""
        delayed, self.delayed_writes = self.delayed_writes, []
        for change in delayed:
            self.table.write(change)


class Daemon:
    """One daemon's placement services over a shared table and fleet.

    Nothing runs in the background: tests call ``step``, ``sync`` or ``placer.round``.
    """

    def __init__(
        self, cluster: Cluster, vm: str, zone: str, incarnation: int = 1
    ) -> None:
        self.vm = vm
        self.kernel = make_kernel(cluster.clock, vm=vm, zone=zone)
        self.platform = FaultyPlatform(self.kernel)
        self.kernel.add(self.platform)
        self.platform.table = cluster.table
        self.platform.vm_list = cluster.vms
        self.config = FakeConfig(self.kernel)
        self.membership = FakeMembership(self.kernel, f"{vm}#{incarnation}")
        self.workers = Workers(self.kernel)
        self.workers.client = FakeWorkerClient(vm, cluster.fleet)
        self.placer = Placer(self.kernel)
        self.jobs = Jobs(self.kernel)
        for service in (self.config, self.membership, self.workers, self.placer):
            self.kernel.add(service)
        self.kernel.add(self.jobs)
        self.placer.prepare()

    async def sync(self) -> None:
        """Synchronise with every worker once."""
        self.workers.update_list()
        for name in list(self.workers.fleet()):
            await self.workers.sync(name)

    async def step(self) -> None:
        """Renew the lease, synchronise, and run two rounds with their calls."""
        await self.placer.step()
        await self.sync()
        await self.placer.round()
        await run_pending_calls()
        await self.placer.round()
        await run_pending_calls()


class Cluster:
    """A table, a clock and fake workers that some daemons share."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.table = MemoryTable(self.clock)
        self.fleet = FakeFleet(self.clock)
        self.vms: dict[str, VM] = {}
        self.daemons: list[Daemon] = []

    def add_worker(self, name: str, **fields: object) -> None:
        """Add a worker to the fleet and the VM list."""
        self.vms[name] = self.fleet.add(name, **fields)

    def add_daemon(self, vm: str, zone: str = "a", incarnation: int = 1) -> Daemon:
        """Add a daemon for a zone and return it."""
        daemon = Daemon(self, vm, zone, incarnation)
        self.daemons.append(daemon)
        return daemon

    def configure(self, cfg: Configuration) -> None:
        """Give all daemons a configuration with the next generation number."""
        generation = self.daemons[0].config.configuration.generation + 1
        for daemon in self.daemons:
            daemon.config.configuration = replace(cfg, generation=generation)

    async def run(self, seconds: float, *daemons: Daemon, step_s: float = 1.0) -> None:
        """Advance the clock in steps, and run some or all daemons after each step."""
        for _ in range(int(seconds / step_s)):
            self.clock.advance(step_s)
            for daemon in daemons or self.daemons:
                await daemon.step()

    def task(self, name: str, zone: str = "a") -> dict:
        """Return the value of a task's row, empty if there is none."""
        rows = self.table.read([f"task/{zone}/{name}"])
        return rows[0].value if rows else {}


async def run_pending_calls() -> None:
    """Run the event loop until the calls to workers that were begun have ended."""
    for _ in range(5):
        await asyncio.sleep(0)
