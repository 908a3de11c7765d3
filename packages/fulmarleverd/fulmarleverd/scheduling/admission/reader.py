"""Reads the published forecast in each daemon."""

from __future__ import annotations

import asyncio

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever.outcomes import failed
from fulmarleverd.scheduling.admission.forecast import Forecast
from fulmarleverd.scheduling.persistence.rows import ADMISSION_KEY, SUMMARY_TABLE
from fulmarleverd.scheduling.ports import ABSENT, Store

READ_PERIOD_S = 0.8
READ_TIMEOUT_S = 0.5
# A row that is not written again for this long is left by an owner that is gone.
STALE_S = 3.0


class ForecastReader:
    """Reads the forecast every ``READ_PERIOD_S`` while jobs come in.

    No job waits for a read. ``changed_at_s`` is when the present forecast was first
    read, on the steady clock.
    """

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._read_at_s = float("-inf")
        self._forecast: Forecast | None = None
        self._version = ABSENT
        self.changed_at_s = 0.0
        self._reading: asyncio.Task | None = None

    @property
    def age_s(self) -> float:
        """Return the seconds since the present forecast was first read."""
        return self._clock.monotonic() - self.changed_at_s

    def current(self) -> Forecast | None:
        """Return the forecast, ``None`` if it is unknown or not renewed."""
        now = self._clock.monotonic()
        if now - self._read_at_s >= READ_PERIOD_S:
            self._read_at_s = now
            self._reading = asyncio.get_running_loop().create_task(self._read(now))
        return None if now - self.changed_at_s > STALE_S else self._forecast

    async def _read(self, now_s: float) -> None:
        rows = await self._store.read(
            SUMMARY_TABLE, ADMISSION_KEY, ADMISSION_KEY + "\0", READ_TIMEOUT_S
        )
        if failed(rows):
            log.bind(event="admission-unread").info(rows.reason)
            return
        if not rows.rows:
            self._forecast = None
            return
        row = rows.rows[0]
        if row.version == self._version:
            return
        self._version = row.version
        self.changed_at_s = now_s
        forecast = Forecast.unpack(row.value)
        if failed(forecast):
            log.bind(event="admission-unread").error(forecast.reason)
            self._forecast = None
        else:
            self._forecast = forecast
