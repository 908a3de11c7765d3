"""The workers that may run the tasks of one step, the cheapest first."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Container, Iterable

from fulmarleverd.scheduling.fleet import Worker
from fulmarleverd.scheduling.obstacles import find_obstacle
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.tasks import Step, Task

WorkerCost = Callable[[StepSpec, Worker], tuple | None]
# Cost, place in the list of workers (it decides between equal costs), worker.
Entry = tuple[tuple, int, Worker]


class Candidates:
    """A heap of workers by the cost of one more task of a step.

    All tasks of a step are equal, and giving one to a worker changes the cost of that
    worker alone. So each worker is reckoned once for the step and once more for each
    task that it gets. ``now_s`` is on the owner's clock.
    """

    __slots__ = ("_step", "_cost", "_now_s", "_heap")

    def __init__(
        self, step: Step, workers: Iterable[Worker], cost: WorkerCost, now_s: float
    ) -> None:
        self._step = step
        self._cost = cost
        self._now_s = now_s
        entries = (self._entry(worker, n) for n, worker in enumerate(workers))
        self._heap = [entry for entry in entries if entry is not None]
        heapq.heapify(self._heap)

    def _entry(self, worker: Worker, place: int) -> Entry | None:
        if not worker.takes_starts(self._now_s):
            return None
        if find_obstacle(self._step, worker) is not None:
            return None
        cost = self._cost(self._step.spec, worker)
        return None if cost is None else (cost, place, worker)

    def place(
        self,
        task: Task,
        give: Callable[[Task, Worker], object],
        excluded: Container[str] = (),
    ) -> Worker | None:
        """Give a task to the cheapest worker; ``excluded`` are ids of others."""
        passed: list[Entry] = []
        found = None
        while self._heap and found is None:
            entry = heapq.heappop(self._heap)
            if entry[2].id in task.avoid or entry[2].id in excluded:
                passed.append(entry)
            else:
                found = entry
        for entry in passed:
            heapq.heappush(self._heap, entry)
        if found is None:
            return None
        _, number, worker = found
        give(task, worker)
        entry = self._entry(worker, number)
        if entry is not None:
            heapq.heappush(self._heap, entry)
        return worker
