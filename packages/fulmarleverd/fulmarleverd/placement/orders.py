"""The orders to workers, and the workers' answers and reports."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from fulmarlever.structure.size import Size


@dataclass(slots=True, frozen=True)
class StartOrder:
    """An order to run one attempt of a task.

    ``epoch`` is the fencing token of the placer. ``lease_s`` is the length of the
    task's lease and ``run_s`` the declared run time, 0 for a service, in seconds.
    ``size`` is the reservation, and ``checkpoint`` the checkpoint to resume from, if
    any. ``work`` describes a batch task and ``service`` the limits of a service
    instance. ``not_after_s`` is a time on the worker's own clock after which the worker
    refuses the order, so that a delayed order cannot start an abandoned attempt.
    """

    task: str
    attempt: int
    epoch: int
    zone: str
    lease_s: float
    kind: str
    size: Size
    run_s: float
    checkpoint: str = ""
    work: dict[str, Any] = field(default_factory=dict)
    service: dict[str, Any] | None = None
    not_after_s: float | None = None

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON form."""
        data = {name: getattr(self, name) for name in self.__slots__}
        data["size"] = self.size.to_wire()
        return data


@dataclass(slots=True, frozen=True)
class Started:
    """The answer to a confirmed start, with the address of a service instance."""

    address: str = ""
    port: int = 0


@dataclass(slots=True, frozen=True)
class StopOrder:
    """An order to end one attempt.

    With ``checkpoint`` the worker takes a checkpoint first. A service instance may
    finish its requests for ``drain_s`` seconds.
    """

    task: str
    attempt: int
    epoch: int
    checkpoint: bool
    drain_s: float = 0.0

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {name: getattr(self, name) for name in self.__slots__}


@dataclass(slots=True, frozen=True)
class Ended:
    """The answer to a stop: the attempt's state ``stopped``, ``done`` or ``failed``."""

    state: str
    checkpoint: str = ""
    reason: str = ""
    result: str = ""


@dataclass(slots=True, frozen=True)
class ThrottleOrder:
    """An order to limit a task to a share of its cores, from 0 to 1."""

    task: str
    attempt: int
    epoch: int
    share: float

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {name: getattr(self, name) for name in self.__slots__}


@dataclass(slots=True, frozen=True)
class AttemptId:
    """One attempt of one task."""

    task: str
    attempt: int


@dataclass(slots=True, frozen=True)
class SyncOrder:
    """Renewals of leases and acknowledgements of ends for one worker.

    ``not_after_s`` is a time on the worker's own clock after which the worker ignores
    the renewals.
    """

    zone: str
    epoch: int
    lease_s: float
    renew: tuple[AttemptId, ...] = ()
    acknowledge: tuple[AttemptId, ...] = ()
    not_after_s: float | None = None

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {
            "zone": self.zone,
            "epoch": self.epoch,
            "renew": [
                {"task": i.task, "attempt": i.attempt, "lease_s": self.lease_s}
                for i in self.renew
            ],
            "acknowledge": [
                {"task": i.task, "attempt": i.attempt} for i in self.acknowledge
            ],
            "not_after_s": self.not_after_s,
        }


@dataclass(slots=True, frozen=True)
class TaskReport:
    """A worker's report on one attempt.

    ``usage`` was measured ``usage_age_s`` seconds before the report. ``in_progress`` is
    the number of requests in progress of a service instance.
    """

    task: str
    attempt: int
    state: str
    reason: str = ""
    result: str = ""
    checkpoint: str = ""
    progress: float = 0.0
    usage: Size = Size()
    usage_age_s: float = 0.0
    in_progress: int = 0

    @classmethod
    def from_wire(cls, data: dict[str, Any]) -> TaskReport:
        """Build a report from its JSON form."""
        return cls(
            data["task"],
            data["attempt"],
            data["state"],
            data.get("reason") or "",
            str(data.get("result") or ""),
            data.get("checkpoint") or "",
            data.get("progress") or 0.0,
            Size.from_wire(data.get("usage") or {}),
            data.get("usage_age_s") or 0.0,
            data.get("in_progress") or 0,
        )


@dataclass(slots=True, frozen=True)
class SyncAnswer:
    """A worker's answer to a sync, with its size and its attempts.

    ``clock_s`` is the time on the worker's own clock in seconds.
    """

    worker: str
    size: Size
    tasks: tuple[TaskReport, ...] = ()
    clock_s: float | None = None

    @classmethod
    def from_wire(cls, data: dict[str, Any]) -> SyncAnswer:
        """Build an answer from its JSON form."""
        return cls(
            data["worker"],
            Size.from_wire(data["size"]),
            tuple(TaskReport.from_wire(item) for item in data["tasks"]),
            data.get("clock_s"),
        )


@dataclass(slots=True, frozen=True)
class WorkerReport:
    """The answer to a sync that was sent at a time on the monotonic clock."""

    sent_s: float
    answer: SyncAnswer
