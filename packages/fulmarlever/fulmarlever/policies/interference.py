"""Policies that estimate how much batch work slows services down."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from fulmarlever.registry import Registry

PRIOR_SLOWDOWN = 0.3
"""The relative slowdown assumed for an unknown pair when batch fills a worker."""

STATIC_SLOWDOWN = 1.0
"""The relative slowdown that the static policy assumes for every pair."""

HALF_LIFE_S = 6 * 3600.0
"""The time after which half of what was learned about a pair is forgotten."""

STEP = 0.3
"""The part of an error by which the estimates are corrected at once."""

BASELINE_STEP = 0.1
"""The weight of a new latency in the baseline of its load."""

LOAD_BUCKETS = 4
"""The number of parts into which loads from 0 to 1 are divided."""

LARGEST_ERROR = 3.0
CLEAN_PRESSURE = 0.02


@dataclass(slots=True, frozen=True)
class Sample:
    """A latency of one service instance under the batch work beside it.

    ``load`` is the part of its slots in use, ``pressures`` the part of the worker's
    cores that each batch kind has, and ``time_s`` a monotonic time.
    """

    service: str
    load: float
    latency_s: float
    pressures: Mapping[str, float]
    time_s: float


class Interference(Protocol):
    """Knows how much batch kinds slow services down."""

    def observe(self, sample: Sample) -> None:
        """Take note of a measured latency."""

    def slowdown(self, service: str, pressures: Mapping[str, float]) -> float:
        """Return the expected relative slowdown, 0 for none."""


INTERFERENCES: Registry[type[Interference]] = Registry("interference policy")


@INTERFERENCES.register("none")
class NoInterference:
    """Expects no slowdown; the naive version."""

    __slots__ = ()

    def observe(self, sample: Sample) -> None:
        """Ignore the sample."""

    def slowdown(self, service: str, pressures: Mapping[str, float]) -> float:
        """Return 0."""
        return 0.0


@INTERFERENCES.register("static")
class StaticInterference:
    """Expects the same slowdown of every pair, whatever is measured."""

    __slots__ = ()

    def observe(self, sample: Sample) -> None:
        """Ignore the sample."""

    def slowdown(self, service: str, pressures: Mapping[str, float]) -> float:
        """Return a fixed slowdown for each part of a worker."""
        return STATIC_SLOWDOWN * sum(pressures.values())


@dataclass(slots=True)
class _Pair:
    """The estimate for one pair and the monotonic time of its last change."""

    weight: float = PRIOR_SLOWDOWN
    time_s: float = 0.0

    def at(self, time_s: float) -> float:
        """Return the weight after forgetting until a time."""
        left = 0.5 ** (max(0.0, time_s - self.time_s) / HALF_LIFE_S)
        return PRIOR_SLOWDOWN + (self.weight - PRIOR_SLOWDOWN) * left


@dataclass(slots=True)
class _Service:
    """The latencies of a service without batch beside it, by load bucket."""

    baselines: dict[int, float] = field(default_factory=dict)
    pairs: dict[str, _Pair] = field(default_factory=dict)


@INTERFERENCES.register("learned")
class LearnedInterference:
    """Estimates a slowdown for each (service, batch kind) from lagging latencies.

    The latency is compared with the baseline of the same load, so that a shift of
    load is not blamed on batch work. The error is shared out among the kinds present
    by their pressure, as the normalised least mean squares filter does.
    """

    __slots__ = ("_services", "_time_s")

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}
        self._time_s = 0.0

    def observe(self, sample: Sample) -> None:
        """Take note of a measured latency."""
        self._time_s = max(self._time_s, sample.time_s)
        if sample.latency_s <= 0:
            return
        expected = self.slowdown(sample.service, sample.pressures)
        service = self._services.setdefault(sample.service, _Service())
        bucket = min(LOAD_BUCKETS, int(sample.load * LOAD_BUCKETS))
        clean_s = sample.latency_s / (1 + expected)
        baseline_s = service.baselines.setdefault(bucket, clean_s)
        if sum(sample.pressures.values()) < CLEAN_PRESSURE or clean_s < baseline_s:
            baseline_s += BASELINE_STEP * (clean_s - baseline_s)
            service.baselines[bucket] = baseline_s
        self._correct(service, sample, sample.latency_s / baseline_s - 1 - expected)

    def slowdown(self, service: str, pressures: Mapping[str, float]) -> float:
        """Return the expected relative slowdown, 0 for none."""
        known = self._services.get(service)
        pairs = known.pairs if known else {}
        return sum(
            part * (pairs[kind].at(self._time_s) if kind in pairs else PRIOR_SLOWDOWN)
            for kind, part in pressures.items()
        )

    def _correct(self, service: _Service, sample: Sample, error: float) -> None:
        error = max(-LARGEST_ERROR, min(LARGEST_ERROR, error))
        power = sum(part * part for part in sample.pressures.values()) + 0.01
        for kind, part in sample.pressures.items():
            pair = service.pairs.setdefault(kind, _Pair(time_s=sample.time_s))
            weight = pair.at(sample.time_s) + STEP * error * part / power
            pair.weight = max(0.0, weight)
            pair.time_s = sample.time_s
