"""Measures of services, added up over daemons."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

INFINITY = "+Inf"


@dataclass(slots=True)
class ServiceMeasures:
    """The answers of one service. ``buckets`` maps bounds in seconds to counts."""

    name: str
    team: str = ""
    target_s: float | None = None
    guaranteed: float | None = None
    buckets: Counter[float] = field(default_factory=Counter)
    answered: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)

    def add(self, data: dict[str, Any]) -> None:
        """Add the measures of one daemon."""
        self.team = data["team"] or self.team
        self.target_s = data["target_s"] or self.target_s
        self.guaranteed = data["guaranteed"] or self.guaranteed
        bounds = {_bound(le): count for le, count in data["buckets"].items()}
        self.buckets.update(bounds)
        self.answered.update(data["answered"])
        self.refused.update(data["refused"])

    def take_away(self, earlier: ServiceMeasures) -> None:
        """Leave what came after an earlier reading."""
        self.buckets.subtract(earlier.buckets)
        self.answered.subtract(earlier.answered)
        self.refused.subtract(earlier.refused)

    @property
    def total(self) -> int:
        """Return the number of answers."""
        return int(sum(self.answered.values()))

    @property
    def total_refused(self) -> int:
        """Return the number of answers that said "not run"."""
        return int(sum(self.refused.values()))

    def quantile_s(self, fraction: float) -> float | None:
        """Return the latency below which a fraction of the answers lies.

        It is interpolated inside its bucket; ``None`` without any answer, and the
        largest finite bound for answers above it.
        """
        bounds = sorted(self.buckets)
        total = self.buckets[bounds[-1]] if bounds else 0
        if total <= 0:
            return None
        wanted = fraction * total
        lower, below = 0.0, 0.0
        for bound in bounds:
            count = self.buckets[bound]
            if count >= wanted and count > below:
                if bound == float("inf"):
                    return lower
                return lower + (bound - lower) * (wanted - below) / (count - below)
            lower, below = bound, count
        return lower


def _bound(text: str) -> float:
    return float("inf") if text == INFINITY else float(text)


def add_up(reports: Iterable[dict[str, Any]]) -> dict[str, ServiceMeasures]:
    """Return the measures of each service over the reports of all daemons."""
    services: dict[str, ServiceMeasures] = {}
    for report in reports:
        for name, data in report["services"].items():
            services.setdefault(name, ServiceMeasures(name)).add(data)
    return services
