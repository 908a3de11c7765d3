"""The open connections of this daemon to backend servers and the old setup."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Collection, Mapping

from fulmarleverd.requests.exchange import Channel
from fulmarleverd.requests.server_share import ServerShare

Address = tuple[str, int]

MAX_IDLE_UNOWNED = 32


class Channels:
    """Idle channels by address.

    A channel is taken for each request, so open connections to a server never exceed
    the slots that this daemon has there.
    """

    def __init__(self) -> None:
        self._idle: dict[Address, list[Channel]] = {}
        self._taken: Counter[Address] = Counter()
        self._closing: set[asyncio.Task] = set()

    def take(self, address: Address) -> Channel:
        """Return a channel, with an open connection if there is an idle one."""
        self._taken[address] += 1
        idle = self._idle.get(address)
        return idle.pop() if idle else Channel(*address)

    def give_back(self, channel: Channel, most_idle: int) -> None:
        """Keep a channel for the next request unless enough are idle."""
        self._taken[channel.address] -= 1
        if not self._taken[channel.address]:
            del self._taken[channel.address]
        idle = self._idle.setdefault(channel.address, [])
        if len(idle) < most_idle:
            idle.append(channel)
        else:
            self._close(channel)

    def trim(
        self, shares: Mapping[str, ServerShare], others: Collection[Address] = ()
    ) -> None:
        """Close idle channels above this daemon's share and to servers that left."""
        keep = dict.fromkeys(others, MAX_IDLE_UNOWNED)
        for share in shares.values():
            if not share.is_leaving:
                # Slots in use are no measure: a request that was just given a slot
                # has not taken its channel yet.
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
