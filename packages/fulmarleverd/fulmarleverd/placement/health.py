"""Suspension of workers on which tasks fail, with probes at growing intervals."""

from __future__ import annotations

from dataclasses import dataclass

FAILED_OWNERS_TO_SUSPEND = 3
"""The number of owners with consecutive failures on a worker that suspends it.

An owner is a service or a job.
"""

INITIAL_PROBE_DELAY_S = 2.0
MAX_PROBE_DELAY_S = 600.0


@dataclass(slots=True)
class _FailureRecord:
    """The consecutive failures of one worker and its next probe.

    ``owners`` are the owners of the failed tasks and ``next_probe_s`` a monotonic time.
    ``probe_delay_s`` is the current delay before a probe, 0 until the worker is first
    suspended. ``is_probing`` is set while the task placed as a probe has no result, and
    ``is_start`` if the last failure was a refused start.
    """

    owners: set[str]
    next_probe_s: float = 0.0
    probe_delay_s: float = 0.0
    is_probing: bool = False
    is_start: bool = False


class WorkerHealth:
    """Decides which workers may take new tasks, from the results of their tasks.

    A worker with consecutive failures of tasks of ``FAILED_OWNERS_TO_SUSPEND`` owners
    is suspended: it gets no new task until its next probe. A probe is one new task.
    Each failure while suspended doubles the delay before the next probe, up to
    ``MAX_PROBE_DELAY_S``; a success ends the suspension. Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._records: dict[str, _FailureRecord] = {}

    def record_failure(
        self, worker: str, owner: str, now_s: float, is_start: bool = False
    ) -> None:
        """Record a failed task, or a refused start if ``is_start`` is set."""
        record = self._records.setdefault(worker, _FailureRecord(set()))
        record.is_start = is_start
        record.owners.add(owner)
        if len(record.owners) >= FAILED_OWNERS_TO_SUSPEND or record.probe_delay_s:
            record.probe_delay_s = min(
                MAX_PROBE_DELAY_S, max(INITIAL_PROBE_DELAY_S, record.probe_delay_s * 2)
            )
            record.next_probe_s = now_s + record.probe_delay_s
        record.is_probing = False

    def record_success(self, worker: str) -> None:
        """Record a task that succeeded; it ends the worker's suspension."""
        self._records.pop(worker, None)

    def record_confirmed_start(self, worker: str) -> None:
        """Record a start that the worker confirmed.

        It counts as a success if the worker's last failure was a refused start.
        """
        record = self._records.get(worker)
        if record is not None and record.is_start:
            self.record_success(worker)

    def record_placement(self, worker: str) -> None:
        """Record a placed task; it is the probe if the worker was suspended."""
        record = self._records.get(worker)
        if record is not None and record.probe_delay_s:
            record.is_probing = True

    def is_suspended(self, worker: str, now_s: float) -> bool:
        """Return whether a worker must not get a new task now."""
        record = self._records.get(worker)
        if record is None or not record.probe_delay_s:
            return False
        return record.is_probing or now_s < record.next_probe_s

    def suspended(self, now_s: float) -> list[str]:
        """Return the names of the suspended workers, sorted."""
        return sorted(w for w in self._records if self.is_suspended(w, now_s))
