"""A hybrid logical clock, whose timestamps respect causality between processes."""

from __future__ import annotations

from fulmarlever.clock import Clock

COUNTER_BITS = 16
MAX_DRIFT_MS = 60_000


def stamp_wall_s(stamp: int) -> float:
    """Return the wall-clock part of a stamp as Unix time in seconds."""
    return (stamp >> COUNTER_BITS) / 1000


class HybridClock:
    """Issues stamps that are larger than all stamps issued or received before.

    A stamp is an integer: the Unix time in milliseconds, shifted left by
    ``COUNTER_BITS``, plus a counter for events in the same millisecond.
    """

    __slots__ = ("_clock", "_last")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = 0

    def now(self) -> int:
        """Return a new stamp, larger than every stamp issued or observed."""
        self._last = max(self._last + 1, self._wall())
        return self._last

    def observe(self, stamp: int) -> bool:
        """Advance the clock to the stamp of a received message.

        Return false for a stamp more than ``MAX_DRIFT_MS`` ahead of the local clock. It
        is ignored, so that one wrong clock does not shift the stamps of all processes.
        """
        if stamp > self._wall() + (MAX_DRIFT_MS << COUNTER_BITS):
            return False
        self._last = max(self._last, stamp)
        return True

    def _wall(self) -> int:
        return int(self._clock.wall() * 1000) << COUNTER_BITS
