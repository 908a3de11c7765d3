"""Decides which workers the tasks of a step use rather than wait.

Load: a job without a run finds no sound worker with room. Callers accept that it stands
still for 3 s while under half of the capacity is in use.
"""

from __future__ import annotations

from fulmarleverd.scheduling.health.tolerance import SOUND_ONLY, Tolerance
from fulmarleverd.scheduling.jobs.tasks import Job, Step
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.planning.contention import Contention
from fulmarleverd.scheduling.planning.order import is_idle_for
from fulmarleverd.scheduling.workers.fleet import Worker

# A job without a run may use impaired workers this long after its last start or its
# acceptance, and those with low headroom this long after its last run.
IMPAIRED_WORKERS_AFTER_S = 1.5
LOW_HEADROOM_AFTER_S = 1.5
# The next task of a job may take the place of its last one for this long, as the last
# report shows the headroom beside that one.
PLACE_KEPT_S = 0.5


class Tolerances:
    """The tolerances of steps during one plan of an owner.

    ``contention`` tells how busy services are, and how many best-effort jobs wait.
    """

    __slots__ = ("_owner", "_impaired", "_has_probed_workers", "contention", "_idle")

    def __init__(self, owner: Owner) -> None:
        self._owner = owner
        now = owner.now_s()
        self._impaired = Tolerance(
            slow=any(worker.is_slow_at(now) for worker in owner.fleet),
            distrusted=any(worker.failures.is_distrusted for worker in owner.fleet),
        )
        self._has_probed_workers = any(worker.may_hide_ends for worker in owner.fleet)
        self.contention = Contention(owner)
        # Whether a job is idle takes a look at all of its steps.
        self._idle: dict[str, bool] = {}

    @property
    def has_impaired_workers(self) -> bool:
        """Return whether any worker was impaired when the plan began."""
        return self._impaired != SOUND_ONLY

    @property
    def has_last_workers(self) -> bool:
        """Return whether other workers were preferred to any when the plan began."""
        return self._has_probed_workers or self.has_impaired_workers

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
        has_room = not self.contention.is_busy(step.job.queue.service)
        return Tolerance(
            slow=self._impaired.slow,
            distrusted=self._impaired.distrusted and has_room,
            low_headroom=has_room and self._may_lower_headroom(step),
        )

    def kept_place(self, step: Step) -> Worker | None:
        """Return the worker where a task of a step takes the place of the job's last.

        While others wait, a job whose task has just ended keeps its place: it does not
        wait for headroom that it took itself. The image has to be the same.
        """
        job, spec = step.job, step.spec
        run = job.last_run
        if run is None or not spec.is_best_effort or spec.is_gang or job.has_runs:
            return None
        if self._owner.now_s() - job.last_end_s > PLACE_KEPT_S:
            return None
        if not run.task.is_done or run.task.step.spec.image != spec.image:
            return None
        # The job itself waits too.
        if self.contention.waiting_jobs(job.queue.service) <= 1:
            return None
        return self._owner.fleet.find(run.worker_key)

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
