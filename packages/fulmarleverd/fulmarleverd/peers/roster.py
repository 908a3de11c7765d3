"""The known peers of a daemon with their addresses and states."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import StrEnum

from reactivex.subject import Subject

from fulmarlever.clock import Clock

MAX_MISSED_HEARTBEATS = 3
MAX_HEARTBEAT_INTERVAL_S = 10.0


class PeerState(StrEnum):
    """The states of a peer.

    ``SUSPECT`` follows from silence. ``ENDED`` needs evidence that the process has
    terminated.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    ENDED = "ended"


@dataclass(slots=True, frozen=True)
class Peer:
    """The daemon of another entry VM.

    ``incarnation`` is 0 until the first frame of the peer arrives.
    """

    vm: str
    zone: str
    address: str
    port: int
    admin_port: int = 0
    incarnation: int = 0
    state: PeerState = PeerState.SUSPECT


class Roster:
    """The known peers by VM name.

    ``changes`` emits a peer each time one of its fields changes. A peer without a
    frame for ``min_silence_limit_s`` becomes suspect; the limit is longer for peers
    with long heartbeat intervals.
    """

    __slots__ = (
        "changes",
        "_clock",
        "_min_silence_limit_s",
        "_peers",
        "_last_contact_s",
        "_heartbeat_intervals_s",
        "_static",
    )

    def __init__(self, clock: Clock, min_silence_limit_s: float) -> None:
        self._min_silence_limit_s = min_silence_limit_s
        self.changes: Subject[Peer] = Subject()
        self._clock = clock
        self._peers: dict[str, Peer] = {}
        self._last_contact_s: dict[str, float] = {}
        self._heartbeat_intervals_s: dict[str, float] = {}
        self._static: set[str] = set()

    def __iter__(self) -> Iterator[Peer]:
        return iter(list(self._peers.values()))

    def get(self, vm: str) -> Peer | None:
        """Return the peer on a VM, or ``None``."""
        return self._peers.get(vm)

    def incarnation(self, vm: str) -> int:
        """Return the incarnation of a peer, or 0 for an unknown one."""
        known = self._peers.get(vm)
        return known.incarnation if known else 0

    def add_static(self, peer: Peer) -> None:
        """Add a peer whose address comes from the settings and never changes."""
        self._static.add(peer.vm)
        self._store(peer)

    def update_address(self, vm: str, zone: str, address: str, port: int) -> bool:
        """Record a peer's address, as the VM list or the peer itself gives it.

        Return whether a known peer has changed its address. The address of a static
        peer stays as it is.
        """
        known = self._peers.get(vm)
        if known is None:
            self._store(Peer(vm, zone, address, port))
            return False
        if vm in self._static or (known.address, known.port) == (address, port):
            return False
        self._store(replace(known, zone=zone, address=address, port=port))
        return True

    def is_static(self, vm: str) -> bool:
        """Return whether the peer's address comes from the settings."""
        return vm in self._static

    def record_contact(self, vm: str, incarnation: int, admin_port: int) -> None:
        """Record a frame from a peer and mark it as alive.

        Frames of older incarnations and of unknown peers are ignored.
        """
        known = self._peers.get(vm)
        if known is None or known.incarnation > incarnation:
            return
        self._last_contact_s[vm] = self._clock.monotonic()
        self._store_alive(known, incarnation, admin_port)

    def _store_alive(self, known: Peer, incarnation: int, admin_port: int) -> None:
        self._store(
            replace(
                known,
                incarnation=incarnation,
                admin_port=admin_port,
                state=PeerState.ALIVE,
            )
        )

    def contact_age_s(self, vm: str) -> float:
        """Return the seconds since the last frame of a peer, infinite for none."""
        if vm not in self._last_contact_s:
            return float("inf")
        return self._clock.monotonic() - self._last_contact_s[vm]

    def has_recent_contact(self, vm: str) -> bool:
        """Return whether a frame from the peer itself came within its silence limit."""
        return self.contact_age_s(vm) <= self.silence_limit_s(vm)

    def set_heartbeat_interval(self, vm: str, interval_s: float) -> None:
        """Record the interval, in seconds, at which a peer sends heartbeats."""
        self._heartbeat_intervals_s[vm] = min(interval_s, MAX_HEARTBEAT_INTERVAL_S)

    def silence_limit_s(self, vm: str) -> float:
        """Return the seconds without a frame after which a peer is suspect."""
        missed_s = MAX_MISSED_HEARTBEATS * self._heartbeat_intervals_s.get(vm, 0.0)
        return max(self._min_silence_limit_s, missed_s)

    def mark_alive(self, vm: str, incarnation: int, admin_port: int) -> None:
        """Mark a peer as alive because the relay of its zone reports it."""
        known = self._peers.get(vm)
        if known is not None and known.incarnation <= incarnation:
            self._store_alive(known, incarnation, admin_port)

    def mark_suspect(self, vm: str) -> None:
        """Mark an alive peer as unreachable; it may still serve requests."""
        self._set_state(vm, PeerState.ALIVE, PeerState.SUSPECT)

    def mark_silent_suspect(self, zone: str) -> None:
        """Mark every peer of a zone that has exceeded its silence limit as suspect."""
        for peer in self:
            if peer.zone == zone and not self.has_recent_contact(peer.vm):
                self.mark_suspect(peer.vm)

    def mark_ended(self, vm: str) -> None:
        """Mark a peer whose process is known to have terminated."""
        self._set_state(vm, PeerState.ALIVE, PeerState.ENDED)
        self._set_state(vm, PeerState.SUSPECT, PeerState.ENDED)

    def remove(self, vm: str) -> None:
        """Remove a peer that has left the VM list, and emit it as ended."""
        known = self._peers.pop(vm, None)
        self._last_contact_s.pop(vm, None)
        self._heartbeat_intervals_s.pop(vm, None)
        if known is not None:
            self.changes.on_next(replace(known, state=PeerState.ENDED))

    def _set_state(self, vm: str, old: PeerState, new: PeerState) -> None:
        known = self._peers.get(vm)
        if known is not None and known.state == old:
            self._store(replace(known, state=new))

    def _store(self, peer: Peer) -> None:
        if self._peers.get(peer.vm) != peer:
            self._peers[peer.vm] = peer
            self.changes.on_next(peer)
