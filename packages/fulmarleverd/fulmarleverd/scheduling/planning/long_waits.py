"""Long-running tasks that have waited for long while starts are limited.

They come after the jobs whose callers wait for a result, and after the first task of
each job without a run. While the owner's processor limits the starts, there are always
some of those, and a long-running task would get no run as long as they come.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from fulmarleverd.scheduling.jobs.tasks import Step
from fulmarleverd.scheduling.planning.order import StartQuota

# Callers accept that a long-running task stands still for 3 s while there is room.
MAX_WAIT_S = 1.0
# Of the starts of a plan; a job whose runs fail at once must not take all of them.
SHARE = 0.5


class Wait:
    """Since when tasks of a step have waited, and when one last got its turn.

    Both times are on the owner's clock.
    """

    __slots__ = ("since_s", "turn_s")

    def __init__(self, now_s: float) -> None:
        self.since_s = self.turn_s = now_s


class LongWaits:
    """Knows how long the long-running steps have had waiting tasks."""

    __slots__ = ("_waits", "_carried")

    def __init__(self) -> None:
        self._waits: dict[Step, Wait] = {}
        self._carried = 0.0

    def update(self, steps: Iterable[Step], now_s: float) -> None:
        """Set the steps that have tasks to start."""
        self._waits = {
            step: self._waits.get(step) or Wait(now_s)
            for step in steps
            if step.spec.is_long_running
        }

    def quotas(
        self, steps: Iterable[Step], limit: int, now_s: float
    ) -> Iterator[StartQuota]:
        """Yield one task of each of some steps that has waited for long, in turn.

        ``limit`` is how many tasks the plan may start. Half of a single start counts
        for the next plan.
        """
        share = SHARE * limit + self._carried
        due = [
            step
            for step in steps
            if step in self._waits and now_s - self._waits[step].since_s >= MAX_WAIT_S
        ]
        due.sort(key=lambda step: self._waits[step].turn_s)
        self._carried = share % 1.0 if due else 0.0
        for step in due[: int(share)]:
            self._waits[step].turn_s = now_s
            yield StartQuota(step, 1)
