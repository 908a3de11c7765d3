"""The service ``membership``: peers, their states, topics and calls."""

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
SETTLE_S = 1.0
FORGET_AFTER_S = 60.0


@SERVICES.register("membership")
class Membership(Service):
    """Knows the other entry VMs and carries messages to them.

    The peer port is open from the start of this service to its stop, so it is added
    before every service that takes requests: a refused connection shows that the
    process has ended.
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
        """Open the peer port, dial the known peers and fix the incarnation."""
        await self._acceptor.start()
        self.changes.subscribe(self._note_change)
        for fixed in self.settings.peers:
            if fixed.vm != self.settings.vm:
                peer = Peer(fixed.vm, fixed.zone, fixed.address, fixed.port)
                self._node.roster.add_static(peer)
        self._sweep()
        await self._settle()
        self.spawn(self._keep_sweeping(), "membership sweep")

    async def _settle(self) -> None:
        mates = [
            self._links[p.vm] for p in self.peers() if p.zone == self.settings.zone
        ]
        tries = [asyncio.ensure_future(link.first_attempt.wait()) for link in mates]
        if tries:
            await asyncio.wait(tries, timeout=SETTLE_S)
        for fut in tries:
            fut.cancel()
        self._node.zone_relays.is_startup_complete = True

    async def stop(self) -> None:
        """Close every connection and, last of all, the peer port."""
        await super().stop()
        await self._acceptor.stop()

    @property
    def changes(self) -> Subject[Peer]:
        """Return the stream of peers, one at each change of its place or state."""
        return self._node.roster.changes

    @property
    def identity(self) -> str:
        """Return ``vm#incarnation`` of this daemon."""
        return f"{self.settings.vm}#{self._node.incarnation}"

    @property
    def incarnation(self) -> int:
        """Return this daemon's incarnation number."""
        return self._node.incarnation

    @property
    def hybrid_clock(self) -> HybridClock:
        """Return the clock whose stamps travel on the peers' frames."""
        return self._node.hybrid_clock

    def peers(self) -> list[Peer]:
        """Return every known peer, sorted by VM, without this daemon."""
        return sorted(self._node.roster, key=lambda peer: peer.vm)

    def live(self, zone: str | None = None) -> list[Peer]:
        """Return the peers that are alive, of one zone or of all."""
        return [
            peer
            for peer in self.peers()
            if peer.state == PeerState.ALIVE and zone in (None, peer.zone)
        ]

    def is_ended(self, vm: str, incarnation: int) -> bool:
        """Return whether it is proved that an incarnation of a VM has ended."""
        if vm == self.settings.vm:
            return incarnation < self._node.incarnation
        if self._node.termination.is_ended(vm, incarnation):
            return True
        if vm in self._links:
            # Only a dial can show that the port is closed.
            self._links[vm].request_connection()
        return False

    def publish(self, topic: str, value: Any) -> None:
        """Set this daemon's value of a topic, which msgpack has to know.

        Raise ``ValueError`` for a value above ``MAX_VALUE_BYTES``.
        """
        self._node.publish(topic, value)

    def view(self, topic: str) -> dict[str, Any]:
        """Return the values of a topic by VM, of alive peers only."""
        alive = {(peer.vm, peer.incarnation) for peer in self.live()}
        entries = self._node.topics.of_topic(topic)
        return values_by_vm(e for e in entries if (e.vm, e.incarnation) in alive)

    def handle(self, cls: type, handler: Handler) -> None:
        """Register the coroutine that answers messages of a class.

        It returns a message, or a failure: ``Unavailable`` says that nothing was done.
        """
        self._node.handlers[cls.wire_name] = handler

    async def call(self, vm: str, message: Any, timeout_s: float) -> Any:
        """Send a message to a peer and return its answer or a failure.

        ``Unavailable`` means that the handler has not run, ``OutcomeUnknown`` that it
        may have.
        """
        link = self._links.get(vm)
        if link is None:
            return Unavailable(f"{vm} is not a peer")
        return await link.call(message, timeout_s)

    def _note_change(self, peer: Peer) -> None:
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
        """Return the open connections, for measurements."""
        links = [link.stream for link in self._links.values() if link.is_up]
        return links + self._acceptor.streams()

    async def _keep_sweeping(self) -> None:
        while True:
            await asyncio.sleep(self.settings.heartbeat_s)
            self._sweep()

    def _sweep(self) -> None:
        node = self._node
        self._read_list()
        node.roster.mark_silent_suspect(self.settings.zone)
        node.zone_relays.update_remote_states()
        for peer in node.roster:
            if node.termination.is_ended(peer.vm, peer.incarnation):
                node.roster.mark_ended(peer.vm)
        for vm in list(self._gone()):
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

    def _read_list(self) -> None:
        platform = self.kernel.find("platform")
        vms = platform.vms()
        for vm in vms.values():
            if vm.role == ENTRY_ROLE and vm.name != self.settings.vm:
                self._learn(vm)
        self._node.termination.record_vm_list(vms, platform.vms_age_s())

    def _learn(self, vm: VM) -> None:
        place = (vm.address, vm.port)
        if self._node.roster.update_address(vm.name, vm.zone, *place):
            # Refusals of the old address prove nothing about the new one.
            self._node.termination.clear_refusals(vm.name)

    def _dial(self, vm: str) -> None:
        if vm in self._links:
            return
        link = Link(self._node, vm)
        self._links[vm] = link
        self._dialers[vm] = self.spawn(link.run(), f"link to {vm}")

    def _gone(self) -> Iterator[str]:
        vms = self.kernel.find("platform").vms()
        for peer in self._node.roster:
            is_known = peer.vm in vms or self._node.roster.is_static(peer.vm)
            silence_s = self._node.roster.contact_age_s(peer.vm)
            is_over = peer.state == PeerState.ENDED and silence_s > FORGET_AFTER_S
            if vms and not is_known and is_over:
                yield peer.vm

    def _forget_peer(self, vm: str) -> None:
        self._node.roster.remove(vm)
        self._node.topics.remove_entries(lambda entry: entry.vm == vm)
        self._links.pop(vm, None)
        self._known.pop(vm, None)
        dialer = self._dialers.pop(vm, None)
        if dialer is not None:
            dialer.cancel()
