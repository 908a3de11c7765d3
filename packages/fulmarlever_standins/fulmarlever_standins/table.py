"""An in-memory transactional table, the table service of the simulated platform."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator

from sortedcontainers import SortedDict

from fulmarlever.clock import Clock
from fulmarlever.structure.table import ABSENT, Applied, Change, Row


class MemoryTable:
    """A key-value table with row versions, atomic conditional writes and expiry.

    ``reads`` and ``writes`` count calls, ``rows_written`` the rows written.
    """

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
        """Return the rows of the given keys and of all keys with the given prefixes."""
        self.reads += 1
        self._expire()
        found = {key: self._rows[key] for key in keys if key in self._rows}
        for prefix in prefixes:
            found.update(self._rows_with_prefix(prefix))
        return list(found.values())

    def write(self, change: Change) -> Applied | list[str]:
        """Apply a change and return the new versions, or the keys in conflict.

        If a condition on a version does not hold, nothing is changed.
        """
        self.writes += 1
        self._expire()
        conflicts = [
            key
            for key, version in change.conditions.items()
            if self._version_of(key) != version
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
            expiry = self.clock.monotonic() + change.ttl_s[key]
            heapq.heappush(self._expiries, (expiry, key, version))
        return version

    def _version_of(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else ABSENT

    def _rows_with_prefix(self, prefix: str) -> Iterator[tuple[str, Row]]:
        for key in self._rows.irange(prefix):
            if not key.startswith(prefix):
                return
            yield key, self._rows[key]

    def _expire(self) -> None:
        now = self.clock.monotonic()
        while self._expiries and self._expiries[0][0] <= now:
            _, key, version = heapq.heappop(self._expiries)
            if self._version_of(key) == version:
                del self._rows[key]
