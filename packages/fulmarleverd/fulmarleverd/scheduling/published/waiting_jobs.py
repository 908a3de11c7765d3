"""The number of waiting jobs by queue, as of a version of the table of jobs.

A job waits from its acceptance until the owner knows that one of its tasks has begun.
"""

from __future__ import annotations

from dataclasses import dataclass

from fulmarleverd.scheduling.persistence.rows import FORMAT_ERRORS, BadRow, pack, unpack


@dataclass(slots=True, frozen=True)
class WaitingJobs:
    """How many of the jobs that were accepted up to a version wait, by queue.

    ``jobs_version`` is that version of the store. Nothing later in the table of jobs
    has been taken into account, so whatever has changed since can be added.
    """

    by_queue: dict[str, int]
    jobs_version: int

    def pack(self) -> bytes:
        """Return the value to publish."""
        return pack([self.by_queue, self.jobs_version])

    @classmethod
    def unpack(cls, value: bytes) -> WaitingJobs | BadRow:
        """Decode a published value."""
        try:
            by_queue, jobs_version = unpack(value)
            counts = {str(queue): int(jobs) for queue, jobs in by_queue.items()}
            return cls(counts, int(jobs_version))
        except FORMAT_ERRORS as exc:
            return BadRow(f"waiting jobs: {type(exc).__name__}: {exc}")
