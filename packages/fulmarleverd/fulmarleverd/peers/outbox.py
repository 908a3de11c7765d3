"""The entries that one connection still has to send."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgpack

from fulmarleverd.peers.topics import Entry, Key, Topics


class Outbox:
    """The keys to send over one connection, each once, the longest waiting first.

    A key that changes again while it waits keeps its place, so no key starves and a
    connection holds no more than the keys there are. ``is_wanted`` says which entries
    the receiver gets. ``urgent`` is set while an entry waits that is not paced.
    """

    __slots__ = ("urgent", "_topics", "_vm", "_is_wanted", "_keys")

    def __init__(
        self, topics: Topics, vm: str, is_wanted: Callable[[Entry], bool]
    ) -> None:
        self.urgent = asyncio.Event()
        self._topics = topics
        self._vm = vm
        self._is_wanted = is_wanted
        self._keys: dict[Key, bool] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def open(self, digests: Any) -> None:
        """Add what a peer with these digests lacks, and all that comes from now on."""
        self.enqueue_missing(digests)
        self._topics.listeners.append(self.add)

    def enqueue_missing(self, digests: Any = None) -> None:
        """Add what a peer with these digests lacks."""
        for entry in self._topics:
            if is_newer(entry, digests):
                self.add(entry)

    def close(self) -> None:
        """Take no more entries."""
        if self.add in self._topics.listeners:
            self._topics.listeners.remove(self.add)

    def add(self, entry: Entry) -> None:
        """Add an entry if the receiver gets it."""
        if not self._is_wanted(entry):
            return
        self._keys.setdefault(entry.key, entry.is_rate_limited)
        if not entry.is_rate_limited:
            self.urgent.set()

    def take(self, budget_bytes: float) -> list[Entry]:
        """Remove and return all entries that are not paced and some that are.

        The paced ones take up to the budget: first those of this daemon itself, then
        at least one of the others, whose number grows with the whole fleet.
        """
        self.urgent.clear()
        at_once = self._collect(lambda key: not self._keys[key], float("inf"))
        own = self._collect(lambda key: key[0] == self._vm, budget_bytes)
        left = budget_bytes - sum(packed_bytes(entry) for entry in own)
        others = self._collect(lambda key: key[0] != self._vm, max(left, 1.0))
        return at_once + own + others

    def _collect(
        self, is_due: Callable[[Key], bool], budget_bytes: float
    ) -> list[Entry]:
        found = []
        for key in [key for key in self._keys if is_due(key)]:
            if budget_bytes <= 0:
                break
            del self._keys[key]
            entry = self._topics.get(key)
            if entry is not None:
                budget_bytes -= packed_bytes(entry)
                found.append(entry)
        return found


def packed_bytes(entry: Entry) -> int:
    """Return the bytes that an entry takes in a heartbeat beside its group."""
    return len(msgpack.packb((entry.item, entry.version, entry.value)))


def is_newer(entry: Entry, digests: Any) -> bool:
    """Return whether an entry is newer than a peer's digests.

    Digests that cannot be read are treated as absent.
    """
    topics = digests.get(entry.vm) if isinstance(digests, dict) else None
    held = topics.get(entry.topic) if isinstance(topics, dict) else None
    if entry.is_rate_limited or not isinstance(held, list):
        return True
    return tuple(held) < entry.order
