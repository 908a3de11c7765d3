"""Time as a service of the process, so that tests can replace it."""

from __future__ import annotations

import time


class Clock:
    """The clocks of this machine."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back, for leases and timeouts."""
        return time.monotonic()

    def boot(self) -> float:
        """Return seconds on a steady clock that also counts suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the Unix time in seconds, for deadlines and time stamps."""
        return time.time()


class ManualClock(Clock):
    """A clock that moves only when a test moves it."""

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
        """Move the clock forward."""
        self.now += seconds
