"""What callers and workers see during a play."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict

from fulmarlever_standins.authority.worker import RunKey, WorkerCore
from fulmarlever_standins.simulation.jobs import DrawnJob
from fulmarleverd.scheduling.specs import JobSpec, StepSpec


class CallerJob:
    """A job as its caller knows it.

    ``is_accepted`` and ``is_refused`` are both false while the answer is uncertain.
    ``has_failed`` is set once a task has failed as often as it may.
    ``accepted_at_s`` is when its submission was acknowledged, ``cancelled_at_s`` when a
    cancellation was, and ``may_be_cancelled`` whether one was sent.
    """

    __slots__ = (
        "drawn",
        "spec",
        "is_accepted",
        "is_refused",
        "has_failed",
        "accepted_at_s",
        "may_be_cancelled",
        "cancelled_at_s",
    )

    def __init__(self, drawn: DrawnJob) -> None:
        self.drawn = drawn
        self.spec: JobSpec = drawn.spec()
        self.is_accepted = False
        self.is_refused = False
        self.has_failed = False
        self.accepted_at_s = 0.0
        self.may_be_cancelled = False
        self.cancelled_at_s: float | None = None

    def step_of(self, task: str) -> StepSpec:
        """Return the step of one of the job's tasks."""
        return self.spec.steps[int(task.split(".")[2])]

    def task_names(self) -> list[str]:
        """Return the names of all tasks of all occurrences."""
        return [
            name
            for occurrence in range(self.spec.occurrences)
            for step in range(len(self.spec.steps))
            for name in self.step_task_names(occurrence, step)
        ]

    def step_task_names(self, occurrence: int, step: int) -> list[str]:
        """Return the names of the tasks of a step of an occurrence."""
        count = self.spec.steps[step].count
        return [f"{self.spec.id}.{occurrence}.{step}.{n}" for n in range(count)]


class LostRun:
    """A run that ended with its worker, and when the worker's lease would have ended.

    Both are times of the event loop in seconds.
    """

    __slots__ = ("at_s", "lease_until_s")

    def __init__(self, at_s: float, lease_until_s: float) -> None:
        self.at_s = at_s
        self.lease_until_s = lease_until_s


def occurrence_of(task: str) -> str:
    """Return the name of a task's occurrence, ``JOB.NUMBER``."""
    return ".".join(task.split(".")[:2])


class Observed:
    """The jobs by id, and the starts, ends and crashes of their tasks.

    ``done`` are the tasks with an end as done, ``active`` counts their active runs,
    ``crashes`` the workers that crashed under a run of a task, and ``failed_ends``
    holds for each task the worker and the number of each end as failed. ``begun_jobs``
    are those with any run so far, ``ended_s`` is when the last run of a task ended, and
    ``lost`` how it last ended with its worker. ``latest_crash`` stands for a run that
    had not begun at the latest crash of a worker that came back under another id.
    ``active_occurrences`` counts the active runs of each occurrence, named
    ``JOB.NUMBER``, and ``changed_s`` is when that number changed last. ``trace`` has a
    line for each event.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, CallerJob] = {}
        self.done: set[str] = set()
        self.active: Counter[str] = Counter()
        self.active_occurrences: Counter[str] = Counter()
        self.changed_s: dict[str, float] = {}
        self.ended_s: dict[str, float] = {}
        self.lost: dict[str, LostRun] = {}
        self.latest_crash = LostRun(float("-inf"), 0.0)
        self.begun_jobs: set[str] = set()
        self.crashes: Counter[str] = Counter()
        self.failed_ends: defaultdict[str, list[tuple[WorkerCore, int]]] = defaultdict(
            list
        )
        self.trace: list[str] = []

    def job_of(self, task: str) -> CallerJob | None:
        """Return the job of a task by the task's name."""
        return self.jobs.get(task.split(".")[0])

    def record_start(self, worker: WorkerCore, key: RunKey) -> None:
        """Record that a worker has started a run."""
        self._count_active(key[0], 1)
        self.begun_jobs.add(key[0].split(".")[0])
        self._trace("start", worker, key)

    def record_end(self, worker: WorkerCore, key: RunKey, outcome: str) -> None:
        """Record that a run has ended on a worker."""
        self._count_active(key[0], -1)
        if outcome == "done":
            self.done.add(key[0])
        elif outcome == "failed":
            self.failed_ends[key[0]].append((worker, worker.last_end_number))
            self._count_failure(key[0])
        self._trace(outcome, worker, key)

    def record_crash(self, worker: WorkerCore, is_proved: bool = False) -> None:
        """Record that a worker crashes now, with all of its runs.

        ``is_proved`` is set if its next incarnation answers at once under its id.
        """
        now_s = asyncio.get_running_loop().time()
        if not is_proved:
            self.latest_crash = LostRun(now_s, now_s)
        for key in worker.running:
            self._count_active(key[0], -1)
            self.lost.pop(key[0], None)
            if not is_proved:
                self.lost[key[0]] = LostRun(now_s, worker.lease_until_s)
            self.crashes[key[0]] += 1
            self._trace("crash", worker, key)

    def _count_failure(self, task: str) -> None:
        job = self.job_of(task)
        limit = job.drawn.queue.max_attempts
        is_limited = not job.step_of(task).is_long_running
        job.has_failed |= is_limited and len(self.failed_ends[task]) >= limit

    def _count_active(self, task: str, change: int) -> None:
        now_s = asyncio.get_running_loop().time()
        occurrence = occurrence_of(task)
        self.active[task] += change
        self.active_occurrences[occurrence] += change
        self.changed_s[occurrence] = now_s
        self.ended_s[task] = now_s

    def _trace(self, event: str, worker: WorkerCore, key: RunKey) -> None:
        now_s = asyncio.get_running_loop().time()
        self.trace.append(f"{now_s:.4f} {event} {key[0]} {key[1]} {worker.id}")
