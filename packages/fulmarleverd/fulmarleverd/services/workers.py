"""The zone's workers: one synchronisation per worker and interval, starts and stops."""

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
"""The bound on the relative drift between the clocks of two VMs."""

ORDER_VALIDITY_S = 2.0
"""How long after its sending a worker may still carry out a start or a renewal."""

SYNCS_PER_S = 20.0
"""The synchronisations a second from which on a large fleet is read less often."""

LONGEST_INTERVAL = 1 / 4
"""The longest time between two synchronisations of a worker, in task leases."""

STALE_AFTER_SYNCS = 3.5
"""The number of intervals without an answer after which a worker is unreachable."""


@dataclass(slots=True, frozen=True)
class SyncPlan:
    """What the next synchronisation of one worker carries.

    ``expires_s`` is the monotonic time after which the worker must not act on it.
    """

    epoch: int
    renew: tuple[AttemptId, ...] = ()
    acknowledge: tuple[AttemptId, ...] = ()
    expires_s: float = 0.0


class ZonePlacer(Protocol):
    """The zone's placer, as the workers' service sees it."""

    def plan(self, worker: str) -> SyncPlan:
        """Return what the next synchronisation of a worker carries."""

    def on_higher_epoch(self) -> None:
        """Take note that a worker has seen a higher epoch."""


@dataclass(slots=True)
class WorkerView:
    """One worker as the placer's daemon sees it. Times are monotonic seconds.

    ``leases_end_s`` is the time after which every lease of a batch task that this
    daemon granted on the worker is over.
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
        """Return a monotonic time on the worker's clock, early by the drift bound."""
        if self.clock_offset_s is None:
            return None
        drift_s = MAX_CLOCK_DRIFT * max(0.0, time_s - self.answered_s)
        return time_s + self.clock_offset_s - drift_s

    def grant(self, expires_s: float, lease_s: float) -> None:
        """Note that a lease may begin on the worker until the horizon."""
        end_s = expires_s + lease_s * (1 + MAX_CLOCK_DRIFT)
        self.leases_end_s = max(self.leases_end_s, end_s)


@SERVICES.register("workers")
class Workers(Service):
    """Calls to the zone's workers, made only while this daemon has the duty."""

    name: ClassVar[str] = "workers"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.client = WorkerClient()
        self.reports: Subject[WorkerReport] = Subject()
        self._views: dict[str, WorkerView] = {}
        self._readers: dict[str, asyncio.Task] = {}
        self._placer: ZonePlacer | None = None
        self._is_started = False

    async def start(self) -> None:
        """Start to follow the VM list."""
        self._is_started = True
        self.spawn(self._follow_list(), "workers list")

    async def stop(self) -> None:
        """Stop every reader and close the connections."""
        self.detach_placer()
        await super().stop()
        await self.client.close()

    def fleet(self) -> dict[str, WorkerView]:
        """Return the zone's workers by name; empty without the duty."""
        return self._views

    def attach_placer(self, zone_placer: ZonePlacer) -> None:
        """Begin to read the zone's workers for a new placer.

        Until workers answer, leases of the former placer may be running on them.
        """
        self._placer = zone_placer
        self._views.clear()
        self.update_list()

    def detach_placer(self) -> None:
        """Stop reading workers."""
        self._placer = None
        for reader in self._readers.values():
            reader.cancel()
        self._readers.clear()
        self._views.clear()

    def is_reachable(self, view: WorkerView) -> bool:
        """Return whether a worker answered its last synchronisation lately."""
        limit_s = STALE_AFTER_SYNCS * self.interval_s
        age_s = self.clock.monotonic() - view.answered_s
        return view.is_answering and age_s <= limit_s

    @property
    def interval_s(self) -> float:
        """Return the time between two synchronisations of one worker.

        One costs the daemon about a millisecond, so a large fleet is read less often,
        as far as the renewal of leases allows.
        """
        wanted_s = max(self.settings.worker_sync_s, len(self._views) / SYNCS_PER_S)
        return min(wanted_s, self.settings.task_lease_s * LONGEST_INTERVAL)

    def update_list(self) -> None:
        """Follow the VM list: add new workers, mark those that left it."""
        if self._placer is None:
            return
        listed = self._listed()
        for name, vm in listed.items():
            self._update(name, vm)
        for name, view in self._views.items():
            if name in listed:
                view.unlisted_since_s = None
            elif view.unlisted_since_s is None:
                view.unlisted_since_s = self.clock.monotonic()

    async def sync(self, name: str) -> bool:
        """Synchronise with one worker and return whether it answered."""
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
            self._note(view, answer)
            self.reports.on_next(WorkerReport(sent_s, answer))
        return view.is_answering

    async def start_task(
        self, worker: str, order: StartOrder, expires_s: float
    ) -> Started | Refused | Unavailable | OutcomeUnknown:
        """Order a start that the worker must not carry out after the horizon."""
        view = self._views.get(worker)
        if view is None:
            return Unavailable(f"worker {worker} is unknown")
        expires_s = min(expires_s, self.clock.monotonic() + ORDER_VALIDITY_S)
        if order.service is None:
            # The long lease of an instance must not keep other tasks from moving.
            view.grant(expires_s, order.lease_s)
        order = replace(order, not_after_s=view.worker_time(expires_s))
        return await self.client.start(view.vm, order)

    async def stop_task(
        self, worker: str, order: StopOrder
    ) -> Ended | Refused | Unavailable | OutcomeUnknown:
        """Order a stop and wait for the end of the attempt."""
        view = self._views.get(worker)
        if view is None:
            return Unavailable(f"worker {worker} is unknown")
        return await self.client.stop(view.vm, order)

    async def throttle_task(
        self, worker: str, order: ThrottleOrder
    ) -> bool | Refused | Unavailable | OutcomeUnknown:
        """Set the share of its cores that a task may use."""
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

    def _update(self, name: str, vm: VM) -> None:
        view = self._views.get(name)
        if view is None:
            view = WorkerView(vm, vm.size)
            # The former placer's last orders may begin a lease just before now.
            view.grant(
                self.clock.monotonic() + ORDER_VALIDITY_S, self.settings.task_lease_s
            )
            self._views[name] = view
        view.vm = vm
        reader = self._readers.get(name)
        if self._is_started and (reader is None or reader.done()):
            self._readers[name] = self.spawn(self._read(name), f"worker {name}")

    def _sync_order(
        self, view: WorkerView, zone_placer: ZonePlacer
    ) -> tuple[SyncOrder, float]:
        plan = zone_placer.plan(view.vm.name)
        sent_s = self.clock.monotonic()
        expires_s = min(plan.expires_s, sent_s + ORDER_VALIDITY_S)
        # A renewal to a worker that does not answer would put off the end of its
        # leases, and with it the next attempt of its tasks.
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

    def _note(self, view: WorkerView, answer: SyncAnswer) -> None:
        view.answered_s = self.clock.monotonic()
        view.size = answer.size
        if answer.clock_s is not None:
            view.clock_offset_s = answer.clock_s - view.answered_s

    async def _read(self, name: str) -> None:
        while name in self._views:
            was_answering = self._views[name].is_answering
            is_renewed = await self.sync(name) and was_answering
            pause_s = self.interval_s if is_renewed else self.settings.worker_sync_s
            await asyncio.sleep(pause_s)

    async def _follow_list(self) -> None:
        while True:
            self.update_list()
            await asyncio.sleep(self.settings.vm_list_poll_s)
