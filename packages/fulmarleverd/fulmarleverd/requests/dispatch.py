"""The task that runs a request on a server, independent of the waiting caller."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from fulmarleverd.requests.exchange import Result
from fulmarleverd.requests.server_share import ServerShare

MAX_SILENCE_S = 60.0
"""Time beyond the run limit for which a server without answers keeps a slot in use."""


class Dispatch:
    """A task that sends a request and may continue after the caller's deadline.

    ``run_until`` is the time at which the request has run for its run limit, and
    ``deadline`` the time until which the caller waits, both in seconds of the
    monotonic clock. ``share`` is ``None`` for a request to the old setup.

    A suspended server runs the request only after it resumes. A request without an
    answer is therefore abandoned only when the run limit has passed again since the
    server of ``share`` answered another request, or after ``MAX_SILENCE_S``.
    """

    __slots__ = (
        "run_until",
        "deadline",
        "share",
        "_run_limit_s",
        "_server_answered_at",
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
        self._server_answered_at: float | None = None
        self._done: asyncio.Future[Result | None]
        self._done = asyncio.get_running_loop().create_future()
        self._task: asyncio.Task | None = None

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start the task; the coroutine must call :meth:`finish` in every case."""
        self._task = asyncio.get_running_loop().create_task(coroutine)

    def finish(self, result: Result) -> None:
        """Pass the result to the caller if it still waits."""
        if not self._done.done():
            self._done.set_result(result)

    def is_expired(self, now: float) -> bool:
        """Return whether the request must have ended or may be abandoned."""
        if now < self.run_until:
            return False
        if self.share is None or not self.share.is_listed:
            return True
        if (
            self._server_answered_at is None
            and self.share.answered_at >= self.run_until
        ):
            self._server_answered_at = self.share.answered_at
        if now >= self.run_until + MAX_SILENCE_S:
            return True
        server_answered_at = self._server_answered_at
        return (
            server_answered_at is not None
            and now >= server_answered_at + self._run_limit_s
        )

    def cancel(self) -> None:
        """Cancel the task."""
        if self._task is not None:
            self._task.cancel()

    async def wait(self, now: float) -> Result | None:
        """Return the result, or ``None`` once the deadline or run limit has passed."""
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
