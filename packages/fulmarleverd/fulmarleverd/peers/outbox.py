"""The topic entries that are queued for one connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgpack

from fulmarleverd.peers.topics import Entry, Key, Topics


class Outbox:
    """A queue of the keys whose entries one connection has to send, oldest first.

    Each key is queued once. A key that changes again while it is queued keeps its
    position, so no key starves and the queue is never longer than the number of keys.
    ``should_send`` selects the entries for the receiver. ``urgent`` is set while an
    entry without a rate limit is queued.
    """

    __slots__ = ("urgent", "_topics", "_vm", "_should_send", "_keys")

    def __init__(
        self, topics: Topics, vm: str, should_send: Callable[[Entry], bool]
    ) -> None:
        self.urgent = asyncio.Event()
        self._topics = topics
        self._vm = vm
        self._should_send = should_send
        self._keys: dict[Key, bool] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def open(self, digests: Any) -> None:
        """Queue what a peer with these digests lacks, and every later entry.

        ``digests`` has the form that ``Topics.digests`` returns.
        """
        self.enqueue_missing(digests)
        self._topics.listeners.append(self.add)

    def enqueue_missing(self, digests: Any = None) -> None:
        """Queue the entries that are newer than a peer's digests, or all without."""
        for entry in self._topics:
            if is_newer(entry, digests):
                self.add(entry)

    def close(self) -> None:
        """Stop queueing new entries."""
        if self.add in self._topics.listeners:
            self._topics.listeners.remove(self.add)

    def add(self, entry: Entry) -> None:
        """Queue an entry if the receiver is to get it."""
        if not self._should_send(entry):
            return
        self._keys.setdefault(entry.key, entry.is_rate_limited)
        if not entry.is_rate_limited:
            self.urgent.set()

    def take(self, budget_bytes: float) -> list[Entry]:
        """Remove and return the entries for the next heartbeat.

        These are all entries without a rate limit and, within ``budget_bytes``, some
        with one: first those of this daemon, then those of other VMs, whose number
        grows with the number of VMs. At least one of the latter is always included.
        """
        self.urgent.clear()
        unlimited = self._collect(lambda key: not self._keys[key], float("inf"))
        own = self._collect(lambda key: key[0] == self._vm, budget_bytes)
        remaining_bytes = budget_bytes - sum(packed_bytes(entry) for entry in own)
        others = self._collect(
            lambda key: key[0] != self._vm, max(remaining_bytes, 1.0)
        )
        return unlimited + own + others

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
    """Return the packed size of an entry without its VM, incarnation and topic."""
    return len(msgpack.packb((entry.item, entry.version, entry.value)))


def is_newer(entry: Entry, digests: Any) -> bool:
    """Return whether an entry is newer than a peer's digests say it has.

    Malformed digests are treated as absent. Rate-limited entries have no digests and
    always count as newer.
    """
    topics = digests.get(entry.vm) if isinstance(digests, dict) else None
    known_order = topics.get(entry.topic) if isinstance(topics, dict) else None
    if entry.is_rate_limited or not isinstance(known_order, list):
        return True
    return tuple(known_order) < entry.order
