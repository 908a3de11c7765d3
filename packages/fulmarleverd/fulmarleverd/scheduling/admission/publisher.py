"""Publishes the forecast of the owner, and corrects it by the jobs that ended."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator
from statistics import fmean

from fulmarleverd.scheduling.admission.forecast import (
    ROOM_SIZES_M,
    Candidate,
    Forecast,
    GroupLoad,
    JobLoad,
)
from fulmarleverd.scheduling.admission.throughput import (
    Arrival,
    Arrivals,
    Efficiency,
    Kind,
    is_in_progress,
    kind_of,
    work_done_core_s,
)
from fulmarleverd.scheduling.admission.times import JobTimes, StepRatios
from fulmarleverd.scheduling.decisions import record
from fulmarleverd.scheduling.jobs.runs import Run
from fulmarleverd.scheduling.jobs.tasks import Job, JobState, Step
from fulmarleverd.scheduling.metrics import ADMISSION_FORECAST_SECONDS
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.persistence.rows import ADMISSION_KEY, pack
from fulmarleverd.scheduling.planning.obstacles import OVERCOMMIT_SHARE
from fulmarleverd.scheduling.planning.order import HARD_DEADLINE_FACTOR, Rank
from fulmarleverd.scheduling.workers.fleet import Worker

PUBLISH_PERIOD_S = 0.8
# Bounds of the correction of a waiting time.
MIN_FACTOR = 0.5
MAX_FACTOR = 2.0
# The weight of one ended job in the correction.
CORRECTION_WEIGHT = 0.05
# Shorter waits, as a share of the hard deadline, say little of the forecast.
MIN_CORRECTING_SHARE = 0.1
# The share by which a correction of a group without waiting work nears 1 at each tick.
FADING_SHARE = 0.02
# Early deadlines are protected for this long after a job of an underserved size was
# last open.
PROTECTION_KEPT_S = 40.0
# The backlog ahead of a protected job may take this share of its hard deadline. With
# the whole deadline, a job is late if another size goes first after its acceptance.
PROTECTED_SHARE = 0.4
# Ratios nearer to 1 are not published.
MIN_RATIO_ERROR = 0.01
MAX_STEPS_PER_QUEUE = 8

GroupKey = tuple[str, int, bool]


class AdmissionPublisher:
    """Publishes the forecast while work waits for workers."""

    def __init__(self, owner: Owner, times: JobTimes) -> None:
        self._owner = owner
        self._times = times
        self._efficiency = Efficiency(times)
        self._arrivals: defaultdict[GroupKey, Arrivals] = defaultdict(Arrivals)
        self._watched: dict[str, WatchedJob] = {}
        self._factors: dict[GroupKey, float] = {}
        # When a job of an underserved size was last open, on the owner's clock.
        self._underserved_at_s: dict[GroupKey, float] = {}
        self._published_at_s = float("-inf")
        self._is_empty = False
        self.forecast = Forecast({}, StepRatios())

    def tick(self) -> None:
        """Update the forecast and its row if that is due.

        Without waiting work of a priority over 0, one more row is written. The first
        tick replaces the row of an earlier owner.
        """
        now = self._owner.now_s()
        if now - self._published_at_s < PUBLISH_PERIOD_S:
            return
        self._published_at_s = now
        self._update(now)
        # Jobs of priority 0 are never refused.
        is_empty = not any(priority > 0 for _, priority, _ in self.forecast.groups)
        if is_empty and self._is_empty:
            return
        if is_empty != self._is_empty:
            record("admission-forecast", **self._log_fields())
        self._is_empty = is_empty
        self._owner.publish(ADMISSION_KEY, pack(self.forecast.to_data()))

    def _update(self, now_s: float) -> None:
        jobs = [job for job in self._owner.jobs.values() if counts_in_forecast(job)]
        runs = [run for worker in self._owner.fleet for run in worker.runs.values()]
        self._efficiency.measure(jobs, runs, now_s)
        self._correct(now_s)
        loads = list(self._loads(jobs, runs, now_s))
        self._watch(jobs, now_s)
        self.forecast = Forecast.from_loads(
            loads, self._factors, self._ratios(jobs), self._underserved()
        )
        self._fade_factors()
        self._set_metrics()

    # The load

    def _loads(
        self, jobs: list[Job], runs: list[Run], now_s: float
    ) -> Iterator[GroupLoad]:
        """Yield the loads of the groups of each kind of work that waits."""
        by_kind: defaultdict[Kind, list[Job]] = defaultdict(list)
        waiting: defaultdict[Kind, list[Step]] = defaultdict(list)
        for job in jobs:
            by_kind[job_kind(job)].append(job)
            if job.is_size_underserved:
                self._underserved_at_s[job_key(job)] = now_s
        for step in self._owner.open_jobs.ready_steps():
            if not step.spec.is_long_running:
                waiting[kind_of(step)].append(step)
        work_done = self._work_in_progress(runs, now_s) if waiting else {}
        for kind, steps in waiting.items():
            workers = self._workers(kind[0], now_s)
            cores = self._cores(kind, workers)
            yield from self._kind_loads(
                kind, by_kind[kind], steps, workers, cores, work_done, now_s
            )

    def _workers(self, service: str, now_s: float) -> list[Worker]:
        """Return the workers that can be expected to run tasks.

        Those that a new owner has not yet compared with a report count, as a forecast
        without them would be too high.
        """
        return [
            worker
            for worker in self._owner.fleet
            if worker.entry.service == service
            and worker.is_listed
            and not worker.is_evacuated
            and not worker.entry.is_draining
            and not worker.is_unresponsive
            and (worker.accepts_runs(now_s) or not worker.is_reconciled)
        ]

    def _cores(self, kind: Kind, workers: list[Worker]) -> float:
        """Return the rate of a kind of work if all cores that it can use are busy."""
        free_m = sum(max(0.0, free_cpu_m(worker, kind[1])) for worker in workers)
        used = self._efficiency.cores_in_use(kind)
        return self._efficiency.of(kind) * (used + free_m / 1000.0)

    def _kind_loads(
        self,
        kind: Kind,
        jobs: list[Job],
        steps: list[Step],
        workers: list[Worker],
        cores: float,
        work_done: dict[str, float],
        now_s: float,
    ) -> Iterator[GroupLoad]:
        free = room_by_size(workers, kind[1])
        underserved = frozenset(self._underserved())
        urgent_work = urgent_growth = 0.0
        priorities = {job.queue.priority for job in jobs}
        for priority in sorted(priorities):
            key = (kind[0], priority, kind[1])
            loads = [
                self._job_load(job, work_done.get(job.id, 0.0), now_s)
                for job in jobs
                if job.queue.priority == priority
            ]
            arrivals = self._arrivals[key].growth(now_s, underserved)
            protected_s = self._protected_s(key, now_s)
            before = [step for step in steps if step.job.queue.priority <= priority]
            yield GroupLoad(
                *key,
                cores,
                loads,
                urgent_work,
                urgent_growth,
                arrivals,
                unused_room(free, before),
                protected_s,
            )
            urgent_work += sum(load.work_core_s for load in loads)
            urgent_growth += sum(growth for _, growth in arrivals)

    def _job_load(self, job: Job, done_core_s: float, now_s: float) -> JobLoad:
        """Return the load of a job whose running tasks did some of their work."""
        work_core_s = self._times.remaining_work_core_s(job) - done_core_s
        return JobLoad(max(0.0, work_core_s), self._rank(job, now_s))

    def _protected_s(self, key: GroupKey, now_s: float) -> float:
        """Return the seconds of backlog that smaller jobs can bear, 0 for no limit.

        There is no limit unless jobs of an underserved size were open lately.
        """
        underserved_at_s = self._underserved_at_s.get(key, float("-inf"))
        if now_s - underserved_at_s > PROTECTION_KEPT_S:
            return 0.0
        return PROTECTED_SHARE * self._arrivals[key].early_deadline_s()

    def _work_in_progress(
        self, runs: Iterable[Run], now_s: float
    ) -> defaultdict[str, float]:
        """Return by job the core-seconds that its running tasks have done."""
        done: defaultdict[str, float] = defaultdict(float)
        for run in runs:
            if is_in_progress(run):
                job_id = run.task.step.job.id
                done[job_id] += work_done_core_s(run, self._times, now_s)
        return done

    def _rank(self, job: Job, now_s: float) -> Rank:
        """Return the rank in which the order of steps serves a job."""
        if job.spec.repetitions:
            return Rank.MEETS_OBJECTIVE
        latency_s = now_s - job.since_s + self._times.remaining_s(job)
        if latency_s > job.hard_deadline_s:
            return Rank.MISSES_HARD_DEADLINE
        if job.is_size_underserved:
            return Rank.UNDERSERVED_SIZE
        meets_objective = latency_s * HARD_DEADLINE_FACTOR <= job.hard_deadline_s
        return Rank.MEETS_OBJECTIVE if meets_objective else Rank.MISSES_OBJECTIVE

    def _ratios(self, jobs: Iterable[Job]) -> StepRatios:
        """Return the learned ratios of the steps of open jobs.

        The ratio of one job depends on what it declares, so the geometric mean of all
        of them is published.
        """
        log_ratios: defaultdict[tuple[str, int], list[float]] = defaultdict(list)
        for job in jobs:
            for number, spec in enumerate(job.spec.steps[:MAX_STEPS_PER_QUEUE]):
                name = job.queue.name
                expected_s = self._times.expected_step_s(name, number, spec)
                if spec.estimate_s > 0.0 and expected_s > 0.0:
                    ratio = expected_s / spec.estimate_s
                    log_ratios[name, number].append(math.log(ratio))
        means = {key: math.exp(fmean(logs)) for key, logs in log_ratios.items()}
        return StepRatios(
            {
                key: ratio
                for key, ratio in means.items()
                if abs(ratio - 1.0) > MIN_RATIO_ERROR
            }
        )

    def _underserved(self) -> Iterator[tuple[str, int]]:
        for share in self._owner.size_classes.shares():
            if share.is_underserved:
                yield share.queue, share.size_class

    # The correction

    def _watch(self, jobs: Iterable[Job], now_s: float) -> None:
        """Note the forecast for jobs that are seen for the first time."""
        for job in jobs:
            if job.id in self._watched:
                continue
            key = job_key(job)
            work_core_s = self._times.remaining_work_core_s(job)
            size = (job.queue.name, job.size_class)
            arrival = Arrival(job.since_s, work_core_s, job.hard_deadline_s, size)
            self._arrivals[key].add(arrival)
            wait_s = critical_path_s = 0.0
            group = self.forecast.groups.get(key)
            if group is not None and job.hard_deadline_s:
                critical_path_s = self._times.critical_path_s(job.spec, job.queue)
                objective_s = job.hard_deadline_s / HARD_DEADLINE_FACTOR
                wait_s = group.wait_s(
                    Candidate(
                        work_core_s,
                        critical_path_s,
                        objective_s,
                        job.hard_deadline_s,
                        is_size_underserved=job.is_size_underserved,
                    )
                )
            self._watched[job.id] = WatchedJob(job, key, critical_path_s, wait_s)

    def _correct(self, now_s: float) -> None:
        """Compare the forecasts of jobs that ended, or are late, with their ages."""
        for job_id, watched in list(self._watched.items()):
            job = watched.job
            if job.is_final:
                del self._watched[job_id]
            is_long = watched.wait_s > MIN_CORRECTING_SHARE * job.hard_deadline_s
            if watched.is_counted or not is_long or not job.hard_deadline_s:
                continue
            if job.is_size_underserved:
                # It goes before others since, so the forecast is of no use.
                watched.is_counted = True
                continue
            factor = self._factors.get(watched.key, 1.0)
            if job.is_final:
                if job.state is JobState.COMPLETED:
                    self._apply_sample(watched, job.final_at_s - job.since_s, 0.0)
            elif now_s - job.since_s > job.hard_deadline_s:
                # It takes at least as long as that.
                self._apply_sample(watched, now_s - job.since_s, factor)

    def _apply_sample(
        self, watched: WatchedJob, age_s: float, min_ratio: float
    ) -> None:
        """Correct the factor of a group by a job that took ``age_s`` or longer.

        The ratio of actual to forecast wait counts as at least ``min_ratio``.
        """
        watched.is_counted = True
        ratio = (age_s - watched.critical_path_s) / watched.wait_s
        ratio = min(MAX_FACTOR, max(MIN_FACTOR, min_ratio, ratio))
        factor = self._factors.get(watched.key, 1.0)
        factor *= (ratio / factor) ** CORRECTION_WEIGHT
        self._factors[watched.key] = factor

    def _fade_factors(self) -> None:
        for key, factor in list(self._factors.items()):
            if key not in self.forecast.groups:
                self._factors[key] = factor + FADING_SHARE * (1.0 - factor)

    # Observation

    def _set_metrics(self) -> None:
        ADMISSION_FORECAST_SECONDS.clear()
        drains_s: defaultdict[int, float] = defaultdict(float)
        for group in self.forecast.groups.values():
            drains_s[group.priority] = max(drains_s[group.priority], group.drain_s)
        for priority, drain_s in drains_s.items():
            ADMISSION_FORECAST_SECONDS.labels(str(priority)).set(drain_s)

    def _log_fields(self) -> dict[str, object]:
        groups = self.forecast.groups.values()
        longest = max(groups, key=lambda group: group.drain_s, default=None)
        if longest is None:
            return {"groups": 0}
        return {
            "groups": len(groups),
            "service": longest.service,
            "priority": longest.priority,
            "cores": round(longest.cores, 1),
            "backlog_core_s": round(longest.backlog_core_s, 1),
            "drain_s": round(longest.drain_s, 2),
            "factor": round(longest.factor, 2),
        }


class WatchedJob:
    """An open job with the wait that was forecast for it, uncorrected."""

    __slots__ = ("job", "key", "critical_path_s", "wait_s", "is_counted")

    def __init__(
        self, job: Job, key: GroupKey, critical_path_s: float, wait_s: float
    ) -> None:
        self.job = job
        self.key = key
        self.critical_path_s = critical_path_s
        self.wait_s = wait_s
        self.is_counted = False


def counts_in_forecast(job: Job) -> bool:
    """Return whether the work of a job counts in forecasts."""
    return not job.spec.is_long_running


def job_kind(job: Job) -> Kind:
    """Return the service and the use of cores of a job."""
    return job.queue.service, job.spec.is_best_effort


def job_key(job: Job) -> GroupKey:
    """Return the key of the group of a job."""
    service, is_best_effort = job_kind(job)
    return service, job.queue.priority, is_best_effort


def free_cpu_m(worker: Worker, is_best_effort: bool) -> float:
    """Return the free thousandths of a core of a worker for a use of cores."""
    return worker.free_best_effort_cpu_m() if is_best_effort else worker.free_cpu_m()


def room_by_size(workers: Iterable[Worker], is_best_effort: bool) -> list[float]:
    """Return the free cores that tasks of each size of ``ROOM_SIZES_M`` can use."""
    overcommit = OVERCOMMIT_SHARE if is_best_effort else 0.0
    tasks = [0] * len(ROOM_SIZES_M)
    for worker in workers:
        free_m = free_cpu_m(worker, is_best_effort)
        for number, size_m in enumerate(ROOM_SIZES_M):
            fitting = int((free_m + overcommit * size_m) // size_m)
            if fitting <= 0:
                break
            tasks[number] += fitting
    pairs = zip(tasks, ROOM_SIZES_M, strict=True)
    return [count * size_m / 1000.0 for count, size_m in pairs]


def unused_room(free: list[float], waiting: Iterable[Step]) -> tuple[float, ...]:
    """Return the free cores by size less those that waiting tasks are about to use."""
    wanted = [0.0] * len(ROOM_SIZES_M)
    for step in waiting:
        fits = (n for n, size in enumerate(ROOM_SIZES_M) if size >= step.spec.cpu_m)
        number = next(fits, len(ROOM_SIZES_M) - 1)
        wanted[number] += len(step.waiting) * step.spec.cpu_m / 1000.0
    taken = sum(min(pair) for pair in zip(wanted, free, strict=True))
    return tuple(max(0.0, cores - taken) for cores in free)
