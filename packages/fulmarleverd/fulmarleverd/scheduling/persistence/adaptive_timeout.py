"""A timeout for calls to the store that follows the latency of recent calls."""

from __future__ import annotations

SMOOTHING_WEIGHT = 0.3
LATENCY_FACTOR = 4.0
MIN_TIMEOUT_S = 0.6
MAX_TIMEOUT_S = 2.2
INITIAL_LATENCY_S = 0.05


class AdaptiveTimeout:
    """A timeout derived from a moving average of the latency of answered calls.

    A call without an answer raises the average, so that the next attempt waits longer
    for a store that has become slow.
    """

    __slots__ = ("_latency_s",)

    def __init__(self) -> None:
        self._latency_s = INITIAL_LATENCY_S

    @property
    def timeout_s(self) -> float:
        """Return how long to wait for the next answer, in seconds."""
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, LATENCY_FACTOR * self._latency_s))

    def record_answer(self, took_s: float) -> None:
        """Add the latency of an answered call, in seconds, to the average."""
        self._latency_s += SMOOTHING_WEIGHT * (took_s - self._latency_s)

    def record_no_answer(self) -> None:
        """Raise the average after a call without an answer."""
        self._latency_s = max(self._latency_s, self.timeout_s / LATENCY_FACTOR) * 1.5
        self._latency_s = min(self._latency_s, MAX_TIMEOUT_S / LATENCY_FACTOR)
