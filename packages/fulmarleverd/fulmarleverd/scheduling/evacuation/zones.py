"""The availability zones that the operator has evacuated, as the watcher knows them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from contextlib import suppress

from fulmarlever.clock import Clock

# A new owner trusts what was read at most this long ago. The watcher gets an answer of
# the store twice a second.
MAX_AGE_S = 1.0
# How long a new owner waits for a newer answer, if it knows the zones from an older
# one. The watcher's connection may fail while others of the same daemon work.
MAX_REFRESH_S = 2.0


class EvacuatedZones:
    """The evacuated zones as of the last answer of the store.

    ``zones`` is replaced as a whole by each change. It is empty before the first
    answer.
    """

    __slots__ = ("zones", "_clock", "_answered_at_s", "_answered", "_changed")

    def __init__(self, clock: Clock) -> None:
        self.zones: frozenset[str] = frozenset()
        self._clock = clock
        self._answered_at_s = float("-inf")
        self._answered = asyncio.Event()
        self._changed = asyncio.Event()

    @property
    def is_known(self) -> bool:
        """Return whether the store has answered at all."""
        return self._answered_at_s != float("-inf")

    def update(self, zones: Iterable[str], requested_at_s: float) -> None:
        """Set the zones by an answer of the store and wake those that wait for it.

        ``requested_at_s`` is when the answer was requested, on the boot clock.
        """
        self._answered_at_s = requested_at_s
        answered, self._answered = self._answered, asyncio.Event()
        answered.set()
        zones = frozenset(zones)
        if zones != self.zones:
            self.zones = zones
            changed, self._changed = self._changed, asyncio.Event()
            changed.set()

    async def wait_for_change(self) -> None:
        """Wait until the zones differ from those at the call."""
        await self._changed.wait()

    async def wait_until_recent(self) -> None:
        """Wait until the zones are known, if possible from a recent answer.

        An older answer has to do once ``MAX_REFRESH_S`` have passed without another.
        """
        while not self.is_known:
            await self._answered.wait()
        if self._clock.boot() - self._answered_at_s > MAX_AGE_S:
            with suppress(TimeoutError):
                async with asyncio.timeout(MAX_REFRESH_S):
                    await self._answered.wait()
