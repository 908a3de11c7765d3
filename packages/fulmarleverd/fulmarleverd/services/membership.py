"""The service ``membership``: the other entry VMs' daemons, and messages to them."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterator
from typing import Any

from reactivex.subject import Subject

from fulmarlever.hybrid_clock import HybridClock
from fulmarlever.outcomes import Unavailable
from fulmarlever.structure.fleet import VM
from fulmarlever.wire import FrameStream
from fulmarleverd.kernel import SERVICES, Kernel, Service
from fulmarleverd.peers.acceptor import Acceptor
from fulmarleverd.peers.link import Link
from fulmarleverd.peers.metrics import PEERS
from fulmarleverd.peers.node import Handler, Node
from fulmarleverd.peers.roster import Peer, PeerState
from fulmarleverd.peers.topics import values_by_vm

ENTRY_ROLE = "entry"
# Limit of the wait at start for a first connection attempt to each peer of the zone.
FIRST_DIALS_TIMEOUT_S = 1.0
# Silence after which an ended peer that is not in the VM list is forgotten.
FORGET_AFTER_S = 60.0


@SERVICES.register("membership")
class Membership(Service):
    """Tracks the daemons of the other entry VMs and exchanges messages with them.

    A refused connection on the peer port proves that the process has ended. The port
    is therefore open from the start to the stop of this service, which is added before
    every service that accepts requests.
    """

    name = "membership"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._node = Node(self.settings, self.clock)
        self._acceptor = Acceptor(self._node)
        self._links: dict[str, Link] = {}
        self._dialers: dict[str, asyncio.Task] = {}
        self._known: dict[str, tuple[PeerState, int]] = {}
        self._was_relay = False

    async def start(self) -> None:
        """Open the peer port, connect to the known peers and set the incarnation."""
        await self._acceptor.start()
        self.changes.subscribe(self._handle_change)
        for fixed in self.settings.peers:
            if fixed.vm != self.settings.vm:
                peer = Peer(fixed.vm, fixed.zone, fixed.address, fixed.port)
                self._node.roster.add_static(peer)
        self._sweep()
        await self._wait_for_first_dials()
        self.spawn(self._run_sweeps(), "membership sweep")

    async def _wait_for_first_dials(self) -> None:
        same_zone = [
            self._links[p.vm] for p in self.peers() if p.zone == self.settings.zone
        ]
        first_dials = [
            asyncio.ensure_future(link.first_attempt.wait()) for link in same_zone
        ]
        if first_dials:
            await asyncio.wait(first_dials, timeout=FIRST_DIALS_TIMEOUT_S)
        for fut in first_dials:
            fut.cancel()
        self._node.zone_relays.is_startup_complete = True

    async def stop(self) -> None:
        """Close every connection, then the peer port."""
        await super().stop()
        await self._acceptor.stop()

    @property
    def changes(self) -> Subject[Peer]:
        """Return the stream that emits a peer when its address or state changes."""
        return self._node.roster.changes

    @property
    def identity(self) -> str:
        """Return this daemon's identity ``vm#incarnation``."""
        return f"{self.settings.vm}#{self._node.incarnation}"

    @property
    def incarnation(self) -> int:
        """Return this daemon's incarnation, which increases with each restart."""
        return self._node.incarnation

    @property
    def hybrid_clock(self) -> HybridClock:
        """Return the clock whose timestamps are sent with the frames to peers."""
        return self._node.hybrid_clock

    def peers(self) -> list[Peer]:
        """Return all known peers, sorted by VM; this daemon is not among them."""
        return sorted(self._node.roster, key=lambda peer: peer.vm)

    def live(self, zone: str | None = None) -> list[Peer]:
        """Return the peers that are alive, in one zone or in all."""
        return [
            peer
            for peer in self.peers()
            if peer.state == PeerState.ALIVE and zone in (None, peer.zone)
        ]

    def is_ended(self, vm: str, incarnation: int) -> bool:
        """Return whether an incarnation of a VM is proved to have ended.

        False means that there is no proof, not that the incarnation is alive.
        """
        if vm == self.settings.vm:
            return incarnation < self._node.incarnation
        if self._node.termination.is_ended(vm, incarnation):
            return True
        if vm in self._links:
            # Only an attempt to connect can show that the port is closed.
            self._links[vm].request_connection()
        return False

    def publish(self, topic: str, value: Any) -> None:
        """Set this daemon's value of a topic; msgpack must be able to encode it.

        Raise ``ValueError`` for a value larger than ``MAX_VALUE_BYTES``.
        """
        self._node.publish(topic, value)

    def view(self, topic: str) -> dict[str, Any]:
        """Return the values of a topic by VM, for peers that are alive."""
        alive = {(peer.vm, peer.incarnation) for peer in self.live()}
        entries = self._node.topics.of_topic(topic)
        return values_by_vm(e for e in entries if (e.vm, e.incarnation) in alive)

    def handle(self, cls: type, handler: Handler) -> None:
        """Register the coroutine function that answers messages of a class.

        It returns a message or a failure. ``Unavailable`` means that nothing was done.
        """
        self._node.handlers[cls.wire_name] = handler

    async def call(self, vm: str, message: Any, timeout_s: float) -> Any:
        """Send a message to a peer and return its answer or a failure.

        ``Unavailable`` means that the peer's handler has not run, ``OutcomeUnknown``
        that it may have run.
        """
        link = self._links.get(vm)
        if link is None:
            return Unavailable(f"{vm} is not a peer")
        return await link.call(message, timeout_s)

    def _handle_change(self, peer: Peer) -> None:
        state, incarnation = self._known.get(peer.vm, (None, 0))
        self._known[peer.vm] = (peer.state, peer.incarnation)
        if incarnation < peer.incarnation:
            self._node.remove_older_entries(peer)
        if state == peer.state:
            return
        if peer.state == PeerState.ALIVE and peer.vm in self._links:
            self._links[peer.vm].wake()
        detail = f"{peer.vm}#{peer.incarnation}"
        self.kernel.find("timeline").record(f"peer.{peer.state}", detail=detail)

    def streams(self) -> list[FrameStream]:
        """Return the open connections to peers, for measurements."""
        links = [link.stream for link in self._links.values() if link.is_up]
        return links + self._acceptor.streams()

    async def _run_sweeps(self) -> None:
        while True:
            await asyncio.sleep(self.settings.heartbeat_s)
            self._sweep()

    def _sweep(self) -> None:
        node = self._node
        self._read_vm_list()
        node.roster.mark_silent_suspect(self.settings.zone)
        node.zone_relays.update_remote_states()
        for peer in node.roster:
            if node.termination.is_ended(peer.vm, peer.incarnation):
                node.roster.mark_ended(peer.vm)
        for vm in list(self._forgettable()):
            self._forget_peer(vm)
        for topic, value in node.zone_relays.relay_topics(node.as_peer()).items():
            node.publish(topic, value)
        self._update_links()
        counts = Counter(peer.state for peer in node.roster)
        for state in PeerState:
            PEERS.labels(state).set(counts[state])

    def _update_links(self) -> None:
        for peer in self._node.roster:
            self._dial(peer.vm)
        is_relay = self._node.zone_relays.is_relay
        if is_relay != self._was_relay:
            for link in self._links.values():
                link.enqueue_missing()
        self._was_relay = is_relay
        for vm, link in self._links.items():
            if link.is_idle and self._node.is_neighbour(vm):
                link.wake()

    def _read_vm_list(self) -> None:
        platform = self.kernel.find("platform")
        vms = platform.vms()
        for vm in vms.values():
            if vm.role == ENTRY_ROLE and vm.name != self.settings.vm:
                self._add_listed(vm)
        self._node.termination.record_vm_list(vms, platform.vms_age_s())

    def _add_listed(self, vm: VM) -> None:
        endpoint = (vm.address, vm.port)
        if self._node.roster.update_address(vm.name, vm.zone, *endpoint):
            # Refused connections at the old address prove nothing about the new one.
            self._node.termination.clear_refusals(vm.name)

    def _dial(self, vm: str) -> None:
        if vm in self._links:
            return
        link = Link(self._node, vm)
        self._links[vm] = link
        self._dialers[vm] = self.spawn(link.run(), f"link to {vm}")

    def _forgettable(self) -> Iterator[str]:
        vms = self.kernel.find("platform").vms()
        for peer in self._node.roster:
            is_known = peer.vm in vms or self._node.roster.is_static(peer.vm)
            silence_s = self._node.roster.contact_age_s(peer.vm)
            is_long_ended = peer.state == PeerState.ENDED and silence_s > FORGET_AFTER_S
            if vms and not is_known and is_long_ended:
                yield peer.vm

    def _forget_peer(self, vm: str) -> None:
        self._node.roster.remove(vm)
        self._node.topics.remove_entries(lambda entry: entry.vm == vm)
        self._links.pop(vm, None)
        self._known.pop(vm, None)
        dialer = self._dialers.pop(vm, None)
        if dialer is not None:
            dialer.cancel()
