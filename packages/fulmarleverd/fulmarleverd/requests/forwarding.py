"""The selection of the peer to which a request is forwarded."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Collection, Iterator
from dataclasses import dataclass

from fulmarleverd.requests.slot_pool import MIN_LATENCY_S

FORWARDING_OVERHEAD_S = 0.002
"""Time that forwarding adds to a request; it counts as part of the wait at a peer."""


@dataclass(slots=True, frozen=True)
class PeerWait:
    """A peer's VM and the expected wait there for a slot, in seconds."""

    vm: str
    wait_s: float


class PeerSelector:
    """Selects among the peers that reported slots of a service.

    ``membership`` is the service of that name. ``in_flight`` counts the requests that
    this daemon has forwarded and that are not answered, by peer and service. Load
    reports lag, so these are subtracted from the free slots that the peer reported.
    """

    def __init__(self, membership: object, zone: str, rng: random.Random) -> None:
        self.membership = membership
        self.zone = zone
        self.rng = rng
        self.in_flight: Counter[tuple[str, str]] = Counter()

    def free_peer(self, service: str, visited: Collection[str]) -> str | None:
        """Return the VM of a peer with a free slot, or ``None``.

        Peers of this zone come before those of other zones. Of two random peers the
        one with more free slots is returned. ``visited`` are VMs to leave out.
        """
        same_zone, other_zones = [], []
        for vm, zone, free, _, _ in self._reports(service, visited):
            if free > 0:
                (same_zone if zone == self.zone else other_zones).append((free, vm))
        found = same_zone or other_zones
        if not found:
            return None
        two_random = [self.rng.choice(found), self.rng.choice(found)]
        return max(two_random)[1]

    def shortest_wait(self, service: str, visited: Collection[str]) -> PeerWait | None:
        """Return the peer of this zone with the shortest expected wait for a slot.

        Return ``None`` when no peer outside ``visited`` has slots.
        """
        waits = [
            PeerWait(vm, FORWARDING_OVERHEAD_S + max(0, 1 - free) / rate)
            for vm, zone, free, _, rate in self._reports(service, visited)
            if zone == self.zone and rate > 0
        ]
        return min(waits, key=lambda peer_wait: peer_wait.wait_s, default=None)

    def _reports(
        self, service: str, visited: Collection[str]
    ) -> Iterator[tuple[str, str, int, int, float]]:
        """Yield the VM, zone, free slots, owned slots and rate of each peer.

        Waiting requests are subtracted from the free slots, which may be negative. The
        rate is in requests per second.
        """
        loads = self.membership.view("load")
        for peer in self.membership.live():
            report = loads.get(peer.vm, {}).get(service)
            if report is None or peer.vm in visited:
                continue
            free, owned, waiting, latency_s = report
            free -= self.in_flight[peer.vm, service] + waiting
            rate = owned / max(latency_s, MIN_LATENCY_S)
            if math.isfinite(rate):
                yield peer.vm, peer.zone, free, owned, rate
