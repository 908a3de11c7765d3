"""The placer's control loop for the tasks of one zone, under one epoch."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import replace

from fulmarlever.outcomes import failed
from fulmarlever.policies.placement import Room, Surroundings
from fulmarlever.structure.configuration import Configuration
from fulmarlever.structure.fleet import VM, BackendServer
from fulmarlever.structure.size import DIMENSIONS, Size
from fulmarlever.structure.task import Task, TaskState
from fulmarleverd.kernel import Kernel
from fulmarleverd.placement.book import TaskBook
from fulmarleverd.placement.calls import Spawn, WorkerCalls
from fulmarleverd.placement.desired import service_tasks, worker_zones
from fulmarleverd.placement.intake import Intake
from fulmarleverd.placement.interference import EVICTED, InterferenceController
from fulmarleverd.placement.job_book import JobBook
from fulmarleverd.placement.job_rows import NEW
from fulmarleverd.placement.latency import LatencyReading
from fulmarleverd.placement.lease import ZoneLease
from fulmarleverd.placement.metrics import EVICTIONS
from fulmarleverd.placement.orders import AttemptId, ThrottleOrder, WorkerReport
from fulmarleverd.placement.outbox import Outbox
from fulmarleverd.placement.queue import Queue
from fulmarleverd.placement.rooms import make_room
from fulmarleverd.placement.settle import cancelled, stopping
from fulmarleverd.placement.shares import Shares, zone_part
from fulmarleverd.placement.state import ZoneState
from fulmarleverd.placement.worker_evictions import WorkerEvictions
from fulmarleverd.placement.writer import Draft, TaskWriter
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
        self.jobs = JobBook(self.platform, self.state.name, self.book)
        self.writer = TaskWriter(self.platform, lease, self.book)
        self.queue = Queue(self.book, self.state.lookup)
        self.intake = Intake(self.state)
        self.outbox = Outbox(self.state)
        self.worker_evictions = WorkerEvictions(self.state)
        self.interference_controller = InterferenceController(self.state)
        self._desired: dict[str, Task] = {}
        self._desired_for: tuple[int, tuple[str, ...]] = (-1, ())
        self._inbox_read_s = float("-inf")
        self._evictions: dict[str, str] = {}
        self._blocked_at = (-1, -1)
        self._blocked_until_s = 0.0
        self._fraction_vms: dict[str, VM] = {}
        self._fraction = 1.0

    @property
    def book(self) -> TaskBook:
        """Return the zone's tasks, as confirmed by the table."""
        return self.state.book

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
            self.book.put(Task.from_wire(row.value), row.version)
        self.state.loaded_s = self.state.clock.monotonic()
        tasks = (entry.task for entry in self.book.entries.values())
        return await self.jobs.load({t.owner for t in tasks if not t.is_service})

    def take_report(self, report: WorkerReport) -> bool:
        """Store a worker's report for the next round; return whether it is urgent."""
        return self.intake.take_report(report)

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
            for task in self.book.of_worker(worker)
            if self.state.may_renew(task)
        )
        lease, now_s = self.state.lease, self.state.clock.monotonic()
        expires_s = lease.valid_until if lease.is_valid else now_s + ORDER_VALIDITY_S
        acknowledge = tuple(self.state.acknowledge.get(worker, ()))
        return SyncPlan(self.epoch, renew, acknowledge, expires_s)

    async def round(self, cfg: Configuration) -> None:
        """Run one round: process reports, record states, start and stop tasks.

        The round ends early if the table does not confirm a read or a write that the
        next steps depend on.
        """
        if not await self._reread_unconfirmed():
            return
        await self._read_jobs(cfg)
        self._update_lookup(cfg)
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
        return await self.writer.read_doubtful()

    async def _read_jobs(self, cfg: Configuration) -> None:
        now_s = self.state.clock.monotonic()
        if now_s - self._inbox_read_s < INBOX_INTERVAL_S:
            return
        zones = worker_zones(self.platform.vms())
        await self.jobs.declare(cfg, zones, self.state.clock.wall())
        if await self.jobs.read_inbox():
            self._inbox_read_s = now_s

    def _update_lookup(self, cfg: Configuration) -> None:
        lookup, jobs = self.state.lookup, self.jobs.jobs
        lookup.now_s = self.state.clock.monotonic()
        lookup.services, lookup.teams = cfg.services, cfg.teams
        sizes = [view.size for view in self.state.workers.fleet().values()]
        lookup.largest = Size(
            *(max((getattr(s, d) for s in sizes), default=0) for d in DIMENSIONS)
        )
        lookup.jobs = {name: row.spec for name, row in jobs.items()}
        lookup.held = {name for name, row in jobs.items() if row.setup != NEW}
        lookup.submitted_s = {name: row.submitted for name, row in jobs.items()}

    async def _write_states(self, cfg: Configuration) -> bool:
        draft = Draft()
        self.intake.fill(draft)
        for task in self._next_states(cfg):
            if task.key not in draft.tasks:
                draft.add(task)
        self.jobs.take_inbox(draft)
        backends = self.state.backends
        servers = self._servers(draft)
        if servers != backends.listed:
            wire = backends.to_wire(servers, cfg.generation)
            draft.others[backends.key] = (backends.version, wire)
        for key, task in draft.tasks.items():
            if task.is_service and task.state is TaskState.CANCELLED:
                draft.ttl_s[key] = INSTANCE_ROW_TTL_S
        tasks = list(draft.tasks.values())
        if not await self.writer.write(draft):
            backends.needs_reread = True
            return False
        self._on_written(tasks)
        if backends.key in draft.others:
            version = self.writer.versions[backends.key]
            backends.confirm(servers, version, self.state.clock.monotonic())
        return True

    async def _update_job_rows(self) -> None:
        names = self.jobs.ended()
        if names and await self.jobs.load(names):
            draft = self.jobs.fold(name for name in names if name in self.jobs.ended())
            if await self.writer.write(draft):
                await self.jobs.load(names)
        names = self.jobs.stopped()
        if names and await self.jobs.load(names):
            draft = self.jobs.release(n for n in names if n in self.jobs.stopped())
            if await self.writer.write(draft):
                await self.jobs.load(names)
        leftovers = self.jobs.leftovers()
        if leftovers.removed:
            await self.writer.write(leftovers)
        self.jobs.forget_ended()

    async def _start_queued(self, cfg: Configuration) -> None:
        now_s = self.state.clock.monotonic()
        is_unchanged = (self.book.changes, cfg.generation) == self._blocked_at
        if not self.book.queued or (is_unchanged and now_s < self._blocked_until_s):
            return
        draft = Draft()
        rooms = self._rooms()
        lookup = self.state.lookup
        shares = Shares(self.book, lookup, rooms, cfg.teams, self._zone_fraction())
        around = Surroundings(
            self.interference_controller.is_blocked,
            self.interference_controller.slowdown,
        )
        for task in self.queue.decide(rooms, shares, around):
            draft.add(task)
        if not draft.tasks:
            self._blocked_at = (self.book.changes, cfg.generation)
            self._blocked_until_s = now_s + BLOCKED_RETRY_S
        tasks = list(draft.tasks.values())
        if tasks and await self.writer.write(draft):
            self._on_written(tasks)

    def _next_states(self, cfg: Configuration) -> Iterator[Task]:
        yield from self._service_changes(cfg)
        yield from self.jobs.creations()
        yield from self.jobs.cancellations()
        yield from self.worker_evictions.stopping_tasks()
        evictions, self._evictions = self._evictions, {}
        for key, reason in evictions.items():
            task = self.book.get(key)
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
            known = self.book.get(key)
            if known is None:
                yield task
            elif known.state is TaskState.CANCELLED:
                yield replace(known, state=TaskState.QUEUED, cancel=False, reason="")
        for key in self.book.services - self._desired.keys():
            task = self.book.entries[key].task
            next_state = None if task.state.is_final else cancelled(task, REMOVED)
            if next_state is not None:
                yield next_state

    def _servers(self, draft: Draft) -> dict[str, BackendServer]:
        keys = self.book.services | {
            key for key, task in draft.tasks.items() if task.is_service
        }
        entries = self.book.entries
        tasks = (draft.tasks.get(k) or entries[k].task for k in sorted(keys))
        return self.state.backends.desired_servers(tasks, self._is_leaving)

    def _is_leaving(self, task: Task) -> bool:
        view = self.state.workers.fleet().get(task.worker)
        is_worker_leaving = view is not None and view.is_leaving
        return task.state is TaskState.STOPPING or is_worker_leaving

    def _rooms(self) -> list[Room]:
        now_s = self.state.clock.monotonic()
        workers, health = self.state.workers, self.state.health
        return [
            make_room(
                name,
                view.vm.rack,
                view.size,
                self.book,
                self.state.lookup,
                self.state.excess.get(name, Size()),
            )
            for name, view in workers.fleet().items()
            if name in self.state.ready
            and workers.is_reachable(view)
            and not view.is_leaving
            and not health.is_suspended(name, now_s)
        ]

    def _worker_of(self, order: ThrottleOrder) -> str:
        task = self.book.get(f"task/{self.state.name}/{order.task}")
        return task.worker if task is not None else ""

    def _zone_fraction(self) -> float:
        vms = self.platform.vms()
        if vms is not self._fraction_vms:
            self._fraction_vms, self._fraction = vms, zone_part(vms, self.state.name)
        return self._fraction

    def _on_written(self, tasks: list[Task]) -> None:
        for task in tasks:
            if task.state is TaskState.STARTING:
                self.state.health.record_placement(task.worker)
                self.state.calls.clear_delay(task.key)
            elif task.state is not TaskState.RUNNING:
                self.state.confirmed_s.pop(task.key, None)
                self.state.usage.pop(task.key, None)
            if task.state.is_final:
                self.state.lookup.retries.forget(task.key)
            if task.state is TaskState.STOPPING and not task.cancel:
                EVICTIONS.inc()
            self.timeline.record(
                f"task.{task.state}",
                task=task.name,
                worker=task.worker,
                detail=f"attempt {task.attempt} {task.reason}".strip(),
            )
