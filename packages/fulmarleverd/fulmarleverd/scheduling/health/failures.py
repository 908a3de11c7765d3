"""Tells workers that fail their runs from jobs that fail wherever they run.

A failed run is the fault of its worker or of its job. How likely it is the worker's
depends on the other runs of the step: if they fail on other workers as well, the step
is at fault; if they are done there, the worker is. A worker is distrusted if it is
likely to have failed runs of several jobs, and far more of them than other workers.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Protocol

# Failures are forgotten after this time.
FAILURES_KEPT_S = 15.0
# The failures of one job that failed nowhere else weigh a half, so two such jobs are
# needed.
DISTRUST_SCORE = 1.0
# If many jobs fail, each worker has failures of some. A distrusted one has this many
# times the mean of its service.
DISTRUST_FACTOR = 2.0
# A distrusted worker gets a run to probe it after the first pause; each pause until the
# next probe is twice as long, up to the second one.
FIRST_PROBE_PAUSE_S = 1.0
MAX_PROBE_PAUSE_S = 4.0


class FailingStep(Protocol):
    """What the tracker reads of a step: its job's id and its tasks that are done."""

    job_id: str
    done_tasks: int


class StepFailures:
    """The workers on which runs of a step failed, or made no progress, recently.

    ``worker_ids`` maps their ids to the time of the last failure there, in seconds on
    the owner's clock.
    """

    __slots__ = ("step", "worker_ids")

    def __init__(self, step: FailingStep) -> None:
        self.step = step
        self.worker_ids: dict[str, float] = {}

    def blame(self, sound_runs: int) -> float:
        """Return how likely a failure is the fault of its worker, from 0 to 1.

        ``sound_runs`` counts the runs of the step that went well. This is the estimate
        of Laplace's rule of succession for the share of runs that go well.
        """
        return (sound_runs + 1) / (sound_runs + len(self.worker_ids) + 1)


class WorkerFailures:
    """The recent failures on one worker, and whether it is distrusted for them.

    ``failed_at_s`` holds the time of the last failure of each step there. A distrusted
    worker may get a single run from ``probe_at_s`` on. Times are in seconds on the
    owner's clock.
    """

    __slots__ = (
        "worker_id",
        "failed_at_s",
        "is_distrusted",
        "probe_at_s",
        "_probe_pause_s",
    )

    def __init__(self, worker_id: str) -> None:
        self.worker_id = worker_id
        self.failed_at_s: dict[StepFailures, float] = {}
        self.is_distrusted = False
        self.probe_at_s = 0.0
        self._probe_pause_s = FIRST_PROBE_PAUSE_S

    @property
    def job_ids(self) -> list[str]:
        """Return the ids of the jobs whose runs failed on the worker."""
        return sorted({failures.step.job_id for failures in self.failed_at_s})

    @property
    def score(self) -> float:
        """Return about how many jobs have failed by the fault of the worker.

        Several steps of a job count as one.
        """
        blame_by_job: dict[str, float] = {}
        for failures in self.failed_at_s:
            job_id = failures.step.job_id
            blame = failures.blame(failures.step.done_tasks)
            blame_by_job[job_id] = max(blame, blame_by_job.get(job_id, 0.0))
        return sum(blame_by_job.values())

    @property
    def is_concerned(self) -> bool:
        """Return whether the worker has recent failures or is distrusted for some."""
        return self.is_distrusted or bool(self.failed_at_s)

    def is_avoided_at(self, now_s: float) -> bool:
        """Return whether the worker gets no runs but those that would wait."""
        return self.is_distrusted and now_s < self.probe_at_s

    def distrust(self, now_s: float) -> None:
        """Avoid the worker from now on, but for probes."""
        self.is_distrusted = True
        self._probe_pause_s = FIRST_PROBE_PAUSE_S
        self.probe_at_s = now_s + FIRST_PROBE_PAUSE_S

    def record_start(self, now_s: float) -> None:
        """Note a new run; if it is a probe, the next one has to wait."""
        if self.is_distrusted and now_s >= self.probe_at_s:
            self._probe_pause_s = min(MAX_PROBE_PAUSE_S, 2.0 * self._probe_pause_s)
            self.probe_at_s = now_s + self._probe_pause_s

    def record_success(self, started_s: float) -> None:
        """Forget the failures before the start of a run that went well."""
        for failures, failed_at_s in list(self.failed_at_s.items()):
            if failed_at_s < started_s:
                del self.failed_at_s[failures]


class FailureTracker:
    """The recent failures of all steps, and the workers to distrust for them."""

    __slots__ = ("_by_step",)

    def __init__(self) -> None:
        self._by_step: dict[FailingStep, StepFailures] = {}

    def record_failure(
        self, worker: WorkerFailures, step: FailingStep, now_s: float
    ) -> StepFailures:
        """Count a failed run for its worker and its step, and return the latter's."""
        failures = self._by_step.get(step)
        if failures is None:
            failures = self._by_step[step] = StepFailures(step)
        failures.worker_ids[worker.worker_id] = now_s
        worker.failed_at_s[failures] = now_s
        return failures

    def evaluate(
        self, workers: Iterable[WorkerFailures], now_s: float
    ) -> Iterator[WorkerFailures]:
        """Decide which workers of a service are distrusted, and yield the changes."""
        scores = [(worker, worker.score) for worker in workers]
        mean = sum(score for _, score in scores) / max(1, len(scores))
        limit = max(DISTRUST_SCORE, DISTRUST_FACTOR * mean)
        for worker, score in scores:
            if worker.is_distrusted != (score >= limit):
                if worker.is_distrusted:
                    worker.is_distrusted = False
                else:
                    worker.distrust(now_s)
                yield worker

    def forget_old(self, workers: Iterable[WorkerFailures], now_s: float) -> None:
        """Forget the failures that are older than ``FAILURES_KEPT_S``."""
        until_s = now_s - FAILURES_KEPT_S
        for step, failures in list(self._by_step.items()):
            if max(failures.worker_ids.values()) < until_s:
                del self._by_step[step]
        for worker in workers:
            worker.record_success(until_s)
