"""What the parts of one zone's placer share."""

from __future__ import annotations

from fulmarlever.policies.isolation import (
    ISOLATIONS,
    STOP_AFTER_S,
    IsolationStep,
)
from fulmarlever.structure.configuration import IsolationRule, JobSpec
from fulmarlever.structure.size import Size
from fulmarlever.structure.task import Task
from fulmarleverd.kernel import Kernel
from fulmarleverd.placement.backends import Backends
from fulmarleverd.placement.book import TaskBook
from fulmarleverd.placement.calls import WorkerCalls
from fulmarleverd.placement.health import WorkerHealth
from fulmarleverd.placement.lease import ZoneLease
from fulmarleverd.placement.lookup import Lookup
from fulmarleverd.placement.orders import AttemptId
from fulmarleverd.services.workers import Workers


class ZoneState:
    """The state of a zone under one epoch.

    ``confirmed_s`` holds the monotonic time at which a worker confirmed an attempt,
    by task key; ``acknowledge`` the ends to acknowledge, by worker; ``ready`` the
    workers whose last report shows nothing that the book does not know; ``usage`` the
    last reported use of tasks, by key; ``excess`` what the tasks of a worker use
    beyond their reservations.
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
        self.book = TaskBook()
        self.lookup = Lookup()
        self.backends = Backends(self.name)
        self.health = WorkerHealth()
        self.isolate = ISOLATIONS.find("declared")
        self.acknowledge: dict[str, set[AttemptId]] = {}
        self.confirmed_s: dict[str, float] = {}
        self.loaded_s = 0.0
        self.ready: set[str] = set()
        self.usage: dict[str, Size] = {}
        self.excess: dict[str, Size] = {}

    def job(self, task: Task) -> JobSpec | None:
        """Return the declaration of a batch task's job, if it is known."""
        return None if task.is_service else self.lookup.jobs.get(task.owner)

    def may_renew(self, task: Task) -> bool:
        """Return whether a task's lease may be renewed.

        Without a valid lease of its own the holder goes on renewing what is never
        moved while it cannot be heard; the others end, so that the next placer may
        start them.
        """
        return self.isolation_step(task) is IsolationStep.RENEW

    def isolation_step(self, task: Task) -> IsolationStep:
        """Return what the isolation policy says about a running task."""
        job = self.job(task)
        rule = job.isolation if job is not None else IsolationRule.KEEP
        lapsed_s = self.clock.monotonic() - self.lease.valid_until
        return self.isolate(rule, task.is_service, lapsed_s)

    def must_stop(self, task: Task) -> bool:
        """Return whether a task must be stopped because the table is out of reach."""
        lapsed_s = self.clock.monotonic() - self.lease.valid_until
        is_stop = self.isolation_step(task) is IsolationStep.STOP
        return is_stop and lapsed_s >= STOP_AFTER_S
