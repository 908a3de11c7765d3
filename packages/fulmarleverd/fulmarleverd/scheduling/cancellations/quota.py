"""Limits the rows that cancellations of unknown jobs leave in the store."""

from __future__ import annotations

from collections import deque

from fulmarlever.clock import Clock
from fulmarleverd.scheduling.cancellations.lone import LONE_CANCEL_KEPT_S

# The rows of one daemon at the same time. Whoever cancels ids that nobody uses gets
# refusals beyond, and so do the few that cancel a job right after its submission had no
# answer; cancellations of known jobs are not limited.
MAX_LONE_CANCELS = 200


class LoneCancelQuota:
    """Counts the rows of lone cancellations that a daemon has written of late."""

    __slots__ = ("_clock", "_written_s")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._written_s: deque[float] = deque()

    def take(self) -> bool:
        """Count one more row, unless there are too many; return whether it may be."""
        now_s = self._clock.monotonic()
        while self._written_s and now_s - self._written_s[0] >= LONE_CANCEL_KEPT_S:
            self._written_s.popleft()
        if len(self._written_s) >= MAX_LONE_CANCELS:
            return False
        self._written_s.append(now_s)
        return True
