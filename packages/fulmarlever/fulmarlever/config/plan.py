"""The plan that turns one configuration into another, shown to operators."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import asdict, dataclass, fields
from enum import Enum
from typing import Any

from fulmarlever.config.document import Document
from fulmarlever.structure.configuration import Configuration
from fulmarlever.structure.size import Size

SECTIONS = ("workers", "teams", "services", "jobs")


@dataclass(slots=True, frozen=True)
class PlanStep:
    """One configuration entry that is added, changed or removed.

    ``action`` is ``add``, ``change`` or ``remove``, and ``section`` is one of
    ``SECTIONS``. ``changes`` has one phrase for each changed option, such as
    ``instances 1 -> 3``, and is empty for other actions.
    """

    action: str
    section: str
    name: str
    changes: tuple[str, ...] = ()

    @classmethod
    def from_wire(cls, data: dict) -> PlanStep:
        """Build a step from its wire form."""
        return cls(**{**data, "changes": tuple(data["changes"])})

    def to_wire(self) -> dict:
        """Return the form used by the administration API."""
        return asdict(self)

    def __str__(self) -> str:
        symbol = {"add": "+", "change": "~", "remove": "-"}[self.action]
        suffix = " (drained first)" if self._needs_drain else ""
        detail = f": {', '.join(self.changes)}" if self.changes else ""
        return f"{symbol} {self.section} {self.name}{detail}{suffix}"

    @property
    def _needs_drain(self) -> bool:
        return self.action == "remove" and self.section in ("services", "jobs")


def diff_configurations(old: Configuration, new: Configuration) -> list[PlanStep]:
    """Return the steps from one configuration to another, by section and name.

    Sections come in the order of ``SECTIONS``, and names are sorted in each.
    """
    return [
        step
        for section in SECTIONS
        for step in _plan_section(section, getattr(old, section), getattr(new, section))
    ]


def warn_about_changed_jobs(document: Document, steps: Iterable[PlanStep]) -> None:
    """Add a warning for each changed job, as an accepted job cannot be changed.

    The scheduler keeps the declaration with which the job was accepted.
    """
    for step in steps:
        if step.section == "jobs" and step.action == "change":
            document.add(
                ("jobs", step.name),
                f"job {step.name!r} was accepted earlier and keeps its declaration; "
                "cancel it and use another name",
                is_warning=True,
            )


def _plan_section(
    section: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[PlanStep]:
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            yield PlanStep("add", section, name)
        elif name not in new:
            yield PlanStep("remove", section, name)
        elif changes := tuple(_describe_changes(old[name], new[name])):
            yield PlanStep("change", section, name, changes)


def _describe_changes(old: Any, new: Any) -> Iterator[str]:
    for field in fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after:
            yield f"{field.name} {_format_value(before)} -> {_format_value(after)}"


def _format_value(value: Any) -> str:
    if isinstance(value, Size):
        return f"{value.cores:g}c/{value.memory_mib:g}MiB/{value.accelerators}a"
    if isinstance(value, Enum):
        return value.name.lower()
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, tuple):
        return f"[{', '.join(map(_format_value, value))}]"
    return str(value)
