"""The service ``slots``: this daemon's share of the zone's backend servers."""

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
    members,
    split_identity,
)
from fulmarleverd.requests.server_share import ServerShare, Slot
from fulmarleverd.requests.share_row import ShareRow
from fulmarleverd.requests.slot_pool import SlotPool

SHARE_POLL_S = 1.0
BEAT_S = 0.25
CONFLICT_BACKOFF_S = 0.2


@SERVICES.register("slots")
class Slots(Service):
    """Owns slots by the row ``slots/{zone}`` and hands them to requests."""

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
        self._gives_back = False
        self._cycle = asyncio.Lock()

    async def start(self) -> None:
        """Begin to read the row of shares and to hold this daemon's part."""
        self.prepare()
        self.spawn(self._keep_shares(), "slots shares")
        self.spawn(self._beat(), "slots beat")

    def prepare(self) -> None:
        """Find the other services and take this process's identity."""
        self.platform = self.kernel.find("platform")
        self.config = self.kernel.find("config")
        self.membership = self.kernel.find("membership")
        self.ownership = Ownership(self.membership.identity, self.pool, self.clock)

    def take(self, service: str) -> Slot | None:
        """Return a free slot of a service, or ``None``."""
        return self.pool.take(service)

    def give_back(self, slot: Slot, is_free: bool = True) -> None:
        """Return a slot; see :meth:`SlotPool.give_back`."""
        self.pool.give_back(slot, is_free)

    def free(self, service: str) -> int:
        """Return the number of slots that may be taken now."""
        return self.pool.free(service)

    def servers(self, service: str) -> list[ServerShare]:
        """Return this daemon's shares of a service's servers."""
        return self.pool.of_service(service)

    async def refresh(self) -> bool:
        """Run one cycle: read the rows, adopt them and write what is to change.

        Return whether the row needs no further change.
        """
        async with self._cycle:
            return await self._run_cycle()

    async def _run_cycle(self) -> bool:
        started_at = self.clock.monotonic()
        rows = await self.platform.read([self.head_key, self.servers_key])
        self.note_vm_list()
        if failed(rows):
            return True
        self._read_servers(rows.get(self.servers_key))
        head = rows.get(self.head_key)
        epoch = head.value["epoch"] if head else 0
        if not self.ownership.is_current(epoch):
            rows = await self.platform.read([self.key])
            if failed(rows):
                return True
        self._adopt(rows.get(self.key))
        self.pool.guard.confirm(started_at, self.clock.monotonic())
        planned = self.ownership.plan(self._view())
        if planned is None:
            return True
        return await self._write(planned)

    def _adopt(self, row: Row | None) -> None:
        """Adopt the row that was read, or again the one that is still in force."""
        if row is None:
            shares, version = self.ownership.row, self.ownership.version
        else:
            shares, version = ShareRow.from_wire(row.value), row.version
        self.ownership.adopt(shares, version, self._view())

    def note_vm_list(self) -> None:
        """Mark the servers whose worker leaves or left according to the VM list."""
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
            self.ownership.adopt(planned, version, self._view())
            detail = f"epoch {planned.epoch}, owns {self._owned()} slots"
            self.kernel.find("timeline").record("slots.written", detail=detail)
            return True
        if isinstance(result, OutcomeUnknown):
            self.ownership.doubt()
        return not isinstance(result, Conflict)

    def _read_servers(self, row: Row | None) -> None:
        entries = row.value["servers"] if row else {}
        self._servers = {
            name: BackendServer.from_wire({**data, "name": name})
            for name, data in entries.items()
        }
        self.pool.set_servers(self._servers)
        self.note_vm_list()

    def _view(self) -> ZoneView:
        live = [peer.vm for peer in self.membership.live(self.settings.zone)]
        return ZoneView(
            members(live, self.settings.vm),
            self._servers,
            self.config.current().services,
            self._is_ended,
            self._gives_back,
        )

    def _is_ended(self, identity: str) -> bool:
        vm, incarnation = split_identity(identity)
        own_vm, own_incarnation = split_identity(self.membership.identity)
        if vm == own_vm:
            return incarnation < own_incarnation
        return self.membership.is_ended(vm, incarnation)

    async def _keep_shares(self) -> None:
        while True:
            is_settled = False
            try:
                is_settled = await self.refresh()
            except Exception:
                log.exception("the cycle of shares failed")
            pause_s = SHARE_POLL_S if is_settled else CONFLICT_BACKOFF_S
            await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.0))

    async def _beat(self) -> None:
        while True:
            now = self.clock.monotonic()
            self.pool.guard.beat(now)
            self.pool.free_expired()
            self.pool.serve_waiting()
            self.note_vm_list()
            self._relax_latencies(now)
            self._publish_load()
            await asyncio.sleep(BEAT_S)

    def _relax_latencies(self, now: float) -> None:
        for service in self.pool.services():
            shares = self.pool.of_service(service)
            typical_s = min(share.latency_s for share in shares)
            for share in shares:
                share.relax(typical_s, now, BEAT_S)

    def _publish_load(self) -> None:
        load = dict(self._loads())
        if load != self._published:
            self._published = load
            self.membership.publish("load", load)

    def _loads(self) -> Iterator[tuple[str, list[float]]]:
        for service in self.pool.services():
            shares = self.pool.of_service(service)
            owned = sum(share.limit for share in shares)
            in_use = sum(share.in_use for share in shares)
            SLOTS_OWNED.labels(service).set(owned)
            SLOTS_IN_USE.labels(service).set(in_use)
            if owned > 0 and not self.kernel.is_draining:
                waiting = self.pool.waiting(service)
                latency_s = round(sum(s.latency_s for s in shares) / len(shares), 4)
                free = self.pool.free(service)
                yield service, [free, owned, waiting, latency_s]

    async def drain(self) -> None:
        """Give all shares back once no request is in progress."""
        self._gives_back = True
        while self.kernel.drain_left_s() > 0:
            if await self.refresh() and self._owned() == 0:
                return
            await asyncio.sleep(CONFLICT_BACKOFF_S)
        log.warning("shares were not given back within the drain limit")

    def _owned(self) -> int:
        row, identity = self.ownership.row, self.ownership.identity
        return sum(entries.get(identity, 0) for entries in row.shares.values())
