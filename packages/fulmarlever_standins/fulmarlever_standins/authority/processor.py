"""The processor time of a simulated daemon: its calls wait for each other."""

from __future__ import annotations

import asyncio

from fulmarleverd.loop_delay import LoopDelay

# Time on an undisturbed VM to send a call, and to read and process its answer.
WORK_PER_HALF_CALL_S = 0.0003


class Processor:
    """Does the work of one daemon, one piece after the other.

    ``slowdown`` multiplies the time of each piece; 0 means that work takes no time.
    """

    __slots__ = ("slowdown", "_free_at_s")

    def __init__(self, slowdown: float = 0.0) -> None:
        self.slowdown = slowdown
        self._free_at_s = 0.0

    def backlog_s(self) -> float:
        """Return the seconds until the work in hand is done."""
        return max(0.0, self._free_at_s - asyncio.get_running_loop().time())

    async def work(self) -> None:
        """Wait for the work in hand, then for half a call's work."""
        if not self.slowdown:
            return
        now = asyncio.get_running_loop().time()
        work_s = WORK_PER_HALF_CALL_S * self.slowdown
        self._free_at_s = max(now, self._free_at_s) + work_s
        await asyncio.sleep(self._free_at_s - now)


class SimulatedLoopDelay(LoopDelay):
    """The delay of a daemon's event loop: the work that its processor has in hand.

    ``processor`` is the daemon's. With ``is_measured`` unset the daemon takes itself
    for punctual.
    """

    __slots__ = ("is_measured", "processor")

    def __init__(self, processor: Processor) -> None:
        self.processor = processor
        self.is_measured = True
        super().__init__()

    @property
    def recent_s(self) -> float:
        """Return the present delay in seconds."""
        return self.processor.backlog_s() if self.is_measured else 0.0

    @recent_s.setter
    def recent_s(self, value: float) -> None:
        """Ignore the value, as the delay is computed."""
