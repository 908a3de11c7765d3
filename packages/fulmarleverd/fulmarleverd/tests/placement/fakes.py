"""Fakes for the placer's tests: workers in memory and daemons that share a table."""

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
    """One attempt on a fake worker."""

    order: StartOrder
    lease_end: float
    state: str = "running"
    checkpoint: str = ""
    usage: Size = field(default_factory=Size)
    share: float = 1.0


class FakeWorker:
    """A worker that keeps the rules of the workers' protocol."""

    def __init__(self, vm: VM, clock: ManualClock) -> None:
        self.vm = vm
        self.clock = clock
        self.clock_ahead_s = 500.0
        self.epoch = 0
        self.attempts: dict[str, int] = {}
        self.runs: dict[str, FakeRun] = {}
        self.fails_starts = False
        self.refuses_stops = False
        self.starts: list[tuple[str, int, str]] = []
        self.ends: dict[tuple[str, int], str] = {}
        self.overruns = 0
        self.serial = 0

    def running(self) -> dict[str, FakeRun]:
        """Return the runs whose lease is not over."""
        now = self.clock.monotonic()
        for run in self.runs.values():
            if run.state == "running" and run.lease_end <= now:
                run.state = "stopped"
        return {n: run for n, run in self.runs.items() if run.state == "running"}

    def reserved(self) -> Size:
        """Return what the running tasks reserve."""
        return sum((run.order.size for run in self.running().values()), Size())

    def start(self, order: StartOrder) -> Started | Refused:
        """Carry out a start."""
        self.running()
        known = self.runs.get(order.task)
        if self._is_late(order.not_after_s) or not self._is_fresh(order):
            return Refused("late or fenced")
        if known is not None and known.order.attempt == order.attempt:
            is_running = known.state == "running"
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
        """Carry out renewals and acknowledgements, and report."""
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
            self.clock.monotonic() + self.clock_ahead_s,
        )

    def stop(self, order: StopOrder) -> Ended | Refused:
        """Carry out a stop."""
        self.running()
        if not self._is_fresh(order) or self.refuses_stops:
            return Refused("fenced")
        self.attempts[order.task] = order.attempt
        run = self.runs.get(order.task)
        if run is None or run.order.attempt < order.attempt:
            return Ended("stopped")
        if run.state == "running":
            run.state = "stopped"
            if order.checkpoint:
                self.serial += 1
                run.checkpoint = f"{order.task}@{order.attempt}.{self.serial}"
        return Ended(run.state, run.checkpoint)

    def throttle(self, order: ThrottleOrder) -> bool:
        """Carry out a throttle."""
        if order.task in self.running():
            self.runs[order.task].share = order.share
        return True

    def finish(self, task: str, state: str = "done") -> None:
        """Let a running task end by itself."""
        if task in self.running():
            self.runs[task].state = state
            self.ends[task, self.runs[task].order.attempt] = state

    def _is_fresh(self, order: StartOrder | StopOrder) -> bool:
        known = self.attempts.get(order.task, 0)
        if order.epoch < self.epoch or order.attempt < known:
            return False
        self.epoch = order.epoch
        return True

    def _is_late(self, not_after_s: float | None) -> bool:
        now_s = self.clock.monotonic() + self.clock_ahead_s
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
    """The fake workers and the links to them.

    ``cut`` holds (VM, worker) pairs without a link and ``frozen`` workers that answer
    nothing. Orders held by ``hold`` reach their worker only on ``deliver_held``.
    """

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.workers: dict[str, FakeWorker] = {}
        self.cut: set[tuple[str, str]] = set()
        self.frozen: set[str] = set()
        self.hold: set[tuple[str, str]] = set()
        self.held: list[tuple[str, str, object]] = []
        self.lose_answers = 0

    def add(self, name: str, zone: str = "a", rack: str = "r1", size=WORKER_SIZE) -> VM:
        """Add a worker and return its VM."""
        vm = VM(name, zone, "worker", "127.0.0.1", 1, rack=rack, size=size)
        self.workers[name] = FakeWorker(vm, self.clock)
        return vm

    def call(self, daemon: str, worker: str, verb: str, order: object) -> object:
        """Carry an order to a worker and its answer back, with the faults set."""
        link = (daemon, worker)
        if link in self.cut:
            return Unavailable("cut")
        if worker in self.frozen or link in self.hold:
            self.held.append((worker, verb, order))
            return OutcomeUnknown("no answer")
        answer = getattr(self.workers[worker], verb)(order)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return OutcomeUnknown("answer lost")
        return answer

    def deliver_held(self) -> None:
        """Let every held order reach its worker now; the answers are lost."""
        held, self.held = self.held, []
        for worker, verb, order in held:
            if worker in self.frozen:
                self.held.append((worker, verb, order))
            else:
                getattr(self.workers[worker], verb)(order)

    def places(self, task: str) -> list[str]:
        """Return the workers on which a task runs now."""
        return [n for n, worker in self.workers.items() if task in worker.running()]


class FakeWorkerClient:
    """The calls of one daemon to the fake fleet."""

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
    """The service ``config`` with a configuration set by the test."""

    name = "config"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.configuration = Configuration()
        self.drained = BehaviorSubject(frozenset())

    def current(self) -> Configuration:
        return self.configuration


class FakeMembership(Service):
    """The service ``membership`` with proofs of ended processes set by the test."""

    name = "membership"

    def __init__(self, kernel: Kernel, identity: str) -> None:
        super().__init__(kernel)
        self.identity = identity
        self.ended: set[str] = set()

    def is_ended(self, vm: str, incarnation: int) -> bool:
        return f"{vm}#{incarnation}" in self.ended


class FaultyPlatform(FakePlatform):
    """The fake platform of one daemon, cut off or with writes that arrive late."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.is_holding = False
        self.held: list[Change] = []

    async def write(self, change: Change) -> object:
        if self.is_holding:
            self.held.append(change)
            return OutcomeUnknown("no answer")
        return await super().write(change)

    def deliver_held(self) -> None:
        """Let every held write reach the table now; the answers are lost."""
        held, self.held = self.held, []
        for change in held:
            self.table.write(change)


class Daemon:
    """One daemon's placement services over a shared table and fleet.

    Nothing runs by itself: tests call ``beat``, ``sync`` and ``round``.
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
        """Renew, synchronise, and decide until nothing is in flight."""
        await self.placer.step()
        await self.sync()
        await self.placer.round()
        await settle()
        await self.placer.round()
        await settle()


class Cluster:
    """A table, a clock and fake workers for some daemons."""

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
        """Add a daemon."""
        daemon = Daemon(self, vm, zone, incarnation)
        self.daemons.append(daemon)
        return daemon

    def configure(self, cfg: Configuration) -> None:
        """Put the next generation of a configuration in force everywhere."""
        generation = self.daemons[0].config.configuration.generation + 1
        for daemon in self.daemons:
            daemon.config.configuration = replace(cfg, generation=generation)

    async def run(self, seconds: float, *daemons: Daemon, step_s: float = 1.0) -> None:
        """Let time pass while some daemons, all by default, work."""
        for _ in range(int(seconds / step_s)):
            self.clock.advance(step_s)
            for daemon in daemons or self.daemons:
                await daemon.step()

    def task(self, name: str, zone: str = "a") -> dict:
        """Return the row of a task."""
        rows = self.table.read([f"task/{zone}/{name}"])
        return rows[0].value if rows else {}


async def settle() -> None:
    """Let the calls that were begun end."""
    for _ in range(5):
        await asyncio.sleep(0)
