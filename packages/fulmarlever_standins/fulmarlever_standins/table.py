"""An in-memory transactional table, the store behind the platform stand-in."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator

from sortedcontainers import SortedDict

from fulmarlever.clock import Clock
from fulmarlever.structure.table import ABSENT, Applied, Change, Row


class MemoryTable:
    """Rows with versions, atomic conditional changes, prefixes and life times."""

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or Clock()
        self.reads = 0
        self.writes = 0
        self.rows_written = 0
        self._rows: SortedDict[str, Row] = SortedDict()
        self._expiries: list[tuple[float, str, int]] = []
        self._next_version = 1

    @property
    def row_count(self) -> int:
        """Return the number of rows."""
        return len(self._rows)

    def read(self, keys: Iterable[str] = (), prefixes: Iterable[str] = ()) -> list[Row]:
        """Return the rows of the given keys and below the given prefixes."""
        self.reads += 1
        self._expire()
        found = {key: self._rows[key] for key in keys if key in self._rows}
        for prefix in prefixes:
            found.update(self._below(prefix))
        return list(found.values())

    def write(self, change: Change) -> Applied | list[str]:
        """Apply a change and return it, or the keys whose condition does not hold."""
        self.writes += 1
        self._expire()
        conflicts = [
            key
            for key, version in change.conditions.items()
            if self._version(key) != version
        ]
        if conflicts:
            return conflicts
        for key in change.deletes:
            self._rows.pop(key, None)
        return Applied({key: self._put(key, change) for key in change.writes})

    def _put(self, key: str, change: Change) -> int:
        version = self._next_version
        self._next_version += 1
        self.rows_written += 1
        self._rows[key] = Row(key, change.writes[key], version)
        if key in change.ttl_s:
            end = self.clock.monotonic() + change.ttl_s[key]
            heapq.heappush(self._expiries, (end, key, version))
        return version

    def _version(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else ABSENT

    def _below(self, prefix: str) -> Iterator[tuple[str, Row]]:
        for key in self._rows.irange(prefix):
            if not key.startswith(prefix):
                return
            yield key, self._rows[key]

    def _expire(self) -> None:
        now = self.clock.monotonic()
        while self._expiries and self._expiries[0][0] <= now:
            _, key, version = heapq.heappop(self._expiries)
            if self._version(key) == version:
                del self._rows[key]
