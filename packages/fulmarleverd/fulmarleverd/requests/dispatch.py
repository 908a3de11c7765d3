"""A request under way to a server, apart from the caller that waits for it."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from fulmarleverd.requests.exchange import Result
from fulmarleverd.requests.server_share import ServerShare

SILENCE_LIMIT_S = 60.0
"""How long a server that answers nothing keeps a slot beyond the run limit."""


class Dispatch:
    """A task that sends a request and outlives the caller's deadline if it must.

    ``run_until`` is the time of the monotonic clock at which the request has run for
    its run limit, ``deadline`` the time until which the caller waits.

    A server that was frozen runs the request only after it resumes. A request without
    an answer is therefore given up only when its run limit has passed once more since
    the server of ``share`` answered another request.
    """

    __slots__ = (
        "run_until",
        "deadline",
        "share",
        "_run_limit_s",
        "_answer_seen_at",
        "_done",
        "_task",
    )

    def __init__(
        self,
        now: float,
        run_limit_s: float,
        deadline: float,
        share: ServerShare | None = None,
    ) -> None:
        self.run_until = now + run_limit_s
        self.deadline = deadline
        self.share = share
        self._run_limit_s = run_limit_s
        self._answer_seen_at: float | None = None
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

    def is_over(self, now: float) -> bool:
        """Return whether the request cannot run any more, or may be given up."""
        if now < self.run_until:
            return False
        if self.share is None or not self.share.is_listed:
            return True
        if self._answer_seen_at is None and self.share.answered_at >= self.run_until:
            self._answer_seen_at = self.share.answered_at
        if now >= self.run_until + SILENCE_LIMIT_S:
            return True
        seen_at = self._answer_seen_at
        return seen_at is not None and now >= seen_at + self._run_limit_s

    def cancel(self) -> None:
        """End the task."""
        if self._task is not None:
            self._task.cancel()

    async def wait(self, now: float) -> Result | None:
        """Return the result, or ``None`` when deadline or run limit are over."""
        loop = asyncio.get_running_loop()
        end = min(self.deadline, self.run_until)
        timer = loop.call_later(max(0.0, end - now), self._expire)
        try:
            return await self._done
        finally:
            timer.cancel()

    def _expire(self) -> None:
        if not self._done.done():
            self._done.set_result(None)
