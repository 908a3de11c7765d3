"""The workers that accept runs, ordered by their free cores for one plan."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Iterable

from fulmarleverd.scheduling.planning.obstacles import min_free_cpu_m
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.workers.fleet import Worker


class CapacityIndex:
    """The workers of one service that accept runs, found by the cores that are free.

    A plan only takes capacity, so a worker that lacks cores for a task when the plan
    begins lacks them until its end. Most workers of a full fleet are left out this way
    without a look at each of them for every step. ``workers`` are all of them.
    """

    __slots__ = ("workers", "_by_free_cores", "_by_best_effort_cores")

    def __init__(self, workers: list[Worker]) -> None:
        self.workers = workers
        self._by_free_cores: _Ranking | None = None
        self._by_best_effort_cores: _Ranking | None = None

    def has_room(self, spec: StepSpec) -> bool:
        """Return whether any worker had enough free cores when the plan began."""
        return self._ranking(spec).count(spec) > 0

    def with_room(self, spec: StepSpec) -> list[Worker]:
        """Return the workers that had enough free cores when the plan began."""
        ranking = self._ranking(spec)
        return ranking.workers[: ranking.count(spec)]

    def _ranking(self, spec: StepSpec) -> _Ranking:
        if spec.is_best_effort:
            if self._by_best_effort_cores is None:
                self._by_best_effort_cores = _Ranking(
                    self.workers, Worker.free_best_effort_cpu_m
                )
            return self._by_best_effort_cores
        if self._by_free_cores is None:
            self._by_free_cores = _Ranking(self.workers, Worker.free_cpu_m)
        return self._by_free_cores


class _Ranking:
    """Workers with the most free cores first."""

    __slots__ = ("workers", "_negated_free_cpu_m")

    def __init__(
        self, workers: Iterable[Worker], free_cpu_m: Callable[[Worker], float]
    ) -> None:
        ranked = [(-free_cpu_m(worker), worker) for worker in workers]
        ranked.sort(key=lambda pair: pair[0])
        self.workers = [worker for _, worker in ranked]
        # Ascending, as bisect needs it.
        self._negated_free_cpu_m = [negated for negated, _ in ranked]

    def count(self, spec: StepSpec) -> int:
        """Return how many of the first workers have enough cores for a task."""
        return bisect_right(self._negated_free_cpu_m, -min_free_cpu_m(spec))
