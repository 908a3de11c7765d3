"""Reads a row that the owner of the lease publishes for all daemons."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever.outcomes import Failure, failed
from fulmarleverd.scheduling.persistence.rows import SUMMARY_TABLE
from fulmarleverd.scheduling.ports import ABSENT, RowSet, Store
from fulmarleverd.scheduling.published.publication import Publication

READ_PERIOD_S = 0.8
READ_TIMEOUT_S = 0.5
# Longer than an owner takes to renew a row and a daemon to read it. An older row is
# left by an owner that is gone.
STALE_S = 4.0
Value = TypeVar("Value")


class PublishedRow(Generic[Value]):
    """A published row, which is read every ``READ_PERIOD_S`` while it is asked for.

    Nobody waits for a read. ``event`` names the log lines about a row that cannot be
    read, and ``decode`` returns the value of a publication or a failure. The age of a
    value counts on the store's clock from when its owner worked it out, whenever this
    daemon first read it. ``changed_at_s`` is when the present version was first read,
    on the steady clock.
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
        "_right_at_s",
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
        # When the value was right, at the latest.
        self._right_at_s = float("-inf")
        self._read_at_s = float("-inf")
        self._reading: asyncio.Task | None = None

    @property
    def age_s(self) -> float:
        """Return the age of the value in seconds, infinity if it is not known."""
        return self._clock.boot() - self._right_at_s

    def current(self) -> Value | None:
        """Return the value, ``None`` if it is unknown or not renewed."""
        now = self._clock.boot()
        if now - self._read_at_s >= READ_PERIOD_S:
            self._read_at_s = now
            self._reading = asyncio.get_running_loop().create_task(self._read(now))
        return None if self.age_s > STALE_S else self._value

    async def _read(self, now_s: float) -> None:
        read = await self._store.read(
            SUMMARY_TABLE, self._key, self._key + "\0", READ_TIMEOUT_S
        )
        if failed(read):
            log.bind(event=self._event).info(read.reason)
        elif not read.rows:
            self._value = None
            self._version = ABSENT
        elif read.rows[0].version != self._version:
            self._apply(read, now_s)

    def _apply(self, read: RowSet, asked_s: float) -> None:
        """Use a version that has not been read before."""
        self._version = read.rows[0].version
        self.changed_at_s = self._clock.monotonic()
        self._value = None
        found = Publication.from_row(read.rows[0])
        value = found if failed(found) else self._decode(found.value)
        if failed(value):
            log.bind(event=self._event).error(value.reason)
            return
        # The store's time is from after the question, so this age is no underestimate.
        self._right_at_s = asked_s - found.age_s(read)
        self._value = value
        log.bind(
            event="published-row-read",
            key=self._key,
            vm=found.vm,
            term=found.term,
            age_s=round(self.age_s, 3),
        ).debug("")
