"""The platform's load balancer over the entry VMs that pass a readiness probe."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable

from aiohttp import ClientError, ClientSession, ClientTimeout

from fulmarlever_standins.topology import EntryVM

PROBE_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 0.5


class Balancer:
    """A weighted random choice among the ready entry VMs.

    ``weights`` maps names of entry VMs to relative weights; the default is 1. Use it as
    an asynchronous context manager: it probes the entry VMs until the exit.
    """

    def __init__(
        self,
        entries: Iterable[EntryVM],
        seed: int = 1,
        weights: dict[str, float] | None = None,
    ) -> None:
        self.entries = list(entries)
        self.weights = weights or {}
        self.ready = {vm.name for vm in self.entries}
        self._random = random.Random(seed)
        self._probes: list[asyncio.Task] = []
        self._session: ClientSession | None = None

    async def __aenter__(self) -> Balancer:
        timeout = ClientTimeout(total=PROBE_TIMEOUT_S)
        self._session = ClientSession(timeout=timeout)
        self._probes = [asyncio.create_task(self._probe(vm)) for vm in self.entries]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for probe in self._probes:
            probe.cancel()
        await self._session.close()

    def choose(self) -> EntryVM:
        """Return a ready entry VM, or any entry VM if none is ready."""
        ready = [vm for vm in self.entries if vm.name in self.ready] or self.entries
        weights = [self.weights.get(vm.name, 1.0) for vm in ready]
        return self._random.choices(ready, weights)[0]

    async def _probe(self, vm: EntryVM) -> None:
        while True:
            if await self._is_ready(vm):
                self.ready.add(vm.name)
            else:
                self.ready.discard(vm.name)
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _is_ready(self, vm: EntryVM) -> bool:
        try:
            async with self._session.get(f"http://{vm.admin_address}/readyz") as answer:
                return answer.status == 200
        except (ClientError, OSError, TimeoutError):
            return False
