"""The choice of the daemon to which a request is forwarded."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Collection, Iterator
from dataclasses import dataclass

from fulmarleverd.requests.slot_pool import MIN_LATENCY_S

PEER_OVERHEAD_S = 0.002
"""What forwarding costs; a shorter wait here is not worth it."""


@dataclass(slots=True, frozen=True)
class Place:
    """A daemon with its expected wait in seconds for a slot of a service."""

    vm: str
    wait_s: float


class PeerChooser:
    """Chooses among the peers that published slots of a service.

    ``membership`` is the service of that name. Load reports lag, so the requests that
    this daemon has under way to a peer count against what the peer reported.
    """

    def __init__(self, membership: object, zone: str, rng: random.Random) -> None:
        self.membership = membership
        self.zone = zone
        self.rng = rng
        self.under_way: Counter[tuple[str, str]] = Counter()

    def free_peer(self, service: str, visited: Collection[str]) -> str | None:
        """Return a peer that has a free slot: of this zone, else of another one."""
        here, elsewhere = [], []
        for vm, zone, free, _, _ in self._reports(service, visited):
            if free > 0:
                (here if zone == self.zone else elsewhere).append((free, vm))
        found = here or elsewhere
        if not found:
            return None
        pair = [self.rng.choice(found), self.rng.choice(found)]
        return max(pair)[1]

    def best_wait(self, service: str, visited: Collection[str]) -> Place | None:
        """Return the peer of this zone where the wait for a slot is shortest."""
        places = [
            Place(vm, PEER_OVERHEAD_S + max(0, 1 - free) / rate)
            for vm, zone, free, _, rate in self._reports(service, visited)
            if zone == self.zone and rate > 0
        ]
        return min(places, key=lambda place: place.wait_s, default=None)

    def _reports(
        self, service: str, visited: Collection[str]
    ) -> Iterator[tuple[str, str, int, int, float]]:
        """Yield vm, zone, free slots less the waiting, owned slots and rate."""
        loads = self.membership.view("load")
        for peer in self.membership.live():
            report = loads.get(peer.vm, {}).get(service)
            if report is None or peer.vm in visited:
                continue
            free, owned, waiting, latency_s = report
            free -= self.under_way[peer.vm, service] + waiting
            rate = owned / max(latency_s, MIN_LATENCY_S)
            if math.isfinite(rate):
                yield peer.vm, peer.zone, free, owned, rate
