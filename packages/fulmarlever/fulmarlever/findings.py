"""Findings: the errors and warnings in a file, with their positions."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass

from fulmarlever.outcomes import Failure


@dataclass(slots=True, frozen=True, order=True)
class Finding:
    """An error or a warning in a file. Lines and columns count from 1."""

    file: str
    line: int
    column: int
    message: str
    is_warning: bool = False

    def __str__(self) -> str:
        label = "warning: " if self.is_warning else ""
        return f"{self.file}:{self.line}:{self.column}: {label}{self.message}"

    @classmethod
    def from_wire(cls, data: dict) -> Finding:
        """Build a finding from its wire form."""
        return cls(**{name: data[name] for name in cls.__slots__ if name in data})

    def to_wire(self) -> dict:
        """Return the form used by the administration API."""
        return asdict(self)


class Findings(Failure):
    """All findings in one file, sorted by position, as one failure."""

    __slots__ = ("items",)

    def __init__(self, items: Iterable[Finding]) -> None:
        self.items = tuple(sorted(items))
        super().__init__("\n".join(str(item) for item in self.items))

    @classmethod
    def from_wire(cls, data: Iterable[dict]) -> Findings:
        """Build the findings from their wire form."""
        return cls(Finding.from_wire(item) for item in data)

    def to_wire(self) -> list[dict]:
        """Return the form used by the administration API."""
        return [item.to_wire() for item in self.items]

    def __iter__(self) -> Iterator[Finding]:
        return iter(self.items)

    def __len__(self) -> int:
        return len(self.items)

    def __str__(self) -> str:
        return self.reason
