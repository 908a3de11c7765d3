"""Workers that fail what they start: suspension with growing probes."""

from __future__ import annotations

from dataclasses import dataclass

SUSPEND_AFTER = 3
"""The number of failures in a row, over different owners, that suspends a worker."""

FIRST_PROBE_S = 2.0
LONGEST_PROBE_S = 600.0


@dataclass(slots=True)
class _Record:
    """The failures in a row of one worker and the time of its next probe.

    ``is_start`` tells whether the last one was a refused start.
    """

    owners: set[str]
    probe_s: float = 0.0
    wait_s: float = 0.0
    is_probing: bool = False
    is_start: bool = False


class Health:
    """Which workers may take new tasks, judged by the ends of their tasks.

    A worker on which tasks of several owners failed in a row gets no new task until
    its next probe. A probe lets one task through; each failed one doubles the wait.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def note_failure(
        self, worker: str, owner: str, now_s: float, is_start: bool = False
    ) -> None:
        """Count a failed start or a failed task."""
        record = self._records.setdefault(worker, _Record(set()))
        record.is_start = is_start
        record.owners.add(owner)
        if len(record.owners) >= SUSPEND_AFTER or record.wait_s:
            record.wait_s = min(LONGEST_PROBE_S, max(FIRST_PROBE_S, record.wait_s * 2))
            record.probe_s = now_s + record.wait_s
        record.is_probing = False

    def note_success(self, worker: str) -> None:
        """Forget the failures of a worker."""
        self._records.pop(worker, None)

    def note_started(self, worker: str) -> None:
        """Take note of a start that worked; it ends a run of failed starts."""
        record = self._records.get(worker)
        if record is not None and record.is_start:
            self.note_success(worker)

    def note_start(self, worker: str) -> None:
        """Take note that a task was placed, which ends the chance of a probe."""
        record = self._records.get(worker)
        if record is not None and record.wait_s:
            record.is_probing = True

    def is_suspended(self, worker: str, now_s: float) -> bool:
        """Return whether a worker gets no new task now."""
        record = self._records.get(worker)
        if record is None or not record.wait_s:
            return False
        return record.is_probing or now_s < record.probe_s

    def suspended(self, now_s: float) -> list[str]:
        """Return the suspended workers, sorted."""
        return sorted(w for w in self._records if self.is_suspended(w, now_s))
