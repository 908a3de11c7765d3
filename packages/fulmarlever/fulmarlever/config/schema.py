"""The options of each kind of entry in a configuration file."""

from __future__ import annotations

import re
from datetime import datetime
from typing import Annotated, Any

from pydantic import BeforeValidator, Field

from fulmarlever.config.units import (
    Bytes,
    Duration,
    Fraction,
    MemoryMib,
    option_error,
    parse_duration,
)
from fulmarlever.config.validation import OptionsModel
from fulmarlever.structure.configuration import (
    IdempotencyRule,
    IsolationRule,
    JobSpec,
    ServiceSpec,
    Team,
    Urgency,
    WorkerGroup,
)
from fulmarlever.structure.size import Size

MAX_NAME_LENGTH = 63
NAME_PATTERN = re.compile(r"^[a-z0-9]([a-z0-9-]*[a-z0-9])?$")
METHODS = ("*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
RELATIVE_DEADLINE = re.compile(r"^in\s+(\S+)$")


def parse_name(value: Any) -> str:
    """Return a valid name: lower-case letters, digits and inner hyphens.

    Raise a validation error for any other value or more than ``MAX_NAME_LENGTH``
    characters.
    """
    if not isinstance(value, str) or not NAME_PATTERN.match(value):
        raise option_error(
            f"expected a name of lower-case letters, digits and hyphens, not {value!r}"
        )
    if len(value) > MAX_NAME_LENGTH:
        raise option_error(f"a name has at most {MAX_NAME_LENGTH} characters")
    return value


def parse_urgency(value: Any) -> Urgency:
    """Return the urgency class with a lower-case name such as ``high``.

    Raise a validation error for any other value.
    """
    names = [urgency.name.lower() for urgency in Urgency]
    if value not in names:
        raise option_error(f"expected one of {', '.join(names)}, not {value!r}")
    return Urgency[value.upper()]


def parse_method(value: Any) -> str:
    """Return an upper-case HTTP method, or ``*`` for every method.

    Raise a validation error for any other value.
    """
    if value not in METHODS:
        raise option_error(f"expected one of {', '.join(METHODS)}, not {value!r}")
    return value


class Deadline:
    """A deadline, absolute or relative to the submission of a job.

    ``seconds`` counts from the submission if ``is_relative``, else it is a Unix time.
    """

    __slots__ = ("is_relative", "seconds")

    def __init__(self, seconds: float, is_relative: bool) -> None:
        self.seconds = seconds
        self.is_relative = is_relative

    @classmethod
    def from_option(cls, value: Any) -> Deadline:
        """Parse ``in 2h`` or an ISO 8601 time with a UTC offset.

        Raise a validation error for any other value.
        """
        if isinstance(value, Deadline):
            return value
        relative = RELATIVE_DEADLINE.match(value) if isinstance(value, str) else None
        if relative:
            return cls(parse_duration(relative.group(1)), True)
        try:
            time = datetime.fromisoformat(value)
        except (TypeError, ValueError):
            raise option_error(
                "expected 'in' and a duration such as 'in 2h', or a time such as "
                f"2027-03-01T05:00:00+00:00, not {value!r}"
            ) from None
        if time.tzinfo is None:
            raise option_error(f"the time {value!r} has no offset such as Z or +00:00")
        return cls(time.timestamp(), False)

    def unix_time(self, submitted_s: float) -> float:
        """Return the deadline as Unix time for a job submitted at a Unix time."""
        return submitted_s + self.seconds if self.is_relative else self.seconds


Name = Annotated[str, BeforeValidator(parse_name)]
NameList = tuple[Name, ...]
UrgencyOption = Annotated[Urgency, BeforeValidator(parse_urgency)]
Method = Annotated[str, BeforeValidator(parse_method)]
UrlPath = Annotated[str, Field(pattern="^/")]
Count = Annotated[int, Field(ge=1, le=100_000)]
DeadlineOption = Annotated[Any, BeforeValidator(Deadline.from_option)]


class SizeOptions(OptionsModel):
    """The size of one task or worker: cores, MiB of memory, and accelerators."""

    cores: Annotated[float, Field(ge=0)] = 0.0
    memory: MemoryMib = 0.0
    accelerators: Annotated[int, Field(ge=0)] = 0

    def to_size(self) -> Size:
        """Return the options as a :class:`Size`."""
        return Size(self.cores, self.memory, self.accelerators)


class TeamOptions(OptionsModel):
    """A team that owns services and jobs, and the quota of its jobs, if limited."""

    quota: SizeOptions | None = None

    def to_team(self, name: str) -> Team:
        """Return the options as the :class:`Team` of a name."""
        return Team(name, self.quota.to_size() if self.quota else None)


class WorkerGroupOptions(OptionsModel):
    """Workers of one size; ``vms`` may list their names."""

    size: SizeOptions
    zones: NameList = ()
    vms: NameList = ()

    def to_group(self, name: str) -> WorkerGroup:
        """Return the options as the :class:`WorkerGroup` of a name."""
        return WorkerGroup(name, self.size.to_size(), self.zones, self.vms)


class RequestOptions(OptionsModel):
    """Whether requests of one method below one path prefix are idempotent."""

    method: Method = "*"
    path: UrlPath = "/"
    idempotent: bool

    def to_rule(self) -> IdempotencyRule:
        """Return the options as an :class:`IdempotencyRule`."""
        return IdempotencyRule(self.method, self.path, self.idempotent)


class ServiceOptions(OptionsModel):
    """A latency-critical service. Durations are in seconds after parsing."""

    team: Name
    urgency: UrgencyOption = Urgency.NORMAL
    target: Duration = 0.25
    instances: Count = 1
    size: SizeOptions
    slots: Annotated[int, Field(ge=1, le=8)] = 8
    connections: Annotated[int, Field(ge=1, le=64)] = 64
    zones: NameList = ()
    vms: NameList = ()
    requests: tuple[RequestOptions, ...] = ()
    retry_budget: Fraction = 0.1
    max_request: Bytes = 1 << 20
    max_answer: Bytes = 1 << 22
    max_run: Duration = 30.0
    guaranteed_share: Fraction = 0.1
    new_share: Fraction = 1.0
    claim_required: bool = True
    spread_racks: bool = True

    def to_service(self, name: str) -> ServiceSpec:
        """Return the options as the :class:`ServiceSpec` of a name."""
        return ServiceSpec(
            name=name,
            team=self.team,
            urgency=self.urgency,
            target_s=self.target,
            instances=self.instances,
            size=self.size.to_size(),
            slots=self.slots,
            connections=self.connections,
            zones=self.zones,
            vms=self.vms,
            idempotency=tuple(rule.to_rule() for rule in self.requests),
            retry_budget=self.retry_budget,
            max_request_bytes=self.max_request,
            max_answer_bytes=self.max_answer,
            max_run_s=self.max_run,
            guaranteed_share=self.guaranteed_share,
            new_share=self.new_share,
            claim_required=self.claim_required,
            spread_racks=self.spread_racks,
        )


class JobOptions(OptionsModel):
    """A batch job of one or more identical tasks."""

    team: Name
    kind: Name | None = None
    tasks: Count = 1
    urgency: UrgencyOption = Urgency.NORMAL
    size: SizeOptions
    run: Duration = 60.0
    deadline: DeadlineOption = None
    zones: NameList = ()
    vms: NameList = ()
    isolation: IsolationRule = IsolationRule.KEEP
    checkpoint: bool = True
    spread_racks: bool = False
    setup: Annotated[str, Field(pattern="^(old|new)$")] = "new"
    work: dict[str, Any] = Field(default_factory=dict)

    def to_job(self, name: str, submitted_s: float) -> JobSpec:
        """Return the options as the :class:`JobSpec` of a name.

        ``submitted_s`` is the Unix time from which a relative deadline counts.
        """
        deadline = self.deadline
        return JobSpec(
            name=name,
            team=self.team,
            kind=self.kind or name,
            tasks=self.tasks,
            urgency=self.urgency,
            size=self.size.to_size(),
            run_s=self.run,
            deadline_s=deadline.unix_time(submitted_s) if deadline else None,
            zones=self.zones,
            vms=self.vms,
            isolation=self.isolation,
            checkpoint=self.checkpoint,
            spread_racks=self.spread_racks,
            setup=self.setup,
            work=dict(self.work),
        )
