"""The lease that makes one daemon the placer of its zone."""

from __future__ import annotations

from dataclasses import dataclass, field

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever.outcomes import Conflict, failed
from fulmarlever.structure.table import ABSENT, Applied, Change, Row, WritePriority
from fulmarleverd.kernel import Service

MARGIN_FRACTION = 0.2
"""The part of the lease time that an observer waits beyond the lease itself."""


@dataclass(slots=True, frozen=True)
class PlacerRow:
    """The row ``placer/{zone}``.

    ``former`` lists identities of earlier holders that were not heard to give up the
    lease, oldest first.
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
        """Return ``vm#incarnation`` of the holder, or an empty string."""
        return f"{self.holder}#{self.incarnation}" if self.holder else ""


class ZoneLease:
    """One daemon's view of the lease on the placement of its zone.

    The row ``placer/{zone}`` changes only when the holder changes, or by the holder
    itself after a write of unknown outcome, so its version is the fencing token of
    every write of the holder. A renewal counts up the row
    ``placer-beat/{zone}`` under the condition that the placer row is unchanged. The
    lease lasts from the send time of the last confirmed renewal.
    """

    def __init__(
        self, platform: Service, clock: Clock, zone: str, identity: str, lease_s: float
    ) -> None:
        self.platform = platform
        self.clock = clock
        self.holder, _, self.incarnation = identity.partition("#")
        self.lease_s = lease_s
        self.key = f"placer/{zone}"
        self.beat_key = f"placer-beat/{zone}"
        self.row = PlacerRow()
        self.version = ABSENT
        self.valid_until = 0.0
        self._counter = 0
        self._seen: tuple[int, int] | None = None
        self._seen_since = 0.0
        self._is_doubtful = True

    @property
    def is_held(self) -> bool:
        """Return whether this daemon is the last holder it knows of."""
        return self.version != ABSENT

    @property
    def is_valid(self) -> bool:
        """Return whether this daemon may start work now."""
        return self.is_held and self.clock.monotonic() < self.valid_until

    @property
    def epoch(self) -> int:
        """Return the epoch of the last row seen."""
        return self.row.epoch

    def doubt(self) -> None:
        """Read the rows before the next renewal, because another holder may exist."""
        self._is_doubtful = True

    def lose(self) -> None:
        """Give up the belief of holding the lease."""
        if self.is_held:
            log.info("lost the placement of {} at epoch {}", self.key, self.epoch)
        self.version = ABSENT
        self.valid_until = 0.0
        self._seen = None

    async def step(self) -> None:
        """Renew the lease, or observe its holder and take it over when it is free."""
        if self.is_held and not self._is_doubtful:
            await self._renew()
        else:
            await self._observe()

    async def refence(self) -> bool:
        """Change the version of the holder's row and return whether that worked.

        Afterwards no earlier write of this holder can take effect any more.
        """
        before = self.version
        change = Change({self.key: before}, {self.key: self.row.to_wire()})
        result = await self.platform.write(change)
        if isinstance(result, Applied) and self.version == before:
            self.version = result.versions[self.key]
            return True
        if isinstance(result, Conflict):
            self.lose()
        self._is_doubtful = True
        return False

    async def release(self) -> None:
        """Give the lease back, so that another daemon takes it without waiting."""
        if not self.is_held:
            return
        row = PlacerRow("", "", self.epoch, self.row.former)
        change = Change({self.key: self.version}, {self.key: row.to_wire()})
        self.lose()
        await self.platform.write(change)

    async def _renew(self) -> None:
        sent, version = self.clock.monotonic(), self.version
        self._counter += 1
        change = Change(
            {self.key: version}, {self.beat_key: {"counter": self._counter}}
        )
        result = await self.platform.commit(change, WritePriority.LEASES)
        if isinstance(result, Applied) and self.is_held:
            self.valid_until = max(self.valid_until, sent + self.lease_s)
        elif isinstance(result, Conflict) and self.version == version:
            self.lose()
        else:
            self._is_doubtful = True

    async def _observe(self) -> None:
        rows = await self.platform.read([self.key, self.beat_key])
        received = self.clock.monotonic()
        if failed(rows):
            return
        placer, beat = rows.get(self.key), rows.get(self.beat_key)
        self._is_doubtful = False
        if placer is not None:
            self.row = PlacerRow.from_wire(placer.value)
        if self._is_mine(placer):
            self._adopt(placer, beat)
            await self._renew()
        elif self._is_free(placer, beat, received):
            await self._take(placer, beat)

    def _is_mine(self, placer: Row | None) -> bool:
        is_mine = (
            placer is not None
            and self.row.holder == self.holder
            and self.row.incarnation == self.incarnation
        )
        if not is_mine:
            self.lose() if self.is_held else None
        return is_mine

    def _adopt(self, placer: Row, beat: Row | None) -> None:
        self.version = placer.version
        self._counter = max(self._counter, _counter(beat))

    def _is_free(self, placer: Row | None, beat: Row | None, received: float) -> bool:
        if placer is None or not self.row.holder:
            return True
        seen = (placer.version, _counter(beat))
        if seen != self._seen:
            self._seen, self._seen_since = seen, received
            return False
        stood_still_s = received - self._seen_since
        return stood_still_s >= self.lease_s * (1 + MARGIN_FRACTION)

    async def _take(self, placer: Row | None, beat: Row | None) -> None:
        former = self.row.former
        if self.row.holder:
            former = (*former, self.row.identity)
        row = PlacerRow(self.holder, self.incarnation, self.epoch + 1, former)
        sent = self.clock.monotonic()
        self._counter = _counter(beat) + 1
        change = Change(
            {
                self.key: placer.version if placer else ABSENT,
                # A renewal that arrives after the read keeps the lease with its holder.
                self.beat_key: beat.version if beat else ABSENT,
            },
            {self.key: row.to_wire(), self.beat_key: {"counter": self._counter}},
        )
        result = await self.platform.write(change)
        if isinstance(result, Applied):
            self.row = row
            self.version = result.versions[self.key]
            self.valid_until = sent + self.lease_s
            log.info("took the placement of {} at epoch {}", self.key, row.epoch)


def _counter(beat: Row | None) -> int:
    return beat.value["counter"] if beat else 0
