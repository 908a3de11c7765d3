"""The state of one task in the platform's table."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from fulmarlever.structure.size import Size


class TaskState(StrEnum):
    """The state of a task. ``DONE``, ``FAILED`` and ``CANCELLED`` are final."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Return whether the state can no longer change."""
        return self in (TaskState.DONE, TaskState.FAILED, TaskState.CANCELLED)


@dataclass(slots=True)
class Task:
    """One row ``task/{zone}/{owner}/{index}`` of the platform's table.

    ``owner`` is the name of the task's job or service. ``attempt`` is the fencing token
    of the run and grows by one with each start. ``reservation`` is the size reserved on
    the worker. ``checkpoint`` names the object to resume from and may be empty,
    ``reason`` explains the state in one phrase, and ``failures`` lists the workers on
    which attempts failed. ``cancel`` is set once a cancellation is requested.
    """

    zone: str
    owner: str
    index: int
    is_service: bool = False
    state: TaskState = TaskState.QUEUED
    attempt: int = 0
    worker: str = ""
    reservation: Size = field(default_factory=Size)
    checkpoint: str = ""
    reason: str = ""
    failures: list[str] = field(default_factory=list)
    cancel: bool = False
    result: str = ""

    @property
    def key(self) -> str:
        """Return the key of the task's row."""
        return f"task/{self.zone}/{self.owner}/{self.index}"

    @property
    def name(self) -> str:
        """Return the task id that is shown to workers and operators."""
        return f"{self.owner}/{self.index}"

    @classmethod
    def from_wire(cls, data: dict) -> Task:
        """Build a task from its row.

        Raise ``KeyError`` or ``TypeError`` for a missing field and ``ValueError`` for
        an unknown state.
        """
        fields = {name: data[name] for name in cls.__slots__ if name in data}
        fields["state"] = TaskState(fields["state"])
        fields["reservation"] = Size.from_wire(fields["reservation"])
        return cls(**fields)

    def to_wire(self) -> dict:
        """Return the row for the platform's table."""
        data = {name: getattr(self, name) for name in self.__slots__}
        data["state"] = str(self.state)
        data["reservation"] = self.reservation.to_wire()
        return data
