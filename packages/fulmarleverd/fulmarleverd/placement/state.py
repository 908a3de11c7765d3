"""The state that the components of one zone's placer share."""

from __future__ import annotations

from fulmarlever.policies.isolation import (
    ISOLATIONS,
    STOP_AFTER_S,
    IsolationAction,
)
from fulmarlever.structure.configuration import IsolationRule, JobSpec
from fulmarlever.structure.size import Size
from fulmarlever.structure.task import Task
from fulmarleverd.kernel import Kernel
from fulmarleverd.placement.backends import Backends
from fulmarleverd.placement.calls import WorkerCalls
from fulmarleverd.placement.health import WorkerHealth
from fulmarleverd.placement.lease import ZoneLease
from fulmarleverd.placement.orders import AttemptId
from fulmarleverd.placement.task_cache import TaskCache
from fulmarleverd.placement.workloads import Workloads
from fulmarleverd.services.workers import Workers


class ZoneState:
    """The state of a zone under one epoch, which begins with a takeover of its lease.

    ``confirmed_at_s`` holds the monotonic times at which workers confirmed the current
    attempts, by task key, and ``loaded_at_s`` that at which the task rows were read.
    ``pending_acknowledgements`` holds the ended attempts to acknowledge, by worker, and
    ``reconciled_workers`` the workers whose last report shows no attempt that is
    unknown to the task cache. ``usage_by_task`` holds the last reported usage by task
    key, and ``excess_by_worker`` how much the tasks of a worker use in total beyond
    their reservations.
    """

    def __init__(self, kernel: Kernel, lease: ZoneLease, calls: WorkerCalls) -> None:
        self.name = kernel.settings.zone
        self.settings = kernel.settings
        self.clock = kernel.clock
        self.kernel = kernel
        self.workers: Workers = kernel.find("workers")
        self.lease = lease
        self.epoch = lease.epoch
        self.calls = calls
        self.task_cache = TaskCache()
        self.workloads = Workloads()
        self.backends = Backends(self.name)
        self.health = WorkerHealth()
        self.isolate = ISOLATIONS.find("declared")
        self.pending_acknowledgements: dict[str, set[AttemptId]] = {}
        self.confirmed_at_s: dict[str, float] = {}
        self.loaded_at_s = 0.0
        self.reconciled_workers: set[str] = set()
        self.usage_by_task: dict[str, Size] = {}
        self.excess_by_worker: dict[str, Size] = {}

    def job(self, task: Task) -> JobSpec | None:
        """Return the declaration of a task's job, or ``None`` for a service."""
        return None if task.is_service else self.workloads.jobs.get(task.owner)

    def may_renew(self, task: Task) -> bool:
        """Return whether the lease of a task may be renewed.

        A placer whose own lease has expired renews only the leases of tasks that no
        other placer moves meanwhile. The leases of the others run out, so that the next
        placer may start them again.
        """
        return self.isolation_action(task) is IsolationAction.RENEW

    def isolation_action(self, task: Task) -> IsolationAction:
        """Return the action of the isolation policy for a running task."""
        job = self.job(task)
        rule = job.isolation if job is not None else IsolationRule.KEEP
        expired_for_s = self.clock.monotonic() - self.lease.valid_until
        return self.isolate(rule, task.is_service, expired_for_s)

    def must_stop(self, task: Task) -> bool:
        """Return whether a task must be stopped until the table is reachable again."""
        expired_for_s = self.clock.monotonic() - self.lease.valid_until
        is_to_stop = self.isolation_action(task) is IsolationAction.STOP
        return is_to_stop and expired_for_s >= STOP_AFTER_S
