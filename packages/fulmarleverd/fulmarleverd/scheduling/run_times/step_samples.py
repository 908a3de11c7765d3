"""What the runs of one step of one job have shown about its run time."""

from __future__ import annotations

import math
from collections import deque
from statistics import median

MAX_ENDED = 15
# From this many ended runs on, the progress of running ones tells nothing more.
MIN_ENDED = 3


class StepSamples:
    """The last ended runs of a step, and the evidence behind its measured speed.

    ``ended_s`` are seconds of whole runs, ``ended_runs`` counts them all.
    ``progress_s`` is the duration at the measured speed of the step's runs, 0 if not
    known. ``workers`` maps up to two workers of usual speed to the task of the step
    that each one ran; ``is_worker_usual`` tells that on one of them the runs of other
    steps were not slow. ``cached`` belongs to ``RunTimes``.
    """

    __slots__ = (
        "ended_s",
        "ended_runs",
        "progress_s",
        "workers",
        "is_worker_usual",
        "cached",
    )

    def __init__(self) -> None:
        self.ended_s: deque[float] = deque(maxlen=MAX_ENDED)
        self.ended_runs = 0
        self.progress_s = 0.0
        self.workers: dict[str, int] = {}
        self.is_worker_usual = False
        self.cached: tuple = ()

    @property
    def is_seen_elsewhere(self) -> bool:
        """Return whether two workers of usual speed ran different tasks of the step."""
        return len(self.workers) > 1

    def record_worker(self, worker_id: str, task: int, is_usual: bool) -> None:
        """Add a worker that is not known to be slow, and the task that it ran.

        ``is_usual`` tells that the runs of other steps there are not slow. A task that
        was moved from a slow worker to the next one shows nothing new.
        """
        self.is_worker_usual |= is_usual
        if len(self.workers) < 2 and task not in self.workers.values():
            self.workers[worker_id] = task

    def record_end(self, seconds: float) -> None:
        """Add an ended run."""
        self.ended_s.append(seconds)
        self.ended_runs += 1

    def estimate(self) -> tuple[float, int]:
        """Return the usual seconds and how many runs show it, (0, 0) if none."""
        count = len(self.ended_s)
        if count >= MIN_ENDED:
            return median(self.ended_s), count
        progress_runs = self._progress_runs()
        runs = count + progress_runs
        if not runs:
            return 0.0, 0
        logs = sum(math.log(seconds) for seconds in self.ended_s)
        if progress_runs:
            logs += progress_runs * math.log(self.progress_s)
        return math.exp(logs / runs), runs

    def _progress_runs(self) -> int:
        """Return for how many ended runs the progress counts.

        The slow progress of a single run may be that of its worker.
        """
        if not self.progress_s:
            return 0
        return 2 if self.is_seen_elsewhere else int(self.is_worker_usual)
