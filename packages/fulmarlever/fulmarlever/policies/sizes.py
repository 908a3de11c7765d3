"""Policies that estimate the size to reserve for a task, and its run time."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from fulmarlever.registry import Registry
from fulmarlever.structure.size import Size

MAX_SAMPLES = 64
"""The number of latest ended tasks of a kind that an estimate is based on."""

MIN_SAMPLES = 4
"""The number of samples of a kind from which an estimate replaces the declaration."""

MIN_REPORTS = 3
"""The number of usage reports from which the peak of a task is used as a sample."""

SIZE_PERCENTILE = 0.95
RUN_PERCENTILE = 0.75

HEADROOM_FACTOR = 1.1
"""The factor on the estimated peak usage that gives the reservation."""

UNPROVEN_FACTOR = 1.0
"""The factor on the declared size of a kind with too few samples."""

MIN_FACTOR = 0.1
"""The smallest multiple of a declared size that is reserved."""

MAX_FACTOR = 4.0
"""The largest multiple of a declared size that is reserved."""

EXCEEDED_FACTOR = 1.05
"""The multiple of a declared size above which a peak shows that it is too small."""


class SizePolicy(Protocol):
    """Estimates the sizes and run times of tasks by their kind."""

    def observe(self, kind: str, task: str, usage: Size) -> None:
        """Record a usage report of a running task."""

    def record_end(self, kind: str, task: str, run_s: float | None) -> None:
        """Record the end of a task.

        ``run_s`` is its run time in seconds, or ``None`` if the task did not run from
        its beginning to its end in one attempt.
        """

    def size(self, kind: str, declared: Size) -> Size:
        """Return the size to reserve for a task of a kind with a declared size."""

    def run_s(self, kind: str, declared_s: float) -> float:
        """Return the expected run time of a task of a kind, in seconds."""


SIZES: Registry[type[SizePolicy]] = Registry("size policy")


@SIZES.register("declared")
class DeclaredSizes:
    """Uses the declared sizes and run times; the naive baseline."""

    __slots__ = ()

    def observe(self, kind: str, task: str, usage: Size) -> None:
        """Ignore the report."""

    def record_end(self, kind: str, task: str, run_s: float | None) -> None:
        """Ignore the end."""

    def size(self, kind: str, declared: Size) -> Size:
        """Return the declared size."""
        return declared

    def run_s(self, kind: str, declared_s: float) -> float:
        """Return the declared run time."""
        return declared_s


@dataclass(slots=True)
class _PeakUsage:
    """The highest usage that a running task reported, and the number of reports."""

    size: Size = field(default_factory=Size)
    reports: int = 0


@dataclass(slots=True)
class _KindHistory:
    """The peak usage and the run times of tasks of one kind."""

    running: dict[str, _PeakUsage] = field(default_factory=dict)
    peaks: deque[Size] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    runs_s: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))

    def samples(self) -> list[Size]:
        """Return the peaks of ended tasks and of running ones with enough reports."""
        running = self.running.values()
        return [
            *self.peaks,
            *(peak.size for peak in running if peak.reports >= MIN_REPORTS),
        ]


@SIZES.register("learned")
class LearnedSizes:
    """Reserves a high percentile of the peak usage that tasks of a kind reported.

    The declared size, times ``unproven_factor``, is reserved until a kind has
    ``MIN_SAMPLES`` samples.
    """

    __slots__ = ("_history_by_kind", "unproven_factor")

    def __init__(self, unproven_factor: float = UNPROVEN_FACTOR) -> None:
        self._history_by_kind: dict[str, _KindHistory] = {}
        self.unproven_factor = unproven_factor

    def observe(self, kind: str, task: str, usage: Size) -> None:
        """Record a usage report of a running task."""
        if not usage.cores and not usage.memory_mib:
            return
        running = self._history_by_kind.setdefault(kind, _KindHistory()).running
        peak = running.setdefault(task, _PeakUsage())
        peak.reports += 1
        peak.size = Size(
            max(peak.size.cores, usage.cores),
            max(peak.size.memory_mib, usage.memory_mib),
        )

    def record_end(self, kind: str, task: str, run_s: float | None) -> None:
        """Record the end of a task.

        ``run_s`` is its run time in seconds, or ``None`` if the task did not run from
        its beginning to its end in one attempt.
        """
        history = self._history_by_kind.setdefault(kind, _KindHistory())
        peak = history.running.pop(task, None)
        if peak is not None and peak.reports >= MIN_REPORTS:
            history.peaks.append(peak.size)
        if run_s is not None:
            history.runs_s.append(run_s)

    def size(self, kind: str, declared: Size) -> Size:
        """Return the size to reserve for a task of a kind with a declared size."""
        history = self._history_by_kind.get(kind)
        samples = history.samples() if history else []
        if len(samples) < MIN_SAMPLES:
            return _scaled(declared, self.unproven_factor)
        cores = percentile([s.cores for s in samples], SIZE_PERCENTILE)
        memory = percentile([s.memory_mib for s in samples], SIZE_PERCENTILE)
        return Size(
            _reservation(cores, declared.cores),
            _reservation(memory, declared.memory_mib),
            declared.accelerators,
        )

    def run_s(self, kind: str, declared_s: float) -> float:
        """Return the expected run time of a task of a kind, in seconds."""
        history = self._history_by_kind.get(kind)
        if history is None or len(history.runs_s) < MIN_SAMPLES:
            return declared_s
        return percentile(history.runs_s, RUN_PERCENTILE)


def _reservation(peak: float, declared: float) -> float:
    """Return the amount of one dimension to reserve for a peak usage.

    A task may use all that it is given without needing more. The reservation thus
    exceeds the declared amount only if the peak clearly does; otherwise the headroom
    would increase the reservation of such a kind with every start.
    """
    reservation = HEADROOM_FACTOR * peak
    if peak <= EXCEEDED_FACTOR * declared:
        reservation = min(reservation, declared)
    return min(MAX_FACTOR * declared, max(reservation, MIN_FACTOR * declared))


def percentile(values: Iterable[float], fraction: float) -> float:
    """Return the value at a fraction, from 0 to 1, of the sorted values.

    Raises ``IndexError`` if there are no values.
    """
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(fraction * len(ordered)))
    return ordered[index]


def _scaled(size: Size, factor: float) -> Size:
    return Size(size.cores * factor, size.memory_mib * factor, size.accelerators)
