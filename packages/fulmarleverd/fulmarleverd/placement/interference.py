"""Throttling and eviction of batch tasks that slow services down."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from fulmarlever.policies.interference import INTERFERENCES, InterferencePolicy, Sample
from fulmarlever.policies.placement import TaskRequirements, WorkerCapacity
from fulmarlever.structure.task import Task, TaskState
from fulmarleverd.placement.backends import server_name
from fulmarleverd.placement.latency import LatencyReading
from fulmarleverd.placement.orders import ThrottleOrder
from fulmarleverd.placement.state import ZoneState

ACTION_COOLDOWN_S = 6.0
"""The minimum time between two actions on a worker.

It exceeds ``MEASUREMENT_LAG_S``, so that the effect of an action is measured before
the next one.
"""

MEASUREMENT_LAG_S = 3.0
"""How long a worker's batch load must be unchanged before the model learns."""

RELEASE_RATIO = 0.7
"""The ratio of tail latency to target below which throttling is reduced by one step."""

THROTTLE_SHARES = (1.0, 0.5, 0.25)
"""The share of its reserved cores that a batch task may use, by throttle step.

Batch tasks are evicted if the last step is not enough.
"""

MIN_SLOWDOWN = 0.05
"""The estimated relative slowdown above which batch tasks count as the cause."""

INITIAL_BLOCK_S = 60.0
MAX_BLOCK_S = 3600.0

EVICTED = "slows down a service over its target"


@dataclass(slots=True)
class _Throttling:
    """The throttle step of one worker and its batch load.

    ``changed_s`` is the monotonic time of the last action and ``steady_since_s`` that
    of the last change of ``pressures``, which holds the fraction of the worker's cores
    that each batch kind may use. ``applied`` holds the attempts, by task key and
    attempt number, to which the current step was sent.
    """

    step: int = 0
    changed_s: float = float("-inf")
    pressures: dict[str, float] = field(default_factory=dict)
    steady_since_s: float = 0.0
    applied: set[tuple[str, int]] = field(default_factory=set)


@dataclass(slots=True)
class _Block:
    """The time until which a batch kind may not be placed on a worker.

    ``until_s`` is a monotonic time; ``duration_s`` is the length of the last block.
    """

    until_s: float = 0.0
    duration_s: float = 0.0


class InterferenceController:
    """Keeps service latencies in a zone below their targets by limiting batch tasks.

    When a service's tail latency exceeds its target and batch tasks on its worker are
    estimated to cause it, the controller throttles them step by step and then evicts
    the kind that slows services most. Below ``RELEASE_RATIO`` of the target it reduces
    the throttle. The gap between the two thresholds, and a cooldown longer than the lag
    of the measurements, prevent oscillation.

    ``policy`` is a name in ``INTERFERENCES``; with ``none`` nothing is throttled or
    evicted.
    """

    def __init__(self, state: ZoneState, policy: str = "learned") -> None:
        self.state = state
        self.model: InterferencePolicy = INTERFERENCES.find(policy)()
        self.is_acting = policy != "none"
        self._throttles: dict[str, _Throttling] = {}
        self._blocks: dict[tuple[str, str], _Block] = {}

    def slowdown(
        self, requirements: TaskRequirements, candidate: WorkerCapacity
    ) -> float:
        """Return the expected relative slowdown of services after a placement.

        For a service it is that of the new instance; for a batch task the sum over the
        service instances on the worker.
        """
        cores = candidate.size.cores or 1.0
        if requirements.is_service:
            pressures = {
                kind: used / cores
                for kind, used in candidate.batch_cores_by_kind.items()
            }
            return self.model.slowdown(requirements.kind, pressures)
        pressures = {requirements.kind: requirements.size.cores / cores}
        return sum(
            count * self.model.slowdown(service, pressures)
            for service, count in candidate.instances_by_service.items()
        )

    def is_blocked(
        self, requirements: TaskRequirements, candidate: WorkerCapacity
    ) -> bool:
        """Return whether a batch kind is blocked on a worker after an eviction."""
        block = self._blocks.get((candidate.worker, requirements.kind))
        now_s = self.state.clock.monotonic()
        return (
            not requirements.is_service and block is not None and now_s < block.until_s
        )

    def update(
        self, readings: Mapping[str, LatencyReading]
    ) -> Iterator[Task | ThrottleOrder]:
        """Update the model; yield throttle orders, and tasks to evict.

        ``readings`` are the latencies by backend server name.
        """
        now_s = self.state.clock.monotonic()
        for worker in list(self.state.task_cache.keys_by_worker):
            tasks = self.state.task_cache.of_worker(worker)
            services = [t for t in tasks if t.is_service and server_name(t) in readings]
            if services:
                throttling = self._throttles.setdefault(worker, _Throttling())
                self._update_pressures(worker, throttling, tasks, now_s)
                self._learn(services, throttling, readings, now_s)
                yield from self._act(worker, throttling, services, readings, now_s)
                yield from self._orders(worker, throttling)

    def _update_pressures(
        self, worker: str, throttling: _Throttling, tasks: list[Task], now_s: float
    ) -> None:
        view = self.state.workers.fleet().get(worker)
        cores = view.size.cores if view is not None and view.size.cores else 1.0
        pressures: dict[str, float] = {}
        for task in tasks:
            if not task.is_service:
                kind = self.state.workloads.kind(task)
                pressure = (
                    task.reservation.cores * THROTTLE_SHARES[throttling.step] / cores
                )
                pressures[kind] = pressures.get(kind, 0.0) + pressure
        if pressures != throttling.pressures:
            throttling.pressures, throttling.steady_since_s = pressures, now_s

    def _learn(
        self,
        services: list[Task],
        throttling: _Throttling,
        readings: Mapping[str, LatencyReading],
        now_s: float,
    ) -> None:
        if now_s - throttling.steady_since_s < MEASUREMENT_LAG_S:
            return
        for task in services:
            reading = readings[server_name(task)]
            slots = self.state.workloads.services[task.owner].slots
            load = reading.in_use / slots
            self.model.observe(
                Sample(task.owner, load, reading.latency_s, throttling.pressures, now_s)
            )

    def _act(
        self,
        worker: str,
        throttling: _Throttling,
        services: list[Task],
        readings: Mapping[str, LatencyReading],
        now_s: float,
    ) -> Iterator[Task | ThrottleOrder]:
        if not self.is_acting or now_s - throttling.changed_s < ACTION_COOLDOWN_S:
            return
        ratio = max(self._ratio(task, readings) for task in services)
        if ratio > 1 and self._is_caused_by_batch(throttling, services):
            throttling.changed_s = now_s
            if throttling.step + 1 < len(THROTTLE_SHARES):
                self._set_step(throttling, throttling.step + 1)
            else:
                yield from self._evict(worker, services, throttling, now_s)
        elif ratio < RELEASE_RATIO and throttling.step:
            throttling.changed_s = now_s
            self._set_step(throttling, throttling.step - 1)

    def _ratio(self, task: Task, readings: Mapping[str, LatencyReading]) -> float:
        target_s = self.state.workloads.services[task.owner].target_s
        return readings[server_name(task)].tail_s / target_s

    def _is_caused_by_batch(
        self, throttling: _Throttling, services: list[Task]
    ) -> bool:
        return any(
            self.model.slowdown(task.owner, throttling.pressures) > MIN_SLOWDOWN
            for task in services
        )

    def _set_step(self, throttling: _Throttling, step: int) -> None:
        throttling.step = step
        throttling.applied.clear()

    def _orders(self, worker: str, throttling: _Throttling) -> Iterator[ThrottleOrder]:
        """Yield a throttle order for each attempt without the current step."""
        if not throttling.step and throttling.changed_s == float("-inf"):
            return
        for task in self.state.task_cache.of_worker(worker):
            attempt = (task.key, task.attempt)
            is_batch = not task.is_service and task.state is TaskState.RUNNING
            if is_batch and attempt not in throttling.applied:
                throttling.applied.add(attempt)
                yield ThrottleOrder(
                    task.name,
                    task.attempt,
                    self.state.epoch,
                    THROTTLE_SHARES[throttling.step],
                )

    def _evict(
        self, worker: str, services: list[Task], throttling: _Throttling, now_s: float
    ) -> Iterator[Task]:
        """Yield the running tasks of the batch kind that slows services most.

        The kind is blocked on the worker; the block doubles with each eviction.
        """
        slowdowns = {
            kind: sum(self.model.slowdown(t.owner, {kind: pressure}) for t in services)
            for kind, pressure in throttling.pressures.items()
        }
        worst = max(slowdowns, key=lambda kind: slowdowns[kind])
        block = self._blocks.setdefault((worker, worst), _Block())
        block.duration_s = min(MAX_BLOCK_S, max(INITIAL_BLOCK_S, 2 * block.duration_s))
        block.until_s = now_s + block.duration_s
        for task in self.state.task_cache.of_worker(worker):
            is_worst = self.state.workloads.kind(task) == worst and not task.is_service
            if is_worst and task.state is TaskState.RUNNING:
                yield task
