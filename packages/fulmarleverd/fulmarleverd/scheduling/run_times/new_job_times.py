"""Expected times of whole jobs, from the expected times of their steps."""

from __future__ import annotations

from fulmarleverd.scheduling.specs import JobSpec, QueueSpec, StepSpec


class NewJobTimes:
    """Times of jobs without runs, for classes that estimate single steps."""

    __slots__ = ()

    def expected_step_s(self, queue_name: str, number: int, spec: StepSpec) -> float:
        """Return the expected seconds of one task of the step ``number`` of a job."""
        raise NotImplementedError

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
            step_work_core_s(
                step, step.count, self.expected_step_s(queue.name, number, step)
            )
            for number, step in enumerate(spec.steps)
        )


def step_work_core_s(spec: StepSpec, tasks: int, seconds: float) -> float:
    """Return the core-seconds of some tasks of a step that take ``seconds`` each."""
    return tasks * seconds * spec.cpu_m / 1000.0
