"""The peers of a daemon and their states."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import StrEnum

from reactivex.subject import Subject

from fulmarlever.clock import Clock

HEARTBEATS_MISSED = 3
LONGEST_INTERVAL_S = 10.0


class PeerState(StrEnum):
    """The states of a peer. Only ``ENDED`` needs proof."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    ENDED = "ended"


@dataclass(slots=True, frozen=True)
class Peer:
    """Another entry VM. Incarnation 0 has not been heard yet."""

    vm: str
    zone: str
    address: str
    port: int
    admin_port: int = 0
    incarnation: int = 0
    state: PeerState = PeerState.SUSPECT


class Roster:
    """The known peers by VM. ``changes`` emits a peer at each change of it."""

    __slots__ = (
        "changes",
        "_clock",
        "_silence_s",
        "_peers",
        "_heard",
        "_intervals_s",
        "_fixed",
    )

    def __init__(self, clock: Clock, silence_s: float) -> None:
        self._silence_s = silence_s
        self.changes: Subject[Peer] = Subject()
        self._clock = clock
        self._peers: dict[str, Peer] = {}
        self._heard: dict[str, float] = {}
        self._intervals_s: dict[str, float] = {}
        self._fixed: set[str] = set()

    def __iter__(self) -> Iterator[Peer]:
        return iter(list(self._peers.values()))

    def get(self, vm: str) -> Peer | None:
        """Return a peer by VM."""
        return self._peers.get(vm)

    def incarnation(self, vm: str) -> int:
        """Return the incarnation of a peer, or 0 for none."""
        held = self._peers.get(vm)
        return held.incarnation if held else 0

    def fix(self, peer: Peer) -> None:
        """Add a peer whose address comes from the settings and stays."""
        self._fixed.add(peer.vm)
        self._put(peer)

    def learn(self, vm: str, zone: str, address: str, port: int) -> bool:
        """Take over a peer's place from the VM list or from the peer itself.

        Return whether a known peer has moved to another address.
        """
        held = self._peers.get(vm)
        if held is None:
            self._put(Peer(vm, zone, address, port))
            return False
        if vm in self._fixed or (held.address, held.port) == (address, port):
            return False
        self._put(replace(held, zone=zone, address=address, port=port))
        return True

    def is_fixed(self, vm: str) -> bool:
        """Return whether the settings name the peer."""
        return vm in self._fixed

    def heard(self, vm: str, incarnation: int, admin_port: int) -> None:
        """Note that a peer has sent something."""
        held = self._peers.get(vm)
        if held is None or held.incarnation > incarnation:
            return
        self._heard[vm] = self._clock.monotonic()
        self._put_alive(held, incarnation, admin_port)

    def _put_alive(self, held: Peer, incarnation: int, admin_port: int) -> None:
        self._put(
            replace(
                held,
                incarnation=incarnation,
                admin_port=admin_port,
                state=PeerState.ALIVE,
            )
        )

    def heard_age_s(self, vm: str) -> float:
        """Return the time since a peer was heard; infinite for never."""
        if vm not in self._heard:
            return float("inf")
        return self._clock.monotonic() - self._heard[vm]

    def is_heard(self, vm: str) -> bool:
        """Return whether a peer itself was heard lately."""
        return self.heard_age_s(vm) <= self.silence_limit_s(vm)

    def expect(self, vm: str, interval_s: float) -> None:
        """Note how often a peer sends heartbeats."""
        self._intervals_s[vm] = min(interval_s, LONGEST_INTERVAL_S)

    def silence_limit_s(self, vm: str) -> float:
        """Return the silence after which a peer is suspect."""
        missed_s = HEARTBEATS_MISSED * self._intervals_s.get(vm, 0.0)
        return max(self._silence_s, missed_s)

    def report(self, vm: str, incarnation: int, admin_port: int) -> None:
        """Take over from a relay that a peer is alive."""
        held = self._peers.get(vm)
        if held is not None and held.incarnation <= incarnation:
            self._put_alive(held, incarnation, admin_port)

    def suspect(self, vm: str) -> None:
        """Mark a peer that cannot be heard; it may still be serving."""
        self._set_state(vm, PeerState.ALIVE, PeerState.SUSPECT)

    def suspect_silent(self, zone: str) -> None:
        """Mark every peer of a zone that was not heard lately."""
        for peer in self:
            if peer.zone == zone and not self.is_heard(peer.vm):
                self.suspect(peer.vm)

    def end(self, vm: str) -> None:
        """Mark a peer whose end is proved."""
        self._set_state(vm, PeerState.ALIVE, PeerState.ENDED)
        self._set_state(vm, PeerState.SUSPECT, PeerState.ENDED)

    def remove(self, vm: str) -> None:
        """Forget a peer that has left the VM list for good."""
        held = self._peers.pop(vm, None)
        self._heard.pop(vm, None)
        self._intervals_s.pop(vm, None)
        if held is not None:
            self.changes.on_next(replace(held, state=PeerState.ENDED))

    def _set_state(self, vm: str, old: PeerState, new: PeerState) -> None:
        held = self._peers.get(vm)
        if held is not None and held.state == old:
            self._put(replace(held, state=new))

    def _put(self, peer: Peer) -> None:
        if self._peers.get(peer.vm) != peer:
            self._peers[peer.vm] = peer
            self.changes.on_next(peer)
