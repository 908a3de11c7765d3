"""The service that calls the zone's workers: periodic sync, start, stop, throttle."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import ClassVar, Protocol

from reactivex.subject import Subject

from fulmarlever.outcomes import OutcomeUnknown, Refused, Unavailable
from fulmarlever.structure.fleet import VM, VMState
from fulmarlever.structure.size import Size
from fulmarleverd.kernel import SERVICES, Kernel, Service
from fulmarleverd.placement.desired import WORKER_ROLE
from fulmarleverd.placement.orders import (
    AttemptId,
    Ended,
    Started,
    StartOrder,
    StopOrder,
    SyncAnswer,
    SyncOrder,
    ThrottleOrder,
    WorkerReport,
)
from fulmarleverd.placement.worker_client import WorkerClient

MAX_CLOCK_DRIFT = 0.01
"""The maximum relative drift between the clocks of two VMs."""

ORDER_VALIDITY_S = 2.0
"""How long after it was sent a worker may carry out a start or a renewal."""

MAX_SYNCS_PER_S = 20.0
"""The rate of sync calls above which the interval of a large fleet is lengthened."""

MAX_INTERVAL_FRACTION = 1 / 4
"""The maximum time between two sync calls to a worker, in task lease durations."""

UNREACHABLE_AFTER_INTERVALS = 3.5
"""How many sync intervals without an answer make a worker unreachable."""


@dataclass(slots=True, frozen=True)
class SyncPlan:
    """The contents of the next sync call to one worker.

    ``renew`` are the attempts whose leases are renewed and ``acknowledge`` the ended
    attempts that the worker may forget. ``expires_s`` is the monotonic time after which
    the worker must not renew the leases.
    """

    epoch: int
    renew: tuple[AttemptId, ...] = ()
    acknowledge: tuple[AttemptId, ...] = ()
    expires_s: float = 0.0


class ZonePlacer(Protocol):
    """The callbacks of the zone's placer that the workers service uses."""

    def plan(self, worker: str) -> SyncPlan:
        """Return the contents of the next sync call to a worker."""

    def on_higher_epoch(self) -> None:
        """Handle a refused sync call: the worker may have seen a higher epoch."""


@dataclass(slots=True)
class WorkerView:
    """What the placer's daemon knows of one worker. Times are monotonic seconds.

    ``answered_s`` is the time of the last sync answer, 0 before the first one, and
    ``is_answering`` tells whether the last sync call was answered. ``clock_offset_s``
    is the worker's monotonic clock minus this daemon's, unknown before the first
    answer. ``leases_end_s`` is the time after which every batch task lease that this
    daemon granted on the worker has ended. ``unlisted_since_s`` is the time since which
    the VM list has lacked the worker.
    """

    vm: VM
    size: Size
    answered_s: float = 0.0
    is_answering: bool = False
    clock_offset_s: float | None = None
    leases_end_s: float = 0.0
    unlisted_since_s: float | None = None

    @property
    def is_leaving(self) -> bool:
        """Return whether the worker takes no new task."""
        return self.vm.state is VMState.LEAVING or self.unlisted_since_s is not None

    def worker_time(self, time_s: float) -> float | None:
        """Convert a monotonic time to the worker's clock, early by the maximum drift.

        Return None while the offset of the worker's clock is unknown.
        """
        if self.clock_offset_s is None:
            return None
        drift_s = MAX_CLOCK_DRIFT * max(0.0, time_s - self.answered_s)
        return time_s + self.clock_offset_s - drift_s

    def grant(self, expires_s: float, lease_s: float) -> None:
        """Record that a lease may begin on the worker until ``expires_s``."""
        end_s = expires_s + lease_s * (1 + MAX_CLOCK_DRIFT)
        self.leases_end_s = max(self.leases_end_s, end_s)


@SERVICES.register("workers")
class Workers(Service):
    """Calls the zone's workers while a placer is attached.

    ``reports`` emits each sync answer. Every worker of the zone is synchronised with at
    intervals of ``interval_s`` by a background task of its own.
    """

    name: ClassVar[str] = "workers"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.client = WorkerClient()
        self.reports: Subject[WorkerReport] = Subject()
        self._views: dict[str, WorkerView] = {}
        self._sync_tasks: dict[str, asyncio.Task] = {}
        self._placer: ZonePlacer | None = None
        self._is_started = False

    async def start(self) -> None:
        """Start to poll the VM list."""
        self._is_started = True
        self.spawn(self._poll_list(), "workers list")

    async def stop(self) -> None:
        """Detach the placer, stop all background tasks and close the connections."""
        self.detach_placer()
        await super().stop()
        await self.client.close()

    def fleet(self) -> dict[str, WorkerView]:
        """Return the zone's workers by name; empty while no placer is attached."""
        return self._views

    def attach_placer(self, zone_placer: ZonePlacer) -> None:
        """Begin to synchronise with the zone's workers on behalf of a placer.

        Leases granted by a former placer may still be running on the workers.
        """
        self._placer = zone_placer
        self._views.clear()
        self.update_list()

    def detach_placer(self) -> None:
        """Stop synchronising with workers and forget them."""
        self._placer = None
        for sync_task in self._sync_tasks.values():
            sync_task.cancel()
        self._sync_tasks.clear()
        self._views.clear()

    def is_reachable(self, view: WorkerView) -> bool:
        """Return whether a worker answered the last sync call, and recently enough."""
        limit_s = UNREACHABLE_AFTER_INTERVALS * self.interval_s
        age_s = self.clock.monotonic() - view.answered_s
        return view.is_answering and age_s <= limit_s

    @property
    def interval_s(self) -> float:
        """Return the time in seconds between two sync calls to one worker.

        A sync call costs the daemon about a millisecond, so the interval grows with the
        fleet, up to the limit that the renewal of task leases sets.
        """
        wanted_s = max(self.settings.worker_sync_s, len(self._views) / MAX_SYNCS_PER_S)
        return min(wanted_s, self.settings.task_lease_s * MAX_INTERVAL_FRACTION)

    def update_list(self) -> None:
        """Add new workers of the VM list and mark those missing from it."""
        if self._placer is None:
            return
        listed = self._listed()
        for name, vm in listed.items():
            self._add_or_update(name, vm)
        for name, view in self._views.items():
            if name in listed:
                view.unlisted_since_s = None
            elif view.unlisted_since_s is None:
                view.unlisted_since_s = self.clock.monotonic()

    async def sync(self, name: str) -> bool:
        """Send one sync call to a worker; return whether it was answered.

        The answer is emitted by ``reports``. If the worker refuses, the placer is told
        that there may be a higher epoch.
        """
        view, zone_placer = self._views.get(name), self._placer
        if view is None or zone_placer is None:
            return False
        order, sent_s = self._sync_order(view, zone_placer)
        answer = await self.client.sync(view.vm, order)
        if zone_placer is not self._placer:
            return False
        if isinstance(answer, Refused):
            zone_placer.on_higher_epoch()
        view.is_answering = isinstance(answer, SyncAnswer)
        if isinstance(answer, SyncAnswer):
            self._update_view(view, answer)
            self.reports.on_next(WorkerReport(sent_s, answer))
        return view.is_answering

    async def start_task(
        self, worker: str, order: StartOrder, expires_s: float
    ) -> Started | Refused | Unavailable | OutcomeUnknown:
        """Send a start order that the worker must refuse after ``expires_s``.

        ``expires_s`` is a monotonic time, limited to ``ORDER_VALIDITY_S`` from now.
        """
        view = self._views.get(worker)
        if view is None:
            return Unavailable(f"worker {worker} is unknown")
        expires_s = min(expires_s, self.clock.monotonic() + ORDER_VALIDITY_S)
        if order.service is None:
            # The long lease of a service instance must not delay the moving of other
            # tasks from a lost worker.
            view.grant(expires_s, order.lease_s)
        order = replace(order, not_after_s=view.worker_time(expires_s))
        return await self.client.start(view.vm, order)

    async def stop_task(
        self, worker: str, order: StopOrder
    ) -> Ended | Refused | Unavailable | OutcomeUnknown:
        """Send a stop order and wait for the end of the attempt."""
        view = self._views.get(worker)
        if view is None:
            return Unavailable(f"worker {worker} is unknown")
        return await self.client.stop(view.vm, order)

    async def throttle_task(
        self, worker: str, order: ThrottleOrder
    ) -> bool | Refused | Unavailable | OutcomeUnknown:
        """Set the share of its reserved cores that a task may use."""
        view = self._views.get(worker)
        if view is None:
            return Unavailable(f"worker {worker} is unknown")
        return await self.client.throttle(view.vm, order)

    def _listed(self) -> dict[str, VM]:
        zone = self.settings.zone
        vms = self.kernel.find("platform").vms()
        drained = self.kernel.find("config").drained.value
        return {
            name: replace(vm, state=VMState.LEAVING) if name in drained else vm
            for name, vm in vms.items()
            if vm.role == WORKER_ROLE and vm.zone == zone
        }

    def _add_or_update(self, name: str, vm: VM) -> None:
        view = self._views.get(name)
        if view is None:
            view = WorkerView(vm, vm.size)
            # An order that a former placer sent just now may still begin a lease.
            view.grant(
                self.clock.monotonic() + ORDER_VALIDITY_S, self.settings.task_lease_s
            )
            self._views[name] = view
        view.vm = vm
        sync_task = self._sync_tasks.get(name)
        if self._is_started and (sync_task is None or sync_task.done()):
            self._sync_tasks[name] = self.spawn(
                self._sync_repeatedly(name), f"worker {name}"
            )

    def _sync_order(
        self, view: WorkerView, zone_placer: ZonePlacer
    ) -> tuple[SyncOrder, float]:
        plan = zone_placer.plan(view.vm.name)
        sent_s = self.clock.monotonic()
        expires_s = min(plan.expires_s, sent_s + ORDER_VALIDITY_S)
        # A renewal sent to a worker that does not answer would postpone the assumed end
        # of its leases, and with it the next attempt of its tasks.
        renew = plan.renew if view.is_answering else ()
        if renew:
            view.grant(expires_s, self.settings.task_lease_s)
        order = SyncOrder(
            self.settings.zone,
            plan.epoch,
            self.settings.task_lease_s,
            renew,
            plan.acknowledge,
            view.worker_time(expires_s),
        )
        return order, sent_s

    def _update_view(self, view: WorkerView, answer: SyncAnswer) -> None:
        view.answered_s = self.clock.monotonic()
        view.size = answer.size
        if answer.clock_s is not None:
            view.clock_offset_s = answer.clock_s - view.answered_s

    async def _sync_repeatedly(self, name: str) -> None:
        while name in self._views:
            was_answering = self._views[name].is_answering
            is_renewed = await self.sync(name) and was_answering
            pause_s = self.interval_s if is_renewed else self.settings.worker_sync_s
            await asyncio.sleep(pause_s)

    async def _poll_list(self) -> None:
        while True:
            self.update_list()
            await asyncio.sleep(self.settings.vm_list_poll_s)
