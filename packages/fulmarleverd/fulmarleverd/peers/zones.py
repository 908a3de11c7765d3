"""Traffic between availability zones: one relay daemon for each zone.

The relay is the alive daemon with the lowest VM name. Addresses cannot be compared
instead: behind a port forwarder, a daemon has different addresses for different peers.
Relays exchange the entries of their zones and forward those of other zones inside
their own. All other daemons get the states of peers in other zones from their relay.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any

from fulmarleverd.peers.roster import Peer, PeerState, Roster
from fulmarleverd.peers.termination import TerminationDetector
from fulmarleverd.peers.topics import Entry, Topics

ALIVE_DAEMONS_TOPIC = "near"
"""Published by a relay: by VM, incarnation and address of the daemons of its zone."""

REMOTE_RELAYS_TOPIC = "zones"
"""Published by a relay: by zone, the VM of another zone from which frames arrive."""

LOCAL_PEERS_PER_INTERVAL = 2
"""How many peers of its own zone a daemon sends a heartbeat to per ``heartbeat_s``."""

REMOTE_ZONES_PER_INTERVAL = 1
"""How many relays of other zones a relay sends a heartbeat to per ``heartbeat_s``."""


class ZoneRelays:
    """Selects the relay of each zone and applies the peer states that relays report.

    ``is_startup_complete`` is set once the incarnation of this daemon is final; until
    then the daemon is not a relay.
    """

    __slots__ = (
        "is_startup_complete",
        "_vm",
        "_zone",
        "_roster",
        "_topics",
        "_termination",
        "_lowest_alive_peer",
        "_peer_counts",
    )

    def __init__(
        self,
        vm: str,
        zone: str,
        roster: Roster,
        topics: Topics,
        termination: TerminationDetector,
    ) -> None:
        self.is_startup_complete = False
        self._vm = vm
        self._zone = zone
        self._roster = roster
        self._topics = topics
        self._termination = termination
        self._lowest_alive_peer: dict[str, str] = {}
        self._peer_counts: Counter[str] = Counter()
        roster.changes.subscribe(self._update_zones)

    def _update_zones(self, changed: Peer) -> None:
        # Peers change rarely but are queried often, so the results are cached.
        self._peer_counts = Counter(peer.zone for peer in self._roster)
        self._lowest_alive_peer = {}
        for peer in self._roster:
            if peer.state == PeerState.ALIVE:
                lowest = self._lowest_alive_peer.get(peer.zone, peer.vm)
                self._lowest_alive_peer[peer.zone] = min(lowest, peer.vm)

    def own_relay(self) -> str:
        """Return the VM of the relay of this daemon's zone."""
        return min(self._vm, self._lowest_alive_peer.get(self._zone, self._vm))

    @property
    def is_relay(self) -> bool:
        """Return whether this daemon is the relay of its zone."""
        return self.is_startup_complete and self.own_relay() == self._vm

    def is_neighbour(self, peer: Peer) -> bool:
        """Return whether this daemon exchanges heartbeats with a peer.

        Neighbours are the peers of the same zone and, for a relay, the relays of other
        zones. A relay tries all daemons of a zone in which none is known to be alive.
        """
        if peer.zone == self._zone:
            return True
        if not self.is_relay:
            return False
        return self._lowest_alive_peer.get(peer.zone, peer.vm) == peer.vm

    def interval_factor(self, peer: Peer) -> float:
        """Return the factor, at least 1, of the heartbeat interval to a peer.

        It grows with the number of neighbours, so that the heartbeats that a daemon
        sends per second do not.
        """
        if peer.zone == self._zone:
            return max(1.0, self._peer_counts[self._zone] / LOCAL_PEERS_PER_INTERVAL)
        zones = sum(zone != self._zone for zone in self._peer_counts)
        return max(1.0, zones / REMOTE_ZONES_PER_INTERVAL)

    def should_send(self, entry: Entry, peer: Peer) -> bool:
        """Return whether this daemon sends an entry to a peer.

        A peer of the same zone gets this daemon's entries and, from a relay, those of
        other zones. A peer of another zone gets the entries of this zone from a relay.
        """
        is_local = self._zone_of(entry.vm) == self._zone
        if peer.zone == self._zone:
            return entry.vm == self._vm or (self.is_relay and not is_local)
        return self.is_relay and is_local

    def _zone_of(self, vm: str) -> str:
        if vm == self._vm:
            return self._zone
        # Daemons of this zone connect directly, so an unknown VM is in another zone.
        peer = self._roster.get(vm)
        return peer.zone if peer else ""

    def _alive(self, zone: str) -> Iterator[Peer]:
        for peer in self._roster:
            if peer.zone == zone and peer.state == PeerState.ALIVE:
                yield peer

    def relay_topics(self, own: Peer) -> dict[str, Any]:
        """Return the values of the topics that relays publish, by topic.

        They are ``None`` if this daemon is not a relay. ``own`` is its own peer entry.
        """
        if not self.is_relay:
            return {ALIVE_DAEMONS_TOPIC: None, REMOTE_RELAYS_TOPIC: None}
        alive = {
            peer.vm: _peer_state_to_wire(peer)
            for peer in [own, *self._alive(self._zone)]
        }
        return {
            ALIVE_DAEMONS_TOPIC: alive,
            REMOTE_RELAYS_TOPIC: self._reachable_relays(),
        }

    def _reachable_relays(self) -> dict[str, str]:
        found: dict[str, str] = {}
        for peer in sorted(self._roster, key=lambda peer: peer.vm):
            if peer.zone != self._zone and self._roster.has_recent_contact(peer.vm):
                found.setdefault(peer.zone, peer.vm)
        return found

    def update_remote_states(self) -> None:
        """Apply the states of peers in other zones that their relays report."""
        for zone, relay in self._current_relays().items():
            alive = self._topic_value(relay, ALIVE_DAEMONS_TOPIC)
            for vm, (incarnation, admin_port, address, port) in alive.items():
                if vm == self._vm or self._termination.is_obsolete(vm, incarnation):
                    continue
                self._roster.update_address(vm, zone, address, port)
                self._termination.record_relayed(vm, incarnation)
                self._roster.mark_alive(vm, incarnation, admin_port)
        self._suspect_unreported()

    def _suspect_unreported(self) -> None:
        relays = self._current_relays()
        for peer in self._roster:
            if peer.zone == self._zone or self._roster.has_recent_contact(peer.vm):
                continue
            relay = relays.get(peer.zone, "")
            if peer.vm not in self._topic_value(relay, ALIVE_DAEMONS_TOPIC):
                self._roster.mark_suspect(peer.vm)

    def _current_relays(self) -> dict[str, str]:
        if self.own_relay() == self._vm:
            return self._reachable_relays()
        return self._topic_value(self.own_relay(), REMOTE_RELAYS_TOPIC)

    def _topic_value(self, vm: str, topic: str) -> dict[str, Any]:
        entry = self._topics.get((vm, topic, ""))
        # A new relay of another zone may publish before this daemon knows it as a peer.
        is_current = entry and entry.incarnation >= self._roster.incarnation(vm)
        return entry.value if is_current and isinstance(entry.value, dict) else {}


def _peer_state_to_wire(peer: Peer) -> list:
    return [peer.incarnation, peer.admin_port, peer.address, peer.port]
