"""A simulation of one zone: a daemon's real placer with fake workers in memory."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from fulmarlever.policies.sizes import SIZES, LearnedSizes
from fulmarlever.structure.configuration import Configuration, JobSpec
from fulmarlever.structure.size import Size
from fulmarlever.structure.table import Change
from fulmarlever.structure.task import Task, TaskState
from fulmarleverd.placement.interference import InterferenceController
from fulmarleverd.placement.job_rows import JobRow
from fulmarleverd.placement.latency import LatencyReading
from fulmarleverd.placement.orders import StartOrder
from fulmarleverd.placement.queue import Queue
from fulmarleverd.tests.placement.fakes import Cluster, FakeRun, FakeWorker

WORKERS_PER_RACK = 8


@dataclass(slots=True, frozen=True)
class PolicyVariant:
    """The policies of one run, by their names in the registries.

    ``unproven_factor`` multiplies the declared sizes of kinds with too few usage
    reports. Without ``relieves``, no task is evicted from an overloaded or leaving
    worker. ``static_part`` limits the share of a worker's cores for batch tasks if the
    worker also runs services.
    """

    name: str
    placement: str = "scored"
    order: str = "latest-start"
    preemption: str = "least-loss"
    sizes: str = "learned"
    unproven_factor: float = 1.0
    interference: str = "learned"
    evicts_from_workers: bool = True
    static_part: float | None = None


@dataclass(slots=True)
class Totals:
    """Sums over one simulation.

    ``late_tasks`` were done after their deadline. ``overloaded_worker_s`` are the
    seconds in which a worker's tasks used more than its size, over all workers;
    ``used_core_s`` and ``capacity_core_s`` are core seconds.
    """

    done_tasks: int = 0
    late_tasks: int = 0
    overloaded_worker_s: float = 0.0
    used_core_s: float = 0.0
    capacity_core_s: float = 0.0
    latencies_s: list[float] = field(default_factory=list)


class ZoneSimulation:
    """A zone with simulated time, workers of one size and a daemon that is its placer.

    ``usage_factor`` is the used share of the declared size by kind of task, by default
    1. ``remaining_s`` is the run time left by task and attempt; ``started_s`` and
    ``submitted_s`` are simulated times. ``on_latency`` returns the latency readings of
    services for each step.
    """

    def __init__(self, workers: int, size: Size, variant: PolicyVariant) -> None:
        self.cluster = Cluster()
        self.variant = variant
        for number in range(workers):
            rack = f"rack-{number // WORKERS_PER_RACK}"
            self.cluster.add_worker(f"worker-{number:04}", rack=rack, size=size)
        self.daemon = self.cluster.add_daemon("entry-a-1")
        self.totals = Totals()
        self.usage_factor: dict[str, float] = {}
        self.remaining_s: dict[tuple[str, str], float] = {}
        self.checkpointed_remaining_s: dict[str, float] = {}
        self.started_s: dict[str, float] = {}
        self.submitted_s: dict[str, float] = {}
        self.specs: dict[str, JobSpec] = {}
        self.on_latency: Callable[[], Mapping[str, LatencyReading]] | None = None
        self.random = random.Random(7)

    def prefill(self, spec: JobSpec, tasks_per_worker: int) -> None:
        """Add a job with running tasks, as if an earlier placer had started them."""
        self.specs[spec.name] = spec
        row = JobRow.from_spec(spec, ("a",), self.cluster.clock.wall())
        self.cluster.table.write(Change({}, {row.key: row.to_wire()}))
        workers = list(self.cluster.fleet.workers.values())
        for index in range(spec.tasks):
            worker = workers[index // tasks_per_worker]
            task = Task(
                "a",
                spec.name,
                index,
                state=TaskState.RUNNING,
                attempt=1,
                worker=worker.vm.name,
                reservation=spec.size,
            )
            self.cluster.table.write(Change({}, {task.key: task.to_wire()}))
            order = StartOrder(
                task.name, 1, 0, "a", spec.run_s, spec.kind, spec.size, spec.run_s
            )
            worker.runs[task.name] = FakeRun(order, float("inf"))
            worker.attempts[task.name] = 1

    async def take_over(self, cfg: Configuration) -> None:
        """Configure the zone and let the daemon place with the variant's policies."""
        self.cluster.configure(cfg)
        await self.daemon.placer.step()
        zone, variant = self.daemon.placer.zone, self.variant
        zone.queue = Queue(
            zone.task_cache,
            zone.state.workloads,
            variant.placement,
            variant.order,
            variant.preemption,
        )
        is_learned = variant.sizes == "learned"
        zone.state.workloads.sizes = (
            LearnedSizes(variant.unproven_factor)
            if is_learned
            else SIZES.find(variant.sizes)()
        )
        zone.interference_controller = self._make_controller(zone.state)
        if not variant.evicts_from_workers:
            zone.worker_evictions.stopping_tasks = lambda: iter(())

    def _make_controller(self, state: object) -> InterferenceController:
        controller = InterferenceController(state, self.variant.interference)
        controller.is_acting = self.variant.interference == "learned"
        batch_share = self.variant.static_part
        if batch_share is not None:
            controller.is_blocked = lambda requirements, candidate: (
                not requirements.is_service
                and bool(candidate.instances_by_service)
                and sum(candidate.batch_cores_by_kind.values())
                + requirements.size.cores
                > batch_share * candidate.size.cores
            )
        return controller

    async def submit(self, spec: JobSpec) -> None:
        """Submit a job and record its time."""
        self.specs[spec.name] = spec
        self.submitted_s[spec.name] = self.cluster.clock.wall()
        await self.daemon.jobs.submit_spec(spec)

    async def step(self, step_s: float = 1.0) -> None:
        """Advance the time: tasks progress, workers report and the placer decides."""
        self.cluster.clock.advance(step_s)
        for worker in self.cluster.fleet.workers.values():
            self._advance_worker(worker, step_s)
        if self.on_latency is not None:
            readings = self.on_latency()
            if self.daemon.placer.zone is not None:
                self.daemon.placer.zone.limit_interference(readings)
        await self.daemon.step()

    async def run(self, seconds: float, step_s: float = 1.0) -> None:
        """Simulate some seconds in steps of ``step_s``."""
        for _ in range(int(seconds / step_s)):
            await self.step(step_s)

    def batch_core_shares(self, worker: FakeWorker) -> Counter[str]:
        """Return the share of a worker's cores that each kind of batch task uses."""
        core_shares: Counter[str] = Counter()
        for run in worker.running().values():
            if run.order.service is None:
                used = run.usage.cores or run.order.size.cores
                core_shares[run.order.kind] += used * run.share / worker.vm.size.cores
        return core_shares

    def _advance_worker(self, worker: FakeWorker, step_s: float) -> None:
        used = Size()
        for name, run in worker.running().items():
            run.usage = self._usage(name, run)
            used += run.usage
            if run.order.service is None:
                self._advance_run(worker, name, run, step_s)
        is_overloaded = any(used.dimensions_exceeding(worker.vm.size))
        self.totals.overloaded_worker_s += step_s * is_overloaded
        self.totals.used_core_s += step_s * used.cores
        self.totals.capacity_core_s += step_s * worker.vm.size.cores

    def _usage(self, name: str, run: FakeRun) -> Size:
        if run.order.service is not None:
            return Size(run.order.size.cores * 0.5, run.order.size.memory_mib * 0.6)
        declared = self.specs[name.rpartition("/")[0]].size
        factor = self.usage_factor.get(run.order.kind, 1.0)
        factor *= self.random.uniform(0.9, 1.0)
        return Size(declared.cores * factor * run.share, declared.memory_mib * factor)

    def _advance_run(
        self, worker: FakeWorker, name: str, run: FakeRun, step_s: float
    ) -> None:
        spec = self.specs[name.rpartition("/")[0]]
        key = (name, f"{run.order.attempt}")
        if key not in self.remaining_s:
            self.started_s.setdefault(name, self.cluster.clock.wall())
            has_checkpoint = spec.checkpoint and run.order.checkpoint
            self.remaining_s[key] = (
                self.checkpointed_remaining_s[name] if has_checkpoint else spec.run_s
            )
        self.remaining_s[key] -= step_s * run.share
        self.checkpointed_remaining_s[name] = self.remaining_s[key]
        if self.remaining_s[key] <= 0:
            worker.finish(name)
            self.totals.done_tasks += 1
            deadline_s = spec.deadline_s
            now_s = self.cluster.clock.wall()
            self.totals.late_tasks += deadline_s is not None and now_s > deadline_s
