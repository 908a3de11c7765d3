"""Amounts of resources: sizes of tasks and capacities of workers."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

DIMENSIONS = ("cores", "memory_mib", "accelerators")


@dataclass(slots=True, frozen=True)
class Size:
    """An amount of each resource: cores, MiB of memory, and accelerators."""

    cores: float = 0.0
    memory_mib: float = 0.0
    accelerators: int = 0

    @classmethod
    def from_wire(cls, data: dict[str, float]) -> Size:
        """Build a size from its wire form; missing dimensions are 0."""
        return cls(
            float(data.get("cores", 0.0)),
            float(data.get("memory_mib", 0.0)),
            int(data.get("accelerators", 0)),
        )

    def to_wire(self) -> dict[str, float]:
        """Return the wire form: the amount of each dimension by name."""
        return {name: getattr(self, name) for name in DIMENSIONS}

    def __add__(self, other: Size) -> Size:
        return Size(
            self.cores + other.cores,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Size) -> Size:
        return Size(
            self.cores - other.cores,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, capacity: Size) -> bool:
        """Return whether this size exceeds a capacity in no dimension."""
        return not any(self.dimensions_exceeding(capacity))

    def dimensions_exceeding(self, capacity: Size) -> Iterator[str]:
        """Yield the names of the dimensions in which this size exceeds a capacity.

        Amounts that differ by rounding errors, up to 1e-9, count as equal.
        """
        for name in DIMENSIONS:
            if getattr(self, name) > getattr(capacity, name) + 1e-9:
                yield name
