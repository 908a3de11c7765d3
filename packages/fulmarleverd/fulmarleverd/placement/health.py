"""Workers that fail what they start: suspension with growing probes."""

from __future__ import annotations

from dataclasses import dataclass

FAILED_OWNERS_TO_SUSPEND = 3
"""The number of failures in a row, over different owners, that suspends a worker."""

INITIAL_PROBE_DELAY_S = 2.0
MAX_PROBE_DELAY_S = 600.0


@dataclass(slots=True)
class _FailureRecord:
    """The failures in a row of one worker and the time of its next probe.

    ``is_start`` tells whether the last one was a refused start.
    """

    owners: set[str]
    next_probe_s: float = 0.0
    probe_delay_s: float = 0.0
    is_probing: bool = False
    is_start: bool = False


class WorkerHealth:
    """Which workers may take new tasks, judged by the ends of their tasks.

    A worker on which tasks of several owners failed in a row gets no new task until
    its next probe. A probe lets one task through; each failed one doubles the wait.
    """

    def __init__(self) -> None:
        self._records: dict[str, _FailureRecord] = {}

    def record_failure(
        self, worker: str, owner: str, now_s: float, is_start: bool = False
    ) -> None:
        """Count a failed start or a failed task."""
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
        """Forget the failures of a worker."""
        self._records.pop(worker, None)

    def record_confirmed_start(self, worker: str) -> None:
        """Take note of a start that worked; it ends a run of failed starts."""
        record = self._records.get(worker)
        if record is not None and record.is_start:
            self.record_success(worker)

    def record_placement(self, worker: str) -> None:
        """Take note that a task was placed, which ends the chance of a probe."""
        record = self._records.get(worker)
        if record is not None and record.probe_delay_s:
            record.is_probing = True

    def is_suspended(self, worker: str, now_s: float) -> bool:
        """Return whether a worker gets no new task now."""
        record = self._records.get(worker)
        if record is None or not record.probe_delay_s:
            return False
        return record.is_probing or now_s < record.next_probe_s

    def suspended(self, now_s: float) -> list[str]:
        """Return the suspended workers, sorted."""
        return sorted(w for w in self._records if self.is_suspended(w, now_s))
