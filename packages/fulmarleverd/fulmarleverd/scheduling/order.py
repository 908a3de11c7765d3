"""The order in which steps get workers."""

from __future__ import annotations

from collections.abc import Callable, Iterable

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


def work_left(job: Job) -> float:
    """Return the estimated core-seconds of what is not done."""
    return sum(step.work_left_s() for step in job.steps())


@ORDERS.register("fifo")
def by_age(steps: Iterable[Step], now_s: float) -> list[Step]:
    """Order by priority, then by age; the naive order."""
    return sorted(steps, key=lambda step: (step.job.queue.priority, step.job.since_s))


@ORDERS.register("objective")
def by_objective(steps: Iterable[Step], now_s: float) -> list[Step]:
    """Order by priority, then jobs that can be in time, then the least work left.

    ``now_s`` is on the owner's clock. Jobs that can only be late come after those that
    can be in time, and jobs that are too late to be of use come last.
    """
    keys: dict[str, tuple] = {}
    for step in (steps := list(steps)):
        if step.job.id not in keys:
            keys[step.job.id] = _objective_key(step.job, now_s)
    return sorted(steps, key=lambda step: (keys[step.job.id], step.number))


def _objective_key(job: Job, now_s: float) -> tuple:
    age_s = now_s - job.since_s
    expected_s = age_s + chain_left_s(job)
    limit_s = objective_s(job)
    if any(step.is_long_running for step in job.spec.steps):
        # It earns by staying, so a job that is awaited goes first.
        lateness = 1
    elif job.spec.repetitions or expected_s <= limit_s:
        lateness = 0
    else:
        lateness = 2 if expected_s <= USELESS_AFTER_OBJECTIVES * limit_s else 3
    return (job.queue.priority, lateness, work_left(job), job.since_s)
