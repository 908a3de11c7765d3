"""The scheduling decisions for queued tasks: starts, workers and evictions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

from fulmarlever.outcomes import failed
from fulmarlever.policies.order import NO_DEADLINE_S, ORDERS, QueuedJob
from fulmarlever.policies.placement import (
    PLACEMENTS,
    InsufficientCapacity,
    PlacementContext,
    TaskRequirements,
    WorkerCapacity,
)
from fulmarlever.policies.preemption import PREEMPTIONS, Eviction
from fulmarlever.structure.configuration import JobSpec, Urgency
from fulmarlever.structure.size import Size
from fulmarlever.structure.task import Task
from fulmarleverd.placement.capacity import preemption_candidate
from fulmarleverd.placement.quotas import ZoneQuotas
from fulmarleverd.placement.task_cache import TaskCache
from fulmarleverd.placement.task_transitions import started, stopping
from fulmarleverd.placement.workloads import Workloads

MAX_STARTS_PER_ROUND = 100
MAX_PREEMPTIONS_PER_ROUND = 20
"""The number of tasks per round for which evictions are considered."""

SAMPLED_WORKERS = 40
"""The number of workers among which the best one is chosen for a batch task."""

BATCH_CORES_GUARANTEED = "services leave this room to batch work"


class Queue:
    """Decides which queued tasks start on which workers.

    Service instances come first, then the tasks of jobs in the order of the ``order``
    policy. ``placement``, ``order`` and ``preemption`` are registered names of
    policies. ``reasons`` holds, by owner, why its tasks could not start in the last
    round.
    """

    def __init__(
        self,
        task_cache: TaskCache,
        workloads: Workloads,
        placement: str = "scored",
        order: str = "latest-start",
        preemption: str = "least-loss",
    ) -> None:
        self.task_cache = task_cache
        self.workloads = workloads
        self.place = PLACEMENTS.find(placement)
        self.order = ORDERS.find(order)
        self.preempt = PREEMPTIONS.find(preemption)
        self.reasons: dict[str, str] = {}
        self.next_sample_start = 0

    def decide(
        self,
        candidates: list[WorkerCapacity],
        quotas: ZoneQuotas,
        context: PlacementContext,
    ) -> Iterator[Task]:
        """Yield the next states of tasks to start and of tasks to evict for others.

        ``candidates`` are the workers that may get tasks in this round; the capacity
        that the decisions use is subtracted from them and counted in ``quotas``.
        """
        self.reasons.clear()
        context.racks = _count_racks(candidates)
        return _Round(self, candidates, quotas, context).decide()

    def in_start_order(self) -> Iterator[Iterator[Task]]:
        """Yield the startable tasks of each owner, in the order in which they start."""
        workloads = self.workloads
        owners = list(self.task_cache.queued_by_owner)
        services = [name for name in owners if name in workloads.services]
        services.sort(key=lambda name: (workloads.services[name].urgency, name))
        jobs = [name for name in owners if name in workloads.jobs]
        ordered = self.order(
            self._queued_job(name) for name in jobs if name not in workloads.not_owned
        )
        for name in (*services, *(job.name for job in ordered)):
            yield self._startable_tasks(name)

    def _startable_tasks(self, owner: str) -> Iterator[Task]:
        for key in list(self.task_cache.queued_by_owner.get(owner, ())):
            task = self.task_cache.entries[key].task
            if not self.workloads.retry_delays.is_waiting(key, self.workloads.now_s):
                yield task

    def _queued_job(self, name: str) -> QueuedJob:
        spec = self.workloads.jobs[name]
        deadline_s = NO_DEADLINE_S if spec.deadline_s is None else spec.deadline_s
        return QueuedJob(
            name,
            spec.team,
            spec.urgency,
            self.workloads.submitted_s.get(name, 0.0),
            deadline_s,
            self.workloads.sizes.run_s(spec.kind, spec.run_s),
        )


class _Round:
    """The decisions of one round, with the capacity and quotas left for the next one.

    ``evicted`` holds the keys of the tasks evicted in this round.
    """

    def __init__(
        self,
        queue: Queue,
        candidates: list[WorkerCapacity],
        quotas: ZoneQuotas,
        context: PlacementContext,
    ) -> None:
        self.queue = queue
        self.task_cache = queue.task_cache
        self.workloads = queue.workloads
        self.candidates = candidates
        self.quotas = quotas
        self.context = context
        self.evicted: set[str] = set()
        self.preemptions = 0
        self._unplaceable: set[tuple[Size, frozenset[str]]] = set()

    def decide(self) -> Iterator[Task]:
        """Yield the next states of tasks to start and to evict."""
        count = 0
        for tasks in self.queue.in_start_order():
            for task in tasks:
                if count >= MAX_STARTS_PER_ROUND:
                    return
                requirements = self.workloads.requirements(task)
                start = self._start(task, requirements)
                if start is not None:
                    count += 1
                    yield start
                    continue
                evictions = list(self._evict(task, requirements))
                yield from evictions
                if not evictions:
                    # The other tasks of the owner are alike and do not fit either.
                    break

    def _start(self, task: Task, requirements: TaskRequirements) -> Task | None:
        reason = self._quota_refusal(task, requirements.size)
        placement_key = (requirements.size, requirements.vms)
        if not reason and placement_key in self._unplaceable:
            reason = "no room"
        if reason:
            self.queue.reasons[task.owner] = reason
            return None
        candidate = self._place(requirements)
        if failed(candidate):
            self._unplaceable.add(placement_key)
            self.queue.reasons[task.owner] = candidate.reason
            return None
        candidate.reserve(requirements)
        self.context.racks[task.owner, candidate.rack] += 1
        self.quotas.record_start(requirements.size, self._team(task))
        return started(task, candidate.worker, requirements.size)

    def _place(
        self, requirements: TaskRequirements
    ) -> WorkerCapacity | InsufficientCapacity:
        """Return the best of a sample of workers, or of all if the task fits on none.

        The best worker of a sample is nearly as good as the best of all, and its cost
        does not grow with the zone. Services have few tasks, which must be spread over
        all racks, so all workers are compared for them.
        """
        if not requirements.is_service and len(self.candidates) > SAMPLED_WORKERS:
            first = self.queue.next_sample_start % len(self.candidates)
            self.queue.next_sample_start += SAMPLED_WORKERS
            sample = self.candidates[first : first + SAMPLED_WORKERS]
            candidate = self.queue.place(requirements, sample, self.context)
            if not failed(candidate):
                return candidate
        return self.queue.place(requirements, self.candidates, self.context)

    def _quota_refusal(self, task: Task, size: Size) -> str:
        if task.is_service:
            return "" if self.quotas.may_start_service(size) else BATCH_CORES_GUARANTEED
        team = self._team(task)
        dimension = self.quotas.over_quota(team, size)
        return f"quota of team {team}: {dimension}" if dimension else ""

    def _evict(self, task: Task, requirements: TaskRequirements) -> Iterator[Task]:
        urgency_limit = self._urgency_limit(task)
        is_allowed = urgency_limit is not None and not self._quota_refusal(
            task, requirements.size
        )
        if not is_allowed or self.preemptions >= MAX_PREEMPTIONS_PER_ROUND:
            return
        self.preemptions += 1
        candidates = {
            candidate.worker: candidate
            for candidate in self.candidates
            if not requirements.vms or candidate.worker in requirements.vms
        }
        eviction = self.queue.preempt(
            requirements.size,
            (
                preemption_candidate(
                    candidate,
                    self.task_cache,
                    self.workloads,
                    urgency_limit,
                    self.evicted,
                )
                for candidate in candidates.values()
            ),
        )
        if eviction is None or not self._may_evict(task, eviction):
            return
        # Reserve the capacity that becomes free, so that no other task takes it.
        candidates[eviction.worker].free -= requirements.size
        reason = f"evicted for {task.name}"
        for victim in eviction.victims:
            self.evicted.add(victim.key)
            self.quotas.record_eviction(victim.size)
            next_state = stopping(self.task_cache.entries[victim.key].task, reason)
            if next_state is not None:
                yield next_state

    def _may_evict(self, task: Task, eviction: Eviction) -> bool:
        if not task.is_service:
            return True
        size = sum((victim.size for victim in eviction.victims), Size())
        return not eviction.victims or self.quotas.may_evict(size)

    def _urgency_limit(self, task: Task) -> Urgency | None:
        """Return the urgency that batch work must be less urgent than to be evicted.

        ``None`` means that the task must not evict any.
        """
        if task.is_service:
            return Urgency.CRITICAL
        job = self.workloads.jobs[task.owner]
        return job.urgency if job.urgency <= Urgency.HIGH else None

    def _team(self, task: Task) -> str:
        job: JobSpec | None = (
            None if task.is_service else self.workloads.jobs[task.owner]
        )
        return job.team if job else ""


def _count_racks(candidates: Iterable[WorkerCapacity]) -> Counter[tuple[str, str]]:
    counts: Counter[tuple[str, str]] = Counter()
    for candidate in candidates:
        for owner, count in candidate.tasks_by_owner.items():
            counts[owner, candidate.rack] += count
    return counts
