"""The state of one run of a task."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from fulmarleverd.scheduling.specs import WorkerKey

if TYPE_CHECKING:
    from fulmarleverd.scheduling.jobs.tasks import Task
    from fulmarleverd.scheduling.workers.fleet import Worker


# The progress of a complete run, and a speed limit that limits nothing.
FULL_PERCENT = 100.0


class RunState(StrEnum):
    """The stages of a run.

    A planned run is not committed yet; a sent one has a start on the way to its worker,
    a running one was accepted or reported by the worker, and a stopping one has a stop
    on the way.
    """

    PLANNED = "planned"
    SENT = "sent"
    RUNNING = "running"
    STOPPING = "stopping"


class HeadroomSample:
    """The headroom of a serving run as of one report.

    ``at_s`` is on the owner's clock; ``loads`` are the cores that best-effort images
    use beside the run, as shares of the worker. ``trend`` is the smoothed change of the
    headroom per second that the model does not ascribe to best-effort tasks.
    """

    __slots__ = ("at_s", "headroom", "loads", "trend")

    def __init__(
        self,
        at_s: float,
        headroom: float,
        loads: dict[str, float],
        earlier: HeadroomSample | None,
    ) -> None:
        self.at_s = at_s
        self.headroom = headroom
        self.loads = loads
        self.trend = earlier.trend if earlier else 0.0


class Run:
    """One run of a task on one incarnation of a worker.

    Names that end in ``_s`` are seconds on the owner's clock (0 for never),
    ``_percent`` values from 0 to 100. ``number`` counts the runs of the task from 1;
    ``worker`` is ``None`` while the worker of ``worker_key`` is not known.

    ``progress_percent`` is the progress as last reported; a long-running task reports
    100 once it has started up. ``last_progress_percent`` is the value at its last
    increase, at ``last_progress_at_s``. ``speed`` is the share of the run's work done
    per second, 0 while it is not known. ``sent_s`` is when this owner sent the start, 0
    for a run of an earlier owner, and ``last_sent_s`` when it sent it for the last
    time; ``accepted_clock_ms`` is the worker's own clock when it accepted the start, 0
    if this owner does not know it. An ``is_isolated`` run was
    started apart from others, as its task may crash workers. An ``is_probe`` run was
    stopped once it had begun, to see whether its worker reports the end.
    ``speed_limit_percent`` is the share of its full speed that the run may use, 0 to
    pause it; ``is_speed_limit_known`` is false for a run that an earlier owner may have
    limited, or whose limits may have arrived in another order.
    ``was_limited`` tells whether the run ever had a lower limit than its full speed or,
    if it is best-effort, was reported without all its cores.

    ``has_begun`` is set once this incarnation of the worker has accepted or reported
    the run; until then the start may not have reached it. ``is_known_begun`` is set
    once any incarnation has.

    ``latency_ms_or_cpu_m`` is the tail latency in milliseconds of a serving task and
    the processor use in thousandths of a core of any other. ``headroom_sample`` is the
    last sample of a serving run's headroom; ``target_missed_since_s`` is when a serving
    run began to miss its latency target, 0 while it meets it.

    ``is_refused`` tells whether the last start certainly did not reach the worker, or
    none was sent yet. ``may_arrive_late`` is set once a start got no answer: the worker
    may still carry it out. ``is_kept`` is set once the run has been kept beyond the
    lease of its worker. ``confirmed_at_s`` is when the worker accepted the last
    start or stop of the run; only a report requested later proves that the run is
    absent. It is infinite until a stop is accepted. ``uncertain_since_s`` is when the
    run was assigned or stopped, or when its worker was last looked for in vain.
    """

    __slots__ = (
        "task",
        "number",
        "worker",
        "worker_key",
        "state",
        "sent_s",
        "last_sent_s",
        "started_s",
        "accepted_clock_ms",
        "is_isolated",
        "is_probe",
        "has_begun",
        "is_known_begun",
        "progress_percent",
        "latency_ms_or_cpu_m",
        "speed_limit_percent",
        "was_limited",
        "is_speed_limit_known",
        "paused_at_s",
        "headroom_sample",
        "target_missed_since_s",
        "last_progress_percent",
        "last_progress_at_s",
        "speed",
        "may_arrive_late",
        "is_kept",
        "is_refused",
        "confirmed_at_s",
        "uncertain_since_s",
    )

    def __init__(self, task: Task, number: int, worker_key: WorkerKey) -> None:
        self.task = task
        self.number = number
        self.worker_key = worker_key
        self.worker: Worker | None = None
        self.state = RunState.PLANNED
        self.sent_s = 0.0
        self.last_sent_s = 0.0
        self.started_s = 0.0
        self.accepted_clock_ms = 0
        self.is_isolated = False
        self.is_probe = False
        self.has_begun = False
        self.is_known_begun = False
        self.confirmed_at_s = 0.0
        self.progress_percent = 0.0
        self.latency_ms_or_cpu_m = 0.0
        self.speed_limit_percent = 100
        self.was_limited = False
        self.is_speed_limit_known = True
        self.paused_at_s = 0.0
        self.headroom_sample: HeadroomSample | None = None
        self.target_missed_since_s = 0.0
        self.last_progress_percent = 0.0
        self.last_progress_at_s = 0.0
        self.speed = 0.0
        self.may_arrive_late = False
        self.is_kept = False
        self.is_refused = False
        self.uncertain_since_s = 0.0

    def move_to_incarnation(self, worker_key: WorkerKey) -> None:
        """Assign the run to another incarnation of its worker.

        What reports said about it is reset.
        """
        self.worker_key = worker_key
        self.has_begun = False
        self.is_probe = False
        self.accepted_clock_ms = 0
        self.progress_percent = self.latency_ms_or_cpu_m = 0.0
        self.speed_limit_percent = 100
        self.is_speed_limit_known = False
        self.headroom_sample = None
        self.last_progress_percent = self.last_progress_at_s = self.speed = 0.0

    @property
    def is_active(self) -> bool:
        """Return whether the run has neither ended nor been dropped."""
        return self.task.runs.get(self.number) is self

    @property
    def is_own(self) -> bool:
        """Return whether this owner has planned the run, not an earlier one."""
        return self.sent_s > 0.0 or self.state is RunState.PLANNED

    @property
    def may_be_probe(self) -> bool:
        """Return whether the run is a probe, or is stopped as one once it begins."""
        if self.task.step.spec.is_long_running:
            return False
        return self.is_probe or (self.is_own and self.state is not RunState.STOPPING)

    def __repr__(self) -> str:
        return f"Run({self.task.name}, {self.number}, {self.state})"
