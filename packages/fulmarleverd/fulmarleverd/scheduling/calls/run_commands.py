"""The commands about runs that the owner gives to workers."""

from __future__ import annotations

from typing import Protocol

from fulmarleverd.scheduling.jobs.runs import Run
from fulmarleverd.scheduling.workers.fleet import Worker


class RunCommands(Protocol):
    """Sends commands to workers and updates the state of runs by their results.

    Each method returns before the command is sent.
    """

    def send_start(self, run: Run) -> None:
        """Send the start of a planned run; its assignment must be committed."""

    def send_stop(self, run: Run) -> None:
        """Send a stop until the worker accepts it; the run stays until it has ended."""

    def send_stop_unknown(self, worker: Worker, task: str, run: int) -> None:
        """Send one stop for a run that belongs to no job of this owner."""

    def send_speed_limit(self, run: Run, percent: int) -> None:
        """Limit a run to a percentage of its full speed, 0 to pause it."""

    def close(self) -> None:
        """Cancel every command that has no result yet."""
