"""Policies that decide how much to reserve for a task, and for how long it runs."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from fulmarlever.registry import Registry
from fulmarlever.structure.size import Size

SAMPLES_KEPT = 64
"""The number of ended tasks per kind that an estimate rests on."""

ENOUGH_SAMPLES = 4
"""The number of tasks of a kind from which on its estimate replaces declarations."""

ENOUGH_REPORTS = 3
"""The number of usage reports that make the peak of one task count."""

SIZE_PERCENTILE = 0.95
RUN_PERCENTILE = 0.75

HEADROOM = 1.1
"""The factor on an estimated size."""

UNPROVEN_FACTOR = 1.0
"""The factor on a declared size while nothing is known about its kind."""

SMALLEST_FRACTION = 0.1
"""The least part of a declared size that is reserved."""

LARGEST_FACTOR = 4.0
"""The largest multiple of a declared size that is reserved."""

EXCEEDED = 1.05
"""The multiple of a declared size from which on a peak shows that it is too small."""


class Sizes(Protocol):
    """Knows what tasks of a kind use."""

    def observe(self, kind: str, task: str, usage: Size) -> None:
        """Take note of a usage report of a running task."""

    def end(self, kind: str, task: str, run_s: float | None) -> None:
        """Take note of the end of a task, with its run time when it is whole."""

    def size(self, kind: str, declared: Size) -> Size:
        """Return the size to reserve."""

    def run_s(self, kind: str, declared_s: float) -> float:
        """Return the run time to expect, in seconds."""


SIZES: Registry[type[Sizes]] = Registry("size policy")


@SIZES.register("declared")
class DeclaredSizes:
    """Believes what operators declare; the naive version."""

    __slots__ = ()

    def observe(self, kind: str, task: str, usage: Size) -> None:
        """Ignore the report."""

    def end(self, kind: str, task: str, run_s: float | None) -> None:
        """Ignore the end."""

    def size(self, kind: str, declared: Size) -> Size:
        """Return the declared size."""
        return declared

    def run_s(self, kind: str, declared_s: float) -> float:
        """Return the declared run time."""
        return declared_s


@dataclass(slots=True)
class _Peak:
    """The highest usage that a running task reported, and the number of reports."""

    size: Size = field(default_factory=Size)
    reports: int = 0


@dataclass(slots=True)
class _Kind:
    """What is known about one kind of task."""

    running: dict[str, _Peak] = field(default_factory=dict)
    peaks: deque[Size] = field(default_factory=lambda: deque(maxlen=SAMPLES_KEPT))
    runs_s: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES_KEPT))

    def samples(self) -> list[Size]:
        """Return the peaks that count."""
        running = self.running.values()
        return [
            *self.peaks,
            *(peak.size for peak in running if peak.reports >= ENOUGH_REPORTS),
        ]


@SIZES.register("learned")
class LearnedSizes:
    """Reserves an upper percentile of the peaks that tasks of a kind reported.

    Until enough is known the declared size counts, times ``unproven_factor``.
    """

    __slots__ = ("_kinds", "unproven_factor")

    def __init__(self, unproven_factor: float = UNPROVEN_FACTOR) -> None:
        self._kinds: dict[str, _Kind] = {}
        self.unproven_factor = unproven_factor

    def observe(self, kind: str, task: str, usage: Size) -> None:
        """Take note of a usage report of a running task."""
        if not usage.cores and not usage.memory_mib:
            return
        running = self._kinds.setdefault(kind, _Kind()).running
        peak = running.setdefault(task, _Peak())
        peak.reports += 1
        peak.size = Size(
            max(peak.size.cores, usage.cores),
            max(peak.size.memory_mib, usage.memory_mib),
        )

    def end(self, kind: str, task: str, run_s: float | None) -> None:
        """Take note of the end of a task, with its run time when it is whole."""
        known = self._kinds.setdefault(kind, _Kind())
        peak = known.running.pop(task, None)
        if peak is not None and peak.reports >= ENOUGH_REPORTS:
            known.peaks.append(peak.size)
        if run_s is not None:
            known.runs_s.append(run_s)

    def size(self, kind: str, declared: Size) -> Size:
        """Return the size to reserve."""
        known = self._kinds.get(kind)
        samples = known.samples() if known else []
        if len(samples) < ENOUGH_SAMPLES:
            return _scaled(declared, self.unproven_factor)
        cores = percentile([s.cores for s in samples], SIZE_PERCENTILE)
        memory = percentile([s.memory_mib for s in samples], SIZE_PERCENTILE)
        return Size(
            _estimate(cores, declared.cores),
            _estimate(memory, declared.memory_mib),
            declared.accelerators,
        )

    def run_s(self, kind: str, declared_s: float) -> float:
        """Return the run time to expect, in seconds."""
        known = self._kinds.get(kind)
        if known is None or len(known.runs_s) < ENOUGH_SAMPLES:
            return declared_s
        return percentile(known.runs_s, RUN_PERCENTILE)


def _estimate(peak: float, declared: float) -> float:
    """Return the amount of one dimension to reserve for a peak.

    A task that uses all it is given shows no need of more: without the first bound
    the headroom would let its kind grow with every start.
    """
    wanted = HEADROOM * peak
    if peak <= EXCEEDED * declared:
        wanted = min(wanted, declared)
    return min(LARGEST_FACTOR * declared, max(wanted, SMALLEST_FRACTION * declared))


def percentile(values: Iterable[float], fraction: float) -> float:
    """Return the smallest value that is not exceeded by a fraction of the values."""
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(fraction * len(ordered)))
    return ordered[index]


def _scaled(size: Size, factor: float) -> Size:
    return Size(size.cores * factor, size.memory_mib * factor, size.accelerators)
