"""Holds that keep new runs from a worker for a limited time."""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum


class HoldReason(StrEnum):
    """Why a worker that answers gets no runs for a while.

    ``NO_ROOM`` means that it has rejected a run for lack of capacity, ``UNHEALTHY``
    that it refuses starts, ``UNANSWERED`` that it has not answered any start of a run,
    ``ISOLATION`` that a run which may crash it is kept apart, and ``UNKNOWN_RUN`` that
    it has a run that no job accounts for. The values are parts of log field names.
    """

    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    UNANSWERED = "unanswered_starts"
    ISOLATION = "isolation"
    UNKNOWN_RUN = "unknown_run"


# How long one hold may last, in seconds. Its cause may set it again.
LONGEST_HOLD_S = {
    HoldReason.NO_ROOM: 1.0,
    HoldReason.UNHEALTHY: 3.0,
    HoldReason.UNANSWERED: 5.0,
    HoldReason.ISOLATION: 2.0,
    HoldReason.UNKNOWN_RUN: 2.0,
}


class Hold:
    """A hold of a worker.

    It was first set at ``since_s`` and last set at ``set_at_s``; it ends at
    ``until_s``. Times are in seconds on the owner's clock. Raise ``ValueError`` if it
    would last longer than ``LONGEST_HOLD_S`` from when it is set.
    """

    __slots__ = ("reason", "since_s", "set_at_s", "until_s")

    def __init__(
        self, reason: HoldReason, since_s: float, set_at_s: float, until_s: float
    ) -> None:
        length_s = until_s - set_at_s
        if length_s > LONGEST_HOLD_S[reason]:
            raise ValueError(f"a hold for {reason} may not last {length_s:.1f} s")
        self.reason = reason
        self.since_s = since_s
        self.set_at_s = set_at_s
        self.until_s = until_s


class Holds:
    """The holds of one worker, at most one for each reason."""

    __slots__ = ("_by_reason", "_until_s")

    def __init__(self) -> None:
        self._by_reason: dict[HoldReason, Hold] = {}
        self._until_s = 0.0

    def add(self, reason: HoldReason, now_s: float, length_s: float) -> None:
        """Keep new runs from the worker for a time.

        A hold for the same reason that still lasts is continued, and never shortened.
        """
        earlier = self._by_reason.get(reason)
        since_s, until_s = now_s, now_s + length_s
        if earlier is not None and now_s < earlier.until_s:
            since_s, until_s = earlier.since_s, max(until_s, earlier.until_s)
        self._by_reason[reason] = Hold(reason, since_s, now_s, until_s)
        self._until_s = max(self._until_s, until_s)

    def is_held_at(self, now_s: float) -> bool:
        """Return whether any hold lasts at a time."""
        return now_s < self._until_s

    def at(self, now_s: float) -> Iterator[Hold]:
        """Yield the holds that last at a time, the oldest first."""
        lasting = [hold for hold in self._by_reason.values() if now_s < hold.until_s]
        yield from sorted(lasting, key=lambda hold: hold.since_s)
