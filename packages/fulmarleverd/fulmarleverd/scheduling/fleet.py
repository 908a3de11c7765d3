"""The workers as the scheduler sees them: room, lease, runs and health."""

from __future__ import annotations

from collections.abc import Iterator

from fulmarlever.clock import Clock
from fulmarleverd.scheduling.ports import WorkerReport
from fulmarleverd.scheduling.runs import Run, WorkerKey
from fulmarleverd.scheduling.specs import StepSpec, WorkerEntry
from fulmarleverd.scheduling.tasks import Step

# The slowest steady clock of a worker, as a share of true time.
SLOWEST_CLOCK = 0.98
# A worker that failed this many runs in a row gets one run at a time.
FAILURES_TO_DISTRUST = 2
DISTRUST_S = 6.0
# The part of a serving task's reservation that it uses on average.
SERVING_USE = 0.55


class Worker:
    """One life of a worker.

    ``room`` figures are reservations of the runs given to it. ``ends_known`` is the
    number of the last end whose effect is committed, ``is_silent`` is set once a call
    got no answer, ``first_answer_s`` is when the worker first answered this owner,
    ``granted_s`` the time of the
    last order that could extend the worker's lease, ``settled_at_s`` when reports
    show the effect of the last change of pace, ``headrooms`` the lowest headroom by
    serving image. While ``reserved_for`` names a step, others get no reservations.
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
        "is_reachable",
        "is_silent",
        "first_answer_s",
        "clock_ms",
        "clock_read_s",
        "granted_s",
        "ends_seen",
        "ends_known",
        "failures",
        "distrusted_until_s",
        "avoid_until_s",
        "missing_since_s",
        "has_serving",
        "headrooms",
        "settled_at_s",
        "over_since_s",
        "speed",
        "is_slow",
        "drain_until_s",
        "reserved_for",
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
        self.is_reachable = False
        self.is_silent = False
        self.first_answer_s = 0.0
        self.clock_ms = 0
        self.clock_read_s = 0.0
        self.granted_s = 0.0
        self.ends_seen = 0
        self.ends_known = 0
        self.failures = 0
        self.distrusted_until_s = 0.0
        self.avoid_until_s = 0.0
        self.missing_since_s = 0.0
        self.has_serving = 0
        self.headrooms: dict[str, float] = {}
        self.settled_at_s = 0.0
        self.over_since_s = 0.0
        self.speed = 1.0
        self.is_slow = False
        self.drain_until_s = 0.0
        self.reserved_for: Step | None = None

    @property
    def id(self) -> str:
        """Return the worker's id."""
        return self.entry.id

    @property
    def key(self) -> WorkerKey:
        """Return what identifies this life of the worker."""
        return WorkerKey(self.entry.id, self.entry.life)

    @property
    def rack(self) -> str:
        """Return the label of the worker's rack, the last of its labels."""
        return self.entry.labels[-1] if self.entry.labels else ""

    def takes_starts(self, now_s: float) -> bool:
        """Return whether new runs may be given to the worker."""
        return (
            self.is_reconciled
            and self.is_listed
            and self.is_reachable
            and not self.entry.is_draining
            and now_s >= self.avoid_until_s
            and not (now_s < self.distrusted_until_s and self.runs)
        )

    def free_cpu_m(self) -> int:
        """Return the thousandths of a core that are not reserved."""
        return self.entry.cpu_m - self.reserved_cpu_m

    def serving_images(self) -> set[str]:
        """Return the images of the serving tasks given to the worker."""
        if not self.has_serving:
            return set()
        specs = (run.task.step.spec for run in self.runs.values())
        return {spec.image for spec in specs if spec.latency_target_s}

    def count_of(self, step: Step) -> int:
        """Return how many runs of a step the worker has."""
        return sum(1 for run in self.runs.values() if run.task.step is step)

    def add(self, run: Run) -> None:
        """Reserve room for a run."""
        run.worker = self
        key = (run.task.name, run.number)
        if key not in self.runs:
            self.runs[key] = run
            self._reserve(run.task.step.spec, 1)
            self._count_best_effort(run, run.pace)
            if self.reserved_for is run.task.step:
                self.reserved_for = None

    def remove(self, run: Run) -> None:
        """Release the room of a run that is certainly over."""
        if self.runs.pop((run.task.name, run.number), None) is not None:
            self._reserve(run.task.step.spec, -1)
            self._count_best_effort(run, -run.pace)

    def _reserve(self, step: StepSpec, sign: int) -> None:
        self.reserved_memory_mb += sign * step.memory_mb
        self.reserved_gpus += sign * step.gpus
        if not step.is_best_effort:
            self.reserved_cpu_m += sign * step.cpu_m
        if step.latency_target_s:
            self.has_serving += sign
            self.reserved_serving_m += sign * step.cpu_m

    def set_pace(self, run: Run, percent: int) -> None:
        """Count a run's cores at the share of its speed that it may work at."""
        change = percent - run.pace
        run.pace = percent
        if (run.task.name, run.number) in self.runs:
            self._count_best_effort(run, change)

    def _count_best_effort(self, run: Run, percent: int) -> None:
        step = run.task.step.spec
        if step.is_best_effort:
            self.best_effort_cpu_m += step.cpu_m * percent // 100

    def free_best_effort_cpu_m(self) -> float:
        """Return the thousandths of a core that are likely left for best effort."""
        unused_m = (1.0 - SERVING_USE) * self.reserved_serving_m
        return self.free_cpu_m() + unused_m - self.best_effort_cpu_m

    def note_clock(self, clock_ms: int, now_s: float) -> None:
        """Remember the worker's clock as of an answer."""
        if clock_ms:
            self.clock_ms = clock_ms
            self.clock_read_s = now_s

    def lease_until_ms(self, now_s: float, lease_s: float) -> int:
        """Return the end of a lease from now, never late on the worker's clock."""
        passed_s = (now_s - self.clock_read_s) * SLOWEST_CLOCK
        return self.clock_ms + int((passed_s + lease_s) * 1000)

    def note_failure(self, now_s: float) -> bool:
        """Count a failed run and return whether the worker has become distrusted."""
        self.failures += 1
        if self.failures < FAILURES_TO_DISTRUST:
            return False
        self.distrusted_until_s = now_s + DISTRUST_S
        return True

    def note_success(self) -> None:
        """Count a run that ended as done."""
        self.failures = 0
        self.distrusted_until_s = 0.0


class Fleet:
    """Every known life of a worker, by id and life."""

    __slots__ = ("_workers", "_clock")

    def __init__(self, clock: Clock) -> None:
        self._workers: dict[WorkerKey, Worker] = {}
        self._clock = clock

    def __iter__(self) -> Iterator[Worker]:
        return iter(self._workers.values())

    def __len__(self) -> int:
        return len(self._workers)

    def find(self, key: WorkerKey) -> Worker | None:
        """Return a life of a worker."""
        return self._workers.get(key)

    def lives_of(self, worker_id: str) -> list[Worker]:
        """Return every known life under an id."""
        return [worker for worker in self if worker.id == worker_id]

    def add(self, entry: WorkerEntry) -> Worker:
        """Add a life of a worker, or bring its entry up to date."""
        key = WorkerKey(entry.id, entry.life)
        worker = self._workers.get(key)
        if worker is None:
            worker = self._workers[key] = Worker(entry)
        worker.entry = entry
        worker.is_listed = True
        worker.missing_since_s = 0.0
        return worker

    def drop(self, worker: Worker) -> None:
        """Forget a life of a worker."""
        self._workers.pop(worker.key, None)

    def usable(self, service: str, now_s: float) -> list[Worker]:
        """Return the workers of a service that may get new runs."""
        return [
            worker
            for worker in self
            if worker.entry.service == service and worker.takes_starts(now_s)
        ]


def has_other_life(worker: Worker, report: WorkerReport) -> bool:
    """Return whether a report comes from another life of the worker."""
    return bool(report.life) and report.life != worker.entry.life
