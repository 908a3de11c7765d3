"""The typed requests that a worker stand-in understands."""

from __future__ import annotations

from dataclasses import dataclass, field

from fulmarlever.structure.size import Size


@dataclass(slots=True, frozen=True)
class BatchWork:
    """What a batch task does: its run time, its real use and whether it fails."""

    seconds: float = 1.0
    uses: Size | None = None
    fails: bool = False

    @classmethod
    def from_wire(cls, data: dict) -> BatchWork:
        """Build the work from a job's ``work`` map."""
        uses = data.get("uses")
        return cls(
            float(data.get("seconds", 1.0)),
            Size.from_wire(uses) if uses is not None else None,
            bool(data.get("fails", False)),
        )


@dataclass(slots=True, frozen=True)
class StartOrder:
    """One ``POST /v1/start``. ``service`` holds the slots and connections limits.

    ``not_after_s`` is a time on the worker's clock after which the order is refused.
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
    """One ``POST /v1/stop``."""

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
    """The switchable faults of a worker.

    ``interference`` maps a batch kind to the part by which one running task of that
    kind slows the services of the worker. ``contention`` is the part by which each
    other request in progress slows one at its server.
    """

    fail_starts: bool = False
    fail_tasks: bool = False
    usage_factor: dict[str, float] = field(default_factory=dict)
    usage_lag_s: float = 0.5
    slow_factor: float = 1.0
    interference: dict[str, float] = field(default_factory=dict)
    contention: float = 0.0

    def update(self, changes: dict) -> None:
        """Set the given faults and leave the others.

        Raise ``ValueError`` for an unknown fault.
        """
        for name, value in changes.items():
            if name not in self.__slots__:
                raise ValueError(f"unknown fault {name!r}")
            setattr(self, name, value)
