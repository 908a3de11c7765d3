"""Declarations of callers, operators and the platform: jobs, queues, workers, limits.

Names that end in ``_s`` are seconds, in ``_mb`` megabytes and in ``_m`` thousandths of
a core.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, fields


@dataclass(slots=True, frozen=True)
class StepSpec:
    """One step of a job: ``count`` equal tasks.

    ``cpu_m``, ``memory_mb`` and ``gpus`` are what each task needs and ``estimate_s`` is
    its expected duration, 0 if unknown. The tasks start once the steps whose indexes
    are in ``after`` are done.

    How tasks run: with ``checkpoints`` a stopped task resumes from its last checkpoint;
    an ``is_speculative`` step allows a second run of a task beside one that is slow or
    out of reach; ``is_long_running`` tasks run until they are stopped;
    ``is_best_effort`` tasks reserve no cores, but use those that the other tasks of a
    worker leave unused. A ``latency_target_s`` above 0 makes the tasks serving tasks,
    whose tail latency is to stay below it. ``image`` names their program; interference
    is learned by pairs of images.

    Where tasks run: the tasks of an ``is_gang`` step start together or not at all, and
    on one rack if it ``is_rack_bound`` and a rack has the capacity. A worker needs the
    ``required_label``, if any, and gets at most ``max_per_worker`` tasks of the step,
    0 for no limit. Workers in ``preferred_rack``, the rack of the data, come first. No
    task is stopped in favour of other jobs while ``max_unavailable`` tasks or more are
    not running; ``None`` is no limit.
    """

    count: int = 1
    cpu_m: int = 0
    memory_mb: int = 0
    gpus: int = 0
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    is_gang: bool = False
    is_rack_bound: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    max_per_worker: int = 0
    is_speculative: bool = False
    is_long_running: bool = False
    image: str = ""
    latency_target_s: float = 0.0
    is_best_effort: bool = False
    max_unavailable: int | None = None

    @property
    def kind(self) -> str:
        """Return the kind of the tasks as logs and metrics name it."""
        if self.is_long_running:
            return "long-running"
        return "best-effort" if self.is_best_effort else "batch"


@dataclass(slots=True, frozen=True)
class QueueSpec:
    """A queue of jobs. ``priority`` 0 is the most urgent.

    Jobs that are submitted to ``host`` under ``path_prefix`` belong to the queue and
    run on workers of ``service``. A job fails once one of its tasks has failed
    ``max_attempts`` times. It should complete within ``stretch`` times the expected
    time of its longest chain of steps plus ``target_latency_s``. ``timeout_s`` limits a
    request to the queue.

    With ``needs_ticket`` an admission service decides which workers may run a step. A
    decision takes ``decision_s`` and ``decision_per_worker_s`` for each worker in the
    request; the tickets that it grants are valid for ``ticket_validity_s``.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_s: float = 0.0
    timeout_s: float = 3.0
    needs_ticket: bool = False
    decision_s: float = 0.0
    decision_per_worker_s: float = 0.0
    ticket_validity_s: float = 0.0


@dataclass(slots=True, frozen=True)
class JobSpec:
    """A job as its caller submitted it.

    Its steps run ``repetitions`` times, from the Unix time ``start_at_s`` on and every
    ``interval_s``, or once and as soon as possible if ``repetitions`` is 0. ``payload``
    goes to the workers as it is.
    """

    id: str
    payload: str
    steps: tuple[StepSpec, ...]
    repetitions: int = 0
    start_at_s: float = 0.0
    interval_s: float = 0.0

    @property
    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return self.repetitions or 1

    @property
    def is_long_running(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.is_long_running for step in self.steps)

    @property
    def is_best_effort(self) -> bool:
        """Return whether a step uses only cores that other tasks leave unused."""
        return any(step.is_best_effort for step in self.steps)

    @property
    def widest_cpu_m(self) -> int:
        """Return what all tasks of the largest step need, in thousandths of a core."""
        return max((step.count * step.cpu_m for step in self.steps), default=0)

    def due_s(self, occurrence: int) -> float:
        """Return the Unix time from which an occurrence may start, 0 for at once."""
        if not self.repetitions:
            return 0.0
        return self.start_at_s + occurrence * self.interval_s

    def find_error(self) -> str:
        """Return why the job is invalid, or an empty string."""
        if not self.steps:
            return "the job has no step"
        for number, step in enumerate(self.steps):
            if step.count < 1:
                return f"step {number} has no task"
            if any(not 0 <= earlier < number for earlier in step.after):
                return f"step {number} waits for a step that is not before it"
        return ""


@dataclass(slots=True, frozen=True)
class ServiceSpec:
    """A group of workers.

    With ``guards_capacity`` its workers reject runs that exceed their capacity.
    """

    name: str
    guards_capacity: bool = True
    health_path: str = ""


@dataclass(slots=True, frozen=True)
class SchedulingConfig:
    """One version of the operator's configuration.

    ``max_body_bytes`` limits the body of a submitted job, ``max_head_bytes`` the head
    of any request. A head has ``head_s`` seconds from its first byte to its end, and a
    body may pause for ``idle_s``.
    """

    version: int
    queues: tuple[QueueSpec, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    max_body_bytes: int = 262144
    max_head_bytes: int = 16384
    head_s: float = 3.0
    idle_s: float = 15.0

    def find_queue(self, host: str, path: str) -> QueueSpec | None:
        """Return the queue of a host with the longest matching path prefix, if any."""
        matching = (
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        )
        return max(matching, key=lambda q: len(q.path_prefix), default=None)

    def queue_named(self, name: str) -> QueueSpec | None:
        """Return the queue of a name, if there is one."""
        return next((queue for queue in self.queues if queue.name == name), None)

    def names_service(self, name: str) -> bool:
        """Return whether a service of that name is declared or runs a queue's tasks."""
        is_used = any(queue.service == name for queue in self.queues)
        return is_used or self.service_named(name) is not None

    def service_named(self, name: str) -> ServiceSpec | None:
        """Return the service of a name, if there is one."""
        return next((item for item in self.services if item.name == name), None)


# Before the first configuration is known.
NO_CONFIG = SchedulingConfig(version=-1)


class WorkerKey:
    """The id and the incarnation that identify a worker; hashable."""

    __slots__ = ("id", "incarnation")

    def __init__(self, id: str, incarnation: str) -> None:
        self.id = id
        self.incarnation = incarnation

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, WorkerKey)
            and self.id == other.id
            and self.incarnation == other.incarnation
        )

    def __hash__(self) -> int:
        return hash((self.id, self.incarnation))

    def __repr__(self) -> str:
        return f"{self.id}/{self.incarnation}"


@dataclass(slots=True, frozen=True)
class WorkerEntry:
    """A worker as the platform lists it.

    ``incarnation`` identifies one process of the worker from start to end; it differs
    between two processes under the same id. ``cpu_m``, ``memory_mb`` and ``gpus`` are
    its capacity; the last label names its rack. ``remaining_s`` is the least time that
    a draining worker still runs. A worker is slow for ``cold_left_s`` more after it has
    come back, 0 at other times.
    """

    id: str
    incarnation: str
    service: str
    address: str
    zone: str
    cpu_m: int
    memory_mb: int
    gpus: int = 0
    labels: tuple[str, ...] = ()
    machine: str = ""
    is_draining: bool = False
    remaining_s: float = 0.0
    cold_left_s: float = 0.0

    @property
    def lasting_traits(self) -> tuple:
        """Return the fields that stay the same as long as the incarnation lives."""
        capacity = (self.cpu_m, self.memory_mb, self.gpus)
        return (self.service, self.zone, *capacity, self.labels)


@dataclass(slots=True, frozen=True)
class Bounds:
    """Limits of the deployment, in seconds but for ``remote_factor``, a ratio.

    ``worker_lease_s`` is the longest lease of the tasks on a worker. ``status_kept_s``
    is how long the status of an ended job is kept, ``harm_s`` how long a serving task
    may miss its latency target before that counts as harm, and ``grace_s`` how long a
    terminated daemon may still run. ``evacuate_s`` is the time from the operator's
    request to evacuate a zone after which no run begins there. The other limits are
    read, but not used.
    """

    worker_lease_s: float = 10.0
    stop_s: float = 0.4
    cancel_s: float = 3.0
    drain_s: float = 2.0
    grace_s: float = 6.0
    config_apply_s: float = 2.0
    status_kept_s: float = 120.0
    harm_s: float = 4.0
    early_s: float = 0.25
    remote_factor: float = 2.0
    gang_wait_s: float = 3.0
    evacuate_s: float = 5.0


# Assumed for a VM whose settings do not tell the bandwidth of its link.
UNKNOWN_LINK_MBPS = 1000.0
# Assumed for a store whose settings do not tell the largest value of a row.
DEFAULT_ROW_BYTES = 65536


@dataclass(slots=True, frozen=True)
class SchedulingSettings:
    """The settings of a daemon from the platform's settings file.

    ``row_bytes`` is the largest value of a row in the platform's store.
    ``memory_mb``, ``cores``, ``link_mbps`` (megabits per second) and ``max_fds``
    (descriptors) are what the daemon itself may use, ``drain_limit_s`` is the time that
    it has to hand over its work when it is stopped. ``connections_per_address`` limits
    callers' connections from one address, which a load balancer may share; 0 is none.
    With ``has_admission_forecast`` jobs that would complete too late are refused, with
    ``has_learned_run_times`` run times learned from ended runs replace declared ones.
    """

    vm: str
    zone: str
    address: str
    caller_address: str
    ready_address: str
    metrics_port: int
    store_address: str
    admission_address: str = ""
    memory_mb: int = 300
    cores: float = 1.0
    link_mbps: float = UNKNOWN_LINK_MBPS
    row_bytes: int = DEFAULT_ROW_BYTES
    bounds: Bounds = field(default_factory=Bounds)
    drain_limit_s: float = 5.0
    max_fds: int = 4100
    connections_per_address: int = 0
    has_admission_forecast: bool = False
    has_learned_run_times: bool = False


def pack_fields(item: object, skip: Iterable[str] = ()) -> dict[str, object]:
    """Return the fields of a spec that differ from their defaults, by name.

    Fields named in ``skip`` are left out.
    """
    return {
        option.name: getattr(item, option.name)
        for option in fields(item)
        if option.name not in skip and getattr(item, option.name) != option.default
    }


def unpack_step(data: dict) -> StepSpec:
    """Build a step from its packed fields.

    Raise TypeError if a field is unknown.
    """
    after = tuple(data.get("after", ()))
    return StepSpec(**{**data, "after": after})
