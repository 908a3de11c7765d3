"""Prometheus metrics of the placer."""

from __future__ import annotations

from prometheus_client import Counter

EVICTIONS = Counter(
    "fulmarlever_evictions", "Tasks stopped by the placer to run again elsewhere."
)
