"""The work that the fleet completes of each kind, and the work that arrives."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Container, Iterable, Iterator
from typing import NamedTuple

from fulmarleverd.scheduling.admission.times import JobTimes
from fulmarleverd.scheduling.jobs.runs import Run
from fulmarleverd.scheduling.jobs.tasks import Job, Step

# The sums decay with this time constant.
AVERAGED_S = 8.0
# Core-seconds for which the fleet is taken to work as expected, beside those measured.
PRIOR_CORE_S = 20.0
# Bounds of the work completed in a core-second; also limit what faults can do.
MIN_EFFICIENCY = 0.3
MAX_EFFICIENCY = 3.0
# Growth is the smaller of the averages over both: a burst shows in the second one for
# a short time only, a load that has ended leaves the first one.
SHORT_WINDOW_S = 5.0
LONG_WINDOW_S = 20.0
MAX_ARRIVALS = 2000
# The share of jobs with a still earlier deadline, which are few.
EARLY_QUANTILE = 0.1

# A service, and whether its runs are best-effort runs.
Kind = tuple[str, bool]


def kind_of(step: Step) -> Kind:
    """Return the service and the use of cores of a step."""
    return step.job.queue.service, step.spec.is_best_effort


def used_cores(run: Run) -> float:
    """Return the cores that a run declares, at its speed limit."""
    return run.task.step.spec.cpu_m * run.speed_limit_percent / 100_000.0


def is_in_progress(run: Run) -> bool:
    """Return whether a run has started and its task is not done."""
    return run.started_s > 0.0 and not run.task.is_done


def work_done_core_s(run: Run, times: JobTimes, now_s: float) -> float:
    """Return the core-seconds that a run in progress has done by the time it ran.

    ``now_s`` is on the owner's clock. A run beyond its expected time has done no more
    than that.
    """
    elapsed_s = max(0.0, now_s - run.started_s)
    return used_cores(run) * min(times.expected_s(run.task.step), elapsed_s)


class Efficiency:
    """Expected core-seconds of work completed in a core-second in use, by kind.

    It is 1 for runs that take the expected time, and less on workers that are slow or
    whose runs are lost. Work in progress counts by the time for which it has run.
    """

    __slots__ = (
        "_times",
        "_done_by_step",
        "_cores",
        "_completed",
        "_used",
        "_measured_at_s",
    )

    def __init__(self, times: JobTimes) -> None:
        self._times = times
        # The core-seconds of each step that were done at the last measurement.
        self._done_by_step: dict[Step, float] = {}
        # The cores in use at the last measurement.
        self._cores: defaultdict[Kind, float] = defaultdict(float)
        self._completed: defaultdict[Kind, float] = defaultdict(float)
        self._used: defaultdict[Kind, float] = defaultdict(float)
        self._measured_at_s: float | None = None

    def measure(self, jobs: Iterable[Job], runs: Iterable[Run], now_s: float) -> None:
        """Add the time since the last call; ``now_s`` is on the owner's clock."""
        passed_s = 0.0 if self._measured_at_s is None else now_s - self._measured_at_s
        self._measured_at_s = now_s
        self._decay(passed_s)
        runs = [run for run in runs if not run.task.step.spec.is_long_running]
        self._count_cores(runs, passed_s)
        done = self._done_work(jobs, runs, now_s)
        for step, work_core_s in done.items():
            # Work of earlier owners counts as known.
            known = self._done_by_step.get(step, work_core_s if not passed_s else 0.0)
            self._completed[kind_of(step)] += work_core_s - known
        self._done_by_step = {s: w for s, w in done.items() if not s.job.is_final}

    def _decay(self, passed_s: float) -> None:
        share = max(0.0, 1.0 - passed_s / AVERAGED_S)
        for sums in (self._completed, self._used):
            for kind in sums:
                sums[kind] *= share

    def _count_cores(self, runs: Iterable[Run], passed_s: float) -> None:
        """Count the cores in use, as the mean of both ends of the time passed."""
        cores: defaultdict[Kind, float] = defaultdict(float)
        for run in runs:
            cores[kind_of(run.task.step)] += used_cores(run)
        for kind in cores.keys() | self._cores.keys():
            self._used[kind] += passed_s * (cores[kind] + self._cores[kind]) / 2.0
        self._cores = cores

    def _done_work(
        self, jobs: Iterable[Job], runs: Iterable[Run], now_s: float
    ) -> dict[Step, float]:
        """Return the core-seconds done of each step, with those in progress."""
        done = {step: self._ended_work(step) for step in self._steps(jobs)}
        for run in runs:
            step = run.task.step
            if step in done and is_in_progress(run):
                done[step] += work_done_core_s(run, self._times, now_s)
        return done

    def _steps(self, jobs: Iterable[Job]) -> Iterator[Step]:
        """Yield the steps of jobs and those that were not done at the last call."""
        yield from self._done_by_step
        for job in jobs:
            # Steps of repeated jobs are dropped as they end.
            if not job.spec.is_long_running and not job.spec.repetitions:
                yield from job.steps()

    def _ended_work(self, step: Step) -> float:
        ended = step.spec.count - step.unfinished_tasks
        return ended * self._times.expected_s(step) * step.spec.cpu_m / 1000.0

    def cores_in_use(self, kind: Kind) -> float:
        """Return the cores in use at the last measurement."""
        return self._cores.get(kind, 0.0)

    def of(self, kind: Kind) -> float:
        """Return the efficiency of a kind of work."""
        completed = PRIOR_CORE_S + max(0.0, self._completed[kind])
        measured = completed / (PRIOR_CORE_S + self._used[kind])
        return min(MAX_EFFICIENCY, max(MIN_EFFICIENCY, measured))


class Arrival(NamedTuple):
    """The time, the work, the hard deadline and the size of an accepted job.

    ``size`` is the name of its queue and its size class.
    """

    at_s: float
    work_core_s: float
    deadline_s: float
    size: tuple[str, int]


class Arrivals:
    """The jobs of one group that were accepted lately."""

    __slots__ = ("_recent",)

    def __init__(self) -> None:
        self._recent: deque[Arrival] = deque(maxlen=MAX_ARRIVALS)

    def add(self, arrival: Arrival) -> None:
        """Add an accepted job; its time is on the owner's clock."""
        self._recent.append(arrival)

    def early_deadline_s(self) -> float:
        """Return a hard deadline that few of the jobs are earlier than."""
        deadlines_s = sorted(a.deadline_s for a in self._recent if a.deadline_s > 0.0)
        if not deadlines_s:
            return 0.0
        return deadlines_s[int(EARLY_QUANTILE * len(deadlines_s))]

    def growth(
        self, now_s: float, underserved: Container[tuple[str, int]]
    ) -> list[tuple[float, float]]:
        """Return the work of jobs, each with its part of the growth per second.

        Jobs of underserved sizes go before all others, as if they were the smallest.
        """
        while self._recent and now_s - self._recent[0].at_s > LONG_WINDOW_S:
            self._recent.popleft()
        # Jobs that a new owner reads may be older than the first one.
        recent = [a for a in self._recent if now_s - a.at_s <= LONG_WINDOW_S]
        total = sum(arrival.work_core_s for arrival in recent)
        short = sum(
            arrival.work_core_s
            for arrival in recent
            if now_s - arrival.at_s <= SHORT_WINDOW_S
        )
        if total <= 0.0:
            return []
        per_s = min(short / SHORT_WINDOW_S, total / LONG_WINDOW_S)
        return [
            (
                0.0 if arrival.size in underserved else arrival.work_core_s,
                per_s * arrival.work_core_s / total,
            )
            for arrival in recent
        ]
