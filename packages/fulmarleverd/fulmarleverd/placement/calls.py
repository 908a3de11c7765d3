"""Start and stop calls in progress, at most one for each task."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

from fulmarlever.outcomes import Refused
from fulmarlever.structure.task import Task
from fulmarleverd.placement.orders import (
    Ended,
    Started,
    StartOrder,
    StopOrder,
    ThrottleOrder,
)
from fulmarleverd.services.workers import Workers

Spawn = Callable[[Coroutine, str], asyncio.Task]

REPEAT_AFTER_S = 0.5
"""The shortest time between the beginnings of two calls about one task."""


@dataclass(slots=True, frozen=True)
class CallResult:
    """The answer of a worker about one attempt of a task."""

    key: str
    attempt: int
    worker: str
    answer: Started | Ended | Refused
    is_start: bool


class WorkerCalls:
    """Calls about tasks and their results, which the next round takes up.

    A call without an answer leaves no result; the task's state makes the next round
    repeat it.
    """

    def __init__(
        self, workers: Workers, spawn: Spawn, done: Callable[[], None]
    ) -> None:
        self.workers = workers
        self.clock = workers.clock
        self.spawn = spawn
        self.done = done
        self.busy: set[str] = set()
        self._begun_s: dict[tuple[str, bool], float] = {}
        self.results: list[CallResult] = []

    def start(self, task: Task, order: StartOrder, expires_s: float) -> None:
        """Order a start unless a call about the task is in progress."""
        if self._may_begin(task.key, True):
            call = self.workers.start_task(task.worker, order, expires_s)
            self._begin(task, call, True)

    def stop(self, task: Task, order: StopOrder) -> None:
        """Order a stop unless a call about the task is in progress."""
        if self._may_begin(task.key, False):
            call = self.workers.stop_task(task.worker, order)
            self._begin(task, call, False)

    def throttle(self, worker: str, order: ThrottleOrder) -> None:
        """Order a throttle; a lost one is repeated by the next change of its step."""
        call = self.workers.throttle_task(worker, order)
        self.spawn(call, f"throttle {order.task}")

    def take_results(self) -> list[CallResult]:
        """Return the results since the last call of this method."""
        results, self.results = self.results, []
        return results

    def clear_delay(self, key: str) -> None:
        """Let the next call about a task begin at once."""
        self._begun_s.pop((key, True), None)
        self._begun_s.pop((key, False), None)

    def _may_begin(self, key: str, is_start: bool) -> bool:
        now_s = self.clock.monotonic()
        begun_s = self._begun_s.get((key, is_start))
        is_early = begun_s is not None and now_s - begun_s < REPEAT_AFTER_S
        if key in self.busy or is_early:
            return False
        self.busy.add(key)
        self._begun_s[key, is_start] = now_s
        return True

    def _begin(self, task: Task, call: Coroutine, is_start: bool) -> None:
        self.spawn(self._finish(task, call, is_start), f"call {task.name}")

    async def _finish(self, task: Task, call: Coroutine, is_start: bool) -> None:
        try:
            answer = await call
        finally:
            self.busy.discard(task.key)
        if isinstance(answer, Started | Ended | Refused):
            self.results.append(
                CallResult(task.key, task.attempt, task.worker, answer, is_start)
            )
            self.done()
