"""Counts what keeps the workers of a service from a task that waits."""

from __future__ import annotations

from collections import Counter

from fulmarleverd.scheduling.holds.held import HeldWorker, holds_of_worker
from fulmarleverd.scheduling.planning.obstacles import Obstacle
from fulmarleverd.scheduling.workers.fleet import Worker


class WaitCauses:
    """The workers of a service by what keeps them from one task.

    Workers that get no runs at all are counted by what holds them; ``oldest`` is the
    oldest of these holds. ``free_workers`` counts the workers with no obstacle, and
    ``free_m`` are the free thousandths of a core of each worker that may get runs.
    """

    __slots__ = ("counts", "oldest", "free_workers", "free_m", "_now_s")

    def __init__(self, now_s: float) -> None:
        self.counts: Counter[str] = Counter()
        self.oldest: HeldWorker | None = None
        self.free_workers = 0
        self.free_m: list[int] = []
        self._now_s = now_s

    def add(self, worker: Worker, obstacle: Obstacle | None) -> None:
        """Count a worker by the obstacle that the planner has found."""
        if obstacle is Obstacle.NO_STARTS:
            self._add_held(worker)
            return
        if obstacle is None:
            self.free_workers += 1
        else:
            self.counts[obstacle] += 1
        if obstacle is not Obstacle.EVACUATED:
            self.free_m.append(worker.free_cpu_m())

    def _add_held(self, worker: Worker) -> None:
        held = next(holds_of_worker(worker, self._now_s))
        self.counts[held.reason] += 1
        if self.oldest is None or held.since_s < self.oldest.since_s:
            self.oldest = held

    def describe(self) -> str:
        """Return the outcome of the log line."""
        if self.free_workers:
            return "though workers are free"
        return f"mostly for {self._most_frequent()}" if self.counts else ""

    def fields(self) -> dict[str, object]:
        """Return the fields of the log line: the counts, and the oldest hold."""
        fields = {f"workers_{name}": count for name, count in self.counts.items()}
        fields["workers_free"] = self.free_workers
        if self.oldest is not None:
            fields["oldest_hold"] = str(self.oldest.reason)
            fields["oldest_hold_s"] = round(self._now_s - self.oldest.since_s, 1)
            fields["oldest_hold_worker"] = self.oldest.worker.id
        return fields

    def _most_frequent(self) -> str:
        """Return the most frequent obstacle that may pass.

        Workers without the label of the step will never run it, so they count only if
        there are no others.
        """
        passing = {name: n for name, n in self.counts.items() if name != Obstacle.LABEL}
        if Obstacle.EVACUATED not in passing:
            passing = self.counts
        return max(passing, key=passing.get)
