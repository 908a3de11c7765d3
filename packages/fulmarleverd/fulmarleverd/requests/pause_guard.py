"""Detection of a process that was stopped or starved for seconds."""

from __future__ import annotations

PAUSE_LIMIT_S = 5.0
"""The longest gap between two beats after which slots are used without a new read.

It is shorter than the margin for which slots of an ended owner stay closed.
"""


class PauseGuard:
    """Tells whether this process has been running since it last read its shares.

    A process that was stopped may have lost its slots in the meantime. After a pause
    it uses none until a read of the table that began after the pause.
    """

    __slots__ = ("_beat_at", "_paused_at")

    def __init__(self, now: float) -> None:
        self._beat_at = now
        self._paused_at: float | None = None

    def beat(self, now: float) -> bool:
        """Note that the process runs; return whether slots may be used."""
        if now - self._beat_at > PAUSE_LIMIT_S:
            self._paused_at = now
        self._beat_at = now
        return self._paused_at is None

    def confirm(self, read_started_at: float, now: float) -> None:
        """End a pause if the shares were read after it."""
        self.beat(now)
        if self._paused_at is not None and read_started_at >= self._paused_at:
            self._paused_at = None
