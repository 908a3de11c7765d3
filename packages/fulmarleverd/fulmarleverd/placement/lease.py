"""The lease whose holder is the placer of an availability zone."""

from __future__ import annotations

from dataclasses import dataclass, field

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever.outcomes import Conflict, failed
from fulmarlever.structure.table import ABSENT, Applied, Change, Row, WritePriority
from fulmarleverd.kernel import Service

MARGIN_FRACTION = 0.2
"""The fraction of the lease duration that an observer waits after it has elapsed."""


@dataclass(slots=True, frozen=True)
class PlacerRow:
    """The row ``placer/{zone}``.

    ``holder`` is the VM of the holder, empty after a release. ``former`` lists the
    identities of earlier holders whose lease was taken over without a release, oldest
    first.
    """

    holder: str = ""
    incarnation: str = ""
    epoch: int = 0
    former: tuple[str, ...] = field(default=())

    @classmethod
    def from_wire(cls, data: dict) -> PlacerRow:
        """Build the row from its stored form."""
        return cls(
            data["holder"],
            str(data["incarnation"]),
            data["epoch"],
            tuple(data.get("former", ())),
        )

    def to_wire(self) -> dict:
        """Return the stored form."""
        return {
            "holder": self.holder,
            "incarnation": self.incarnation,
            "epoch": self.epoch,
            "former": list(self.former),
        }

    @property
    def identity(self) -> str:
        """Return ``vm#incarnation`` of the holder, or an empty string without one."""
        return f"{self.holder}#{self.incarnation}" if self.holder else ""


class ZoneLease:
    """One daemon's view of the lease of its zone's placer.

    The row ``placer/{zone}`` changes only when the holder changes, or when the holder
    rewrites it after a write of unknown outcome. Its version is therefore the fencing
    token of every write of the holder. A renewal increments the heartbeat counter in
    the row ``placer-beat/{zone}``, on condition that the placer row is unchanged. The
    lease lasts ``lease_s`` seconds from the send time of the last confirmed renewal.
    Another daemon takes it over once it has seen both rows unchanged for the lease
    duration and the margin ``MARGIN_FRACTION``.

    ``identity`` is this daemon's ``vm#incarnation``, ``version`` the version of the
    placer row while this daemon holds the lease and ``ABSENT`` otherwise, and
    ``valid_until`` the monotonic time at which the lease expires.
    """

    def __init__(
        self, platform: Service, clock: Clock, zone: str, identity: str, lease_s: float
    ) -> None:
        self.platform = platform
        self.clock = clock
        self.holder, _, self.incarnation = identity.partition("#")
        self.lease_s = lease_s
        self.key = f"placer/{zone}"
        self.heartbeat_key = f"placer-beat/{zone}"
        self.row = PlacerRow()
        self.version = ABSENT
        self.valid_until = 0.0
        self._counter = 0
        self._observed: tuple[int, int] | None = None
        self._observed_since_s = 0.0
        self._needs_reread = True

    @property
    def is_held(self) -> bool:
        """Return whether this daemon is the last known holder, even after expiry."""
        return self.version != ABSENT

    @property
    def is_valid(self) -> bool:
        """Return whether this daemon holds the lease and it has not expired."""
        return self.is_held and self.clock.monotonic() < self.valid_until

    @property
    def epoch(self) -> int:
        """Return the epoch of the placer row that was last read or written."""
        return self.row.epoch

    def require_reread(self) -> None:
        """Read the rows before the next renewal, as there may be another holder."""
        self._needs_reread = True

    def mark_lost(self) -> None:
        """Record that this daemon does not hold the lease any more."""
        if self.is_held:
            log.info("lost the lease {} at epoch {}", self.key, self.epoch)
        self.version = ABSENT
        self.valid_until = 0.0
        self._observed = None

    async def step(self) -> None:
        """Renew the lease, or read it and take it over if it is free."""
        if self.is_held and not self._needs_reread:
            await self._renew()
        else:
            await self._observe()

    async def replace_fencing_token(self) -> bool:
        """Rewrite the placer row to change its version; return whether that succeeded.

        Afterwards no earlier write of this holder can take effect.
        """
        previous = self.version
        change = Change({self.key: previous}, {self.key: self.row.to_wire()})
        result = await self.platform.write(change)
        if isinstance(result, Applied) and self.version == previous:
            self.version = result.versions[self.key]
            return True
        if isinstance(result, Conflict):
            self.mark_lost()
        self._needs_reread = True
        return False

    async def release(self) -> None:
        """Release the lease, so that another daemon can take it without waiting."""
        if not self.is_held:
            return
        row = PlacerRow("", "", self.epoch, self.row.former)
        change = Change({self.key: self.version}, {self.key: row.to_wire()})
        self.mark_lost()
        await self.platform.write(change)

    async def _renew(self) -> None:
        sent_s, version = self.clock.monotonic(), self.version
        self._counter += 1
        change = Change(
            {self.key: version}, {self.heartbeat_key: {"counter": self._counter}}
        )
        result = await self.platform.commit(change, WritePriority.LEASES)
        if isinstance(result, Applied) and self.is_held:
            self.valid_until = max(self.valid_until, sent_s + self.lease_s)
        elif isinstance(result, Conflict) and self.version == version:
            self.mark_lost()
        else:
            self._needs_reread = True

    async def _observe(self) -> None:
        rows = await self.platform.read([self.key, self.heartbeat_key])
        received_s = self.clock.monotonic()
        if failed(rows):
            return
        placer, heartbeat = rows.get(self.key), rows.get(self.heartbeat_key)
        self._needs_reread = False
        if placer is not None:
            self.row = PlacerRow.from_wire(placer.value)
        if self._is_held_by_self(placer):
            self._set_held(placer, heartbeat)
            await self._renew()
        elif self._is_free(placer, heartbeat, received_s):
            await self._take_over(placer, heartbeat)

    def _is_held_by_self(self, placer: Row | None) -> bool:
        is_own = (
            placer is not None
            and self.row.holder == self.holder
            and self.row.incarnation == self.incarnation
        )
        if not is_own:
            self.mark_lost() if self.is_held else None
        return is_own

    def _set_held(self, placer: Row, heartbeat: Row | None) -> None:
        self.version = placer.version
        self._counter = max(self._counter, _counter(heartbeat))

    def _is_free(
        self, placer: Row | None, heartbeat: Row | None, received_s: float
    ) -> bool:
        if placer is None or not self.row.holder:
            return True
        observed = (placer.version, _counter(heartbeat))
        if observed != self._observed:
            self._observed, self._observed_since_s = observed, received_s
            return False
        unchanged_s = received_s - self._observed_since_s
        return unchanged_s >= self.lease_s * (1 + MARGIN_FRACTION)

    async def _take_over(self, placer: Row | None, heartbeat: Row | None) -> None:
        former = self.row.former
        if self.row.holder:
            former = (*former, self.row.identity)
        row = PlacerRow(self.holder, self.incarnation, self.epoch + 1, former)
        sent_s = self.clock.monotonic()
        self._counter = _counter(heartbeat) + 1
        change = Change(
            {
                self.key: placer.version if placer else ABSENT,
                # Fails if the holder renewed the lease after the read.
                self.heartbeat_key: heartbeat.version if heartbeat else ABSENT,
            },
            {self.key: row.to_wire(), self.heartbeat_key: {"counter": self._counter}},
        )
        result = await self.platform.write(change)
        if isinstance(result, Applied):
            self.row = row
            self.version = result.versions[self.key]
            self.valid_until = sent_s + self.lease_s
            log.info("acquired the lease {} at epoch {}", self.key, row.epoch)


def _counter(heartbeat: Row | None) -> int:
    return heartbeat.value["counter"] if heartbeat else 0
