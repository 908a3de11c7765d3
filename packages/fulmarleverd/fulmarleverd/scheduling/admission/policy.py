"""Decides in each daemon, without a network, whether a new job is refused."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from fulmarlever.clock import Clock
from fulmarlever.registry import Registry
from fulmarleverd.scheduling.admission.forecast import (
    Candidate,
    Forecast,
    GroupForecast,
    group_key,
)
from fulmarleverd.scheduling.admission.reader import ForecastReader
from fulmarleverd.scheduling.admission.refusals import AdmissionRefusal
from fulmarleverd.scheduling.admission.retries import RetrySchedule, Return, RoomWindow
from fulmarleverd.scheduling.admission.times import StepRatios
from fulmarleverd.scheduling.fairness.size_classes import QueueSizeStats
from fulmarleverd.scheduling.metrics import ADMISSION_EXEMPTIONS
from fulmarleverd.scheduling.planning.order import HARD_DEADLINE_FACTOR
from fulmarleverd.scheduling.ports import Store
from fulmarleverd.scheduling.specs import JobSpec, QueueSpec

# Refusing begins once the forecast exceeds this share of the hard deadline, and ends
# below the other one.
BEGIN_SHARE = 1.0
END_SHARE = 0.8
# While jobs are refused, those that return at their time are accepted below this share,
# so before new ones. At the limit itself, errors of the forecast make half of them
# late.
RETURN_SHARE = 0.9
# One in this number of jobs of a size class that would be refused is let in.
LET_IN_PERIOD = 10
# The size classes of this many queues are kept.
MAX_QUEUES = 64
# The owner sees a job and publishes it about this long after its acceptance.
PUBLISH_DELAY_S = 0.5
# The work that was accepted here is remembered for this long.
ACCEPTED_KEPT_S = 4.0
# A daemon that accepted little lately is taken to get this share of the cores.
MIN_SHARE_OF_CORES = 0.1


class Applicant:
    """A new job, its queue and the queues that are configured."""

    __slots__ = ("job", "queue", "queues")

    def __init__(
        self, job: JobSpec, queue: QueueSpec, queues: Iterable[QueueSpec]
    ) -> None:
        self.job = job
        self.queue = queue
        self.queues = queues


# Each rule returns whether a job is accepted without a forecast.
EXEMPTIONS: Registry[Callable[[Applicant], bool]] = Registry("exemption")


@EXEMPTIONS.register("long-running")
def is_long_running(applicant: Applicant) -> bool:
    """Return whether a job runs until it is cancelled, so that it has no deadline."""
    return applicant.job.is_long_running


@EXEMPTIONS.register("repeated")
def is_repeated(applicant: Applicant) -> bool:
    """Return whether a job has repetitions, which may come when there is room."""
    return bool(applicant.job.repetitions)


@EXEMPTIONS.register("most-urgent")
def is_most_urgent(applicant: Applicant) -> bool:
    """Return whether no queue of the service is more urgent, or the priority is 0."""
    queue = applicant.queue
    return queue.priority <= 0 or not any(
        other.service == queue.service and other.priority < queue.priority
        for other in applicant.queues
    )


class ClassState:
    """Whether jobs of one size class of a queue are refused, and how many lately."""

    __slots__ = ("is_refusing", "refused_since_let_in")

    def __init__(self) -> None:
        self.is_refusing = False
        self.refused_since_let_in = 0


class QueueState:
    """The size classes of one queue."""

    __slots__ = ("_sizes", "_classes")

    def __init__(self) -> None:
        self._sizes = QueueSizeStats()
        self._classes: dict[int, ClassState] = {}

    def classify(self, work_core_s: float) -> int:
        """Add a job to the sizes and return its class."""
        return self._sizes.classify(work_core_s)

    def find(self, size_class: int) -> ClassState:
        """Return the state of a size class."""
        return self._classes.setdefault(size_class, ClassState())


class AcceptedWork(NamedTuple):
    """The work of a job that was accepted here, for a service and a use of cores."""

    at_s: float
    key: tuple[str, bool]
    priority: int
    work_core_s: float


class AdmissionPolicy:
    """Refuses a new job whose forecast completion is past its hard deadline.

    ``queues`` returns the configured queues.
    """

    def __init__(
        self,
        reader: ForecastReader,
        retries: RetrySchedule,
        queues: Callable[[], Iterable[QueueSpec]],
        clock: Clock,
    ) -> None:
        self._reader = reader
        self._retries = retries
        self._queues = queues
        self._clock = clock
        self._states: dict[str, QueueState] = {}
        self._accepted: deque[AcceptedWork] = deque()

    @classmethod
    def from_store(
        cls,
        store: Store,
        clock: Clock,
        retries: RetrySchedule,
        queues: Callable[[], Iterable[QueueSpec]],
    ) -> AdmissionPolicy:
        """Build the policy of a daemon, which reads the forecast from the store."""
        return cls(ForecastReader(store, clock), retries, queues, clock)

    def find_refusal(self, job: JobSpec, queue: QueueSpec) -> AdmissionRefusal | None:
        """Return why a new job is refused now, ``None`` if it is accepted."""
        applicant = Applicant(job, queue, self._queues())
        if any(EXEMPTIONS.find(name)(applicant) for name in EXEMPTIONS):
            return None
        forecast = self._reader.current()
        ratios = forecast.ratios if forecast else StepRatios()
        work_core_s = ratios.total_work_core_s(job, queue)
        state = self._state(queue.name)
        earlier = self._retries.find(job.id)
        if earlier is None or earlier.size_class is None:
            size_class = state.classify(work_core_s)
        else:
            size_class = earlier.size_class
        group = forecast and forecast.find(
            queue.service, queue.priority, job.is_best_effort
        )
        refusal = None
        if group is None:
            state.find(size_class).is_refusing = False
        else:
            candidate = self._candidate(job, queue, forecast, work_core_s, size_class)
            refusal = self._judge(job.id, group, candidate, state, size_class)
        if refusal is None:
            self._retries.forget(job.id)
            self._record_accepted(queue, job.is_best_effort, work_core_s)
        return refusal

    def _state(self, queue_name: str) -> QueueState:
        if queue_name not in self._states:
            if len(self._states) >= MAX_QUEUES:
                self._states.pop(next(iter(self._states)))
            self._states[queue_name] = QueueState()
        return self._states[queue_name]

    def _candidate(
        self,
        job: JobSpec,
        queue: QueueSpec,
        forecast: Forecast,
        work_core_s: float,
        size_class: int,
    ) -> Candidate:
        critical_path_s = forecast.ratios.critical_path_s(job, queue)
        objective_s = queue.stretch * critical_path_s + queue.target_latency_s
        return Candidate(
            work_core_s,
            critical_path_s,
            objective_s,
            HARD_DEADLINE_FACTOR * objective_s,
            max(step.cpu_m for step in job.steps),
            (queue.name, size_class) in forecast.underserved,
            self._unpublished_work(queue, job.is_best_effort, work_core_s),
        )

    def _judge(
        self,
        job_id: str,
        group: GroupForecast,
        candidate: Candidate,
        state: QueueState,
        size_class: int,
    ) -> AdmissionRefusal | None:
        """Return a refusal if the forecast is too late and no share is due.

        Callers that return at their time are judged by the higher limit, so that they
        go before new ones.
        """
        class_state = state.find(size_class)
        returned = self._retries.classify(job_id)
        estimate = group.estimate(candidate)
        if estimate.share > BEGIN_SHARE:
            class_state.is_refusing = True
        elif estimate.share <= END_SHARE:
            class_state.is_refusing = False
        limit_share = BEGIN_SHARE
        if class_state.is_refusing:
            limit_share = RETURN_SHARE if returned is Return.DUE else END_SHARE
        if estimate.share <= limit_share:
            return None
        if returned is not Return.EARLY and self._is_share_due(class_state):
            return None
        window = RoomWindow(
            estimate.forecast_s - limit_share * estimate.limit_s,
            candidate.deadline_s - candidate.critical_path_s,
            candidate.work_core_s / (group.cores * self._share_of_cores(group)),
        )
        retry_after_s = self._retries.refuse(
            job_id, window, "room", group_key(group), size_class
        )
        return AdmissionRefusal(retry_after_s, *estimate, self._reader.age_s)

    def _is_share_due(self, class_state: ClassState) -> bool:
        """Return whether a job that would be refused is let in, to be fair to sizes."""
        class_state.refused_since_let_in += 1
        if class_state.refused_since_let_in < LET_IN_PERIOD:
            return False
        class_state.refused_since_let_in = 0
        ADMISSION_EXEMPTIONS.labels("one-in-ten").inc()
        return True

    # Work that was accepted here

    def _record_accepted(
        self, queue: QueueSpec, is_best_effort: bool, work_core_s: float
    ) -> None:
        now = self._clock.monotonic()
        while self._accepted and now - self._accepted[0].at_s > ACCEPTED_KEPT_S:
            self._accepted.popleft()
        key = (queue.service, is_best_effort)
        self._accepted.append(AcceptedWork(now, key, queue.priority, work_core_s))

    def _unpublished_work(
        self, queue: QueueSpec, is_best_effort: bool, work_core_s: float
    ) -> float:
        """Return the work accepted here that goes first and is not in the forecast."""
        since_s = self._reader.changed_at_s - PUBLISH_DELAY_S
        key = (queue.service, is_best_effort)
        return sum(
            item.work_core_s
            for item in self._accepted
            if item.at_s > since_s
            and item.key == key
            and (item.priority, item.work_core_s) <= (queue.priority, work_core_s)
        )

    def _share_of_cores(self, group: GroupForecast) -> float:
        """Return about which share of a group's cores the callers of this daemon get.

        Each daemon spreads the returns of its own callers only.
        """
        since_s = self._clock.monotonic() - ACCEPTED_KEPT_S
        key = (group.service, group.is_best_effort)
        work_core_s = sum(
            item.work_core_s
            for item in self._accepted
            if item.at_s > since_s and item.key == key
        )
        share = work_core_s / (ACCEPTED_KEPT_S * group.cores)
        return min(1.0, max(MIN_SHARE_OF_CORES, share))
