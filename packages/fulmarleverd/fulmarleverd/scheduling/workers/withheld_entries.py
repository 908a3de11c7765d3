"""Entries of the list of workers that are not believed yet.

A row of the list changes only when the worker says something new of itself. So an entry
that is left out once would be left out for good, though the reason passes.
"""

from __future__ import annotations

from collections.abc import Container, Iterator

from fulmarleverd.scheduling.specs import WorkerEntry


class WithheldEntry:
    """An entry, why it is not believed, and when it is looked at again.

    ``retry_at_s`` is on the owner's clock.
    """

    __slots__ = ("entry", "reason", "retry_at_s")

    def __init__(self, entry: WorkerEntry, reason: str, retry_at_s: float) -> None:
        self.entry = entry
        self.reason = reason
        self.retry_at_s = retry_at_s


class WithheldEntries:
    """The newest entry of each worker id, if that is not believed."""

    __slots__ = ("_by_id",)

    def __init__(self) -> None:
        self._by_id: dict[str, WithheldEntry] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, worker_id: str) -> bool:
        return worker_id in self._by_id

    def __iter__(self) -> Iterator[WithheldEntry]:
        return iter(self._by_id.values())

    def add(self, entry: WorkerEntry, reason: str, retry_at_s: float) -> bool:
        """Withhold an entry; return whether it was not withheld for that before."""
        earlier = self._by_id.get(entry.id)
        self._by_id[entry.id] = WithheldEntry(entry, reason, retry_at_s)
        return earlier is None or (earlier.entry, earlier.reason) != (entry, reason)

    def forget(self, worker_id: str) -> None:
        """Forget the entry of an id that is believed, or not listed any more."""
        self._by_id.pop(worker_id, None)

    def keep_only(self, worker_ids: Container[str]) -> None:
        """Forget the entries of all other ids."""
        for worker_id in list(self._by_id):
            if worker_id not in worker_ids:
                del self._by_id[worker_id]

    def due(self, now_s: float) -> list[WithheldEntry]:
        """Return the entries to look at again at a time."""
        return [item for item in self if now_s >= item.retry_at_s]
