"""An event loop in virtual time: its clock jumps to the next timer without waiting."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

from fulmarlever.clock import Clock

START_UNIX_TIME_S = 1_700_000_000.0


class _VirtualTimeSelector(selectors.DefaultSelector):
    """A selector that advances the loop's clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError(
                "deadlock: the loop has neither a timer nor a ready callback"
            )
        self.now_s += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time.

    It must not do real input or output, as it never waits for any.
    """

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)
        self._clock_resolution = 1e-6

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s


class VirtualClock(Clock):
    """The clocks of one process in a virtual-time loop.

    ``suspended_s`` is the total time in seconds for which the process has been
    suspended; the monotonic clock does not count it. ``stepped_s`` is how far the time
    of day is ahead, in seconds.
    """

    __slots__ = ("suspended_s", "stepped_s")

    def __init__(self) -> None:
        self.suspended_s = 0.0
        self.stepped_s = 0.0

    def monotonic(self) -> float:
        """Return monotonic seconds, without suspensions."""
        return asyncio.get_running_loop().time() - self.suspended_s

    def boot(self) -> float:
        """Return monotonic seconds, suspensions included."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the Unix time in seconds."""
        loop_s = asyncio.get_running_loop().time()
        return START_UNIX_TIME_S + loop_s + self.stepped_s


def run_virtual(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in a new virtual-time loop and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
