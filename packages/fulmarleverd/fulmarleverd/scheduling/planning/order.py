"""Order policies: which steps start tasks first, and how many tasks at a time.

Smaller priority numbers come first in every policy. Times ending in ``_s`` are seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from itertools import groupby

from fulmarlever.registry import Registry
from fulmarleverd.scheduling.jobs.tasks import Job, Step
from fulmarleverd.scheduling.run_times import RunTimes


@dataclass(slots=True, frozen=True)
class StartQuota:
    """A step and how many of its waiting tasks may start before the next quota."""

    step: Step
    limit: int


# An order policy takes the ready steps, the time on the owner's clock and the expected
# run times, and yields quotas in the order in which the planner starts tasks.
ORDERS: Registry[Callable[[Iterable[Step], float, RunTimes], Iterator[StartQuota]]] = (
    Registry("order of steps")
)

# A job earns nothing once its latency exceeds this multiple of its latency objective.
HARD_DEADLINE_FACTOR = 3.0
# A job without a run waits this long, in seconds since its last start or its
# acceptance, before it goes ahead of all others while starts are limited.
MAX_IDLE_S = 0.5


def latency_objective_s(job: Job, run_times: RunTimes) -> float:
    """Return the seconds from acceptance within which a job should complete."""
    path_s = run_times.whole_path_s(job)
    return job.queue.stretch * path_s + job.queue.target_latency_s


def share_placed(job: Job) -> float:
    """Return the share of a job's tasks that have a run or are done, from 0 to 1."""
    tasks = sum(len(step.tasks) for step in job.steps())
    waiting = sum(len(step.waiting) for step in job.steps())
    return 1.0 - waiting / tasks if tasks else 0.0


@ORDERS.register("fifo")
def by_age(
    steps: Iterable[Step], now_s: float, run_times: RunTimes
) -> Iterator[StartQuota]:
    """Order by priority, then the oldest job first; the baseline policy."""
    ordered = sorted(steps, key=lambda s: (s.job.queue.priority, s.job.since_s))
    yield from _whole_steps(ordered)


@ORDERS.register("objective")
def by_objective(
    steps: Iterable[Step], now_s: float, run_times: RunTimes
) -> Iterator[StartQuota]:
    """Order by priority, rank, least remaining work and age.

    ``now_s`` is on the owner's clock. Long-running jobs are ordered by the smallest
    share of placed tasks instead: ordered by remaining work, the largest one would get
    no worker as long as the others run. Each of their steps may have half of its tasks
    placed before any may have all of them. Among jobs that miss their hard deadline,
    each one without a run may start a task of each ready step before any job may start
    more.
    """
    keys: dict[str, tuple] = {}
    for step in (steps := list(steps)):
        if step.job.id not in keys:
            keys[step.job.id] = _objective_key(step.job, now_s, run_times)
    steps.sort(key=lambda step: (keys[step.job.id], step.number))
    for (_, rank), group in groupby(steps, lambda step: keys[step.job.id][:2]):
        ranked_steps = list(group)
        if rank is Rank.LONG_RUNNING:
            yield from _first_halves(ranked_steps)
        if rank is Rank.MISSES_HARD_DEADLINE:
            yield from _first_tasks(ranked_steps)
        yield from _whole_steps(ranked_steps)


def first_tasks_of_idle_jobs(
    steps: Iterable[Step], now_s: float
) -> Iterator[StartQuota]:
    """Yield one task of each step whose job has been idle for long, the longest first.

    While the owner's processor limits the starts, the jobs at the end of any order
    would get none as long as others have tasks to start.
    """
    idle = [step for step in steps if is_idle_for(step.job, MAX_IDLE_S, now_s)]
    for step in sorted(idle, key=lambda step: step.job.idle_since_s):
        yield StartQuota(step, 1)


def is_idle_for(job: Job, seconds: float, now_s: float) -> bool:
    """Return whether a job has no run, and its last start is this many seconds ago.

    The time counts from its acceptance if it has not started. ``now_s`` is on the
    owner's clock.
    """
    idle_since_s = max(job.since_s, job.last_start_s)
    return now_s - idle_since_s >= seconds and not job.has_runs


class Rank(IntEnum):
    """Groups of jobs with equal priority, the first to be served first."""

    UNDERSERVED_SIZE = 0
    MEETS_OBJECTIVE = 1
    # Earns as long as it runs, so a job whose caller waits for the result goes before.
    LONG_RUNNING = 2
    # Still earns a part of its value.
    MISSES_OBJECTIVE = 3
    # Is expected to complete too late to earn anything.
    MISSES_HARD_DEADLINE = 4


def _rank(job: Job, now_s: float, run_times: RunTimes) -> Rank:
    """Return the rank by the latency that is expected if the job starts now.

    A job with repetitions always counts as meeting its objective.
    """
    if job.spec.is_long_running:
        return Rank.LONG_RUNNING
    expected_latency_s = now_s - job.since_s + run_times.remaining_s(job)
    objective_s = latency_objective_s(job, run_times)
    meets_objective = bool(job.spec.repetitions) or expected_latency_s <= objective_s
    if not meets_objective and expected_latency_s > HARD_DEADLINE_FACTOR * objective_s:
        return Rank.MISSES_HARD_DEADLINE
    if job.is_size_underserved:
        return Rank.UNDERSERVED_SIZE
    return Rank.MEETS_OBJECTIVE if meets_objective else Rank.MISSES_OBJECTIVE


def _objective_key(job: Job, now_s: float, run_times: RunTimes) -> tuple:
    rank = _rank(job, now_s, run_times)
    if rank is Rank.LONG_RUNNING:
        tie_breaker = share_placed(job)
    else:
        tie_breaker = run_times.remaining_work_core_s(job)
    return (job.queue.priority, rank, tie_breaker, job.since_s)


def _whole_steps(steps: Iterable[Step]) -> Iterator[StartQuota]:
    for step in steps:
        yield StartQuota(step, len(step.waiting))


def _first_halves(steps: Iterable[Step]) -> Iterator[StartQuota]:
    """Yield the tasks that each step lacks to have half of its tasks placed."""
    for step in steps:
        placed = len(step.tasks) - len(step.waiting)
        missing = (len(step.tasks) + 1) // 2 - placed
        if missing > 0:
            yield StartQuota(step, missing)


def _first_tasks(steps: Iterable[Step]) -> Iterator[StartQuota]:
    """Yield one task of each step whose job has no run, the longest idle one first."""
    for step in sorted(steps, key=lambda step: step.job.idle_since_s):
        if not step.job.has_runs:
            yield StartQuota(step, 1)
