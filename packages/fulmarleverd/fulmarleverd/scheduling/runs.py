"""One run of a task on one incarnation of a worker."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarleverd.scheduling.fleet import Worker
    from fulmarleverd.scheduling.interference import HeadroomSample
    from fulmarleverd.scheduling.tasks import Task


FULL_PERCENT = 100.0


class RunState(StrEnum):
    """How far the start of a run has come."""

    PLANNED = "planned"
    SENT = "sent"
    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """One run of a task on one incarnation of a worker.

    Names that end in ``_s`` are seconds on the owner's clock, ``_percent`` values from
    0 to 100.

    ``progress_percent`` is the progress as last reported; a long-running task reports
    100 once it is ready. ``last_progress_percent`` is the value at its last increase, at
    ``last_progress_at_s``. ``speed`` is the share of the run's work done per second.
    ``speed_limit_percent`` is the share of full speed that the worker allows the run,
    0 while it is paused; ``is_speed_limit_known`` is false for a run whose limit an
    earlier owner set.

    ``latency_ms_or_cpu_m`` is the tail latency in milliseconds of a serving task and
    the processor use in thousandths of a core of any other. ``headroom_sample`` is the
    last sample of a serving run's headroom; ``target_missed_since_s`` is when a serving
    run began to miss its latency target, 0 while it meets it.

    ``may_arrive_late`` is set once a start got no answer: the worker may still carry it
    out. ``confirmed_at_s`` is when the worker last confirmed that it has the run; a report
    that was asked for earlier does not prove that the run is absent.
    """

    __slots__ = (
        "task",
        "number",
        "worker",
        "worker_key",
        "state",
        "started_s",
        "progress_percent",
        "latency_ms_or_cpu_m",
        "speed_limit_percent",
        "is_speed_limit_known",
        "paused_at_s",
        "headroom_sample",
        "target_missed_since_s",
        "last_progress_percent",
        "last_progress_at_s",
        "speed",
        "may_arrive_late",
        "stop_reason",
        "confirmed_at_s",
    )

    def __init__(self, task: Task, number: int, worker_key: WorkerKey) -> None:
        self.task = task
        self.number = number
        self.worker_key = worker_key
        self.worker: Worker | None = None
        self.state = RunState.PLANNED
        self.started_s = 0.0
        self.confirmed_at_s = 0.0
        self.progress_percent = 0.0
        self.latency_ms_or_cpu_m = 0.0
        self.speed_limit_percent = 100
        self.is_speed_limit_known = True
        self.paused_at_s = 0.0
        self.headroom_sample: HeadroomSample | None = None
        self.target_missed_since_s = 0.0
        self.last_progress_percent = 0.0
        self.last_progress_at_s = 0.0
        self.speed = 0.0
        self.may_arrive_late = False
        self.stop_reason = ""

    def move_to_incarnation(self, worker_key: WorkerKey) -> None:
        """Take note that the run may be on another incarnation of its worker."""
        self.worker_key = worker_key
        self.progress_percent = self.latency_ms_or_cpu_m = 0.0
        self.speed_limit_percent = 100
        self.headroom_sample = None
        self.last_progress_percent = self.last_progress_at_s = self.speed = 0.0

    @property
    def is_active(self) -> bool:
        """Return whether the run has been neither dropped nor ended."""
        return self.task.runs.get(self.number) is self

    def __repr__(self) -> str:
        return f"Run({self.task.name}, {self.number}, {self.state})"


class WorkerKey:
    """The id and the incarnation of the worker that a run was given to."""

    __slots__ = ("id", "incarnation")

    def __init__(self, id: str, incarnation: str) -> None:
        self.id = id
        self.incarnation = incarnation

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, WorkerKey)
            and self.id == other.id
            and self.incarnation == other.incarnation
        )

    def __hash__(self) -> int:
        return hash((self.id, self.incarnation))

    def __repr__(self) -> str:
        return f"{self.id}/{self.incarnation}"
