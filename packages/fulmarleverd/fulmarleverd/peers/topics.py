"""Versioned key-value entries that every daemon publishes to its peers."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from fulmarlever.wire import Fault, WireError

ITEMISED_TOPICS = frozenset({"load"})
"""Topics whose value is a mapping.

Each item is an entry of its own, and the bytes of these entries per heartbeat are
limited.
"""

Key = tuple[str, str, str]


@dataclass(slots=True, frozen=True)
class Entry:
    """One value of one topic of one VM, or of one item of an itemised topic.

    ``incarnation`` and ``version`` order the values of the same key. ``item`` is empty
    outside itemised topics. A removed item has the value ``None``.
    """

    vm: str
    topic: str
    item: str
    incarnation: int
    version: int
    value: Any

    @property
    def key(self) -> Key:
        """Return the VM, the topic and the item that identify the entry."""
        return (self.vm, self.topic, self.item)

    @property
    def order(self) -> tuple[int, int]:
        """Return the sort key among entries of one key; the highest is the newest."""
        return (self.incarnation, self.version)

    @property
    def is_rate_limited(self) -> bool:
        """Return whether the entry counts against the byte limit of heartbeats."""
        return self.topic in ITEMISED_TOPICS

    def check(self) -> None:
        """Raise ``WireError`` when a field has a wrong type."""
        if not all(isinstance(text, str) for text in self.key):
            raise WireError(Fault.MALFORMED, "a name in an entry is not a string")
        if not all(type(number) is int for number in self.order):
            raise WireError(Fault.MALFORMED, "a version in an entry is not an integer")


class Topics:
    """The newest known entry of each key.

    Each function in ``listeners`` is called with every entry that ``put`` stores.
    """

    __slots__ = ("listeners", "_entries")

    def __init__(self) -> None:
        self.listeners: list[Callable[[Entry], None]] = []
        self._entries: dict[Key, Entry] = {}

    def __iter__(self) -> Iterator[Entry]:
        return iter(list(self._entries.values()))

    def put(self, entry: Entry) -> bool:
        """Store an entry if it is newer than the stored one; return whether it was."""
        stored = self._entries.get(entry.key)
        if stored is not None and stored.order >= entry.order:
            return False
        self._entries[entry.key] = entry
        for listener in self.listeners:
            listener(entry)
        return True

    def get(self, key: Key) -> Entry | None:
        """Return the entry of a key, or ``None``."""
        return self._entries.get(key)

    def of_topic(self, topic: str) -> Iterator[Entry]:
        """Yield the entries of a topic."""
        return (entry for entry in self if entry.topic == topic)

    def remove_entries(self, should_remove: Callable[[Entry], bool]) -> None:
        """Remove the matching entries, for example those of a VM that was removed."""
        for entry in self:
            if should_remove(entry):
                del self._entries[entry.key]

    def digests(self) -> dict[str, dict[str, list[int]]]:
        """Return ``{vm: {topic: [incarnation, version]}}`` of the stored entries.

        Itemised topics are excluded: their digests are as large as their entries.
        """
        found: dict[str, dict[str, list[int]]] = {}
        for entry in self:
            if not entry.is_rate_limited:
                found.setdefault(entry.vm, {})[entry.topic] = list(entry.order)
        return found


class TopicPublisher:
    """Publishes this daemon's own topics, as new versions of values that changed."""

    __slots__ = ("_topics", "_vm")

    def __init__(self, topics: Topics, vm: str) -> None:
        self._topics = topics
        self._vm = vm

    def publish(self, topic: str, value: Any, incarnation: int) -> None:
        """Store new entries for the parts of a value that differ from the stored ones.

        The value of an itemised topic is a mapping by item. An item that it no longer
        contains is stored as removed.
        """
        if topic not in ITEMISED_TOPICS:
            self._put(topic, "", value, incarnation)
            return
        for item in self._stored_items(topic) - set(value):
            self._put(topic, item, None, incarnation)
        for item, content in value.items():
            self._put(topic, item, content, incarnation)

    def _stored_items(self, topic: str) -> set[str]:
        entries = self._topics.of_topic(topic)
        return {entry.item for entry in entries if entry.vm == self._vm}

    def _put(self, topic: str, item: str, value: Any, incarnation: int) -> None:
        stored = self._topics.get((self._vm, topic, item))
        if stored is not None and stored.value == value:
            return
        version = stored.version + 1 if stored else 1
        self._topics.put(Entry(self._vm, topic, item, incarnation, version, value))


def values_by_vm(entries: Iterable[Entry]) -> dict[str, Any]:
    """Return the values of one topic by VM; for itemised topics, dicts by item."""
    found: dict[str, Any] = {}
    for entry in entries:
        if not entry.is_rate_limited:
            found[entry.vm] = entry.value
        elif entry.value is not None:
            found.setdefault(entry.vm, {})[entry.item] = entry.value
    return found


def entries_to_wire(entries: Iterable[Entry]) -> list:
    """Return the wire form of entries in a heartbeat.

    It is a list of ``[vm, incarnation, {topic: [[item, version, value], ...]}]``.
    """
    groups: dict[tuple[str, int], dict[str, list]] = {}
    for entry in entries:
        topics = groups.setdefault((entry.vm, entry.incarnation), {})
        content = [entry.item, entry.version, entry.value]
        topics.setdefault(entry.topic, []).append(content)
    return [[vm, incarnation, topics] for (vm, incarnation), topics in groups.items()]


def entries_from_wire(data: Any) -> list[Entry]:
    """Return the entries of a heartbeat; raise ``WireError`` for malformed data."""
    try:
        found = [
            Entry(vm, topic, item, incarnation, version, value)
            for vm, incarnation, topics in data
            for topic, contents in topics.items()
            for item, version, value in contents
        ]
    except (TypeError, ValueError, AttributeError) as exc:
        raise WireError(Fault.MALFORMED, "the entries cannot be parsed") from exc
    for entry in found:
        entry.check()
    return found
