"""Detection of pauses during which this process did not run."""

from __future__ import annotations

MAX_PAUSE_S = 5.0
"""The longest gap between two observations that does not count as a pause.

It is shorter than ``CLOSED_MARGIN_S``, the time beyond the run limit for which the
slots of an ended owner stay closed.
"""


class PauseDetector:
    """Detects that this process was suspended or got no CPU time.

    Other daemons may take the slots of a paused process. After a pause it uses no slot
    until it has read its shares in a read that began after the pause was detected.
    All times are in seconds of the monotonic clock.
    """

    __slots__ = ("_observed_at", "_pause_detected_at")

    def __init__(self, now: float) -> None:
        self._observed_at = now
        self._pause_detected_at: float | None = None

    def observe(self, now: float) -> bool:
        """Record that the process runs at ``now``; return whether slots may be used."""
        if now - self._observed_at > MAX_PAUSE_S:
            self._pause_detected_at = now
        self._observed_at = now
        return self._pause_detected_at is None

    def confirm_read(self, read_started_at: float, now: float) -> None:
        """End the pause if the read of the shares started after it was detected."""
        self.observe(now)
        if (
            self._pause_detected_at is not None
            and read_started_at >= self._pause_detected_at
        ):
            self._pause_detected_at = None
