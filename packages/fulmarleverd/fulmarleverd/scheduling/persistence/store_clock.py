"""The store's clock as a daemon knows it, without a call."""

from __future__ import annotations

from fulmarlever.clock import Clock


class StoreClock:
    """Estimates the present time of the store's clock from its answers.

    The estimate is never ahead of the store's clock, so what is stamped with it looks
    older than it is, never newer.
    """

    __slots__ = ("_clock", "_store_time_s", "_recorded_s")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._store_time_s: float | None = None
        self._recorded_s = 0.0

    def record(self, store_time_s: float | None) -> None:
        """Record the time of an answer that has just arrived, ``None`` if not given."""
        if store_time_s is not None:
            self._store_time_s = store_time_s
            self._recorded_s = self._clock.boot()

    def now_s(self) -> float | None:
        """Return the store's time in seconds, ``None`` if it is not known."""
        if self._store_time_s is None:
            return None
        return self._store_time_s + self._clock.boot() - self._recorded_s
