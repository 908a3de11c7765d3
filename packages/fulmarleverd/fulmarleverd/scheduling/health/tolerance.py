"""Which workers a run may be assigned to although others are preferred."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Tolerance:
    """The kinds of workers that a task uses rather than wait.

    ``slow`` and ``distrusted`` are the kinds of impaired workers. ``crowded`` are, for
    a best-effort task, those on which too few cores are left or too little headroom.
    Workers of these kinds come after all others.
    """

    slow: bool = False
    distrusted: bool = False
    crowded: bool = False


SOUND_ONLY = Tolerance()
ANY_WORKER = Tolerance(slow=True, distrusted=True)
