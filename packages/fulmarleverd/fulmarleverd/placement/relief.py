"""Stops on workers that leave, or that are used beyond their size."""

from __future__ import annotations

from collections.abc import Iterator

from fulmarlever.structure.size import Size
from fulmarlever.structure.task import Task, TaskState
from fulmarleverd.placement.state import ZoneState
from fulmarleverd.placement.task_cache import RESERVING_STATES
from fulmarleverd.placement.task_transitions import stopping
from fulmarleverd.services.workers import WorkerView

LEAVING = "its worker is leaving"
OVERUSED = "its worker is used beyond its size"

RELIEF_PAUSE_S = 5.0
"""The time between two reliefs of one worker; longer than the lag of usage reports."""


class Relief:
    """Decides what to stop on workers that must carry less."""

    def __init__(self, state: ZoneState) -> None:
        self.state = state
        self._relieved_s: dict[str, float] = {}

    def stops(self) -> Iterator[Task]:
        """Yield the next states of tasks to move away."""
        for name, view in self.state.workers.fleet().items():
            if view.is_leaving:
                yield from self._leave(name)
            elif self.state.excess_by_worker.get(name, Size()) != Size():
                yield from self._relieve(name, view)

    def _leave(self, worker: str) -> Iterator[Task]:
        """Yield batch tasks that can resume, and one instance of each service."""
        for task in self.state.task_cache.of_worker(worker):
            job = self.state.job(task)
            may_move = self._may_move_instance(task) if job is None else job.checkpoint
            if task.state is TaskState.RUNNING and may_move:
                yield from _stop(task, LEAVING)

    def _may_move_instance(self, task: Task) -> bool:
        """Return whether no other instance of the service is on the move."""
        if not task.is_service:
            return False
        instances = self.state.task_cache.of_owner(task.owner)
        if any(i.state in (TaskState.STOPPING, TaskState.STARTING) for i in instances):
            return False
        movable = (i.key for i in instances if self._is_on_leaving(i))
        return next(movable, None) == task.key

    def _is_on_leaving(self, task: Task) -> bool:
        view = self.state.workers.fleet().get(task.worker)
        is_running = task.state is TaskState.RUNNING
        return is_running and view is not None and view.is_leaving

    def _relieve(self, worker: str, view: WorkerView) -> Iterator[Task]:
        """Yield the least urgent batch tasks until the rest fits by usage."""
        now_s = self.state.clock.monotonic()
        if now_s - self._relieved_s.get(worker, float("-inf")) < RELIEF_PAUSE_S:
            return
        tasks = [
            t
            for t in self.state.task_cache.of_worker(worker)
            if t.state in RESERVING_STATES
        ]
        used = sum((self._used(task) for task in tasks), Size())
        for task in sorted(tasks, key=self._loss):
            if used.fits_in(view.size):
                return
            if task.is_service or task.state is not TaskState.RUNNING:
                continue
            self._relieved_s[worker] = now_s
            used -= self._used(task)
            yield from _stop(task, OVERUSED)

    def _used(self, task: Task) -> Size:
        return self.state.usage_by_task.get(task.key, task.reservation)

    def _loss(self, task: Task) -> tuple[float, ...]:
        job = self.state.job(task)
        if job is None:
            return (1.0,)
        return (-job.urgency, not job.checkpoint, -self._used(task).cores)


def _stop(task: Task, reason: str) -> Iterator[Task]:
    change = stopping(task, reason)
    if change is not None:
        yield change
