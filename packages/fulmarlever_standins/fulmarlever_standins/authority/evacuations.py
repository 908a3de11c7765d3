"""The zones that the operator has evacuated, and runs that begin there too late."""

from __future__ import annotations

import asyncio

from fulmarlever_standins.authority.network import STORE_ADDRESS, Network
from fulmarlever_standins.authority.worker import WorkerCore
from fulmarleverd.platform.formats import EVACUATION_PREFIX, OPERATOR_TABLE


class EvacuationObserver:
    """Writes the operator's rows and checks each start against them.

    No run may begin in a zone from ``evacuate_s`` seconds after the row was written. As
    an unstable store extends the bound, it is counted from the last disturbance of the
    store, if that came later.
    """

    def __init__(self, network: Network, evacuate_s: float) -> None:
        self._store = network.store
        self._evacuate_s = evacuate_s
        self._written_at_s: dict[str, float] = {}
        self._disturbed_at_s = float("-inf")

    def evacuate(self, zone: str) -> bool:
        """Write the row of a zone; return False if it is evacuated already."""
        if zone in self._written_at_s:
            return False
        self._written_at_s[zone] = asyncio.get_running_loop().time()
        self._store.put_json(OPERATOR_TABLE, EVACUATION_PREFIX + zone, {})
        return True

    def restore(self, zone: str) -> None:
        """Remove the row of a zone."""
        self._written_at_s.pop(zone, None)
        self._store.remove(OPERATOR_TABLE, EVACUATION_PREFIX + zone)

    def record_disturbance(self) -> None:
        """Record that the store is out of reach of a daemon at this moment."""
        self._disturbed_at_s = asyncio.get_running_loop().time()

    def late_s(self, worker: WorkerCore) -> float:
        """Return by how many seconds a run that begins now is late, 0 if it is not."""
        written_s = self._written_at_s.get(worker.zone)
        if written_s is None:
            return 0.0
        since_s = max(written_s, self._disturbed_at_s)
        now_s = asyncio.get_running_loop().time()
        return max(0.0, now_s - since_s - self._evacuate_s)


def is_store_disturbed(network: Network) -> bool:
    """Return whether the store is out of reach of some daemon of a network."""
    is_cut = any(address == STORE_ADDRESS for _, address in network.cuts)
    return network.is_store_down or bool(network.refused_vms) or is_cut
