"""How long to wait for the store, by how long it has taken lately."""

from __future__ import annotations

WEIGHT = 0.3
FACTOR = 4.0
MIN_TIMEOUT_S = 0.6
MAX_TIMEOUT_S = 2.2
FIRST_ESTIMATE_S = 0.05


class Patience:
    """A timeout that follows the latency of the calls that were answered.

    A call without an answer raises the estimate, so that a store that has become slow
    is waited for at the next try.
    """

    __slots__ = ("_estimate_s",)

    def __init__(self) -> None:
        self._estimate_s = FIRST_ESTIMATE_S

    @property
    def timeout_s(self) -> float:
        """Return how long to wait for the next answer."""
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, FACTOR * self._estimate_s))

    def answered(self, took_s: float) -> None:
        """Take note of an answer."""
        self._estimate_s += WEIGHT * (took_s - self._estimate_s)

    def unanswered(self) -> None:
        """Take note of a call that got no answer in time."""
        self._estimate_s = max(self._estimate_s, self.timeout_s / FACTOR) * 1.5
        self._estimate_s = min(self._estimate_s, MAX_TIMEOUT_S / FACTOR)
