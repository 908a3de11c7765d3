"""The order in which steps get workers, and how many tasks of each at a time."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from itertools import groupby

from fulmarlever.registry import Registry
from fulmarleverd.scheduling.specs import JobSpec
from fulmarleverd.scheduling.tasks import Job, Step


@dataclass(slots=True, frozen=True)
class Turn:
    """``limit`` waiting tasks of a step may start before the next turn."""

    step: Step
    limit: int


# Gives the turns of ready steps at a time of the owner's clock.
ORDERS: Registry[Callable[[Iterable[Step], float], Iterator[Turn]]] = Registry(
    "order of steps"
)

# A job earns nothing once it takes this many times its objective.
HARD_DEADLINE_FACTOR = 3.0


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
def by_age(steps: Iterable[Step], now_s: float) -> Iterator[Turn]:
    """Order by priority, then by age; the naive order."""
    ordered = sorted(steps, key=lambda s: (s.job.queue.priority, s.job.since_s))
    yield from _whole_steps(ordered)


@ORDERS.register("objective")
def by_objective(steps: Iterable[Step], now_s: float) -> Iterator[Turn]:
    """Order by priority, then by rank, then the least work left.

    ``now_s`` is on the owner's clock. Among long-running jobs the one with the smallest
    share of its tasks goes first: ordered by size, the largest would get nothing while
    others last. Each of their steps may have half of its tasks before any has all of
    them, and each useless job has a task at work before any has more.
    """
    keys: dict[str, tuple] = {}
    for step in (steps := list(steps)):
        if step.job.id not in keys:
            keys[step.job.id] = _objective_key(step.job, now_s)
    steps.sort(key=lambda step: (keys[step.job.id], step.number))
    for (_, rank), group in groupby(steps, lambda step: keys[step.job.id][:2]):
        steps_in_turn = list(group)
        if rank is Rank.LONG_RUNNING:
            yield from _first_halves(steps_in_turn)
        if rank is Rank.USELESS:
            yield from _first_tasks(steps_in_turn)
        yield from _whole_steps(steps_in_turn)


class Rank(IntEnum):
    """Which jobs of one priority go before others."""

    SIZE_SERVED_TOO_SELDOM = 0
    IN_TIME = 1
    # It earns by staying, so a job that is awaited goes before it.
    LONG_RUNNING = 2
    # It misses its objective, but still earns something.
    LATE = 3
    # It can only complete too late to earn anything.
    USELESS = 4


def _rank(job: Job, now_s: float) -> Rank:
    if job.spec.is_long_running:
        return Rank.LONG_RUNNING
    expected_s = now_s - job.since_s + chain_left_s(job)
    limit_s = objective_s(job)
    is_in_time = bool(job.spec.repetitions) or expected_s <= limit_s
    if not is_in_time and expected_s > HARD_DEADLINE_FACTOR * limit_s:
        return Rank.USELESS
    if job.is_size_underserved:
        return Rank.SIZE_SERVED_TOO_SELDOM
    return Rank.IN_TIME if is_in_time else Rank.LATE


def _objective_key(job: Job, now_s: float) -> tuple:
    rank = _rank(job, now_s)
    last = share_placed(job) if rank is Rank.LONG_RUNNING else work_left(job)
    return (job.queue.priority, rank, last, job.since_s)


def _whole_steps(steps: Iterable[Step]) -> Iterator[Turn]:
    for step in steps:
        yield Turn(step, len(step.waiting))


def _first_halves(steps: Iterable[Step]) -> Iterator[Turn]:
    """Yield what each step lacks of half of its tasks, before any has all of them."""
    for step in steps:
        placed = len(step.tasks) - len(step.waiting)
        missing = (len(step.tasks) + 1) // 2 - placed
        if missing > 0:
            yield Turn(step, missing)


def _first_tasks(steps: Iterable[Step]) -> Iterator[Turn]:
    """Yield one task of each job that has nothing at work, the oldest job first."""
    for step in sorted(steps, key=lambda step: step.job.since_s):
        if not step.job.has_runs:
            yield Turn(step, 1)
