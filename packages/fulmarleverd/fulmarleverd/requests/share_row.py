"""The row ``slots/{zone}``: who owns how many slots of each backend server.

Slots change owner in three ways only, each a compare-and-swap of the row:

- An owner lowers its own number of slots after it has stopped using them.
- A daemon acquires slots that nobody owns.
- The slots of an owner that is proved to have ended are closed: nobody may use them.
  They are freed when the longest request of that owner must have ended.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True, frozen=True)
class ClosedSlots:
    """Slots of an owner that has ended, which nobody may use until they are freed.

    ``epoch`` is the epoch of the row in which they were closed. It distinguishes two
    closings of the same owner.
    """

    slots: int
    epoch: int


@dataclass(slots=True)
class ShareRow:
    """The distribution of the slots of one zone's backend servers among daemons.

    ``epoch`` counts the changes of the row. ``shares`` and ``closed`` map a server and
    an owner's identity ``vm#incarnation`` to slots. ``run_s`` maps a server to the
    longest time in seconds that a request may run there; it never decreases while
    somebody owns slots of the server or some of its slots are closed.
    """

    epoch: int = 0
    shares: dict[str, dict[str, int]] = field(default_factory=dict)
    closed: dict[str, dict[str, ClosedSlots]] = field(default_factory=dict)
    run_s: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_wire(cls, data: dict[str, Any] | None) -> ShareRow:
        """Build from the value of the row; ``None`` stands for a missing row."""
        if data is None:
            return cls()
        closed = {
            server: {owner: ClosedSlots(*entry) for owner, entry in entries.items()}
            for server, entries in data.get("closed", {}).items()
        }
        shares = {
            server: dict(entries) for server, entries in data.get("shares", {}).items()
        }
        return cls(data["epoch"], shares, closed, dict(data.get("run_s", {})))

    def to_wire(self) -> dict[str, Any]:
        """Return the value of the row in the table."""
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
        """Return how many of a server's slots are neither owned nor closed.

        It is negative when the server has fewer slots than before.
        """
        assigned = sum(self.shares.get(server, {}).values())
        assigned += sum(entry.slots for entry in self.closed.get(server, {}).values())
        return slots - assigned

    def owners(self) -> set[str]:
        """Return the identities of the daemons that own slots."""
        return {owner for entries in self.shares.values() for owner in entries}

    def closed_entries(self) -> Iterator[tuple[str, str, ClosedSlots]]:
        """Yield the server, the former owner and the entry of all closed slots."""
        for server, entries in self.closed.items():
            for owner, entry in entries.items():
                yield server, owner, entry

    def set_share(self, server: str, owner: str, slots: int) -> None:
        """Set the number of slots that an owner may use; zero removes its entry."""
        entries = self.shares.setdefault(server, {})
        if slots > 0:
            entries[owner] = slots
        else:
            entries.pop(owner, None)
        self._remove_empty(server)

    def close_slots(self, server: str, owner: str) -> None:
        """Close the slots of an owner that has ended, as of the row's next epoch.

        Slots of the same owner that are closed already are added to the new entry.
        """
        slots = self.owned(server, owner)
        earlier = self.closed.get(server, {}).get(owner)
        if earlier is not None:
            slots += earlier.slots
        self.closed.setdefault(server, {})[owner] = ClosedSlots(slots, self.epoch + 1)
        self.set_share(server, owner, 0)

    def restore_closed(self, server: str, owner: str) -> None:
        """Return closed slots to their owner, which turned out to be alive."""
        slots = self.closed[server].pop(owner).slots
        self.set_share(server, owner, self.owned(server, owner) + slots)

    def free_closed(self, server: str, owner: str) -> None:
        """Remove an entry of closed slots, so that any daemon may acquire them."""
        del self.closed[server][owner]
        self._remove_empty(server)

    def _remove_empty(self, server: str) -> None:
        for table in (self.shares, self.closed):
            if server in table and not table[server]:
                del table[server]
        if server not in self.shares and server not in self.closed:
            self.run_s.pop(server, None)
