"""Relief of services over their latency target: throttle batch work, then evict it."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from fulmarlever.policies.interference import INTERFERENCES, InterferencePolicy, Sample
from fulmarlever.policies.placement import TaskRequirements, WorkerCapacity
from fulmarlever.structure.task import Task, TaskState
from fulmarleverd.placement.backends import server_name
from fulmarleverd.placement.latency import Reading
from fulmarleverd.placement.orders import ThrottleOrder
from fulmarleverd.placement.state import ZoneState

DEAD_TIME_S = 6.0
"""The time after an action in which its effect is awaited; longer than the lag."""

LAG_S = 3.0
"""How long the batch work of a worker must be unchanged before latencies count."""

RELEASE_RATIO = 0.7
"""The part of its target below which a service gives throttled batch work back."""

SHARES = (1.0, 0.5, 0.25)
"""The steps of the throttle; after the last one batch work is evicted."""

BLAME = 0.05
"""The least estimated slowdown for which batch work is held responsible."""

FIRST_BLOCK_S = 60.0
LONGEST_BLOCK_S = 3600.0

EVICTED = "slows down a service over its target"


@dataclass(slots=True)
class _Level:
    """The throttle step of one worker and when it was changed last.

    ``applied`` holds the attempts, by key and number, that were told the step.
    """

    step: int = 0
    changed_s: float = float("-inf")
    pressures: dict[str, float] = field(default_factory=dict)
    steady_since_s: float = 0.0
    applied: set[tuple[str, int]] = field(default_factory=set)


@dataclass(slots=True)
class _Block:
    """A batch kind that is kept away from a worker for a while."""

    until_s: float = 0.0
    wait_s: float = 0.0


class Guard:
    """Watches the services of a zone and gives them relief from batch work.

    Hysteresis between the target and its release ratio, and a dead time longer than
    the lag of the measurements, keep it from swinging.
    """

    def __init__(self, state: ZoneState, policy: str = "learned") -> None:
        self.state = state
        self.model: InterferencePolicy = INTERFERENCES.find(policy)()
        self.is_acting = policy != "none"
        self._levels: dict[str, _Level] = {}
        self._blocks: dict[tuple[str, str], _Block] = {}

    def slowdown(
        self, requirements: TaskRequirements, candidate: WorkerCapacity
    ) -> float:
        """Return the slowdown of services that a placement is expected to cause."""
        cores = candidate.size.cores or 1.0
        if requirements.is_service:
            parts = {
                kind: used / cores
                for kind, used in candidate.batch_cores_by_kind.items()
            }
            return self.model.slowdown(requirements.kind, parts)
        parts = {requirements.kind: requirements.size.cores / cores}
        return sum(
            count * self.model.slowdown(service, parts)
            for service, count in candidate.instances_by_service.items()
        )

    def is_blocked(
        self, requirements: TaskRequirements, candidate: WorkerCapacity
    ) -> bool:
        """Return whether a batch kind was evicted from a worker a short while ago."""
        block = self._blocks.get((candidate.worker, requirements.kind))
        now_s = self.state.clock.monotonic()
        return (
            not requirements.is_service and block is not None and now_s < block.until_s
        )

    def watch(self, readings: Mapping[str, Reading]) -> Iterator[Task | ThrottleOrder]:
        """Learn from readings; yield throttles, and tasks to evict."""
        now_s = self.state.clock.monotonic()
        for worker in list(self.state.task_cache.keys_by_worker):
            tasks = self.state.task_cache.of_worker(worker)
            services = [t for t in tasks if t.is_service and server_name(t) in readings]
            if services:
                level = self._levels.setdefault(worker, _Level())
                self._note_pressures(worker, level, tasks, now_s)
                self._learn(services, level, readings, now_s)
                yield from self._act(worker, level, services, readings, now_s)
                yield from self._apply(worker, level)

    def _note_pressures(
        self, worker: str, level: _Level, tasks: list[Task], now_s: float
    ) -> None:
        view = self.state.workers.fleet().get(worker)
        cores = view.size.cores if view is not None and view.size.cores else 1.0
        pressures: dict[str, float] = {}
        for task in tasks:
            if not task.is_service:
                kind = self.state.workloads.kind(task)
                part = task.reservation.cores * SHARES[level.step] / cores
                pressures[kind] = pressures.get(kind, 0.0) + part
        if pressures != level.pressures:
            level.pressures, level.steady_since_s = pressures, now_s

    def _learn(
        self,
        services: list[Task],
        level: _Level,
        readings: Mapping[str, Reading],
        now_s: float,
    ) -> None:
        if now_s - level.steady_since_s < LAG_S:
            return
        for task in services:
            reading = readings[server_name(task)]
            slots = self.state.workloads.services[task.owner].slots
            load = reading.in_use / slots
            self.model.observe(
                Sample(task.owner, load, reading.latency_s, level.pressures, now_s)
            )

    def _act(
        self,
        worker: str,
        level: _Level,
        services: list[Task],
        readings: Mapping[str, Reading],
        now_s: float,
    ) -> Iterator[Task | ThrottleOrder]:
        if not self.is_acting or now_s - level.changed_s < DEAD_TIME_S:
            return
        ratio = max(self._ratio(task, readings) for task in services)
        if ratio > 1 and self._is_to_blame(level, services):
            level.changed_s = now_s
            if level.step + 1 < len(SHARES):
                self._change(level, level.step + 1)
            else:
                yield from self._evict(worker, services, level, now_s)
        elif ratio < RELEASE_RATIO and level.step:
            level.changed_s = now_s
            self._change(level, level.step - 1)

    def _ratio(self, task: Task, readings: Mapping[str, Reading]) -> float:
        target_s = self.state.workloads.services[task.owner].target_s
        return readings[server_name(task)].tail_s / target_s

    def _is_to_blame(self, level: _Level, services: list[Task]) -> bool:
        return any(
            self.model.slowdown(task.owner, level.pressures) > BLAME
            for task in services
        )

    def _change(self, level: _Level, step: int) -> None:
        level.step = step
        level.applied.clear()

    def _apply(self, worker: str, level: _Level) -> Iterator[ThrottleOrder]:
        """Yield the throttle of each attempt that was not told the step yet."""
        if not level.step and level.changed_s == float("-inf"):
            return
        for task in self.state.task_cache.of_worker(worker):
            attempt = (task.key, task.attempt)
            is_batch = not task.is_service and task.state is TaskState.RUNNING
            if is_batch and attempt not in level.applied:
                level.applied.add(attempt)
                yield ThrottleOrder(
                    task.name, task.attempt, self.state.epoch, SHARES[level.step]
                )

    def _evict(
        self, worker: str, services: list[Task], level: _Level, now_s: float
    ) -> Iterator[Task]:
        """Yield the running tasks of the kind that slows the services down most."""
        blamed = {
            kind: sum(self.model.slowdown(t.owner, {kind: part}) for t in services)
            for kind, part in level.pressures.items()
        }
        worst = max(blamed, key=lambda kind: blamed[kind])
        block = self._blocks.setdefault((worker, worst), _Block())
        block.wait_s = min(LONGEST_BLOCK_S, max(FIRST_BLOCK_S, 2 * block.wait_s))
        block.until_s = now_s + block.wait_s
        for task in self.state.task_cache.of_worker(worker):
            is_worst = self.state.workloads.kind(task) == worst and not task.is_service
            if is_worst and task.state is TaskState.RUNNING:
                yield task
