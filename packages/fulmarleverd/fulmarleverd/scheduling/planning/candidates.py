"""The workers that can run the tasks of one step, in order of cost."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Container, Iterator
from itertools import groupby, islice

from fulmarleverd.scheduling.health.tolerance import SOUND_ONLY, Tolerance
from fulmarleverd.scheduling.jobs.tasks import Step, Task
from fulmarleverd.scheduling.planning.obstacles import find_obstacle
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.workers.fleet import Worker

# Returns the cost of one more task of a step on a worker, None if it may not run there.
WorkerCost = Callable[[StepSpec, Worker], tuple | None]
# Cost, whether the worker is cold, index in the list of workers, worker. The two in the
# middle break ties.
HeapEntry = tuple[tuple, bool, int, Worker]


class Candidates:
    """A heap of workers by the cost of one more task of a step.

    All tasks of a step are identical, and assigning one changes the cost of its worker
    only. So the cost of each worker is computed once for the step and once more for
    each task assigned to it. Workers that accept no runs or face an obstacle are left
    out. Of workers with equal cost, those that are cold come last. Impaired workers
    come after all others, if ``tolerance`` allows them, and so do those that stop each
    run at once. ``now_s`` is on the owner's
    clock.

    With a ``batch_size`` the workers are examined in batches until there is one
    candidate for each of ``wanted`` tasks, and again once no candidate is left. The
    workers of the preferred rack, and those that are not impaired, form groups that
    are examined one after the other. A batch without a candidate ends the search in
    its group.
    """

    __slots__ = (
        "_step",
        "_cost",
        "_now_s",
        "_heap",
        "_groups",
        "_is_grouped",
        "_unseen",
        "_batch_size",
        "_tolerance",
    )

    def __init__(
        self,
        step: Step,
        workers: list[Worker],
        cost: WorkerCost,
        now_s: float,
        batch_size: int | None = None,
        wanted: int = 1,
        tolerance: Tolerance = SOUND_ONLY,
    ) -> None:
        self._step = step
        self._cost = cost
        self._now_s = now_s
        self._heap: list[HeapEntry] = []
        self._unseen: Iterator[tuple[int, Worker]] = iter(())
        self._is_grouped = batch_size is not None and len(workers) > batch_size
        by_group = groupby(enumerate(workers), self._group)
        self._groups = (group for _, group in by_group)
        self._batch_size = batch_size
        self._tolerance = tolerance
        while self._examine_batch() and len(self._heap) < wanted:
            pass

    @property
    def is_empty(self) -> bool:
        """Return whether no worker that was examined can run a task."""
        return not self._heap

    def _examine_batch(self) -> bool:
        """Add the candidates of the next batch; return whether there are any.

        A group whose next batch has none is left out from then on.
        """
        while True:
            batch = islice(self._unseen, self._batch_size)
            entries = (self._heap_entry(worker, index) for index, worker in batch)
            found = [entry for entry in entries if entry is not None]
            if found:
                self._heap += found
                heapq.heapify(self._heap)
                return True
            group = next(self._groups, None)
            if group is None:
                self._unseen = iter(())
                return False
            self._unseen = group

    def _group(self, numbered: tuple[int, Worker]) -> tuple[bool, bool]:
        """Return the group of a worker: whether it is impaired, and not near.

        All workers that fit into one batch are one group.
        """
        if not self._is_grouped:
            return False, False
        worker = numbered[1]
        rack = self._step.spec.preferred_rack
        is_remote = bool(rack) and rack not in worker.entry.labels
        return worker.comes_last_at(self._now_s), is_remote

    def _heap_entry(self, worker: Worker, index: int) -> HeapEntry | None:
        if not worker.accepts_runs(self._now_s, self._tolerance):
            return None
        if find_obstacle(self._step, worker) is not None:
            return None
        cost = self._cost(self._step.spec, worker)
        if cost is None:
            return None
        comes_last = worker.comes_last_at(self._now_s)
        return ((comes_last, *cost), worker.is_cold, index, worker)

    def place(
        self,
        task: Task,
        assign: Callable[[Task, Worker], object],
        excluded: Container[str] = (),
    ) -> Worker | None:
        """Assign a task to the cheapest worker that the task does not avoid.

        ``assign`` is called to reserve the resources of the task on the worker. Workers
        whose id is in ``excluded`` are skipped. Return the worker, None if there is no
        candidate left.
        """
        skipped: list[HeapEntry] = []
        found = None
        while found is None and (self._heap or self._examine_batch()):
            entry = heapq.heappop(self._heap)
            worker_id = entry[3].id
            if worker_id in excluded or task.avoids(worker_id, self._now_s):
                skipped.append(entry)
            else:
                found = entry
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        if found is None:
            return None
        _, _, index, worker = found
        assign(task, worker)
        entry = self._heap_entry(worker, index)
        if entry is not None:
            heapq.heappush(self._heap, entry)
        return worker
