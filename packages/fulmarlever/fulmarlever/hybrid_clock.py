"""A hybrid logical clock: time stamps that respect causality between processes."""

from __future__ import annotations

from fulmarlever.clock import Clock

COUNTER_BITS = 16
MAX_DRIFT_MS = 60_000


def stamp_wall_s(stamp: int) -> float:
    """Return the Unix time in seconds of a stamp."""
    return (stamp >> COUNTER_BITS) / 1000


class HybridClock:
    """Stamps that grow with every event and with every stamp received.

    A stamp is an integer: Unix milliseconds, shifted by ``COUNTER_BITS``, plus a
    counter for events of the same millisecond.
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
        """Take over the stamp of a received message and return whether it was used.

        A stamp more than ``MAX_DRIFT_MS`` ahead of the local clock is ignored, so one
        wrong clock does not shift the stamps of every process.
        """
        if stamp > self._wall() + (MAX_DRIFT_MS << COUNTER_BITS):
            return False
        self._last = max(self._last, stamp)
        return True

    def _wall(self) -> int:
        return int(self._clock.wall() * 1000) << COUNTER_BITS
