"""Since when each daemon of a play has been in touch with the platform.

A daemon is in touch while its own process runs, it reaches the store and the store is
not disturbed. What happens to other daemons or to workers does not matter.
"""

from __future__ import annotations

import asyncio

from fulmarlever_standins.authority.network import STORE_ADDRESS
from fulmarlever_standins.authority.simulated_cluster import Daemon, SimulatedCluster

# Shorter than any fault that lasts.
POLL_S = 0.05


class Contact:
    """Records for how long each daemon of a cluster has been in touch."""

    __slots__ = ("_cluster", "_since_s", "_store_since_s")

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster = cluster
        # By daemon: when it was first seen, or last seen out of touch.
        self._since_s: dict[Daemon, float] = {}
        self._store_since_s = 0.0

    async def run(self) -> None:
        """Look again and again, until cancelled."""
        while True:
            self._look()
            await asyncio.sleep(POLL_S)

    def _look(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if self._cluster.network.is_store_down:
            self._store_since_s = now_s
        self._since_s = {
            daemon: now_s
            if self._is_apart(daemon)
            else self._since_s.get(daemon, now_s)
            for daemon in self._cluster.daemons.values()
        }

    def _is_apart(self, daemon: Daemon) -> bool:
        """Return whether a daemon is cut off from the store, or its clock is wrong."""
        network = self._cluster.network
        return (
            daemon.vm in network.refused_vms
            or (daemon.vm, STORE_ADDRESS) in network.cuts
            or bool(daemon.clock.stepped_s)
        )

    def seconds(self, daemon: Daemon) -> float:
        """Return for how long a daemon has been in touch, 0 if it is not."""
        if daemon not in self._since_s:
            return 0.0
        unanswered_s = self._cluster.network.unanswered_s
        since_s = max(self._since_s[daemon], self._store_since_s, unanswered_s)
        return asyncio.get_running_loop().time() - since_s
