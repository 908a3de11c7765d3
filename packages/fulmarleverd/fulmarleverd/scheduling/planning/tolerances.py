"""Decides which workers the tasks of a step use rather than wait.

Load: a job without a run finds no sound worker with room. Callers accept that it stands
still for 3 s while under half of the capacity is in use.
"""

from __future__ import annotations

from fulmarleverd.scheduling.health.tolerance import SOUND_ONLY, Tolerance
from fulmarleverd.scheduling.jobs.tasks import Job, Step
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.planning.order import is_idle_for

# A job without a run may use impaired workers this long after its last start or its
# acceptance, and those with low headroom this long after its last run.
IMPAIRED_WORKERS_AFTER_S = 1.5
LOW_HEADROOM_AFTER_S = 1.5
# Jobs wait for trusted workers with headroom while at least this share of a service's
# cores is reserved: their runs would fail on others, or disturb serving tasks.
BUSY_SHARE = 0.5


class Tolerances:
    """The tolerances of steps during one plan of an owner."""

    __slots__ = ("_owner", "_impaired", "_is_busy", "_idle")

    def __init__(self, owner: Owner) -> None:
        self._owner = owner
        now = owner.now_s()
        self._impaired = Tolerance(
            slow=any(worker.is_slow_at(now) for worker in owner.fleet),
            distrusted=any(worker.failures.is_distrusted for worker in owner.fleet),
        )
        self._is_busy: dict[str, bool] = {}
        # Whether a job is idle takes a look at all of its steps.
        self._idle: dict[str, bool] = {}

    @property
    def has_impaired_workers(self) -> bool:
        """Return whether any worker was impaired when the plan began."""
        return self._impaired != SOUND_ONLY

    def find(self, step: Step) -> Tolerance:
        """Return on which workers tasks of a step start rather than wait.

        Long-running tasks earn as long as they run, at any speed, and may fail any
        number of times.
        """
        if step.spec.is_long_running:
            return self._impaired
        if not self.has_impaired_workers and not step.spec.is_best_effort:
            return SOUND_ONLY
        if not self._is_idle(step.job):
            return SOUND_ONLY
        has_room = not self._is_service_busy(step.job.queue.service)
        return Tolerance(
            slow=self._impaired.slow,
            distrusted=self._impaired.distrusted and has_room,
            low_headroom=has_room and self._may_lower_headroom(step),
        )

    def record_start(self, job: Job) -> None:
        """Note that a task of a job has been started in this plan."""
        self._idle[job.id] = False

    def _is_idle(self, job: Job) -> bool:
        if job.id not in self._idle:
            now = self._owner.now_s()
            self._idle[job.id] = is_idle_for(job, IMPAIRED_WORKERS_AFTER_S, now)
        return self._idle[job.id]

    def _may_lower_headroom(self, step: Step) -> bool:
        """Return whether one task of a step may start where headroom is low.

        A gang would start all of its tasks there.
        """
        if not step.spec.is_best_effort or step.spec.is_gang:
            return False
        idle_s = self._owner.now_s() - step.job.idle_since_s
        return idle_s >= LOW_HEADROOM_AFTER_S

    def _is_service_busy(self, service: str) -> bool:
        """Return whether half of the cores of a service are reserved."""
        if service not in self._is_busy:
            workers = self._owner.fleet.workers_of(service)
            workers = [worker for worker in workers if worker.is_listed]
            reserved_m = sum(worker.reserved_cpu_m for worker in workers)
            total_m = sum(worker.entry.cpu_m for worker in workers)
            self._is_busy[service] = reserved_m >= BUSY_SHARE * total_m
        return self._is_busy[service]
