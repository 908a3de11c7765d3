"""Sizes of tasks that a plan has found no worker for."""

from __future__ import annotations

from collections.abc import Iterable

from fulmarleverd.scheduling.jobs.tasks import Step, Task


class UnplacedSizes:
    """Sizes of tasks that no worker could run in this plan, by service and image.

    A task that needs at least as many cores and as much memory cannot be placed either,
    unless a worker is reserved for its step. So each image is tried about once, and an
    image that disturbs serving tasks too much does not delay the planning of others.
    """

    __slots__ = ("_sizes", "_steps_with_reservation")

    def __init__(self, reserved_for: Iterable[Step | None]) -> None:
        self._steps_with_reservation = set(reserved_for)
        self._sizes: dict[tuple[str, str, bool], tuple[int, int]] = {}

    def record_size(self, task: Task) -> None:
        """Record the size of a task without a worker.

        Tasks with further constraints are ignored, as these may be the cause.
        """
        spec = task.step.spec
        has_other_constraint = (
            spec.required_label
            or spec.max_per_worker
            or spec.gpus
            or task.step.job.queue.needs_ticket
        )
        if not has_other_constraint:
            self._sizes[_size_key(task.step)] = (spec.cpu_m, spec.memory_mb)

    def excludes(self, step: Step) -> bool:
        """Return whether no worker can run the tasks of a step in this plan."""
        size = self._sizes.get(_size_key(step))
        if size is None or step in self._steps_with_reservation:
            return False
        return step.spec.cpu_m >= size[0] and step.spec.memory_mb >= size[1]


def _size_key(step: Step) -> tuple[str, str, bool]:
    return step.job.queue.service, step.spec.image, step.spec.is_best_effort
