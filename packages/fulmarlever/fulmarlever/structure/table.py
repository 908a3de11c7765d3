"""Rows and transactions of the platform's table."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

ABSENT = 0


class WritePriority(IntEnum):
    """The priority of a queued write of one daemon; the lowest number is sent first."""

    LEASES = 0
    TASKS = 1
    CLAIMS = 2
    STATUS = 3


@dataclass(slots=True, frozen=True)
class Row:
    """One row. ``version`` grows with every write of the row, from 1."""

    key: str
    value: Any
    version: int


@dataclass(slots=True)
class Change:
    """One or more row writes that take effect together or not at all.

    ``conditions`` maps a key to the version it must have; ``ABSENT`` means that there
    must be no such row. ``writes`` maps a key to its new value, and ``deletes`` lists
    the keys to remove. ``ttl_s`` maps a written key to its life time in seconds.
    """

    conditions: dict[str, int] = field(default_factory=dict)
    writes: dict[str, Any] = field(default_factory=dict)
    deletes: list[str] = field(default_factory=list)
    ttl_s: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Applied:
    """A change that took effect, with the new version of each written key."""

    versions: dict[str, int]
