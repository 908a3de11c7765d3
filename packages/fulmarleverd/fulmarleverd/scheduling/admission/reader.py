"""Reads the published forecast in each daemon."""

from __future__ import annotations

from fulmarlever.clock import Clock
from fulmarleverd.scheduling.admission.forecast import Forecast
from fulmarleverd.scheduling.persistence.rows import ADMISSION_KEY
from fulmarleverd.scheduling.ports import Store
from fulmarleverd.scheduling.published.row import PublishedRow


class ForecastReader(PublishedRow[Forecast]):
    """The forecast as this daemon knows it, which is read while jobs come in."""

    __slots__ = ()

    def __init__(self, store: Store, clock: Clock) -> None:
        super().__init__(
            store, clock, ADMISSION_KEY, "admission-unread", Forecast.unpack
        )
