"""An event loop whose clock jumps to the next timer, for tests without waiting."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

from fulmarlever.clock import Clock

START_UNIX_TIME_S = 1_700_000_000.0


class _VirtualTimeSelector(selectors.DefaultSelector):
    """A selector that moves the loop's clock on in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("the test waits for something that never happens")
        self.now_s += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time. It must not do real input or output."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)
        self._clock_resolution = 1e-6

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s


class VirtualClock(Clock):
    """The clocks of one process in a virtual-time loop.

    ``suspended_s`` is how long the process has been suspended so far: the steady
    clock leaves that out.
    """

    __slots__ = ("suspended_s",)

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def monotonic(self) -> float:
        """Return steady seconds."""
        return asyncio.get_running_loop().time() - self.suspended_s

    def boot(self) -> float:
        """Return steady seconds that count suspensions."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return Unix seconds."""
        return START_UNIX_TIME_S + asyncio.get_running_loop().time()


def run_virtual(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
