"""The orders that a simulated worker accepts, and the faults it can have."""

from __future__ import annotations

from dataclasses import dataclass, field

from fulmarlever.structure.size import Size


@dataclass(slots=True, frozen=True)
class BatchWork:
    """The simulated work of a batch task.

    It takes ``seconds`` at full speed. ``uses`` is the actual usage, by default the
    size of the task. ``fails`` tells whether the task ends with an error.
    """

    seconds: float = 1.0
    uses: Size | None = None
    fails: bool = False

    @classmethod
    def from_wire(cls, data: dict) -> BatchWork:
        """Build the work from a job's ``work`` map.

        Raise ``ValueError`` or ``TypeError`` for a wrong value.
        """
        uses = data.get("uses")
        return cls(
            float(data.get("seconds", 1.0)),
            Size.from_wire(uses) if uses is not None else None,
            bool(data.get("fails", False)),
        )


@dataclass(slots=True, frozen=True)
class StartOrder:
    """The body of ``POST /v1/start``.

    ``service`` holds the limits ``slots`` and ``connections`` of a service instance
    and is ``None`` for a batch task. ``not_after_s`` is a time on the worker's
    monotonic clock after which the order is refused.
    """

    task: str
    attempt: int
    epoch: int
    lease_s: float
    kind: str = ""
    size: Size = field(default_factory=Size)
    checkpoint: str = ""
    work: BatchWork = field(default_factory=BatchWork)
    service: dict | None = None
    not_after_s: float | None = None

    @classmethod
    def from_wire(cls, data: dict) -> StartOrder:
        """Build the order from its JSON body.

        Raise ``KeyError`` for a missing field and ``ValueError`` for a wrong value.
        """
        return cls(
            str(data["task"]),
            int(data["attempt"]),
            int(data["epoch"]),
            float(data["lease_s"]),
            str(data.get("kind") or ""),
            Size.from_wire(data.get("size") or {}),
            str(data.get("checkpoint") or ""),
            BatchWork.from_wire(data.get("work") or {}),
            data.get("service"),
            data.get("not_after_s"),
        )


@dataclass(slots=True, frozen=True)
class StopOrder:
    """The body of ``POST /v1/stop``.

    ``checkpoint`` asks for a checkpoint before the end. ``drain_s`` is the time limit
    for requests in progress.
    """

    task: str
    attempt: int
    epoch: int
    checkpoint: bool = False
    drain_s: float = 0.0

    @classmethod
    def from_wire(cls, data: dict) -> StopOrder:
        """Build the order from its JSON body.

        Raise ``KeyError`` for a missing field and ``ValueError`` for a wrong value.
        """
        return cls(
            str(data["task"]),
            int(data["attempt"]),
            int(data["epoch"]),
            bool(data.get("checkpoint", False)),
            float(data.get("drain_s") or 0.0),
        )


@dataclass(slots=True)
class WorkerFaults:
    """The faults that can be injected into a worker.

    ``usage_factor`` maps a task kind to the factor of its reported usage, which is
    ``usage_lag_s`` seconds old. Work takes ``slow_factor`` times as long.
    ``interference`` maps a batch kind to the fraction by which one running task of that
    kind slows the services of the worker. ``contention`` is the fraction by which each
    other request in progress at the same server slows a request.
    """

    fail_starts: bool = False
    fail_tasks: bool = False
    usage_factor: dict[str, float] = field(default_factory=dict)
    usage_lag_s: float = 0.5
    slow_factor: float = 1.0
    interference: dict[str, float] = field(default_factory=dict)
    contention: float = 0.0

    def update(self, changes: dict) -> None:
        """Set the given faults and leave the others unchanged.

        Raise ``ValueError`` for an unknown fault.
        """
        for name, value in changes.items():
            if name not in self.__slots__:
                raise ValueError(f"unknown fault {name!r}")
            setattr(self, name, value)
