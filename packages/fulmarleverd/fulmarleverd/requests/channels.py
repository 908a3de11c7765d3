"""The pool of connections to backend servers and to the old setup."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Collection, Mapping

from fulmarleverd.requests.exchange import Channel
from fulmarleverd.requests.server_share import ServerShare

Address = tuple[str, int]

# Idle channels kept for an address where this daemon owns no slots.
MAX_IDLE_UNOWNED = 32


class Channels:
    """A pool of channels by address.

    Each request takes one channel, so the open connections to a server never exceed
    the slots that this daemon owns there.
    """

    def __init__(self) -> None:
        self._idle: dict[Address, list[Channel]] = {}
        self._taken: Counter[Address] = Counter()
        self._closing: set[asyncio.Task] = set()

    def take(self, address: Address) -> Channel:
        """Take an idle channel of an address, or create one."""
        self._taken[address] += 1
        idle = self._idle.get(address)
        return idle.pop() if idle else Channel(*address)

    def return_to_pool(self, channel: Channel, max_idle: int) -> None:
        """Keep a channel for later requests, or close it if ``max_idle`` are idle."""
        self._taken[channel.address] -= 1
        if not self._taken[channel.address]:
            del self._taken[channel.address]
        idle = self._idle.setdefault(channel.address, [])
        if len(idle) < max_idle:
            idle.append(channel)
        else:
            self._close(channel)

    def trim(
        self, shares: Mapping[str, ServerShare], others: Collection[Address] = ()
    ) -> None:
        """Close idle channels that exceed the slots of their server.

        All idle channels of servers that are leaving or unknown are closed. ``others``
        are addresses without slots, each of which keeps ``MAX_IDLE_UNOWNED``.
        """
        keep = dict.fromkeys(others, MAX_IDLE_UNOWNED)
        for share in shares.values():
            if not share.is_leaving:
                # Counts channels, not slots in use: a request may have a slot and
                # not yet its channel.
                open_slots = share.limit - self._taken[share.address]
                keep[share.address] = max(0, open_slots)
        for address, idle in list(self._idle.items()):
            while len(idle) > keep.get(address, 0):
                self._close(idle.pop(0))
            if not idle:
                del self._idle[address]

    async def close(self) -> None:
        """Close every idle channel."""
        self.trim({})
        await asyncio.gather(*self._closing, return_exceptions=True)

    def _close(self, channel: Channel) -> None:
        task = asyncio.get_running_loop().create_task(channel.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
