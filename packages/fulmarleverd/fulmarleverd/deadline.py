"""Time limits that exclude the delay of the process's own event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from fulmarleverd.loop_delay import LoopDelay

Result = TypeVar("Result")


class Deadline:
    """A time limit in seconds from its creation, without the delay of the own loop."""

    __slots__ = ("_delay", "_until_s")

    def __init__(self, timeout_s: float, delay: LoopDelay) -> None:
        self._delay = delay
        self._until_s = delay.punctual_time() + timeout_s

    def left_s(self) -> float:
        """Return the seconds left, 0 once the time limit has passed."""
        return max(0.0, self._until_s - self._delay.punctual_time())

    def sooner(self, timeout_s: float) -> Deadline:
        """Return the time limit of a step that may take at most ``timeout_s``."""
        return Deadline(min(timeout_s, self.left_s()), self._delay)

    async def wait(self, awaitable: Awaitable[Result]) -> Result:
        """Return the result of an awaitable; raise ``TimeoutError`` after the limit."""
        task = asyncio.ensure_future(awaitable)
        try:
            while not task.done() and (left_s := self.left_s()) > 0.0:
                await asyncio.wait((task,), timeout=left_s)
            if not task.done():
                raise TimeoutError
            return task.result()
        finally:
            task.cancel()
