"""The scheduler's view of its workers: capacity, lease, runs and health."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from fulmarlever.clock import Clock
from fulmarleverd.scheduling.health.failures import WorkerFailures
from fulmarleverd.scheduling.health.tolerance import SOUND_ONLY, Tolerance
from fulmarleverd.scheduling.holds.hold import Holds
from fulmarleverd.scheduling.jobs.runs import FULL_PERCENT, Run
from fulmarleverd.scheduling.jobs.tasks import Step, Task
from fulmarleverd.scheduling.ports import WorkerReport
from fulmarleverd.scheduling.specs import StepSpec, WorkerEntry, WorkerKey

# The least seconds that a worker's steady clock advances in a second of true time.
MIN_CLOCK_RATE = 0.98
# How far a worker's clock may be from the expected time, for delays of answers; another
# incarnation's clock starts anew.
CLOCK_TOLERANCE_MS = 250.0
# The share of a serving task's reserved cores that it uses on average.
SERVING_CPU_USE_SHARE = 0.55


class CrashSuspects:
    """The tasks that may have crashed a worker.

    ``tasks`` had a run there as it fell silent; ``are_recent`` tells whether these were
    started shortly before. ``unproven_tasks`` may have had a run there, but nothing
    shows that they had.
    """

    __slots__ = ("tasks", "are_recent", "unproven_tasks")

    def __init__(
        self, tasks: list[Task], are_recent: bool, unproven_tasks: list[Task]
    ) -> None:
        self.tasks = tasks
        self.are_recent = are_recent
        self.unproven_tasks = unproven_tasks

    @property
    def count(self) -> int:
        """Return the number of suspects of both kinds."""
        return len(self.tasks) + len(self.unproven_tasks)


class DisputedEntry:
    """What an entry says otherwise than earlier ones, and since when.

    ``since_s`` is on the owner's clock.
    """

    __slots__ = ("traits", "since_s")

    def __init__(self, traits: tuple, since_s: float) -> None:
        self.traits = traits
        self.since_s = since_s


class Worker:
    """One incarnation of a worker.

    Names that end in ``_s`` are seconds on the owner's clock (0 for never), ``_m``
    thousandths of a core and ``_mb`` megabytes.

    Capacity: the ``reserved_`` values are the sums of what the worker's runs reserve,
    without the cores of best-effort runs; ``best_effort_cpu_m`` is the cores that the
    latter declare, at their speed limits. ``reserved_serving_m`` and
    ``serving_run_count`` are about serving runs alone. While ``reserved_for`` names a
    step, only that step and best-effort steps get new runs here.

    Reports: ``is_reconciled`` tells whether the runs agree with a report; it is cleared
    when the worker's lease has expired, at ``unreconciled_since_s``. ``last_end_seen``
    is the number of the last ended run that was reported, ``last_end_committed`` that
    of the last one whose effect is committed, ``last_end_acknowledged`` that of the
    last one that the worker was told to forget. ``may_hide_ends`` tells that it may
    have forgotten its first ends before they occur, by an acknowledgement that was
    meant for a former incarnation. Until it reports an end it gets a few runs at a
    time, ``probe_limit``, which are stopped at once; ``gang_waits_since_s`` is since
    when a gang waits, which that may keep from starting. ``may_have_former_calls``
    tells that it may have carried out other such calls before its first answer.
    ``knows_all_ends`` tells that this owner has heard of all ends up to
    ``last_end_seen``.
    ``clock_ms`` is the worker's
    own clock as read at ``clock_read_s``.

    Lease and health: ``is_listed`` tells whether the platform lists the worker,
    ``unlisted_since_s`` since when it does not, and ``known_since_s`` since when this
    owner knows it. ``is_described`` tells whether ``entry`` is its own; otherwise it
    was copied from another incarnation. A report sets ``is_reachable``; a call without
    an answer clears it and sets ``is_unresponsive``, until the next report. So neither
    is set before the first call. ``first_answer_s`` and ``last_report_s`` are the times
    of the first and the last report to this owner, ``lease_granted_at_s`` that of the
    last call that could extend the worker's lease. ``failures`` are the runs that
    failed there of late; a worker that is distrusted for them gets only tasks that
    would wait otherwise, and single runs that probe it. While one of ``holds`` lasts
    the worker gets no runs at all. ``last_start_s`` is when it was last given a run,
    ``crash_suspects`` are the tasks that may have crashed it, while it is silent. A
    draining worker stops at ``drain_until_s``, and has been draining since
    ``draining_since_s``. ``is_evacuated`` tells whether the operator has evacuated the
    worker's zone: it gets no new runs. ``disputed`` is what the last entry said
    otherwise, if it was not believed.
    ``got_run`` is set with each new run.

    Speed: ``relative_speed`` is the speed of the worker's runs divided by the usual
    speed of their steps; ``is_slow`` is set while it is low, and until ``slow_until_s``
    the worker gets only tasks that would wait otherwise. ``headroom_by_image`` is
    the lowest headroom of each serving image, ``target_missed_since_s`` since when a
    serving run misses its latency target, and ``speed_limits_effective_at_s`` when
    reports show the effect of the last change of a speed limit. The interference and
    the progress of the runs were last examined at ``examined_at_s``.
    """

    __slots__ = (
        "entry",
        "runs",
        "reserved_cpu_m",
        "reserved_memory_mb",
        "reserved_gpus",
        "best_effort_cpu_m",
        "reserved_serving_m",
        "is_reconciled",
        "is_listed",
        "is_described",
        "is_reachable",
        "is_unresponsive",
        "first_answer_s",
        "last_report_s",
        "clock_ms",
        "clock_read_s",
        "lease_granted_at_s",
        "last_end_seen",
        "last_end_committed",
        "last_end_acknowledged",
        "may_hide_ends",
        "probe_limit",
        "gang_waits_since_s",
        "knows_all_ends",
        "may_have_former_calls",
        "failures",
        "last_start_s",
        "crash_suspects",
        "holds",
        "known_since_s",
        "unlisted_since_s",
        "unreconciled_since_s",
        "serving_run_count",
        "headroom_by_image",
        "speed_limits_effective_at_s",
        "target_missed_since_s",
        "relative_speed",
        "is_slow",
        "slow_until_s",
        "drain_until_s",
        "draining_since_s",
        "reserved_for",
        "examined_at_s",
        "is_evacuated",
        "disputed",
        "got_run",
    )

    def __init__(self, entry: WorkerEntry) -> None:
        self.entry = entry
        self.runs: dict[tuple[str, int], Run] = {}
        self.reserved_cpu_m = 0
        self.reserved_memory_mb = 0
        self.reserved_gpus = 0
        self.best_effort_cpu_m = 0
        self.reserved_serving_m = 0
        self.is_reconciled = False
        self.is_listed = True
        self.is_described = True
        self.is_reachable = False
        self.is_unresponsive = False
        self.first_answer_s = 0.0
        self.last_report_s = 0.0
        self.clock_ms = 0
        self.clock_read_s = 0.0
        self.lease_granted_at_s = 0.0
        self.last_end_seen = 0
        self.last_end_committed = 0
        self.last_end_acknowledged = 0
        self.may_hide_ends = False
        self.probe_limit = 1
        self.gang_waits_since_s = 0.0
        self.knows_all_ends = False
        self.may_have_former_calls = False
        self.failures = WorkerFailures(entry.id)
        self.last_start_s = 0.0
        self.crash_suspects: CrashSuspects | None = None
        self.holds = Holds()
        self.known_since_s = 0.0
        self.unlisted_since_s = 0.0
        self.unreconciled_since_s = 0.0
        self.serving_run_count = 0
        self.headroom_by_image: dict[str, float] = {}
        self.speed_limits_effective_at_s = 0.0
        self.target_missed_since_s = 0.0
        self.relative_speed = 1.0
        self.is_slow = False
        self.slow_until_s = 0.0
        self.drain_until_s = 0.0
        self.draining_since_s = 0.0
        self.reserved_for: Step | None = None
        self.examined_at_s = 0.0
        self.is_evacuated = False
        self.disputed: DisputedEntry | None = None
        self.got_run = asyncio.Event()

    @property
    def id(self) -> str:
        """Return the worker's id, which all its incarnations share."""
        return self.entry.id

    @property
    def key(self) -> WorkerKey:
        """Return the key of this incarnation of the worker."""
        return WorkerKey(self.entry.id, self.entry.incarnation)

    @property
    def rack(self) -> str:
        """Return the label of the worker's rack: its last label, or ``""``."""
        return self.entry.labels[-1] if self.entry.labels else ""

    @property
    def is_cold(self) -> bool:
        """Return whether the worker is slow for a while, as it has just come back."""
        return self.entry.cold_left_s > 0.0

    def accepts_runs(self, now_s: float, tolerance: Tolerance = SOUND_ONLY) -> bool:
        """Return whether new runs may be assigned to the worker.

        An impaired worker accepts only runs of tasks that tolerate it, and from time to
        time a run that probes whether it still fails.
        """
        return (
            self.is_reconciled
            and not self.is_evacuated
            and self.is_listed
            and self.is_reachable
            and not self.entry.is_draining
            and not self.holds.is_held_at(now_s)
            and (not self.may_hide_ends or self.accepts_probes())
            and (tolerance.slow or not self.is_slow_at(now_s))
            and (tolerance.distrusted or not self.failures.is_avoided_at(now_s))
        )

    def accepts_probes(self) -> bool:
        """Return whether one more run may show whether the worker reports its ends."""
        probes = sum(run.may_be_probe for run in self.runs.values())
        return probes < self.probe_limit

    def record_hidden_end(self) -> None:
        """Note that the worker has not reported the end of a run that was to show it.

        It may have forgotten many ends to come, so more runs at a time follow.
        """
        self.probe_limit += 1

    def is_slow_at(self, now_s: float) -> bool:
        """Return whether the worker was found slow shortly before a time."""
        return now_s < self.slow_until_s

    def is_impaired_at(self, now_s: float) -> bool:
        """Return whether the worker is slow at a time, or distrusted."""
        return self.failures.is_distrusted or self.is_slow_at(now_s)

    def end_to_acknowledge(self) -> int:
        """Return the number of the last committed end if it is not acknowledged, or 0.

        The worker has forgotten the ends that were acknowledged, so no call has to
        repeat their number.
        """
        is_new = self.last_end_committed > self.last_end_acknowledged
        return self.last_end_committed if is_new else 0

    def record_acknowledged(self, number: int) -> None:
        """Note that the worker has answered a call that acknowledged an end."""
        self.last_end_acknowledged = max(self.last_end_acknowledged, number)

    def comes_last_at(self, now_s: float) -> bool:
        """Return whether others are preferred: it is impaired, or stops each run."""
        return self.may_hide_ends or self.is_impaired_at(now_s)

    def free_cpu_m(self) -> int:
        """Return the thousandths of a core that are not reserved."""
        return self.entry.cpu_m - self.reserved_cpu_m

    def serving_images(self) -> set[str]:
        """Return the images of the serving tasks assigned to the worker."""
        if not self.serving_run_count:
            return set()
        specs = (run.task.step.spec for run in self.runs.values())
        return {spec.image for spec in specs if spec.latency_target_s}

    def count_runs(self, step: Step) -> int:
        """Return the number of the worker's runs of a step."""
        return sum(1 for run in self.runs.values() if run.task.step is step)

    def add(self, run: Run) -> None:
        """Assign a run to the worker and reserve capacity for it."""
        run.worker = self
        key = (run.task.name, run.number)
        if key not in self.runs:
            self.runs[key] = run
            self.got_run.set()
            self._reserve(run.task.step.spec, 1)
            self._count_best_effort(run, run.speed_limit_percent)
            if self.reserved_for is run.task.step:
                self.reserved_for = None

    def remove(self, run: Run) -> None:
        """Remove a run that has certainly ended and release its capacity."""
        if self.runs.pop((run.task.name, run.number), None) is not None:
            self._reserve(run.task.step.spec, -1)
            self._count_best_effort(run, -run.speed_limit_percent)

    def _reserve(self, step: StepSpec, sign: int) -> None:
        self.reserved_memory_mb += sign * step.memory_mb
        self.reserved_gpus += sign * step.gpus
        if not step.is_best_effort:
            self.reserved_cpu_m += sign * step.cpu_m
        if step.latency_target_s:
            self.serving_run_count += sign
            self.reserved_serving_m += sign * step.cpu_m

    def set_speed_limit(self, run: Run, percent: int) -> None:
        """Record a run's speed limit, 0 to 100, and count its cores in proportion."""
        change = percent - run.speed_limit_percent
        run.speed_limit_percent = percent
        run.was_limited |= percent < FULL_PERCENT
        if (run.task.name, run.number) in self.runs:
            self._count_best_effort(run, change)

    def _count_best_effort(self, run: Run, percent: int) -> None:
        step = run.task.step.spec
        if step.is_best_effort:
            self.best_effort_cpu_m += step.cpu_m * percent // 100

    def free_best_effort_cpu_m(self) -> float:
        """Return the thousandths of a core that best-effort runs may still use.

        These are the cores that are not reserved and those that serving runs reserve
        but are not expected to use, less what best-effort runs already declare.
        """
        unused_m = (1.0 - SERVING_CPU_USE_SHARE) * self.reserved_serving_m
        return self.free_cpu_m() + unused_m - self.best_effort_cpu_m

    def record_clock(self, clock_ms: int, now_s: float) -> None:
        """Record the worker's clock, in milliseconds, as read from an answer."""
        if clock_ms:
            self.clock_ms = clock_ms
            self.clock_read_s = now_s

    def has_expected_clock(self, clock_ms: int, now_s: float) -> bool:
        """Return whether an answer with this clock may be from this incarnation."""
        if not self.clock_ms or not clock_ms:
            return True
        passed_ms = (now_s - self.clock_read_s) * 1000.0
        tolerance_ms = CLOCK_TOLERANCE_MS + 2 * (1.0 - MIN_CLOCK_RATE) * passed_ms
        return abs(clock_ms - self.clock_ms - passed_ms) <= tolerance_ms

    def lease_until_ms(self, now_s: float, lease_s: float) -> int:
        """Return when a lease of some seconds from now ends on the worker's clock.

        The result, in milliseconds, is never later than the true end: the worker's
        clock is taken to have run at its lowest rate since it was read.
        """
        passed_s = (now_s - self.clock_read_s) * MIN_CLOCK_RATE
        return self.clock_ms + int((passed_s + lease_s) * 1000)


class Fleet:
    """The known workers, each incarnation of a worker id by itself.

    ``evacuated_zones`` are the zones whose workers get no new runs.
    """

    __slots__ = ("evacuated_zones", "_workers", "_clock")

    def __init__(self, clock: Clock) -> None:
        self.evacuated_zones: frozenset[str] = frozenset()
        self._workers: dict[WorkerKey, Worker] = {}
        self._clock = clock

    def __iter__(self) -> Iterator[Worker]:
        return iter(self._workers.values())

    def __len__(self) -> int:
        return len(self._workers)

    def find(self, key: WorkerKey) -> Worker | None:
        """Return the worker with a key, if it is known."""
        return self._workers.get(key)

    def incarnations_of(self, worker_id: str) -> list[Worker]:
        """Return every known incarnation of a worker id."""
        return [worker for worker in self if worker.id == worker_id]

    def add(self, entry: WorkerEntry) -> Worker:
        """Add the worker of an entry, or update the entry of a known one."""
        key = WorkerKey(entry.id, entry.incarnation)
        worker = self._workers.get(key)
        if worker is None:
            worker = self._workers[key] = Worker(entry)
            worker.known_since_s = worker.unreconciled_since_s = self._clock.boot()
        worker.entry = entry
        worker.is_evacuated = entry.zone in self.evacuated_zones
        worker.is_listed = worker.is_described = True
        worker.unlisted_since_s = 0.0
        return worker

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Keep new runs from the workers of these zones, and from no others.

        What is reserved on these workers is released.
        """
        self.evacuated_zones = zones
        for worker in self:
            worker.is_evacuated = worker.entry.zone in zones
            if worker.is_evacuated:
                worker.reserved_for = None

    def remove(self, worker: Worker) -> None:
        """Remove a worker; other incarnations of its id stay.

        So does one of the same key that was added after the worker had been removed.
        """
        if self._workers.get(worker.key) is worker:
            del self._workers[worker.key]

    def workers_of(self, service: str) -> list[Worker]:
        """Return the workers of a service."""
        return [worker for worker in self if worker.entry.service == service]

    def workers_accepting_runs(
        self, service: str, now_s: float, tolerance: Tolerance = SOUND_ONLY
    ) -> list[Worker]:
        """Return the workers of a service that accept runs at a time."""
        return [
            worker
            for worker in self.workers_of(service)
            if worker.accepts_runs(now_s, tolerance)
        ]


def is_other_incarnation(worker: Worker, report: WorkerReport) -> bool:
    """Return whether a report is from another incarnation than a worker."""
    return bool(report.incarnation) and report.incarnation != worker.entry.incarnation
