"""The placer's control loop for the tasks of one zone, under one epoch."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import replace

from fulmarlever.outcomes import failed
from fulmarlever.policies.placement import PlacementContext, WorkerCapacity
from fulmarlever.structure.configuration import Configuration
from fulmarlever.structure.fleet import VM, BackendServer
from fulmarlever.structure.size import DIMENSIONS, Size
from fulmarlever.structure.task import Task, TaskState
from fulmarleverd.kernel import Kernel
from fulmarleverd.placement.calls import Spawn, WorkerCalls
from fulmarleverd.placement.capacity import worker_capacity
from fulmarleverd.placement.desired import service_tasks, worker_zones
from fulmarleverd.placement.interference import EVICTED, InterferenceController
from fulmarleverd.placement.job_rows import NEW
from fulmarleverd.placement.job_tracker import JobTracker
from fulmarleverd.placement.latency import LatencyReading
from fulmarleverd.placement.lease import ZoneLease
from fulmarleverd.placement.metrics import EVICTIONS
from fulmarleverd.placement.orders import AttemptId, ThrottleOrder, WorkerReport
from fulmarleverd.placement.outbox import Outbox
from fulmarleverd.placement.queue import Queue
from fulmarleverd.placement.quotas import ZoneQuotas, zone_fraction
from fulmarleverd.placement.state import ZoneState
from fulmarleverd.placement.task_cache import TaskCache
from fulmarleverd.placement.task_transitions import cancelled, stopping
from fulmarleverd.placement.worker_evictions import WorkerEvictions
from fulmarleverd.placement.worker_reports import ReportProcessor
from fulmarleverd.placement.writer import TaskWriter, WriteBatch
from fulmarleverd.services.workers import ORDER_VALIDITY_S, SyncPlan

INBOX_INTERVAL_S = 1.0
"""The minimum time between two reads of the zone's job inbox."""

BLOCKED_RETRY_S = 1.0
"""The time until placement is retried after no queued task could be started.

It is retried earlier if a task or the configuration changes.
"""

INSTANCE_ROW_TTL_S = 24 * 3600.0
"""How long the row of an ended instance is kept.

The row prevents its attempt numbers from being used again.
"""

REMOVED = "removed from the configuration"


class Zone:
    """Decides on and records the task states of a zone while the lease is held.

    An instance is created at takeover, belongs to one epoch and is dropped when the
    lease is lost. A round processes the reports of workers and writes the new task
    states in one group commit, then chooses tasks to start and writes them in a second
    one. Only then are start and stop orders sent, so an order never precedes its
    recorded state.

    ``spawn`` runs a coroutine as a named background task, and ``wake`` begins the next
    round early.
    """

    def __init__(
        self, kernel: Kernel, lease: ZoneLease, spawn: Spawn, wake: Callable[[], None]
    ) -> None:
        self.platform = kernel.find("platform")
        self.timeline = kernel.find("timeline")
        self.state = ZoneState(
            kernel, lease, WorkerCalls(kernel.find("workers"), spawn, wake)
        )
        self.jobs = JobTracker(self.platform, self.state.name, self.task_cache)
        self.writer = TaskWriter(self.platform, lease, self.task_cache)
        self.queue = Queue(self.task_cache, self.state.workloads)
        self.report_processor = ReportProcessor(self.state)
        self.outbox = Outbox(self.state)
        self.worker_evictions = WorkerEvictions(self.state)
        self.interference_controller = InterferenceController(self.state)
        self._desired: dict[str, Task] = {}
        self._desired_for: tuple[int, tuple[str, ...]] = (-1, ())
        self._inbox_read_s = float("-inf")
        self._evictions: dict[str, str] = {}
        self._blocked_versions = (-1, -1)
        self._blocked_until_s = 0.0
        self._fraction_vms: dict[str, VM] = {}
        self._fraction = 1.0

    @property
    def task_cache(self) -> TaskCache:
        """Return the zone's tasks, as confirmed by the table."""
        return self.state.task_cache

    @property
    def epoch(self) -> int:
        """Return the lease epoch at takeover."""
        return self.state.epoch

    async def load(self) -> bool:
        """Read the rows of the zone's servers, tasks and jobs.

        Return false if the table did not answer.
        """
        backends = self.state.backends
        rows = await self.platform.read([backends.key], [f"task/{self.state.name}/"])
        if failed(rows):
            return False
        backends.load(rows.pop(backends.key, None))
        for row in rows.values():
            self.task_cache.put(Task.from_wire(row.value), row.version)
        self.state.loaded_at_s = self.state.clock.monotonic()
        tasks = (entry.task for entry in self.task_cache.entries.values())
        return await self.jobs.load({t.owner for t in tasks if not t.is_service})

    def add_report(self, report: WorkerReport) -> bool:
        """Store a worker's report for the next round; return whether it is urgent."""
        return self.report_processor.add_report(report)

    def evict(self, key: str, reason: str) -> None:
        """Stop a task in the next round and queue it again with its checkpoint, if any.

        ``key`` is the key of the task's row; an unknown one is ignored.
        """
        self._evictions[key] = reason

    def limit_interference(self, readings: Mapping[str, LatencyReading]) -> None:
        """Throttle or evict batch tasks for services over their latency targets.

        ``readings`` are the latencies measured by all daemons, by backend server name.
        """
        for decision in self.interference_controller.update(readings):
            if isinstance(decision, Task):
                self.evict(decision.key, EVICTED)
            else:
                self.state.calls.throttle(self._worker_of(decision), decision)

    def plan(self, worker: str) -> SyncPlan:
        """Return the renewals and acknowledgements for a worker's next sync call."""
        renew = tuple(
            AttemptId(task.name, task.attempt)
            for task in self.task_cache.of_worker(worker)
            if self.state.may_renew(task)
        )
        lease, now_s = self.state.lease, self.state.clock.monotonic()
        expires_s = lease.valid_until if lease.is_valid else now_s + ORDER_VALIDITY_S
        acknowledge = tuple(self.state.pending_acknowledgements.get(worker, ()))
        return SyncPlan(self.epoch, renew, acknowledge, expires_s)

    async def round(self, cfg: Configuration) -> None:
        """Run one round: process reports, record states, start and stop tasks.

        The round ends early if the table does not confirm a read or a write that the
        next steps depend on.
        """
        if not await self._reread_unconfirmed():
            return
        await self._read_jobs(cfg)
        self._update_workloads(cfg)
        if not await self._write_states(cfg):
            return
        await self._update_job_rows()
        await self._start_queued(cfg)
        if self.state.lease.is_valid:
            self.outbox.send()

    async def _reread_unconfirmed(self) -> bool:
        backends = self.state.backends
        if backends.needs_reread:
            rows = await self.platform.read([backends.key])
            if failed(rows):
                return False
            backends.load(rows.get(backends.key))
        return await self.writer.reread_unconfirmed()

    async def _read_jobs(self, cfg: Configuration) -> None:
        now_s = self.state.clock.monotonic()
        if now_s - self._inbox_read_s < INBOX_INTERVAL_S:
            return
        zones = worker_zones(self.platform.vms())
        await self.jobs.declare(cfg, zones, self.state.clock.wall())
        if await self.jobs.read_inbox():
            self._inbox_read_s = now_s

    def _update_workloads(self, cfg: Configuration) -> None:
        workloads, jobs = self.state.workloads, self.jobs.jobs
        workloads.now_s = self.state.clock.monotonic()
        workloads.services, workloads.teams = cfg.services, cfg.teams
        sizes = [view.size for view in self.state.workers.fleet().values()]
        workloads.largest_worker = Size(
            *(max((getattr(s, d) for s in sizes), default=0) for d in DIMENSIONS)
        )
        workloads.jobs = {name: row.spec for name, row in jobs.items()}
        workloads.not_owned = {name for name, row in jobs.items() if row.setup != NEW}
        workloads.submitted_s = {name: row.submitted for name, row in jobs.items()}

    async def _write_states(self, cfg: Configuration) -> bool:
        write_batch = WriteBatch()
        self.report_processor.collect_changes(write_batch)
        for task in self._next_states(cfg):
            if task.key not in write_batch.tasks:
                write_batch.add(task)
        self.jobs.delete_inbox_rows(write_batch)
        backends = self.state.backends
        servers = self._servers(write_batch)
        if servers != backends.listed:
            wire = backends.to_wire(servers, cfg.generation)
            write_batch.other_rows[backends.key] = (backends.version, wire)
        for key, task in write_batch.tasks.items():
            if task.is_service and task.state is TaskState.CANCELLED:
                write_batch.ttl_s[key] = INSTANCE_ROW_TTL_S
        tasks = list(write_batch.tasks.values())
        if not await self.writer.write(write_batch):
            backends.needs_reread = True
            return False
        self._on_written(tasks)
        if backends.key in write_batch.other_rows:
            version = self.writer.versions[backends.key]
            backends.confirm(servers, version, self.state.clock.monotonic())
        return True

    async def _update_job_rows(self) -> None:
        names = self.jobs.ended_jobs()
        if names and await self.jobs.load(names):
            write_batch = self.jobs.record_results(
                name for name in names if name in self.jobs.ended_jobs()
            )
            if await self.writer.write(write_batch):
                await self.jobs.load(names)
        names = self.jobs.ready_to_release()
        if names and await self.jobs.load(names):
            write_batch = self.jobs.record_release(
                n for n in names if n in self.jobs.ready_to_release()
            )
            if await self.writer.write(write_batch):
                await self.jobs.load(names)
        deletions = self.jobs.finished_task_deletions()
        if deletions.deleted_tasks:
            await self.writer.write(deletions)
        self.jobs.drop_ended()

    async def _start_queued(self, cfg: Configuration) -> None:
        now_s = self.state.clock.monotonic()
        is_unchanged = (
            self.task_cache.change_count,
            cfg.generation,
        ) == self._blocked_versions
        if not self.task_cache.queued_by_owner or (
            is_unchanged and now_s < self._blocked_until_s
        ):
            return
        write_batch = WriteBatch()
        candidates = self._candidates()
        workloads = self.state.workloads
        quotas = ZoneQuotas(
            self.task_cache, workloads, candidates, cfg.teams, self._zone_fraction()
        )
        context = PlacementContext(
            self.interference_controller.is_blocked,
            self.interference_controller.slowdown,
        )
        for task in self.queue.decide(candidates, quotas, context):
            write_batch.add(task)
        if not write_batch.tasks:
            self._blocked_versions = (self.task_cache.change_count, cfg.generation)
            self._blocked_until_s = now_s + BLOCKED_RETRY_S
        tasks = list(write_batch.tasks.values())
        if tasks and await self.writer.write(write_batch):
            self._on_written(tasks)

    def _next_states(self, cfg: Configuration) -> Iterator[Task]:
        yield from self._service_changes(cfg)
        yield from self.jobs.new_tasks()
        yield from self.jobs.cancellations()
        yield from self.worker_evictions.stopping_tasks()
        evictions, self._evictions = self._evictions, {}
        for key, reason in evictions.items():
            task = self.task_cache.get(key)
            next_state = stopping(task, reason) if task is not None else None
            if next_state is not None:
                yield next_state

    def _service_changes(self, cfg: Configuration) -> Iterator[Task]:
        if cfg.generation < self.state.backends.generation:
            # A former placer has already applied a later configuration.
            return
        zones = worker_zones(self.platform.vms())
        if (cfg.generation, zones) != self._desired_for:
            tasks = service_tasks(cfg, self.state.name, zones)
            self._desired = {task.key: task for task in tasks}
            self._desired_for = (cfg.generation, zones)
        for key, task in self._desired.items():
            known = self.task_cache.get(key)
            if known is None:
                yield task
            elif known.state is TaskState.CANCELLED:
                yield replace(known, state=TaskState.QUEUED, cancel=False, reason="")
        for key in self.task_cache.service_keys - self._desired.keys():
            task = self.task_cache.entries[key].task
            next_state = None if task.state.is_final else cancelled(task, REMOVED)
            if next_state is not None:
                yield next_state

    def _servers(self, write_batch: WriteBatch) -> dict[str, BackendServer]:
        keys = self.task_cache.service_keys | {
            key for key, task in write_batch.tasks.items() if task.is_service
        }
        entries = self.task_cache.entries
        tasks = (write_batch.tasks.get(k) or entries[k].task for k in sorted(keys))
        return self.state.backends.desired_servers(tasks, self._is_leaving)

    def _is_leaving(self, task: Task) -> bool:
        view = self.state.workers.fleet().get(task.worker)
        is_worker_leaving = view is not None and view.is_leaving
        return task.state is TaskState.STOPPING or is_worker_leaving

    def _candidates(self) -> list[WorkerCapacity]:
        now_s = self.state.clock.monotonic()
        workers, health = self.state.workers, self.state.health
        return [
            worker_capacity(
                name,
                view.vm.rack,
                view.size,
                self.task_cache,
                self.state.workloads,
                self.state.excess_by_worker.get(name, Size()),
            )
            for name, view in workers.fleet().items()
            if name in self.state.reconciled_workers
            and workers.is_reachable(view)
            and not view.is_leaving
            and not health.is_suspended(name, now_s)
        ]

    def _worker_of(self, order: ThrottleOrder) -> str:
        task = self.task_cache.get(f"task/{self.state.name}/{order.task}")
        return task.worker if task is not None else ""

    def _zone_fraction(self) -> float:
        vms = self.platform.vms()
        if vms is not self._fraction_vms:
            self._fraction_vms, self._fraction = (
                vms,
                zone_fraction(vms, self.state.name),
            )
        return self._fraction

    def _on_written(self, tasks: list[Task]) -> None:
        for task in tasks:
            if task.state is TaskState.STARTING:
                self.state.health.record_placement(task.worker)
                self.state.calls.clear_delay(task.key)
            elif task.state is not TaskState.RUNNING:
                self.state.confirmed_at_s.pop(task.key, None)
                self.state.usage_by_task.pop(task.key, None)
            if task.state.is_final:
                self.state.workloads.retry_delays.remove(task.key)
            if task.state is TaskState.STOPPING and not task.cancel:
                EVICTIONS.inc()
            self.timeline.record(
                f"task.{task.state}",
                task=task.name,
                worker=task.worker,
                detail=f"attempt {task.attempt} {task.reason}".strip(),
            )
