"""Loads with known declared and actual run times, and their errors of estimation."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from fulmarleverd.scheduling.jobs.tasks import Job, Step
from fulmarleverd.scheduling.persistence.rows import JobRow
from fulmarleverd.scheduling.run_times import RunTimes
from fulmarleverd.scheduling.specs import JobSpec, QueueSpec, StepSpec

QUEUE = QueueSpec("plans", "h", "/p/", "desk", 2, 3, 2.0, 1.0)


class DeclaredTimes(RunTimes):
    """The version that knows only the declared times."""

    def record_end(self, step: Step, seconds: float) -> None:
        pass


@dataclass(slots=True)
class LoadJob:
    """A job of one step: the declared seconds and those that each task takes.

    ``usual_s`` is what a task of the step takes on a worker that nothing disturbs.
    """

    declared_s: float
    usual_s: float
    tasks_s: list[float]


def make_job(
    job_id: str, *declared_s: float, count: int = 1, queue: QueueSpec = QUEUE
) -> Job:
    """Return an open job with a step of ``count`` tasks for each declared time."""
    steps = tuple(
        StepSpec(count=count, cpu_m=1000, estimate_s=seconds) for seconds in declared_s
    )
    job = Job(JobRow(JobSpec(job_id, "", steps), queue, 0.0))
    job.open_occurrence(0)
    return job


def make_step(declared_s: float, queue: QueueSpec = QUEUE, count: int = 1) -> Step:
    """Return the step of an open job of one step."""
    return make_job("j", declared_s, count=count, queue=queue).occurrences[0][0]


def _jobs(
    rng: random.Random,
    jobs: int,
    usual_s: Callable[[int], float],
    declared_share: Callable[[], float],
    task_factor: Callable[[], float] = lambda: 1.0,
) -> list[LoadJob]:
    """Return jobs of four tasks; each step has its own usual time."""
    result = []
    for number in range(jobs):
        usual = usual_s(number)
        tasks_s = [usual * rng.uniform(0.95, 1.05) * task_factor() for _ in range(4)]
        result.append(LoadJob(usual * declared_share(), usual, tasks_s))
    return result


def right(rng: random.Random) -> list[LoadJob]:
    """Declared times are within a fifth of the actual ones."""
    return _jobs(
        rng, 300, lambda n: rng.uniform(0.5, 5.0), lambda: rng.uniform(0.85, 1.2)
    )


def off(rng: random.Random) -> list[LoadJob]:
    """Declared times are off by up to 0.9 in either direction."""
    return _jobs(
        rng, 300, lambda n: rng.lognormvariate(0.5, 0.3), lambda: rng.uniform(0.1, 1.9)
    )


def always_short(rng: random.Random) -> list[LoadJob]:
    """Declared times of jobs of many sizes are a fifth of the actual ones."""
    return _jobs(
        rng, 300, lambda n: rng.lognormvariate(0.5, 1.0), lambda: rng.uniform(0.15, 0.3)
    )


def heavy_tail(rng: random.Random) -> list[LoadJob]:
    """Declared times are right, but 3 % of the tasks take seven times as long."""
    return _jobs(
        rng,
        300,
        lambda n: rng.uniform(0.5, 2.0),
        lambda: 1.0,
        lambda: 7.0 if rng.random() < 0.03 else 1.0,
    )


def off_with_heavy_tail(rng: random.Random) -> list[LoadJob]:
    """Both faults at once."""
    return _jobs(
        rng,
        300,
        lambda n: rng.lognormvariate(0.5, 0.3),
        lambda: rng.uniform(0.1, 1.9),
        lambda: 7.0 if rng.random() < 0.03 else 1.0,
    )


def slow_worker(rng: random.Random) -> list[LoadJob]:
    """Declared times are right; one of eight workers takes three times as long."""
    return _jobs(
        rng,
        300,
        lambda n: rng.uniform(0.5, 2.0),
        lambda: 1.0,
        lambda: 3.0 if rng.random() < 1 / 8 else 1.0,
    )


def shift(rng: random.Random) -> list[LoadJob]:
    """Declared times become a fourth of the actual ones after a half of the jobs."""
    jobs = right(rng)
    for job in jobs[len(jobs) // 2 :]:
        job.usual_s *= 4.0
        job.tasks_s = [4.0 * seconds for seconds in job.tasks_s]
    return jobs


def play(
    run_times: RunTimes, jobs: list[LoadJob], after_tasks: int = 0
) -> Iterator[tuple[float, float]]:
    """Yield the estimate of each job and its usual time.

    The estimate is made after the first ``after_tasks`` of its tasks have ended.
    """
    for number, job in enumerate(jobs):
        step = make_job(f"j{number}", job.declared_s, count=4).occurrences[0][0]
        for seconds in job.tasks_s[:after_tasks]:
            run_times.record_end(step, seconds)
        yield run_times.expected_s(step), job.usual_s
        for seconds in job.tasks_s[after_tasks:]:
            run_times.record_end(step, seconds)


def mean_error(estimates: list[tuple[float, float]]) -> float:
    """Return the mean absolute logarithm of estimate to usual time."""
    errors = [abs(math.log(estimate / usual)) for estimate, usual in estimates]
    return sum(errors) / len(errors)


def swapped_share(estimates: list[tuple[float, float]]) -> float:
    """Return the share of neighbouring jobs of which the longer one would go first."""
    pairs = list(zip(estimates, estimates[1:], strict=False))
    swapped = sum((a[0] < b[0]) != (a[1] < b[1]) for a, b in pairs if a[1] != b[1])
    return swapped / len(pairs)
