"""The clocks of a process, as an object that tests can replace."""

from __future__ import annotations

import time


class Clock:
    """The clocks of the operating system."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back, for leases and timeouts."""
        return time.monotonic()

    def boot(self) -> float:
        """Return the seconds since boot, including time in suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the Unix time in seconds, for deadlines and timestamps."""
        return time.time()


class ManualClock(Clock):
    """A clock for tests that moves only with ``advance``."""

    __slots__ = ("now",)

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now

    def monotonic(self) -> float:
        """Return the set time in seconds."""
        return self.now

    def boot(self) -> float:
        """Return the set time in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the set time in seconds."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Move the clock by a number of seconds, which may be negative."""
        self.now += seconds
