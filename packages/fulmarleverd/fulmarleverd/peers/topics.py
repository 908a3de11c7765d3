"""The values that every daemon publishes, and what a peer has not seen of them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from fulmarlever.wire import Fault, WireError


@dataclass(slots=True, frozen=True)
class Entry:
    """One value of one topic of one VM.

    ``incarnation`` and ``version`` order the values of a topic of a VM.
    """

    vm: str
    topic: str
    incarnation: int
    version: int
    value: Any

    @property
    def order(self) -> tuple[int, int]:
        """Return what decides between two values of the same topic and VM."""
        return (self.incarnation, self.version)

    @classmethod
    def from_wire(cls, data: Any) -> Entry:
        """Build from the wire form or raise ``WireError``."""
        try:
            entry = cls(*data)
        except TypeError as exc:
            raise WireError(Fault.MALFORMED, "an entry of unknown form") from exc
        if not (isinstance(entry.vm, str) and isinstance(entry.topic, str)):
            raise WireError(Fault.MALFORMED, "an entry with a wrong name")
        if not (type(entry.incarnation) is int and type(entry.version) is int):
            raise WireError(Fault.MALFORMED, "an entry with a wrong version")
        return entry

    def to_wire(self) -> list:
        """Return the wire form."""
        return [self.vm, self.topic, self.incarnation, self.version, self.value]


class Topics:
    """The newest entry of each topic of each VM, in the order of arrival here.

    ``position`` grows with each change. A sender keeps the position up to which a
    receiver has everything, so a heartbeat costs only what has changed.
    """

    __slots__ = ("position", "_entries", "_positions")

    def __init__(self) -> None:
        self.position = 0
        self._entries: OrderedDict[tuple[str, str], Entry] = OrderedDict()
        self._positions: dict[tuple[str, str], int] = {}

    def put(self, entry: Entry) -> bool:
        """Keep an entry that is newer than the one held and return whether it is."""
        key = (entry.vm, entry.topic)
        held = self._entries.get(key)
        if held is not None and held.order >= entry.order:
            return False
        self.position += 1
        self._entries[key] = entry
        self._entries.move_to_end(key)
        self._positions[key] = self.position
        return True

    def get(self, vm: str, topic: str) -> Entry | None:
        """Return the entry of one topic of one VM."""
        return self._entries.get((vm, topic))

    def of_topic(self, topic: str) -> Iterator[Entry]:
        """Yield the entries of a topic."""
        return (entry for entry in self._entries.values() if entry.topic == topic)

    def since(self, position: int) -> Iterator[Entry]:
        """Yield the entries that changed after a position, newest first."""
        for key in reversed(self._entries):
            if self._positions[key] <= position:
                return
            yield self._entries[key]

    def forget(self, is_gone: Callable[[Entry], bool]) -> None:
        """Drop entries, for example those of ended VMs."""
        for key in [key for key, entry in self._entries.items() if is_gone(entry)]:
            del self._entries[key]
            del self._positions[key]

    def digests(self) -> dict[str, dict[str, list[int]]]:
        """Return incarnation and version by VM and topic."""
        found: dict[str, dict[str, list[int]]] = {}
        for (vm, topic), entry in self._entries.items():
            found.setdefault(vm, {})[topic] = [entry.incarnation, entry.version]
        return found


def newer_than(entries: Iterable[Entry], digests: Any) -> Iterator[Entry]:
    """Yield the entries that are newer than a peer's digests.

    Digests that cannot be read are treated as absent.
    """
    known = digests if isinstance(digests, dict) else {}
    for entry in entries:
        topics = known.get(entry.vm)
        held = topics.get(entry.topic) if isinstance(topics, dict) else None
        if not isinstance(held, list) or tuple(held) < entry.order:
            yield entry
