"""Time limits that exclude the delay of the process's own event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from fulmarleverd.loop_delay import LoopDelay

Result = TypeVar("Result")


class Deadline:
    """A time limit in seconds from its creation, without the delay of the own loop."""

    __slots__ = ("_delay", "_timeout_s", "_until_s")

    def __init__(self, timeout_s: float, delay: LoopDelay) -> None:
        self._delay = delay
        self._timeout_s = timeout_s
        self._until_s = delay.punctual_time() + timeout_s

    def left_s(self) -> float:
        """Return the seconds left, 0 once the time limit has passed."""
        return max(0.0, self._until_s - self._delay.punctual_time())

    def sooner(self, timeout_s: float) -> Deadline:
        """Return the time limit of a step that may take at most ``timeout_s``."""
        return Deadline(min(timeout_s, self.left_s()), self._delay)

    def restarted(self) -> Deadline:
        """Return a time limit of the same length that counts from now."""
        return Deadline(self._timeout_s, self._delay)

    async def wait(self, awaitable: Awaitable[Result]) -> Result:
        """Return the result of an awaitable; raise ``TimeoutError`` after the limit.

        It is awaited by the calling task itself, so a cancellation of that task reaches
        it before it can complete unnoticed.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(None) as scope:

            def check() -> None:
                nonlocal timer
                left_s = self.left_s()
                if left_s > 0.0:
                    timer = loop.call_later(left_s, check)
                else:
                    scope.reschedule(loop.time())

            timer = loop.call_later(self.left_s(), check)
            try:
                return await awaitable
            finally:
                timer.cancel()
