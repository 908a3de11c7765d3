"""The order in which steps get workers."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from enum import IntEnum
from itertools import groupby

from fulmarlever.registry import Registry
from fulmarleverd.scheduling.specs import JobSpec
from fulmarleverd.scheduling.tasks import Job, Step

ORDERS: Registry[Callable[[Iterable[Step], float], list[Step]]] = Registry(
    "order of steps"
)

# A job earns nothing once it takes this many times its objective.
USELESS_AFTER_OBJECTIVES = 3.0


def chain_s(spec: JobSpec) -> float:
    """Return the estimated time of the longest chain of steps."""
    ends: list[float] = []
    for step in spec.steps:
        ready_s = max((ends[number] for number in step.after), default=0.0)
        ends.append(ready_s + step.estimate_s)
    return max(ends, default=0.0)


def objective_s(job: Job) -> float:
    """Return the time within which a job should complete after its acceptance."""
    return job.queue.stretch * chain_s(job.spec) + job.queue.target_latency_s


def chain_left_s(job: Job) -> float:
    """Return the estimated time of the longest chain of what is not done."""
    longest = 0.0
    for steps in job.occurrences.values():
        ends: list[float] = []
        for step in steps:
            ready_s = max((ends[n] for n in step.spec.after), default=0.0)
            ends.append(ready_s + (0.0 if step.is_done else step.spec.estimate_s))
        longest = max(longest, max(ends, default=0.0))
    return longest


def work_of(spec: JobSpec) -> float:
    """Return the estimated core-seconds of one occurrence of a job."""
    return sum(step.work_s(step.count) for step in spec.steps)


def work_left(job: Job) -> float:
    """Return the estimated core-seconds of what is not done."""
    return sum(step.work_left_s() for step in job.steps())


def share_placed(job: Job) -> float:
    """Return the share of a job's tasks that have a run or are done."""
    tasks = sum(len(step.tasks) for step in job.steps())
    waiting = sum(len(step.waiting) for step in job.steps())
    return 1.0 - waiting / tasks if tasks else 0.0


@ORDERS.register("fifo")
def by_age(steps: Iterable[Step], now_s: float) -> list[Step]:
    """Order by priority, then by age; the naive order."""
    return sorted(steps, key=lambda step: (step.job.queue.priority, step.job.since_s))


@ORDERS.register("objective")
def by_objective(steps: Iterable[Step], now_s: float) -> list[Step]:
    """Order by priority, then jobs that can be in time, then the least work left.

    ``now_s`` is on the owner's clock. Jobs that can only be late come after those that
    can be in time, and jobs that are too late to be of use come last. Jobs of a size
    that is served too seldom go before all others. Long-running jobs
    come after those that can be in time, the one with the smallest share of its tasks
    first: ordered by size, the largest would get nothing while others last.
    """
    keys: dict[str, tuple] = {}
    for step in (steps := list(steps)):
        if step.job.id not in keys:
            keys[step.job.id] = _objective_key(step.job, now_s)
    return sorted(steps, key=lambda step: (keys[step.job.id], step.number))


class Rank(IntEnum):
    """Which jobs of one priority go before others."""

    SIZE_SERVED_TOO_SELDOM = 0
    IN_TIME = 1
    # It earns by staying, so a job that is awaited goes before it.
    LONG_RUNNING = 2
    LATE = 3
    USELESS = 4


def _rank(job: Job, now_s: float) -> Rank:
    if job.spec.is_long_running:
        return Rank.LONG_RUNNING
    expected_s = now_s - job.since_s + chain_left_s(job)
    limit_s = objective_s(job)
    is_in_time = bool(job.spec.repetitions) or expected_s <= limit_s
    if not is_in_time and expected_s > USELESS_AFTER_OBJECTIVES * limit_s:
        return Rank.USELESS
    if job.goes_first:
        return Rank.SIZE_SERVED_TOO_SELDOM
    return Rank.IN_TIME if is_in_time else Rank.LATE


def _objective_key(job: Job, now_s: float) -> tuple:
    rank = _rank(job, now_s)
    last = share_placed(job) if rank is Rank.LONG_RUNNING else work_left(job)
    return (job.queue.priority, rank, last, job.since_s)


def take_turns(steps: Iterable[Step]) -> Iterator[tuple[Step, int]]:
    """Yield ordered steps, each with how many of its tasks may start now.

    Long-running steps that follow each other come twice: each may have half of its
    tasks before any may have all.
    """
    for is_long_running, group in groupby(steps, lambda s: s.spec.is_long_running):
        steps_in_turn = list(group)
        if is_long_running:
            yield from _first_halves(steps_in_turn)
        for step in steps_in_turn:
            yield step, len(step.waiting)


def _first_halves(steps: Iterable[Step]) -> Iterator[tuple[Step, int]]:
    for step in steps:
        placed = len(step.tasks) - len(step.waiting)
        missing = (len(step.tasks) + 1) // 2 - placed
        if missing > 0:
            yield step, missing
