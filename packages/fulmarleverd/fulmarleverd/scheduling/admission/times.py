"""The run times that a forecast is made of."""

from __future__ import annotations

from typing import Protocol

from fulmarleverd.scheduling.jobs.tasks import Job, Step
from fulmarleverd.scheduling.run_times.new_job_times import NewJobTimes
from fulmarleverd.scheduling.specs import JobSpec, QueueSpec, StepSpec


class JobTimes(Protocol):
    """Run times of jobs, in seconds and core-seconds on workers of normal speed."""

    def expected_s(self, step: Step) -> float:
        """Return the seconds of one task of a step of an open job."""

    def expected_step_s(self, queue_name: str, number: int, spec: StepSpec) -> float:
        """Return the seconds of one task of the step ``number`` of a new job."""

    def critical_path_s(self, spec: JobSpec, queue: QueueSpec) -> float:
        """Return the seconds of the longest chain of steps of a new job."""

    def remaining_s(self, job: Job) -> float:
        """Return the seconds of the longest chain of steps that are not done."""

    def remaining_work_core_s(self, job: Job) -> float:
        """Return the core-seconds of the tasks that are not done."""


class StepRatios(NewJobTimes):
    """Expected time divided by declared time, by queue and number of the step.

    Daemons estimate new jobs by these published ratios. A step without one takes its
    declared time.
    """

    __slots__ = ("by_step",)

    def __init__(self, by_step: dict[tuple[str, int], float] | None = None) -> None:
        self.by_step = by_step or {}

    def expected_step_s(self, queue_name: str, number: int, spec: StepSpec) -> float:
        """Return the expected seconds of one task of a step."""
        return spec.estimate_s * self.by_step.get((queue_name, number), 1.0)
