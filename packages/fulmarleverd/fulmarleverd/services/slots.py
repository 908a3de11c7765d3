"""The service ``slots``: the slots of the zone's backend servers that this daemon owns.

Daemons divide the slots among themselves through the table's row ``slots/{zone}``. The
small row ``slots-head/{zone}`` holds the epoch of that row. It is read in each cycle,
``slots/{zone}`` itself only when the epoch has changed.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator

from loguru import logger as log

from fulmarlever.outcomes import Conflict, OutcomeUnknown, failed
from fulmarlever.policies.routing import ROUTING
from fulmarlever.structure.fleet import BackendServer, VMState
from fulmarlever.structure.table import Applied, Change, Row, WritePriority
from fulmarleverd.kernel import SERVICES, Kernel, Service
from fulmarleverd.requests.metrics import SLOTS_IN_USE, SLOTS_OWNED
from fulmarleverd.requests.ownership import (
    Ownership,
    ZoneView,
    split_identity,
    zone_members,
)
from fulmarleverd.requests.server_share import ServerShare, Slot
from fulmarleverd.requests.share_row import ShareRow
from fulmarleverd.requests.slot_pool import SlotPool

REFRESH_PERIOD_S = 1.0
HOUSEKEEPING_PERIOD_S = 0.25
CONFLICT_BACKOFF_S = 0.2


@SERVICES.register("slots")
class Slots(Service):
    """Acquires slots through the row ``slots/{zone}`` and assigns them to requests."""

    name = "slots"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.key = f"slots/{self.settings.zone}"
        self.head_key = f"slots-head/{self.settings.zone}"
        self.servers_key = f"servers/{self.settings.zone}"
        self.rng = random.Random(self.settings.vm)
        policy = ROUTING.find(self.settings.routing_policy)
        self.pool = SlotPool(self.clock, policy(self.rng))
        self.ownership: Ownership | None = None
        self._servers: dict[str, BackendServer] = {}
        self._seen_workers: set[str] = set()
        self._published: dict[str, list] = {}
        self._is_releasing_all = False
        self._cycle_lock = asyncio.Lock()

    async def start(self) -> None:
        """Start the periodic tasks that refresh ownership and publish the load."""
        self.prepare()
        self.spawn(self._run_refresh(), "slots refresh")
        self.spawn(self._run_housekeeping(), "slots housekeeping")

    def prepare(self) -> None:
        """Find the other services and set up ownership under this daemon's identity."""
        self.platform = self.kernel.find("platform")
        self.config = self.kernel.find("config")
        self.membership = self.kernel.find("membership")
        self.ownership = Ownership(self.membership.identity, self.pool, self.clock)

    def take(self, service: str) -> Slot | None:
        """Take a free slot of a service; return ``None`` when there is none."""
        return self.pool.take(service)

    def return_to_pool(self, slot: Slot, has_ended: bool = True) -> None:
        """Return a slot to the pool; see :meth:`SlotPool.return_to_pool`."""
        self.pool.return_to_pool(slot, has_ended)

    def free_slots(self, service: str) -> int:
        """Return the number of slots of a service that may be taken now."""
        return self.pool.free_slots(service)

    def servers(self, service: str) -> list[ServerShare]:
        """Return this daemon's shares of a service's servers."""
        return self.pool.of_service(service)

    async def refresh(self) -> bool:
        """Run one cycle: read the rows, apply them and write the planned changes.

        Return false when the next cycle should follow soon, because another daemon
        changed the row at the same time.
        """
        async with self._cycle_lock:
            return await self._run_cycle()

    async def _run_cycle(self) -> bool:
        started_at = self.clock.monotonic()
        rows = await self.platform.read([self.head_key, self.servers_key])
        self.apply_vm_list()
        if failed(rows):
            return True
        self._read_servers(rows.get(self.servers_key))
        head = rows.get(self.head_key)
        epoch = head.value["epoch"] if head else 0
        if not self.ownership.is_current(epoch):
            rows = await self.platform.read([self.key])
            if failed(rows):
                return True
        self._apply_row(rows.get(self.key))
        self.pool.pause_detector.confirm_read(started_at, self.clock.monotonic())
        planned = self.ownership.plan(self._view())
        if planned is None:
            return True
        return await self._write(planned)

    def _apply_row(self, row: Row | None) -> None:
        """Apply the row that was read, or the previous one if it has not changed."""
        if row is None:
            shares, version = self.ownership.row, self.ownership.version
        else:
            shares, version = ShareRow.from_wire(row.value), row.version
        self.ownership.apply_row(shares, version, self._view())

    def apply_vm_list(self) -> None:
        """Mark the servers whose worker VM is leaving or gone from the VM list.

        A worker that has never been in the VM list does not count as gone.
        """
        vms = self.platform.vms()
        self._seen_workers.update(vms)
        for share in self.pool.shares.values():
            vm = vms.get(share.server.worker)
            if vm is not None:
                share.is_worker_leaving = vm.state == VMState.LEAVING
            else:
                share.is_worker_leaving = share.server.worker in self._seen_workers

    async def _write(self, planned: ShareRow) -> bool:
        change = Change(
            {self.key: self.ownership.version},
            {self.key: planned.to_wire(), self.head_key: {"epoch": planned.epoch}},
        )
        result = await self.platform.commit(change, WritePriority.TASKS)
        if isinstance(result, Applied):
            version = result.versions[self.key]
            self.ownership.apply_row(planned, version, self._view())
            detail = f"epoch {planned.epoch}, owns {self._owned()} slots"
            self.kernel.find("timeline").record("slots.written", detail=detail)
            return True
        if isinstance(result, OutcomeUnknown):
            self.ownership.mark_write_unknown()
        return not isinstance(result, Conflict)

    def _read_servers(self, row: Row | None) -> None:
        entries = row.value["servers"] if row else {}
        self._servers = {
            name: BackendServer.from_wire({**data, "name": name})
            for name, data in entries.items()
        }
        self.pool.set_servers(self._servers)
        self.apply_vm_list()

    def _view(self) -> ZoneView:
        live = [peer.vm for peer in self.membership.live(self.settings.zone)]
        return ZoneView(
            zone_members(live, self.settings.vm),
            self._servers,
            self.config.current().services,
            self._is_ended,
            self._is_releasing_all,
        )

    def _is_ended(self, identity: str) -> bool:
        vm, incarnation = split_identity(identity)
        own_vm, own_incarnation = split_identity(self.membership.identity)
        if vm == own_vm:
            return incarnation < own_incarnation
        return self.membership.is_ended(vm, incarnation)

    async def _run_refresh(self) -> None:
        while True:
            is_up_to_date = False
            try:
                is_up_to_date = await self.refresh()
            except Exception:
                log.exception("the refresh of slot ownership failed")
            pause_s = REFRESH_PERIOD_S if is_up_to_date else CONFLICT_BACKOFF_S
            await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.0))

    async def _run_housekeeping(self) -> None:
        while True:
            now = self.clock.monotonic()
            self.pool.pause_detector.observe(now)
            self.pool.free_expired()
            self.pool.assign_free_slots()
            self.apply_vm_list()
            self._decay_latencies(now)
            self._publish_load()
            await asyncio.sleep(HOUSEKEEPING_PERIOD_S)

    def _decay_latencies(self, now: float) -> None:
        for service in self.pool.services():
            shares = self.pool.of_service(service)
            typical_s = min(share.latency_s for share in shares)
            for share in shares:
                share.decay_latency(typical_s, now, HOUSEKEEPING_PERIOD_S)

    def _publish_load(self) -> None:
        load = dict(self._loads())
        if load != self._published:
            self._published = load
            self.membership.publish("load", load)

    def _loads(self) -> Iterator[tuple[str, list[float]]]:
        """Yield each service with free slots, owned slots, waiters and mean latency."""
        for service in self.pool.services():
            shares = self.pool.of_service(service)
            owned = sum(share.limit for share in shares)
            in_use = sum(share.in_use for share in shares)
            SLOTS_OWNED.labels(service).set(owned)
            SLOTS_IN_USE.labels(service).set(in_use)
            if owned > 0 and not self.kernel.is_draining:
                waiting = self.pool.waiting(service)
                latency_s = round(sum(s.latency_s for s in shares) / len(shares), 4)
                free_slots = self.pool.free_slots(service)
                yield service, [free_slots, owned, waiting, latency_s]

    async def drain(self) -> None:
        """Release all slots, as their requests end, within the drain limit."""
        self._is_releasing_all = True
        while self.kernel.drain_left_s() > 0:
            if await self.refresh() and self._owned() == 0:
                return
            await asyncio.sleep(CONFLICT_BACKOFF_S)
        log.warning("not all slots were released within the drain limit")

    def _owned(self) -> int:
        row, identity = self.ownership.row, self.ownership.identity
        return sum(entries.get(identity, 0) for entries in row.shares.values())
