"""Estimates of run times by queue and number of the step."""

from __future__ import annotations

from fulmarleverd.scheduling.specs import JobSpec, QueueSpec, StepSpec
from fulmarleverd.scheduling.tasks import Job, Step


class RunTimes:
    """The expected run times of tasks; at present the declared ones."""

    __slots__ = ()

    def expected_s(self, step: Step) -> float:
        """Return the expected seconds of one task of a step, 0 if nothing is known."""
        return self.expected_step_s(step.job.queue.name, step.number, step.spec)

    def quantile_s(self, step: Step, share: float) -> float:
        """Return the seconds within which a share of the tasks of a step end."""
        return self.expected_s(step)

    def expected_step_s(self, queue_name: str, number: int, spec: StepSpec) -> float:
        """Return the expected seconds of one task of a step of a job not yet open."""
        return spec.estimate_s

    def critical_path_s(self, spec: JobSpec, queue: QueueSpec) -> float:
        """Return the expected seconds of a job's longest chain of dependent steps."""
        ends: list[float] = []
        for number, step in enumerate(spec.steps):
            ready_s = max((ends[earlier] for earlier in step.after), default=0.0)
            ends.append(ready_s + self.expected_step_s(queue.name, number, step))
        return max(ends, default=0.0)

    def total_work_core_s(self, spec: JobSpec, queue: QueueSpec) -> float:
        """Return the expected core-seconds of one occurrence of a job."""
        return sum(
            step.count
            * step.cpu_m
            / 1000.0
            * self.expected_step_s(queue.name, number, step)
            for number, step in enumerate(spec.steps)
        )

    def remaining_s(self, job: Job) -> float:
        """Return the expected seconds of the longest chain of steps not yet done.

        Only occurrences that exist so far are considered.
        """
        longest = 0.0
        for steps in job.occurrences.values():
            ends: list[float] = []
            for step in steps:
                ready_s = max((ends[n] for n in step.spec.after), default=0.0)
                ends.append(ready_s + (0.0 if step.is_done else self.expected_s(step)))
            longest = max(longest, max(ends, default=0.0))
        return longest

    def remaining_work_core_s(self, job: Job) -> float:
        """Return the expected core-seconds of the tasks that are not done."""
        return sum(
            step.unfinished_tasks * step.spec.cpu_m / 1000.0 * self.expected_s(step)
            for step in job.steps()
            if not step.is_done
        )

    def record_end(self, step: Step, seconds: float) -> None:
        """Record one whole run that ended as done, in seconds at normal speed."""

    def to_data(self) -> list:
        """Return what has been learned as bounded plain data."""
        return []

    def load_data(self, data: list) -> None:
        """Use what an earlier owner learned; raise ValueError if it is malformed."""
