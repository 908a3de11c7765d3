"""Request metrics of services, summed over daemons."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

INFINITY = "+Inf"


@dataclass(slots=True)
class ServiceMetrics:
    """Counts of the answers of one service and their latency histogram.

    ``buckets`` maps upper bounds in seconds to cumulative counts of answers.
    ``answered`` counts answers by status class, such as ``2xx``, and ``refused`` counts
    requests that were not run, by cause. ``target_s`` is the latency target in seconds,
    and ``guaranteed`` the guaranteed share of all slots, from 0 to 1.
    """

    name: str
    team: str = ""
    target_s: float | None = None
    guaranteed: float | None = None
    buckets: Counter[float] = field(default_factory=Counter)
    answered: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)

    def add(self, data: dict[str, Any]) -> None:
        """Add the metrics of one daemon, as in its report."""
        self.team = data["team"] or self.team
        self.target_s = data["target_s"] or self.target_s
        self.guaranteed = data["guaranteed"] or self.guaranteed
        buckets = {
            _parse_bound(bound): count for bound, count in data["buckets"].items()
        }
        self.buckets.update(buckets)
        self.answered.update(data["answered"])
        self.refused.update(data["refused"])

    def subtract(self, earlier: ServiceMetrics) -> None:
        """Subtract earlier metrics, to keep the counts since they were read."""
        self.buckets.subtract(earlier.buckets)
        self.answered.subtract(earlier.answered)
        self.refused.subtract(earlier.refused)

    @property
    def total(self) -> int:
        """Return the number of answers, whatever their status."""
        return int(sum(self.answered.values()))

    @property
    def total_refused(self) -> int:
        """Return the number of answers that reported "not run"."""
        return int(sum(self.refused.values()))

    def quantile_s(self, fraction: float) -> float | None:
        """Return the latency in seconds below which a fraction of the answers lies.

        It is interpolated linearly inside its bucket. The result is ``None`` without
        any answer, and the largest finite bound if the quantile lies above it.
        """
        bounds = sorted(self.buckets)
        total = self.buckets[bounds[-1]] if bounds else 0
        if total <= 0:
            return None
        rank = fraction * total
        lower_bound, count_below = 0.0, 0.0
        for bound in bounds:
            count = self.buckets[bound]
            if count >= rank and count > count_below:
                if bound == float("inf"):
                    return lower_bound
                return lower_bound + (bound - lower_bound) * (rank - count_below) / (
                    count - count_below
                )
            lower_bound, count_below = bound, count
        return lower_bound


def _parse_bound(text: str) -> float:
    return float("inf") if text == INFINITY else float(text)


def sum_reports(reports: Iterable[dict[str, Any]]) -> dict[str, ServiceMetrics]:
    """Return the metrics of each service, summed over the reports of daemons."""
    services: dict[str, ServiceMetrics] = {}
    for report in reports:
        for name, data in report["services"].items():
            services.setdefault(name, ServiceMetrics(name)).add(data)
    return services
