"""Rows and transactions of the platform's table."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

# The version in a condition that requires that a row does not exist.
ABSENT = 0


class WritePriority(IntEnum):
    """The priority of a daemon's queued write; the lowest value is sent first."""

    LEASES = 0
    TASKS = 1
    CLAIMS = 2
    STATUS = 3


@dataclass(slots=True, frozen=True)
class Row:
    """One row. ``version`` starts at 1 and grows with every write of the row."""

    key: str
    value: Any
    version: int


@dataclass(slots=True)
class Change:
    """A transaction: row writes that take effect all together or not at all.

    ``conditions`` maps keys to the versions that their rows must have; ``ABSENT`` means
    that no such row may exist. ``writes`` maps keys to new values, and ``deletes``
    lists the keys to remove. ``ttl_s`` maps written keys to the time in seconds after
    which their rows expire.
    """

    conditions: dict[str, int] = field(default_factory=dict)
    writes: dict[str, Any] = field(default_factory=dict)
    deletes: list[str] = field(default_factory=list)
    ttl_s: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Applied:
    """The result of a change that took effect: the new version of each written key."""

    versions: dict[str, int]
