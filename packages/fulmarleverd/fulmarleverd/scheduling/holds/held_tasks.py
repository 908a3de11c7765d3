"""Log lines about tasks whose run is uncertain, so that they are not planned."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from heapq import nsmallest

from fulmarleverd.scheduling.decisions import record_run
from fulmarleverd.scheduling.holds.held import HeldTask, hold_of_run
from fulmarleverd.scheduling.jobs.runs import Run

# A task is logged once it has been held for LONG_HOLD_S, then each HOLD_PERIOD_S.
LONG_HOLD_S = 2.0
HOLD_PERIOD_S = 5.0
# Limits the lines of one tick; those held for longest come first.
MAX_LINES_PER_TICK = 10


class HeldTaskLog:
    """Logs the tasks of open jobs that uncertain runs have held for long."""

    __slots__ = ("_next_line_s",)

    def __init__(self) -> None:
        self._next_line_s: dict[Run, float] = {}

    def tick(self, runs: Iterable[Run], now_s: float) -> None:
        """Log the tasks that are due; ``runs`` are all runs of the owner."""
        held = list(_long_held(runs, now_s))
        self._next_line_s = {
            item.run: self._next_line_s.get(item.run, now_s) for item in held
        }
        due = (item for item in held if self._next_line_s[item.run] <= now_s)
        for item in nsmallest(MAX_LINES_PER_TICK, due, key=self._urgency):
            self._next_line_s[item.run] = now_s + HOLD_PERIOD_S
            record_run(
                "task-held",
                item.run,
                str(item.reason),
                held_s=round(now_s - item.since_s, 1),
                state=str(item.run.state),
            )

    def _urgency(self, item: HeldTask) -> tuple[float, float]:
        """Return the sort key of the tasks to log, the longest overdue first."""
        return self._next_line_s[item.run], item.since_s


def _long_held(runs: Iterable[Run], now_s: float) -> Iterator[HeldTask]:
    for run in runs:
        held = hold_of_run(run)
        if held is None or run.task.step.job.is_final or run.task.is_done:
            continue
        if now_s - held.since_s >= LONG_HOLD_S:
            yield held
