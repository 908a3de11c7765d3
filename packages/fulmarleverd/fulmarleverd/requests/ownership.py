"""The rules by which this daemon gains, keeps and loses slots of the zone's servers."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from fulmarlever.clock import Clock
from fulmarlever.structure.configuration import ServiceSpec
from fulmarlever.structure.fleet import BackendServer
from fulmarleverd.requests.fair_share import fair_share
from fulmarleverd.requests.share_row import Closed, ShareRow
from fulmarleverd.requests.slot_pool import SlotPool

CLOSED_MARGIN_S = 6.0
"""How much longer than the longest request the slots of an ended owner stay closed."""

END_CONFIRMED_S = 2.0
"""How long the proof that an owner has ended must hold before its slots are closed."""

DEFAULT_RUN_S = 30.0


def split_identity(identity: str) -> tuple[str, int]:
    """Return the VM and the incarnation of an identity ``vm#incarnation``."""
    vm, _, incarnation = identity.rpartition("#")
    return vm, int(incarnation)


@dataclass(slots=True)
class ZoneView:
    """What this daemon believes of its zone when it plans.

    ``vms`` are the live daemons with this one; ``is_ended`` is the proof that an
    owner's process has ended.
    """

    vms: list[str]
    servers: Mapping[str, BackendServer]
    services: Mapping[str, ServiceSpec]
    is_ended: Callable[[str], bool]
    is_draining: bool = False


@dataclass(slots=True)
class PendingLowering:
    """Lowered limits whose write has an unknown outcome, and the version it needs."""

    version: int
    limits: dict[str, int] = field(default_factory=dict)


class Ownership:
    """The part that this daemon has in the row of shares.

    One cycle is :meth:`adopt` with the row that was read, :meth:`plan` with the new
    row to write, and :meth:`adopt` or :meth:`doubt` after the write.
    """

    def __init__(self, identity: str, pool: SlotPool, clock: Clock) -> None:
        self.identity = identity
        self.pool = pool
        self.clock = clock
        self.row = ShareRow()
        self.version = 0
        self._pending: PendingLowering | None = None
        self._kept: dict[str, int] = {}
        self._released: dict[str, int] = {}
        self._closed_seen: dict[tuple[str, str, Closed], float] = {}
        self._ended_since: dict[str, float] = {}

    def is_current(self, epoch: int) -> bool:
        """Return whether the row of an epoch is the one adopted, and no write pends."""
        return epoch == self.row.epoch and self._pending is None

    def adopt(self, row: ShareRow, version: int, view: ZoneView) -> None:
        """Take over a row that was read or written, and use the slots it gives."""
        self.row = row
        self.version = version
        if self._pending is not None and self._pending.version != version:
            self._pending = None
        self._note_closings()
        for name, share in self.pool.shares.items():
            limit = row.owned(name, self.identity)
            limit = min(limit, self._kept.get(name, limit))
            if self._pending is not None:
                limit = min(limit, self._pending.limits.get(name, limit))
            run_s = self._run_s(share.server, view)
            allowed_s = min(run_s, row.run_s.get(name, run_s))
            self.pool.set_limit(name, limit, allowed_s)

    def plan(self, view: ZoneView) -> ShareRow | None:
        """Return the row to write next, or ``None`` when nothing is to be changed.

        Limits of slots to be released are lowered before this returns, so that the
        row never shows fewer slots than are in use.
        """
        self._kept = {}
        self._released = {}
        row = self.row.copy()
        steps = (
            self._reopen_own,
            self._close_ended,
            self._open_expired,
            self._raise_run_limit,
            self._release,
            self._gain,
        )
        changes = [step(row, view) for step in steps]
        if not any(changes):
            return None
        row.epoch += 1
        return row

    def doubt(self) -> None:
        """Note that the planned row may or may not have been written.

        Released slots stay unused until the row's version has moved on: until then
        the write could still take effect.
        """
        if self._pending is None or self._pending.version != self.version:
            self._pending = PendingLowering(self.version)
        for name, limit in self._released.items():
            earlier = self._pending.limits.get(name, limit)
            self._pending.limits[name] = min(earlier, limit)

    def _run_s(self, server: BackendServer, view: ZoneView) -> float:
        spec = view.services.get(server.service)
        return spec.max_run_s if spec is not None else DEFAULT_RUN_S

    def _note_closings(self) -> None:
        now = self.clock.monotonic()
        seen = self._closed_seen
        self._closed_seen = {
            entry: seen.get(entry, now) for entry in self.row.closings()
        }

    def _reopen_own(self, row: ShareRow, view: ZoneView) -> bool:
        own = [server for server, who, _ in row.closings() if who == self.identity]
        for server in own:
            row.reopen(server, self.identity)
        return bool(own)

    def _close_ended(self, row: ShareRow, view: ZoneView) -> bool:
        now = self.clock.monotonic()
        ended = {who for who in row.owners() if self._is_ended(who, view)}
        since = {who: self._ended_since.get(who, now) for who in ended}
        self._ended_since = since
        confirmed = {who for who in ended if now - since[who] >= END_CONFIRMED_S}
        found = [
            (server, who)
            for server, entries in row.shares.items()
            for who in entries
            if who in confirmed
        ]
        for server, who in found:
            row.close(server, who)
        return bool(found)

    def _is_ended(self, identity: str, view: ZoneView) -> bool:
        return identity != self.identity and view.is_ended(identity)

    def _open_expired(self, row: ShareRow, view: ZoneView) -> bool:
        now = self.clock.monotonic()
        expired = [
            (server, who)
            for (server, who, entry), seen in self._closed_seen.items()
            if now - seen >= self._closed_for_s(row, server)
            and self._is_ended(who, view)
            and row.closed.get(server, {}).get(who) == entry
        ]
        for server, who in expired:
            row.open(server, who)
        return bool(expired)

    def _closed_for_s(self, row: ShareRow, server: str) -> float:
        return row.run_s.get(server, DEFAULT_RUN_S) + CLOSED_MARGIN_S

    def _raise_run_limit(self, row: ShareRow, view: ZoneView) -> bool:
        changed = False
        for name in row.shares:
            server = view.servers.get(name)
            if server is None:
                continue
            run_s = self._run_s(server, view)
            if run_s > row.run_s.get(name, 0.0):
                row.run_s[name] = run_s
                changed = True
        return changed

    def _release(self, row: ShareRow, view: ZoneView) -> bool:
        changed = False
        for name, share in self.pool.shares.items():
            owned = row.owned(name, self.identity)
            keep = self._keep(name, row, view)
            if keep >= owned:
                continue
            self._kept[name] = keep
            share.limit = min(share.limit, keep)
            rest = max(share.in_use, keep)
            if rest < owned:
                row.set_share(name, self.identity, rest)
                self._released[name] = rest
                changed = True
        return changed

    def _keep(self, name: str, row: ShareRow, view: ZoneView) -> int:
        """Return how many of its slots this daemon should keep."""
        owned = row.owned(name, self.identity)
        server = view.servers.get(name)
        if view.is_draining or server is None:
            return 0
        target = self._target(server, view, self.identity)
        if owned > target and self._is_wanted(server, row, view):
            return target
        return owned

    def _target(self, server: BackendServer, view: ZoneView, identity: str) -> int:
        vm, _ = split_identity(identity)
        return fair_share(server.name, server.slots, view.vms, vm)

    def _is_wanted(self, server: BackendServer, row: ShareRow, view: ZoneView) -> bool:
        """Return whether a live daemon lacks slots or the server has fewer now."""
        if row.unowned(server.name, server.slots) < 0:
            return True
        held: dict[str, int] = {}
        for who, slots in row.shares.get(server.name, {}).items():
            vm, _ = split_identity(who)
            held[vm] = held.get(vm, 0) + slots
        return any(
            held.get(vm, 0) < fair_share(server.name, server.slots, view.vms, vm)
            for vm in view.vms
        )

    def _gain(self, row: ShareRow, view: ZoneView) -> bool:
        if view.is_draining:
            return False
        changed = False
        for name, server in view.servers.items():
            owned = row.owned(name, self.identity)
            target = self._target(server, view, self.identity)
            room = row.unowned(name, server.slots)
            gain = min(target - owned, room)
            if gain <= 0:
                continue
            row.set_share(name, self.identity, owned + gain)
            run_s = self._run_s(server, view)
            row.run_s[name] = max(run_s, row.run_s.get(name, 0.0))
            changed = True
        return changed


def members(live: Collection[str], vm: str) -> list[str]:
    """Return the VMs that share the zone's slots, this one among them, sorted."""
    return sorted({*live, vm})
