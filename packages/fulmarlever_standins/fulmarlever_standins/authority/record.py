"""A record of the runs on all workers, and of runs that break the guarantees."""

from __future__ import annotations

from collections import Counter, defaultdict

from fulmarlever_standins.authority.worker import RunKey, WorkerCore


class RunRecord:
    """The runs of each task, over all workers.

    ``starts`` and ``done`` count the runs by task that started and that ended as done.
    ``overlaps`` lists tasks of which two runs were active at the same time,
    ``restarted_after_done`` tasks that started although a run had ended as done.
    """

    def __init__(self) -> None:
        self.starts: Counter[str] = Counter()
        self.done: Counter[str] = Counter()
        self.overlaps: list[str] = []
        self.restarted_after_done: list[str] = []
        self._active: Counter[str] = Counter()
        # Per task, each end as done: the worker's incarnation and the end's number.
        self._ends: defaultdict[str, list[tuple[WorkerCore, int]]] = defaultdict(list)
        self._restarts: list[tuple[str, WorkerCore, int]] = []

    def attach(self, worker: WorkerCore) -> None:
        """Record the runs of an incarnation of a worker from now on."""
        worker.on_start = self._record_start
        worker.on_end = self._record_end

    def detach(self, worker: WorkerCore) -> None:
        """End an incarnation of a worker in the record, with all of its active runs."""
        for task, _ in list(worker.running):
            self._active[task] -= 1
        worker.on_end = lambda w, key, outcome: None
        worker.on_start = lambda w, key: None

    def restarted_after_known_end(self) -> list[str]:
        """Return tasks that started again after an end that the scheduler knew of.

        The scheduler does not know of an end if the worker's lease expired between the
        end and its acknowledgement.
        """
        return [
            task for task, worker, end in self._restarts if end in worker.known_ends
        ]

    def running(self) -> set[str]:
        """Return the names of the tasks with an active run."""
        return {task for task, count in self._active.items() if count > 0}

    def _record_start(self, worker: WorkerCore, key: RunKey) -> None:
        task = key[0]
        self.starts[task] += 1
        if self._active[task]:
            self.overlaps.append(task)
        if self.done[task]:
            self.restarted_after_done.append(task)
        self._restarts += [(task, *end) for end in self._ends[task]]
        self._active[task] += 1

    def _record_end(self, worker: WorkerCore, key: RunKey, outcome: str) -> None:
        task = key[0]
        self._active[task] -= 1
        if outcome == "done":
            self.done[task] += 1
            self._ends[task].append((worker, worker.last_end_number))
