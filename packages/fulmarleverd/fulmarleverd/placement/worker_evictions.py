"""Eviction of tasks from workers that are leaving or used beyond their size."""

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

EVICTION_PAUSE_S = 5.0
"""The minimum time between two evictions from one overused worker.

It exceeds the lag of usage reports.
"""


class WorkerEvictions:
    """Chooses the tasks to stop on leaving and on overused workers."""

    def __init__(self, state: ZoneState) -> None:
        self.state = state
        self._evicted_s: dict[str, float] = {}

    def stopping_tasks(self) -> Iterator[Task]:
        """Yield the tasks to evict, in their new state ``STOPPING``.

        On a worker that is leaving these are batch tasks with checkpoints and service
        instances, one instance of each service at a time. On a worker whose tasks use
        more than they reserve, these are batch tasks, least urgent first, until the
        usage of the rest fits the worker's size.
        """
        for name, view in self.state.workers.fleet().items():
            if view.is_leaving:
                yield from self._evict_leaving(name)
            elif self.state.excess_by_worker.get(name, Size()) != Size():
                yield from self._evict_overused(name, view)

    def _evict_leaving(self, worker: str) -> Iterator[Task]:
        """Yield batch tasks with checkpoints, and one instance of each service."""
        for task in self.state.task_cache.of_worker(worker):
            job = self.state.job(task)
            may_move = self._may_move_instance(task) if job is None else job.checkpoint
            if task.state is TaskState.RUNNING and may_move:
                yield from _stopping_task(task, LEAVING)

    def _may_move_instance(self, task: Task) -> bool:
        """Return whether a task is the instance of its service to be moved next.

        None is moved while another instance of the service is starting or stopping.
        """
        if not task.is_service:
            return False
        instances = self.state.task_cache.of_owner(task.owner)
        if any(i.state in (TaskState.STOPPING, TaskState.STARTING) for i in instances):
            return False
        movable = (i.key for i in instances if self._runs_on_leaving_worker(i))
        return next(movable, None) == task.key

    def _runs_on_leaving_worker(self, task: Task) -> bool:
        view = self.state.workers.fleet().get(task.worker)
        is_running = task.state is TaskState.RUNNING
        return is_running and view is not None and view.is_leaving

    def _evict_overused(self, worker: str, view: WorkerView) -> Iterator[Task]:
        """Yield the least urgent batch tasks until the usage of the rest fits."""
        now_s = self.state.clock.monotonic()
        if now_s - self._evicted_s.get(worker, float("-inf")) < EVICTION_PAUSE_S:
            return
        tasks = [
            t
            for t in self.state.task_cache.of_worker(worker)
            if t.state in RESERVING_STATES
        ]
        used = sum((self._usage(task) for task in tasks), Size())
        for task in sorted(tasks, key=self._eviction_order):
            if used.fits_in(view.size):
                return
            if task.is_service or task.state is not TaskState.RUNNING:
                continue
            self._evicted_s[worker] = now_s
            used -= self._usage(task)
            yield from _stopping_task(task, OVERUSED)

    def _usage(self, task: Task) -> Size:
        return self.state.usage_by_task.get(task.key, task.reservation)

    def _eviction_order(self, task: Task) -> tuple[float, ...]:
        job = self.state.job(task)
        if job is None:
            return (1.0,)
        return (-job.urgency, not job.checkpoint, -self._usage(task).cores)


def _stopping_task(task: Task, reason: str) -> Iterator[Task]:
    next_state = stopping(task, reason)
    if next_state is not None:
        yield next_state
