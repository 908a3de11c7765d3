"""How late the event loop of this process runs its timers.

A loop that is late reads answers late, so its time limits pass although the other side
answered in time. Whoever waits for others subtracts the delay that the process itself
has caused.
"""

from __future__ import annotations

import asyncio

PERIOD_S = 0.1
# While the loop is late, so that nearly all of its delay is seen.
LATE_PERIOD_S = 0.01
# A timer is normally late by less than this, also on an idle machine.
TOLERANCE_S = 0.005
# Share of the recent delay that is left after each ``PERIOD_S``.
DECAY = 0.7


class LoopDelay:
    """Measures the delay of the event loop with a periodic timer.

    ``recent_s`` is the largest delay of late, which decays once the loop is punctual.
    Before ``start`` the loop counts as punctual.
    """

    __slots__ = ("recent_s", "_loop", "_total_s", "_due_s", "_timer")

    def __init__(self) -> None:
        self.recent_s = 0.0
        self._loop: asyncio.AbstractEventLoop | None = None
        self._total_s = 0.0
        self._due_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start to measure the running event loop."""
        self._loop = asyncio.get_running_loop()
        self._schedule(PERIOD_S)

    def stop(self) -> None:
        """Stop measuring; the loop counts as punctual from now on."""
        if self._timer is not None:
            self._timer.cancel()
        self._loop = None
        self.recent_s = 0.0

    def total_s(self) -> float:
        """Return the sum of all delays so far, with that of an overdue timer."""
        return self._total_s + self._overdue_s()

    def punctual_time(self) -> float:
        """Return seconds on a clock that stands still while the loop is late."""
        return asyncio.get_running_loop().time() - self.total_s()

    def _overdue_s(self) -> float:
        if self._loop is None:
            return 0.0
        late_s = self._loop.time() - self._due_s
        return late_s if late_s > TOLERANCE_S else 0.0

    def _schedule(self, period_s: float) -> None:
        self._due_s = self._loop.time() + period_s
        self._timer = self._loop.call_at(self._due_s, self._measure, period_s)

    def _measure(self, period_s: float) -> None:
        late_s = self._overdue_s()
        self._total_s += late_s
        decayed_s = self.recent_s * DECAY ** ((period_s + late_s) / PERIOD_S)
        self.recent_s = max(late_s, decayed_s)
        self._schedule(LATE_PERIOD_S if late_s else PERIOD_S)
