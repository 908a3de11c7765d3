"""The forecast of when a new job would complete, and the form in which it is published.

The owner serves jobs by priority, then by rank, then by least remaining work (see
``order``). So a new job waits for the work of more urgent priorities, for jobs of sizes
that are served too seldom, and for smaller jobs. Once it misses its objective, all jobs
that still meet theirs go before it. The forecast is a fluid approximation with
optimistic bounds: a refusal of a job that would have completed in time does more harm
than the acceptance of one that does not.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from fulmarlever.outcomes import Failure
from fulmarleverd.scheduling.admission.times import StepRatios
from fulmarleverd.scheduling.persistence.rows import FORMAT_ERRORS, BadRow, unpack
from fulmarleverd.scheduling.planning.order import Rank

FORMAT_VERSION = 1
# Limits of the published row, which is read by every daemon once in 0.8 s.
MAX_GROUPS = 32
MAX_POINTS = 8
MAX_RATIOS = 256
MAX_UNDERSERVED = 64
# Sizes of tasks for which free capacity is published, in thousandths of a core.
ROOM_SIZES_M = (
    *(500, 1000, 2000, 3000, 4000, 6000, 8000),
    *(12000, 16000, 24000, 32000, 48000, 64000),
)
# However much work keeps arriving, a job is taken to get this share of the cores: the
# measured growth covers a few seconds only.
MIN_CORES_SHARE = 0.2
# Jobs whose hard deadline is not much later than the protected one are not limited for
# its sake.
MAX_PROTECTED_SHARE = 0.75


class JobLoad(NamedTuple):
    """An open job: its rank, and its remaining work in core-seconds."""

    work_core_s: float
    rank: Rank


@dataclass(slots=True, frozen=True)
class GroupLoad:
    """The inputs of a forecast for one service, priority and use of cores.

    ``cores`` is the rate at which work of the group and of more urgent priorities is
    completed while all cores that it can use are busy, in core-seconds per second.
    ``jobs`` are the open jobs of the priority, ``urgent_work_core_s`` is the remaining
    work of more urgent ones and ``urgent_growth`` the core-seconds of it that arrive
    per second. ``arrivals`` are the work of jobs that were accepted lately and the
    core-seconds per second that each stands for. ``room`` is the free cores by the
    sizes of ``ROOM_SIZES_M`` that no waiting task can use. ``protected_s`` is how many
    seconds of backlog the jobs that most need protection from larger ones can bear, 0
    for no limit.
    """

    service: str
    priority: int
    is_best_effort: bool
    cores: float
    jobs: Sequence[JobLoad]
    urgent_work_core_s: float = 0.0
    urgent_growth: float = 0.0
    arrivals: Sequence[tuple[float, float]] = ()
    room: tuple[float, ...] = ()
    protected_s: float = 0.0


class Point(NamedTuple):
    """What is ahead of a new job of a size, in core-seconds.

    ``underserved``, ``timely`` and ``late`` are the work of the jobs that are not
    larger: those of underserved sizes, those that meet their objective, and those that
    miss it. ``growth`` is the work of such jobs that arrives per second.
    """

    work_core_s: float
    underserved: float = 0.0
    timely: float = 0.0
    late: float = 0.0
    growth: float = 0.0


@dataclass(slots=True, frozen=True)
class Candidate:
    """A new job to be judged.

    ``objective_s`` and ``deadline_s`` are its latency objective and its hard deadline.
    ``task_cpu_m`` is what its largest task needs. ``unpublished_work_core_s`` is work
    that was accepted ahead of it since the forecast.
    """

    work_core_s: float
    critical_path_s: float
    objective_s: float
    deadline_s: float
    task_cpu_m: int = 1000
    is_size_underserved: bool = False
    unpublished_work_core_s: float = 0.0


class Estimate(NamedTuple):
    """A forecast and its limit, in seconds from now."""

    forecast_s: float
    limit_s: float

    @property
    def share(self) -> float:
        """Return the forecast as a share of the limit."""
        return self.forecast_s / self.limit_s if self.limit_s > 0.0 else 0.0


@dataclass(slots=True, frozen=True)
class GroupForecast:
    """The forecast for one service, priority and use of cores.

    ``factor`` multiplies the waiting time; it corrects the errors shown by jobs that
    ended. While jobs of underserved sizes go before smaller ones, no forecast of a
    small job holds for long: all larger ones may go first a moment later. So the whole
    backlog of jobs with a later deadline is kept below ``protected_s`` then.
    """

    service: str
    priority: int
    is_best_effort: bool
    cores: float
    factor: float
    urgent_work_core_s: float
    urgent_growth: float
    points: tuple[Point, ...]
    room: tuple[float, ...]
    protected_s: float = 0.0

    @classmethod
    def from_load(cls, load: GroupLoad, factor: float) -> GroupForecast:
        """Build the forecast for a load."""
        return cls(
            load.service,
            load.priority,
            load.is_best_effort,
            load.cores,
            factor,
            load.urgent_work_core_s,
            load.urgent_growth,
            tuple(_points(load)),
            load.room,
            load.protected_s,
        )

    @property
    def backlog_core_s(self) -> float:
        """Return the work that goes before a job larger than all others."""
        last = self.points[-1]
        work_core_s = last.underserved + last.timely + last.late
        return self.urgent_work_core_s + work_core_s

    @property
    def drain_s(self) -> float:
        """Return the seconds in which the present work is completed."""
        return self.factor * self.backlog_core_s / self.cores

    def estimate(self, job: Candidate) -> Estimate:
        """Return when a new job would complete, and by when it has to."""
        found = Estimate(self.completion_s(job), job.deadline_s)
        if 0.0 < self.protected_s < MAX_PROTECTED_SHARE * job.deadline_s:
            ahead_core_s = self.backlog_core_s + job.unpublished_work_core_s
            drain_s = (ahead_core_s + job.work_core_s) / self.cores
            by_room_s = self._completion_by_room_s(job)
            drained = Estimate(min(by_room_s, drain_s), self.protected_s)
            found = max(found, drained, key=lambda estimate: estimate.share)
        return found

    def completion_s(self, job: Candidate) -> float:
        """Return the seconds from now until a new job would complete."""
        by_room_s = self._completion_by_room_s(job)
        wait_s = self.wait_s(job)
        by_order_s = job.critical_path_s + self.factor * wait_s
        return min(by_room_s, by_order_s)

    def wait_s(self, job: Candidate) -> float:
        """Return the uncorrected seconds that a job takes beyond its critical path."""
        here, last = self._point(job.work_core_s), self.points[-1]
        if job.is_size_underserved:
            return self._delay_s(job, here.underserved, here.growth)
        timely_s = self._delay_s(job, last.underserved + here.timely, here.growth)
        if job.critical_path_s + timely_s <= job.objective_s:
            return timely_s
        ahead_core_s = last.underserved + last.timely + here.late
        return max(timely_s, self._delay_s(job, ahead_core_s, last.growth))

    def _delay_s(self, job: Candidate, ahead_core_s: float, growth: float) -> float:
        growth += self.urgent_growth
        cores = max(self.cores - growth, MIN_CORES_SHARE * self.cores)
        ahead_core_s += self.urgent_work_core_s + job.unpublished_work_core_s
        own_s = max(0.0, job.work_core_s / cores - job.critical_path_s)
        return ahead_core_s / cores + own_s

    def _completion_by_room_s(self, job: Candidate) -> float:
        """Return when a job would complete on the free cores alone."""
        number = max(0, bisect_right(ROOM_SIZES_M, job.task_cpu_m) - 1)
        room = self.room[number] if self.room else 0.0
        if room <= 0.0:
            return math.inf
        # The free cores may have been given to jobs accepted since.
        work_core_s = job.work_core_s + job.unpublished_work_core_s
        return max(job.critical_path_s, work_core_s / room)

    def _point(self, work_core_s: float) -> Point:
        """Return what is ahead of a job of a size, interpolated between two points."""
        number = bisect_left(self.points, work_core_s, key=lambda p: p.work_core_s)
        if number == len(self.points):
            return self.points[-1]
        after = self.points[number]
        before = self.points[number - 1] if number else Point(0.0)
        span = after.work_core_s - before.work_core_s
        share = (work_core_s - before.work_core_s) / span if span > 0.0 else 0.0
        pairs = zip(before, after, strict=True)
        return Point(*(low + share * (high - low) for low, high in pairs))

    def to_data(self) -> list:
        """Return the forecast as plain data."""
        return [
            self.service,
            self.priority,
            self.is_best_effort,
            *_rounded(
                self.cores,
                self.factor,
                self.urgent_work_core_s,
                self.urgent_growth,
                self.protected_s,
            ),
            [_rounded(*point) for point in self.points],
            _rounded(*self.room),
        ]

    @classmethod
    def from_data(cls, data: list) -> GroupForecast:
        """Build a forecast from plain data; raise one of ``FORMAT_ERRORS``."""
        service, priority, is_best_effort, *numbers, points, room = data
        cores, factor, urgent_work, urgent_growth, protected_s = _numbers(numbers)
        decoded = tuple(Point(*_numbers(point)) for point in points)
        if cores <= 0.0 or not decoded or len(room) not in (0, len(ROOM_SIZES_M)):
            raise ValueError("a group without cores, points or sizes")
        return cls(
            str(service),
            int(priority),
            bool(is_best_effort),
            cores,
            factor,
            urgent_work,
            urgent_growth,
            decoded,
            tuple(_numbers(room)),
            protected_s,
        )


@dataclass(slots=True, frozen=True)
class Forecast:
    """The forecasts of all groups, and what a daemon needs to judge a job by them.

    ``ratios`` are the learned ratios of run times, ``underserved`` the queues and size
    classes that are served too seldom.
    """

    groups: dict[tuple[str, int, bool], GroupForecast]
    ratios: StepRatios
    underserved: frozenset[tuple[str, int]] = frozenset()

    @classmethod
    def from_loads(
        cls,
        loads: Iterable[GroupLoad],
        factors: dict[tuple[str, int, bool], float],
        ratios: StepRatios | None = None,
        underserved: Iterable[tuple[str, int]] = (),
    ) -> Forecast:
        """Build the forecast of some groups, those with the most work if too many."""
        groups = [
            GroupForecast.from_load(load, factors.get(group_key(load), 1.0))
            for load in loads
            if load.cores > 0.0
        ]
        groups.sort(key=lambda group: -group.drain_s)
        kept = {group_key(group): group for group in groups[:MAX_GROUPS]}
        classes = frozenset(sorted(underserved)[:MAX_UNDERSERVED])
        return cls(kept, ratios or StepRatios(), classes)

    def find(
        self, service: str, priority: int, is_best_effort: bool
    ) -> GroupForecast | None:
        """Return the forecast for a group, ``None`` if its jobs need not wait."""
        return self.groups.get((service, priority, is_best_effort))

    def to_data(self) -> list:
        """Return the forecast as plain data."""
        ratios = sorted(self.ratios.by_step.items())[:MAX_RATIOS]
        return [
            FORMAT_VERSION,
            [group.to_data() for group in self.groups.values()],
            [[queue, number, round(ratio, 3)] for (queue, number), ratio in ratios],
            [list(item) for item in sorted(self.underserved)],
        ]

    @classmethod
    def unpack(cls, value: bytes) -> Forecast | Failure:
        """Decode the value of the row."""
        try:
            version, groups, ratios, underserved = unpack(value)
            if version != FORMAT_VERSION:
                return BadRow(f"forecast of version {version!r}")
            decoded = [GroupForecast.from_data(group) for group in groups]
            by_step = {
                (str(queue), int(number)): _number(ratio)
                for queue, number, ratio in ratios
            }
            classes = frozenset(
                (str(queue), int(number)) for queue, number in underserved
            )
        except (*FORMAT_ERRORS, AttributeError) as exc:
            return BadRow(f"forecast: {type(exc).__name__}: {exc}")
        keyed = {group_key(group): group for group in decoded}
        return cls(keyed, StepRatios(by_step), classes)


def group_key(group: GroupLoad | GroupForecast) -> tuple[str, int, bool]:
    """Return the service, priority and use of cores of a group."""
    return group.service, group.priority, group.is_best_effort


def _points(load: GroupLoad) -> Iterable[Point]:
    """Yield what is ahead of jobs of some sizes, from the smallest to the largest."""
    sizes = sorted(
        {job.work_core_s for job in load.jobs} | {work for work, _ in load.arrivals}
    )
    if not sizes:
        yield Point(0.0)
        return
    count = min(MAX_POINTS, len(sizes))
    chosen = {sizes[(number + 1) * len(sizes) // count - 1] for number in range(count)}
    for size in sorted(chosen):
        ahead = [job for job in load.jobs if job.work_core_s <= size]
        yield Point(
            size,
            _work(ahead, Rank.UNDERSERVED_SIZE),
            _work(ahead, Rank.MEETS_OBJECTIVE),
            _work(ahead, Rank.MISSES_OBJECTIVE),
            sum(growth for work, growth in load.arrivals if work <= size),
        )


def _work(jobs: Iterable[JobLoad], rank: Rank) -> float:
    return sum(job.work_core_s for job in jobs if job.rank is rank)


def _rounded(*values: float) -> list[float]:
    return [round(value, 3) for value in values]


def _numbers(values: Iterable[Any]) -> list[float]:
    return [_number(value) for value in values]


def _number(value: Any) -> float:
    number = float(value)
    if not math.isfinite(number) or number < 0.0:
        raise ValueError(f"not a finite number of at least 0: {number!r}")
    return number
