"""The submissions of a daemon that got no answer and may still take effect."""

from __future__ import annotations

from fulmarlever.clock import Clock

# Longer than a write without an answer takes to take effect.
UNCERTAIN_S = 15.0
# The oldest ones are forgotten first.
MAX_UNCERTAIN = 5000


class UncertainSubmissions:
    """The ids of jobs that may still be stored by a write that got no answer.

    Of such a job the daemon can neither say that it does not exist, nor that it is
    refused and never runs.
    """

    __slots__ = ("_clock", "_since_s")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._since_s: dict[str, float] = {}

    def add(self, job_id: str) -> None:
        """Note that a write of the job had no answer."""
        self._since_s.pop(job_id, None)
        self._since_s[job_id] = self._clock.monotonic()
        while len(self._since_s) > MAX_UNCERTAIN:
            del self._since_s[next(iter(self._since_s))]

    def discard(self, job_id: str) -> None:
        """Note that the job is stored, or never will be."""
        self._since_s.pop(job_id, None)

    def __contains__(self, job_id: str) -> bool:
        since_s = self._since_s.get(job_id)
        return since_s is not None and self._clock.monotonic() - since_s < UNCERTAIN_S
