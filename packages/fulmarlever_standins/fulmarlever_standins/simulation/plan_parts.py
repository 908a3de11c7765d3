"""The parts of a plan: jobs that come and faults that begin at a time."""

from __future__ import annotations

from dataclasses import dataclass

MAX_SEED = 1 << 32


@dataclass(slots=True, frozen=True)
class PlannedJob:
    """A job with features, drawn from a seed and submitted at a time, in seconds."""

    at_s: float
    seed: int
    features: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class PlannedFault:
    """A fault that begins at a time, in seconds.

    Its kind is a name in ``FAULTS`` or ``APART_FAULTS``.
    """

    at_s: float
    kind: str
    seed: int
