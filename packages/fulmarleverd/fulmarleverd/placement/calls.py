"""Start, stop and throttle calls to workers about tasks."""

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

MIN_CALL_INTERVAL_S = 0.5
"""The minimum time between two starts of the same kind of call about one task."""


@dataclass(slots=True, frozen=True)
class CallResult:
    """A worker's answer to a start or stop call about one attempt of a task.

    ``key`` is the key of the task's row; ``is_start`` is false for a stop call.
    """

    key: str
    attempt: int
    worker: str
    answer: Started | Ended | Refused
    is_start: bool


class WorkerCalls:
    """Starts calls about tasks and collects their results for the placer's next round.

    At most one start or stop call per task is in progress. A call without an answer
    yields no result; a later round repeats it because the task's recorded state is
    unchanged. ``on_result`` is called after each result.
    """

    def __init__(
        self, workers: Workers, spawn: Spawn, on_result: Callable[[], None]
    ) -> None:
        self.workers = workers
        self.clock = workers.clock
        self.spawn = spawn
        self.on_result = on_result
        self.in_flight: set[str] = set()
        self._last_call_s: dict[tuple[str, bool], float] = {}
        self.results: list[CallResult] = []

    def start(self, task: Task, order: StartOrder, expires_s: float) -> None:
        """Send a start order, unless a call is in progress or the last was too recent.

        ``expires_s`` is the monotonic time after which the worker must refuse it.
        """
        if self._try_reserve(task.key, True):
            call = self.workers.start_task(task.worker, order, expires_s)
            self._spawn_call(task, call, True)

    def stop(self, task: Task, order: StopOrder) -> None:
        """Send a stop order, under the same condition as a start order."""
        if self._try_reserve(task.key, False):
            call = self.workers.stop_task(task.worker, order)
            self._spawn_call(task, call, False)

    def throttle(self, worker: str, order: ThrottleOrder) -> None:
        """Send a throttle order without collecting its result.

        A lost order is not repeated; the worker keeps the old share until the throttle
        step changes again.
        """
        call = self.workers.throttle_task(worker, order)
        self.spawn(call, f"throttle {order.task}")

    def take_results(self) -> list[CallResult]:
        """Return the results since the last call of this method."""
        results, self.results = self.results, []
        return results

    def clear_delay(self, key: str) -> None:
        """Allow the next call about a task without waiting for the minimum interval."""
        self._last_call_s.pop((key, True), None)
        self._last_call_s.pop((key, False), None)

    def _try_reserve(self, key: str, is_start: bool) -> bool:
        now_s = self.clock.monotonic()
        started_s = self._last_call_s.get((key, is_start))
        is_early = started_s is not None and now_s - started_s < MIN_CALL_INTERVAL_S
        if key in self.in_flight or is_early:
            return False
        self.in_flight.add(key)
        self._last_call_s[key, is_start] = now_s
        return True

    def _spawn_call(self, task: Task, call: Coroutine, is_start: bool) -> None:
        self.spawn(self._collect_result(task, call, is_start), f"call {task.name}")

    async def _collect_result(
        self, task: Task, call: Coroutine, is_start: bool
    ) -> None:
        try:
            answer = await call
        finally:
            self.in_flight.discard(task.key)
        if isinstance(answer, Started | Ended | Refused):
            self.results.append(
                CallResult(task.key, task.attempt, task.worker, answer, is_start)
            )
            self.on_result()
