"""What a published row says: its value, who wrote it, in which term, and as of when."""

from __future__ import annotations

import math
from dataclasses import dataclass

from fulmarleverd.scheduling.persistence.rows import (
    FORMAT_ERRORS,
    SUMMARY_TABLE,
    BadRow,
    pack,
    unpack,
)
from fulmarleverd.scheduling.ports import RowSet, StoredRow

# Tells these rows from those of earlier versions, which say nothing of their writer.
FORMAT = "published-1"


@dataclass(slots=True, frozen=True)
class Publication:
    """A value with its origin.

    ``vm`` is the VM of the owner that wrote it and ``term`` the fencing token of the
    owner's term. ``as_of_s`` is the time in seconds on the store's clock at which the
    value was right, ``None`` if the owner did not know it. ``value`` is in msgpack.
    """

    vm: str
    term: int
    as_of_s: float | None
    value: bytes

    def to_row(self, key: str) -> StoredRow:
        """Return the row of a key that publishes this."""
        data = pack([FORMAT, self.vm, self.term, self.as_of_s, self.value])
        return StoredRow(SUMMARY_TABLE, key, data)

    @classmethod
    def from_row(cls, stored: StoredRow) -> Publication | BadRow:
        """Decode a published row."""
        try:
            name, vm, term, as_of_s, value = unpack(stored.value)
            if name != FORMAT or not isinstance(value, bytes):
                return BadRow(f"row {stored.key!r} has another format")
            as_of_s = None if as_of_s is None else float(as_of_s)
            return cls(str(vm), int(term), as_of_s, value)
        except FORMAT_ERRORS as exc:
            return BadRow(f"row {stored.key!r}: {type(exc).__name__}: {exc}")

    def age_s(self, read: RowSet) -> float:
        """Return how old the value was when the store answered a read, in seconds.

        Infinity stands for an unknown age, such as one of a clock that went back.
        """
        if self.as_of_s is None or read.store_time_s is None:
            return math.inf
        age_s = read.store_time_s - self.as_of_s
        return age_s if age_s >= 0.0 else math.inf
