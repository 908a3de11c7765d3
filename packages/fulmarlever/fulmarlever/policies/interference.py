"""Policies that estimate how much batch work slows services down.

A relative slowdown of 0.0 means none and 1.0 means doubled latency. The pressure of a
batch kind on a worker is the fraction of the worker's cores that its tasks have.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from fulmarlever.registry import Registry

PRIOR_SLOWDOWN = 0.3
"""The slowdown assumed for an unknown (service, batch kind) at a pressure of 1."""

STATIC_SLOWDOWN = 1.0
"""The slowdown that the static policy assumes at a pressure of 1."""

HALF_LIFE_S = 6 * 3600.0
"""The time after which an estimate is halfway back to ``PRIOR_SLOWDOWN``."""

CORRECTION_STEP = 0.3
"""The step size of the filter: the fraction of an error that one sample corrects."""

BASELINE_STEP = 0.1
"""The weight of a new latency in the moving average that is its load's baseline."""

LOAD_BUCKETS = 4
"""The number of equal intervals of load from 0 to 1, each with its own baseline.

A load of 1 or more has an interval of its own.
"""

MAX_ERROR = 3.0
"""The limit of the error, as a relative slowdown, that one sample may correct."""

MAX_BASELINE_PRESSURE = 0.02
"""The total pressure below which a latency always updates the baseline."""


@dataclass(slots=True, frozen=True)
class Sample:
    """A latency of one service instance and the batch work on the same worker.

    ``load`` is the fraction of the instance's slots in use, ``latency_s`` a latency in
    seconds, and ``time_s`` a monotonic time. ``pressures`` holds the fraction of the
    worker's cores that each batch kind has.
    """

    service: str
    load: float
    latency_s: float
    pressures: Mapping[str, float]
    time_s: float


class InterferencePolicy(Protocol):
    """Estimates how much batch kinds slow services down."""

    def observe(self, sample: Sample) -> None:
        """Update the estimates with a measured latency."""

    def slowdown(self, service: str, pressures: Mapping[str, float]) -> float:
        """Return the expected relative slowdown of a service, 0.0 for none."""


INTERFERENCES: Registry[type[InterferencePolicy]] = Registry("interference policy")


@INTERFERENCES.register("none")
class NoInterference:
    """Expects no slowdown; the naive baseline."""

    __slots__ = ()

    def observe(self, sample: Sample) -> None:
        """Ignore the sample."""

    def slowdown(self, service: str, pressures: Mapping[str, float]) -> float:
        """Return 0.0."""
        return 0.0


@INTERFERENCES.register("static")
class StaticInterference:
    """Expects the same slowdown for every pair, whatever is measured."""

    __slots__ = ()

    def observe(self, sample: Sample) -> None:
        """Ignore the sample."""

    def slowdown(self, service: str, pressures: Mapping[str, float]) -> float:
        """Return a slowdown in proportion to the total pressure."""
        return STATIC_SLOWDOWN * sum(pressures.values())


@dataclass(slots=True)
class _PairEstimate:
    """The slowdown of one (service, batch kind) at a pressure of 1.

    ``time_s`` is the monotonic time of the last update.
    """

    slowdown: float = PRIOR_SLOWDOWN
    time_s: float = 0.0

    def at(self, time_s: float) -> float:
        """Return the estimate at a monotonic time, after its decay to the prior."""
        kept = 0.5 ** (max(0.0, time_s - self.time_s) / HALF_LIFE_S)
        return PRIOR_SLOWDOWN + (self.slowdown - PRIOR_SLOWDOWN) * kept


@dataclass(slots=True)
class _ServiceEstimate:
    """The estimates of one service.

    ``baselines`` holds the latency in seconds without batch work by interval of load,
    ``estimates`` the slowdown by batch kind.
    """

    baselines: dict[int, float] = field(default_factory=dict)
    estimates: dict[str, _PairEstimate] = field(default_factory=dict)


@INTERFERENCES.register("learned")
class LearnedInterference:
    """Estimates a slowdown for each (service, batch kind) from averaged latencies.

    The averages lag behind changes on the worker. A latency is compared with the
    baseline of the same load, so that a change of load is not attributed to batch work.
    The error is split among the batch kinds on the worker by their pressure, as in a
    normalised least mean squares filter.
    """

    __slots__ = ("_services", "_time_s")

    def __init__(self) -> None:
        self._services: dict[str, _ServiceEstimate] = {}
        self._time_s = 0.0

    def observe(self, sample: Sample) -> None:
        """Update the estimates with a measured latency."""
        self._time_s = max(self._time_s, sample.time_s)
        if sample.latency_s <= 0:
            return
        expected = self.slowdown(sample.service, sample.pressures)
        service = self._services.setdefault(sample.service, _ServiceEstimate())
        bucket = min(LOAD_BUCKETS, int(sample.load * LOAD_BUCKETS))
        unslowed_s = sample.latency_s / (1 + expected)
        baseline_s = service.baselines.setdefault(bucket, unslowed_s)
        if (
            sum(sample.pressures.values()) < MAX_BASELINE_PRESSURE
            or unslowed_s < baseline_s
        ):
            baseline_s += BASELINE_STEP * (unslowed_s - baseline_s)
            service.baselines[bucket] = baseline_s
        self._update_estimates(
            service, sample, sample.latency_s / baseline_s - 1 - expected
        )

    def slowdown(self, service: str, pressures: Mapping[str, float]) -> float:
        """Return the expected relative slowdown of a service, 0.0 for none."""
        service_estimate = self._services.get(service)
        estimates = service_estimate.estimates if service_estimate else {}
        return sum(
            pressure
            * (
                estimates[kind].at(self._time_s)
                if kind in estimates
                else PRIOR_SLOWDOWN
            )
            for kind, pressure in pressures.items()
        )

    def _update_estimates(
        self, service: _ServiceEstimate, sample: Sample, error: float
    ) -> None:
        error = max(-MAX_ERROR, min(MAX_ERROR, error))
        normalizer = (
            sum(pressure * pressure for pressure in sample.pressures.values()) + 0.01
        )
        for kind, pressure in sample.pressures.items():
            estimate = service.estimates.setdefault(
                kind, _PairEstimate(time_s=sample.time_s)
            )
            slowdown = (
                estimate.at(sample.time_s)
                + CORRECTION_STEP * error * pressure / normalizer
            )
            estimate.slowdown = max(0.0, slowdown)
            estimate.time_s = sample.time_s
