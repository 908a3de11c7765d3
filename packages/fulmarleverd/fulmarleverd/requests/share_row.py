"""The row ``slots/{zone}``: who owns how many slots of each backend server.

Slots change hands by three steps only, each a compare-and-swap of the row: an owner
lowers its own number after it stopped using the slots; a daemon adds slots that
nobody owns; or the slots of an owner that is proved to have ended are closed, and
opened again when its longest request must be over.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True, frozen=True)
class Closed:
    """Slots of an owner that has ended; nobody uses them.

    ``epoch`` is the epoch of the row in which they were closed. It tells two closings
    of the same owner apart.
    """

    slots: int
    epoch: int


@dataclass(slots=True)
class ShareRow:
    """The shares of the slots of one zone's backend servers.

    ``shares`` and ``closed`` map a server and an owner's identity ``vm#incarnation``
    to slots. ``run_s`` maps a server to the longest time in seconds that a request
    may run there; it never shrinks while a share is held.
    """

    epoch: int = 0
    shares: dict[str, dict[str, int]] = field(default_factory=dict)
    closed: dict[str, dict[str, Closed]] = field(default_factory=dict)
    run_s: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_wire(cls, data: dict[str, Any] | None) -> ShareRow:
        """Build the shares from the row, or empty ones when there is no row."""
        if data is None:
            return cls()
        closed = {
            server: {owner: Closed(*entry) for owner, entry in entries.items()}
            for server, entries in data.get("closed", {}).items()
        }
        shares = {
            server: dict(entries) for server, entries in data.get("shares", {}).items()
        }
        return cls(data["epoch"], shares, closed, dict(data.get("run_s", {})))

    def to_wire(self) -> dict[str, Any]:
        """Return the form kept in the table."""
        closed = {
            server: {owner: [entry.slots, entry.epoch] for owner, entry in rows.items()}
            for server, rows in self.closed.items()
        }
        return {
            "epoch": self.epoch,
            "shares": self.shares,
            "closed": closed,
            "run_s": self.run_s,
        }

    def copy(self) -> ShareRow:
        """Return an independent copy."""
        return ShareRow.from_wire(self.to_wire())

    def owned(self, server: str, owner: str) -> int:
        """Return the slots of a server that an owner may use."""
        return self.shares.get(server, {}).get(owner, 0)

    def unowned(self, server: str, slots: int) -> int:
        """Return how many of a server's slots nobody owns and none keeps closed."""
        held = sum(self.shares.get(server, {}).values())
        held += sum(entry.slots for entry in self.closed.get(server, {}).values())
        return slots - held

    def owners(self) -> set[str]:
        """Return the identities that own slots."""
        return {owner for entries in self.shares.values() for owner in entries}

    def closings(self) -> Iterator[tuple[str, str, Closed]]:
        """Yield server, former owner and entry of everything closed."""
        for server, entries in self.closed.items():
            for owner, entry in entries.items():
                yield server, owner, entry

    def set_share(self, server: str, owner: str, slots: int) -> None:
        """Set the slots that an owner may use; zero removes it."""
        entries = self.shares.setdefault(server, {})
        if slots > 0:
            entries[owner] = slots
        else:
            entries.pop(owner, None)
        self._forget_empty(server)

    def close(self, server: str, owner: str) -> None:
        """Close the slots of an owner that has ended, in the row's next epoch."""
        slots = self.owned(server, owner)
        earlier = self.closed.get(server, {}).get(owner)
        if earlier is not None:
            slots += earlier.slots
        self.closed.setdefault(server, {})[owner] = Closed(slots, self.epoch + 1)
        self.set_share(server, owner, 0)

    def reopen(self, server: str, owner: str) -> None:
        """Return closed slots to their owner, which is alive after all."""
        slots = self.closed[server].pop(owner).slots
        self.set_share(server, owner, self.owned(server, owner) + slots)

    def open(self, server: str, owner: str) -> None:
        """Make closed slots available to everybody."""
        del self.closed[server][owner]
        self._forget_empty(server)

    def _forget_empty(self, server: str) -> None:
        for table in (self.shares, self.closed):
            if server in table and not table[server]:
                del table[server]
        if server not in self.shares and server not in self.closed:
            self.run_s.pop(server, None)
