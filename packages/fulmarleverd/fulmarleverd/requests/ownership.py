"""The rules by which a daemon acquires, keeps and releases slots of backend servers."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from fulmarlever.clock import Clock
from fulmarlever.structure.configuration import ServiceSpec
from fulmarlever.structure.fleet import BackendServer
from fulmarleverd.requests.fair_share import fair_share
from fulmarleverd.requests.share_row import ClosedSlots, ShareRow
from fulmarleverd.requests.slot_pool import SlotPool

CLOSED_MARGIN_S = 6.0
"""Time beyond the run limit for which the slots of an ended owner stay closed."""

END_CONFIRMATION_S = 2.0
"""Time for which an owner must be proved to have ended before its slots are closed."""

# The longest time between two reads of the row for which its table counts as available.
MAX_READ_GAP_S = 3.0
# The run limit on servers whose service is not in the configuration.
DEFAULT_MAX_RUN_S = 30.0


def split_identity(identity: str) -> tuple[str, int]:
    """Return the VM and the incarnation of an identity ``vm#incarnation``."""
    vm, _, incarnation = identity.rpartition("#")
    return vm, int(incarnation)


@dataclass(slots=True)
class ZoneView:
    """The state of the zone as this daemon knows it, the input of planning.

    ``vms`` are the VMs of the live daemons, including this one. ``servers`` and
    ``services`` are keyed by name. ``is_ended`` takes an identity and returns whether
    its process is proved to have ended.
    """

    vms: list[str]
    servers: Mapping[str, BackendServer]
    services: Mapping[str, ServiceSpec]
    is_ended: Callable[[str], bool]
    is_draining: bool = False


@dataclass(slots=True)
class PendingRelease:
    """Slots released by a write of unknown outcome.

    ``version`` is the version of the row on which the write depends. ``limits`` maps a
    server to the number of slots that this daemon still owns if the write took effect.
    """

    version: int
    limits: dict[str, int] = field(default_factory=dict)


class Ownership:
    """Plans which slots this daemon owns, and applies the result to the pool.

    One cycle calls :meth:`apply_row` with the row that was read, :meth:`plan` to get
    the row to write, and after the write :meth:`apply_row` if it succeeded or
    :meth:`mark_write_unknown` if its outcome is unknown.
    """

    def __init__(self, identity: str, pool: SlotPool, clock: Clock) -> None:
        self.identity = identity
        self.pool = pool
        self.clock = clock
        self.row = ShareRow()
        self.version = 0
        self._pending: PendingRelease | None = None
        self._reduced_limits: dict[str, int] = {}
        self._released_limits: dict[str, int] = {}
        self._closed_since: dict[tuple[str, str, ClosedSlots], float] = {}
        self._tracked_at = clock.monotonic()
        self._ended_since: dict[str, float] = {}

    def is_current(self, epoch: int) -> bool:
        """Return whether the row of ``epoch`` is applied and no write is pending."""
        return epoch == self.row.epoch and self._pending is None

    def apply_row(self, row: ShareRow, version: int, view: ZoneView) -> None:
        """Apply a row that was read or written, and set the pool's limits from it."""
        self.row = row
        self.version = version
        if self._pending is not None and self._pending.version != version:
            self._pending = None
        self._track_closed()
        for name, share in self.pool.shares.items():
            limit = row.owned(name, self.identity)
            limit = min(limit, self._reduced_limits.get(name, limit))
            if self._pending is not None:
                limit = min(limit, self._pending.limits.get(name, limit))
            run_s = self._max_run_s(share.server, view)
            allowed_s = min(run_s, row.run_s.get(name, run_s))
            self.pool.set_limit(name, limit, allowed_s)

    def plan(self, view: ZoneView) -> ShareRow | None:
        """Return the row to write next, or ``None`` when nothing needs to change.

        The limits in the pool are lowered at once for slots to be released, so that
        the row never shows fewer slots than are in use.
        """
        self._reduced_limits = {}
        self._released_limits = {}
        row = self.row.copy()
        steps = (
            self._restore_own,
            self._close_ended,
            self._free_expired,
            self._raise_max_run,
            self._release,
            self._acquire,
        )
        changes = [step(row, view) for step in steps]
        if not any(changes):
            return None
        row.epoch += 1
        return row

    def mark_write_unknown(self) -> None:
        """Record that the write of the planned row has an unknown outcome.

        Released slots stay unused until the row has another version: until then the
        write could still take effect.
        """
        if self._pending is None or self._pending.version != self.version:
            self._pending = PendingRelease(self.version)
        for name, limit in self._released_limits.items():
            earlier = self._pending.limits.get(name, limit)
            self._pending.limits[name] = min(earlier, limit)

    def _max_run_s(self, server: BackendServer, view: ZoneView) -> float:
        spec = view.services.get(server.service)
        return spec.max_run_s if spec is not None else DEFAULT_MAX_RUN_S

    def _track_closed(self) -> None:
        """Record since when each entry of closed slots has been seen in the row.

        An owner that is alive after all could not restore its slots while the row was
        out of reach, so the time begins anew after a gap.
        """
        now = self.clock.monotonic()
        has_gap = now - self._tracked_at > MAX_READ_GAP_S
        self._tracked_at = now
        closed_since = {} if has_gap else self._closed_since
        self._closed_since = {
            entry: closed_since.get(entry, now) for entry in self.row.closed_entries()
        }

    def _restore_own(self, row: ShareRow, view: ZoneView) -> bool:
        """Restore this daemon's closed slots; return whether the row changed."""
        own = [
            server
            for server, owner, _ in row.closed_entries()
            if owner == self.identity
        ]
        for server in own:
            row.restore_closed(server, self.identity)
        return bool(own)

    def _close_ended(self, row: ShareRow, view: ZoneView) -> bool:
        """Close the slots of ended owners; return whether the row changed."""
        now = self.clock.monotonic()
        ended = {owner for owner in row.owners() if self._is_ended(owner, view)}
        since = {owner: self._ended_since.get(owner, now) for owner in ended}
        self._ended_since = since
        confirmed = {
            owner for owner in ended if now - since[owner] >= END_CONFIRMATION_S
        }
        to_close = [
            (server, owner)
            for server, entries in row.shares.items()
            for owner in entries
            if owner in confirmed
        ]
        for server, owner in to_close:
            row.close_slots(server, owner)
        return bool(to_close)

    def _is_ended(self, identity: str, view: ZoneView) -> bool:
        return identity != self.identity and view.is_ended(identity)

    def _free_expired(self, row: ShareRow, view: ZoneView) -> bool:
        """Free slots that were closed long enough; return whether the row changed."""
        now = self.clock.monotonic()
        expired = [
            (server, owner)
            for (server, owner, entry), closed_since in self._closed_since.items()
            if now - closed_since >= self._closed_duration_s(row, server)
            and self._is_ended(owner, view)
            and row.closed.get(server, {}).get(owner) == entry
        ]
        for server, owner in expired:
            row.free_closed(server, owner)
        return bool(expired)

    def _closed_duration_s(self, row: ShareRow, server: str) -> float:
        return row.run_s.get(server, DEFAULT_MAX_RUN_S) + CLOSED_MARGIN_S

    def _raise_max_run(self, row: ShareRow, view: ZoneView) -> bool:
        """Raise the row's run limits if needed; return whether the row changed."""
        changed = False
        for name in row.shares:
            server = view.servers.get(name)
            if server is None:
                continue
            run_s = self._max_run_s(server, view)
            if run_s > row.run_s.get(name, 0.0):
                row.run_s[name] = run_s
                changed = True
        return changed

    def _release(self, row: ShareRow, view: ZoneView) -> bool:
        """Lower limits and release unused slots; return whether the row changed."""
        changed = False
        for name, share in self.pool.shares.items():
            owned = row.owned(name, self.identity)
            keep = self._slots_to_keep(name, row, view)
            if keep >= owned:
                continue
            self._reduced_limits[name] = keep
            share.limit = min(share.limit, keep)
            remaining = max(share.in_use, keep)
            if remaining < owned:
                row.set_share(name, self.identity, remaining)
                self._released_limits[name] = remaining
                changed = True
        return changed

    def _slots_to_keep(self, name: str, row: ShareRow, view: ZoneView) -> int:
        """Return how many of its slots of a server this daemon should keep."""
        owned = row.owned(name, self.identity)
        server = view.servers.get(name)
        if view.is_draining or server is None:
            return 0
        target = self._target_slots(server, view, self.identity)
        if owned > target and self._is_surplus_needed(server, row, view):
            return target
        return owned

    def _target_slots(
        self, server: BackendServer, view: ZoneView, identity: str
    ) -> int:
        vm, _ = split_identity(identity)
        return fair_share(server.name, server.slots, view.vms, vm)

    def _is_surplus_needed(
        self, server: BackendServer, row: ShareRow, view: ZoneView
    ) -> bool:
        """Return whether slots above the fair share are needed by others.

        They are when a live daemon has less than its fair share, or when the server
        has fewer slots than the row assigns.
        """
        if row.unowned(server.name, server.slots) < 0:
            return True
        assigned: dict[str, int] = {}
        for owner, slots in row.shares.get(server.name, {}).items():
            vm, _ = split_identity(owner)
            assigned[vm] = assigned.get(vm, 0) + slots
        return any(
            assigned.get(vm, 0) < fair_share(server.name, server.slots, view.vms, vm)
            for vm in view.vms
        )

    def _acquire(self, row: ShareRow, view: ZoneView) -> bool:
        """Acquire slots up to the fair share; return whether the row changed."""
        if view.is_draining:
            return False
        changed = False
        for name, server in view.servers.items():
            owned = row.owned(name, self.identity)
            target = self._target_slots(server, view, self.identity)
            available = row.unowned(name, server.slots)
            amount = min(target - owned, available)
            if amount <= 0:
                continue
            row.set_share(name, self.identity, owned + amount)
            run_s = self._max_run_s(server, view)
            row.run_s[name] = max(run_s, row.run_s.get(name, 0.0))
            changed = True
        return changed


def zone_members(live: Collection[str], vm: str) -> list[str]:
    """Return the sorted VMs that share the zone's slots, including ``vm``."""
    return sorted({*live, vm})
