"""Reads a row that the owner of the lease publishes for all daemons."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever.outcomes import Failure, failed
from fulmarleverd.scheduling.persistence.rows import SUMMARY_TABLE
from fulmarleverd.scheduling.ports import ABSENT, Store, StoredRow

READ_PERIOD_S = 0.8
READ_TIMEOUT_S = 0.5
# A row that is not written again for this long is left by an owner that is gone.
STALE_S = 3.0
Value = TypeVar("Value")


class PublishedRow(Generic[Value]):
    """A published row, which is read every ``READ_PERIOD_S`` while it is asked for.

    Nobody waits for a read. ``event`` names the log lines about a row that cannot be
    read, and ``decode`` returns the value of a row's bytes or a failure.
    ``changed_at_s`` is when the present version was first read, on the steady clock.
    """

    __slots__ = (
        "changed_at_s",
        "_store",
        "_clock",
        "_key",
        "_event",
        "_decode",
        "_value",
        "_version",
        "_read_at_s",
        "_reading",
    )

    def __init__(
        self,
        store: Store,
        clock: Clock,
        key: str,
        event: str,
        decode: Callable[[bytes], Value | Failure],
    ) -> None:
        self.changed_at_s = 0.0
        self._store = store
        self._clock = clock
        self._key = key
        self._event = event
        self._decode = decode
        self._value: Value | None = None
        self._version = ABSENT
        self._read_at_s = float("-inf")
        self._reading: asyncio.Task | None = None

    @property
    def age_s(self) -> float:
        """Return the seconds since the present version was first read."""
        return self._clock.monotonic() - self.changed_at_s

    def current(self) -> Value | None:
        """Return the value, ``None`` if it is unknown or not renewed."""
        now = self._clock.monotonic()
        if now - self._read_at_s >= READ_PERIOD_S:
            self._read_at_s = now
            self._reading = asyncio.get_running_loop().create_task(self._read(now))
        return None if now - self.changed_at_s > STALE_S else self._value

    async def _read(self, now_s: float) -> None:
        rows = await self._store.read(
            SUMMARY_TABLE, self._key, self._key + "\0", READ_TIMEOUT_S
        )
        if failed(rows):
            log.bind(event=self._event).info(rows.reason)
        elif not rows.rows:
            self._value = None
        elif rows.rows[0].version != self._version:
            self._apply(rows.rows[0], now_s)

    def _apply(self, row: StoredRow, now_s: float) -> None:
        self._version = row.version
        self.changed_at_s = now_s
        value = self._decode(row.value)
        if failed(value):
            log.bind(event=self._event).error(value.reason)
            self._value = None
        else:
            self._value = value
