"""Which impaired workers a run may be assigned to."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Tolerance:
    """The kinds of impaired workers that a task uses rather than wait.

    Workers of these kinds come after all others.
    """

    slow: bool = False
    distrusted: bool = False


SOUND_ONLY = Tolerance()
ANY_WORKER = Tolerance(slow=True, distrusted=True)
