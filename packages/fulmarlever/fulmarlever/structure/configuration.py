"""The accepted configuration: worker groups, teams, services and batch jobs."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from fulmarlever.structure.size import Size


class Urgency(IntEnum):
    """The urgency classes of services and jobs, most urgent first."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


class IsolationRule(StrEnum):
    """What happens to a running task whose zone cannot reach the platform's table.

    ``KEEP`` keeps it running, and ``MOVE`` starts it again on another worker.
    """

    KEEP = "keep"
    MOVE = "move"


@dataclass(slots=True, frozen=True)
class WorkerGroup:
    """Worker VMs of one size.

    ``zones`` lists the availability zones that have workers of the group, and ``vms``
    the names of the VMs. Both are empty if the file does not declare them.
    """

    name: str
    size: Size
    zones: tuple[str, ...] = ()
    vms: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Team:
    """A customer's team and the total size that its batch jobs may use at a time.

    A ``quota`` of ``None`` is unlimited.
    """

    name: str
    quota: Size | None = None


@dataclass(slots=True, frozen=True)
class IdempotencyRule:
    """Whether requests of one method below one path prefix are idempotent.

    ``method`` is an upper-case HTTP method, or ``*`` for every method. ``path`` is
    the prefix and starts with a slash.
    """

    method: str
    path: str
    idempotent: bool


@dataclass(slots=True, frozen=True)
class ServiceSpec:
    """A latency-critical service as its operator declared it.

    Fields ending in ``_s`` are seconds, and those ending in ``_bytes`` are bytes.
    ``target_s`` is the target of the request latency, and ``max_run_s`` the longest
    run time of a request. ``guaranteed_share`` is the fraction of all slots that other
    services cannot take from this one. ``new_share`` is the fraction of requests that
    this setup serves; the old setup serves the others. ``retry_budget`` is the average
    number of retries allowed per request. ``slots`` and ``connections`` limit each
    instance over all entry VMs together. Without ``claim_required``, non-idempotent
    requests are dispatched without a claim while the platform's table is unavailable.
    """

    name: str
    team: str
    urgency: Urgency = Urgency.NORMAL
    target_s: float = 0.25
    instances: int = 1
    size: Size = field(default_factory=Size)
    slots: int = 8
    connections: int = 64
    zones: tuple[str, ...] = ()
    vms: tuple[str, ...] = ()
    idempotency: tuple[IdempotencyRule, ...] = ()
    retry_budget: float = 0.1
    max_request_bytes: int = 1 << 20
    max_answer_bytes: int = 1 << 22
    max_run_s: float = 30.0
    guaranteed_share: float = 0.1
    new_share: float = 1.0
    claim_required: bool = True
    spread_racks: bool = True

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a request may be run more than once.

        The first matching rule applies. If none matches, GET, HEAD, OPTIONS, PUT and
        DELETE are idempotent, as in RFC 9110.
        """
        for rule in self.idempotency:
            if rule.method in ("*", method) and path.startswith(rule.path):
                return rule.idempotent
        return method in ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")


@dataclass(slots=True, frozen=True)
class JobSpec:
    """A batch job of one or more identical tasks.

    ``size`` is the size of one task, ``run_s`` its declared run time in seconds, and
    ``deadline_s`` a Unix time in seconds. Sizes, run times and interference are
    estimated from all jobs of the same ``kind`` together. ``setup`` is ``old`` or
    ``new``. ``work`` is passed to the worker uninterpreted.
    """

    name: str
    team: str
    kind: str
    tasks: int = 1
    urgency: Urgency = Urgency.NORMAL
    size: Size = field(default_factory=Size)
    run_s: float = 60.0
    deadline_s: float | None = None
    zones: tuple[str, ...] = ()
    vms: tuple[str, ...] = ()
    isolation: IsolationRule = IsolationRule.KEEP
    checkpoint: bool = True
    spread_racks: bool = False
    setup: str = "new"
    work: dict[str, object] = field(default_factory=dict)


@dataclass(slots=True, frozen=True, kw_only=True)
class Configuration:
    """One accepted generation of the configuration; entries are mapped by name.

    Generation 0 is the empty configuration. ``digest`` identifies the text.
    """

    generation: int = 0
    digest: str = ""
    zones: tuple[str, ...] = ()
    workers: dict[str, WorkerGroup] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    services: dict[str, ServiceSpec] = field(default_factory=dict)
    jobs: dict[str, JobSpec] = field(default_factory=dict)
