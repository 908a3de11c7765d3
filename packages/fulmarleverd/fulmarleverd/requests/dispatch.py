"""A request under way to a server, apart from the caller that waits for it."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from fulmarleverd.requests.exchange import Result


class Dispatch:
    """A task that sends a request and outlives the caller's deadline if it must.

    ``run_until`` is the time of the monotonic clock at which the task is to be
    cancelled, ``deadline`` the time until which the caller waits.
    """

    __slots__ = ("run_until", "deadline", "_done", "_task")

    def __init__(self, run_until: float, deadline: float) -> None:
        self.run_until = run_until
        self.deadline = deadline
        self._done: asyncio.Future[Result | None]
        self._done = asyncio.get_running_loop().create_future()
        self._task: asyncio.Task | None = None

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start the task; it calls :meth:`finish` in any case."""
        self._task = asyncio.get_running_loop().create_task(coroutine)

    def finish(self, result: Result) -> None:
        """Hand the result to the caller if it still waits."""
        if not self._done.done():
            self._done.set_result(result)

    def cancel(self) -> None:
        """End the task."""
        if self._task is not None:
            self._task.cancel()

    async def wait(self, now: float) -> Result | None:
        """Return the result, or ``None`` when the deadline is over."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(max(0.0, self.deadline - now), self._expire)
        try:
            return await self._done
        finally:
            timer.cancel()

    def _expire(self) -> None:
        if not self._done.done():
            self._done.set_result(None)
