"""The state that all connections of one daemon share."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import msgpack
from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever.hybrid_clock import HybridClock
from fulmarlever.outcomes import Unavailable, failed
from fulmarlever.structure.messages import decode, encode
from fulmarlever.wire import Hello
from fulmarleverd.peers.calls import DECODE_ERRORS
from fulmarleverd.peers.frames import Answer, Call, CallStatus
from fulmarleverd.peers.roster import Peer, PeerState, Roster
from fulmarleverd.peers.termination import TerminationDetector
from fulmarleverd.peers.topics import (
    Entry,
    TopicPublisher,
    Topics,
    entries_from_wire,
)
from fulmarleverd.peers.zones import ZoneRelays
from fulmarleverd.settings import Settings

MAX_VALUE_BYTES = 1 << 16

Handler = Callable[[Any], Awaitable[Any]]


class Node:
    """One daemon in the peer network: its identity, topics, handlers and peers.

    ``incarnation`` is the wall clock time of the start in milliseconds, so a restart
    gets a higher one. ``handlers`` maps the name of a message to its coroutine.
    """

    __slots__ = (
        "settings",
        "clock",
        "hybrid_clock",
        "incarnation",
        "roster",
        "termination",
        "topics",
        "publisher",
        "zone_relays",
        "handlers",
        "_logged_identities",
    )

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.hybrid_clock = HybridClock(clock)
        self.incarnation = int(clock.wall() * 1000)
        self.roster = Roster(clock, settings.suspect_after_s)
        self.termination = TerminationDetector(
            clock, {peer.vm for peer in settings.peers}
        )
        self.topics = Topics()
        self.publisher = TopicPublisher(self.topics, settings.vm)
        self.zone_relays = ZoneRelays(
            settings.vm, settings.zone, self.roster, self.topics, self.termination
        )
        self.handlers: dict[str, Handler] = {}
        self._logged_identities: set[str] = set()

    @property
    def vm(self) -> str:
        """Return the name of this daemon's VM."""
        return self.settings.vm

    def hello(self, target: str) -> Hello:
        """Return the hello (or welcome) of this daemon for a peer."""
        cfg = self.settings
        return Hello(
            vm=cfg.vm,
            zone=cfg.zone,
            incarnation=self.incarnation,
            address=cfg.address,
            port=cfg.peer_port,
            admin_port=cfg.admin_port,
            target=target,
            seen=self.termination.highest_incarnation(target),
        )

    def record_contact(self, hello: Hello) -> None:
        """Record a frame on the connection that was opened with a hello.

        A frame of an incarnation that is known to have ended is logged and ignored.
        """
        if not self.termination.record_alive(hello.vm, hello.incarnation):
            self._log_ended_sender(hello)
            return
        self.roster.record_contact(hello.vm, hello.incarnation, hello.admin_port)

    def as_peer(self) -> Peer:
        """Return the entry of this daemon in the rosters of its peers."""
        cfg = self.settings
        location = (cfg.vm, cfg.zone, cfg.address, cfg.peer_port, cfg.admin_port)
        return Peer(*location, self.incarnation, PeerState.ALIVE)

    def remove_older_entries(self, peer: Peer) -> None:
        """Remove the topic entries of a peer's earlier incarnations."""
        self.topics.remove_entries(
            lambda e: e.vm == peer.vm and e.incarnation < peer.incarnation
        )

    def _log_ended_sender(self, hello: Hello) -> None:
        # The network may deliver frames after the end of their sender. If the process
        # still runs it stays excluded, because other daemons may use its slots by now.
        identity = f"{hello.vm}#{hello.incarnation}"
        if identity not in self._logged_identities:
            self._logged_identities.add(identity)
            log.error(
                "received a frame from {}, which is known to have ended", identity
            )

    def is_stale(self, hello: Hello) -> bool:
        """Return whether a higher incarnation of the same VM is known."""
        return hello.incarnation < self.termination.highest_contacted(hello.vm)

    def raise_incarnation(self, incarnation: int) -> None:
        """Choose a higher incarnation than one that a peer knows for this VM.

        This is possible only during the start. Later the incarnation is in use, so the
        conflict is only logged; its cause is a second process with the same VM name or
        a wall clock that was set back.
        """
        if self.zone_relays.is_startup_complete:
            log.error("a peer knows the higher incarnation {} of this VM", incarnation)
            return
        self.incarnation = max(self.incarnation, incarnation + 1)

    def publish(self, topic: str, value: Any) -> None:
        """Set this daemon's value of a topic; an equal value is not sent again.

        Raise ``ValueError`` for a value above ``MAX_VALUE_BYTES``.
        """
        packed = msgpack.packb(value)
        if len(packed) > MAX_VALUE_BYTES:
            raise ValueError(f"value of {topic!r} is too large: {len(packed)} bytes")
        # A copy, so that later changes by the caller do not affect the stored value.
        value = msgpack.unpackb(packed, strict_map_key=False)
        self.publisher.publish(topic, value, self.incarnation)

    def merge(self, data: Any) -> None:
        """Store the entries of a heartbeat, except those about this VM."""
        for entry in entries_from_wire(data):
            if entry.vm != self.vm:
                self.topics.put(entry)

    def should_send(self, entry: Entry, vm: str) -> bool:
        """Return whether this daemon sends an entry to a peer."""
        peer = self.roster.get(vm)
        return peer is not None and self.zone_relays.should_send(entry, peer)

    def interval_s(self, vm: str) -> float:
        """Return the seconds between heartbeats to a peer."""
        peer = self.roster.get(vm)
        interval_factor = (
            self.zone_relays.interval_factor(peer) if peer is not None else 1.0
        )
        return interval_factor * self.settings.heartbeat_s

    def is_neighbour(self, vm: str) -> bool:
        """Return whether this daemon exchanges heartbeats with a peer."""
        peer = self.roster.get(vm)
        return peer is not None and self.zone_relays.is_neighbour(peer)

    async def answer(self, call: Call) -> Answer:
        """Run the handler of a call and return its answer."""
        handler = self.handlers.get(call.name)
        if handler is None:
            return self.not_started(call, f"no handler for {call.name!r}")
        try:
            request = decode(call.name, call.data)
        except DECODE_ERRORS as exc:
            return self.not_started(call, f"the request cannot be decoded: {exc}")
        status, name, data = await self._run(handler, request)
        return Answer(self.hybrid_clock.now(), call.number, status, name, data)

    async def _run(self, handler: Handler, request: Any) -> tuple[CallStatus, str, Any]:
        try:
            result = await handler(request)
            if isinstance(result, Unavailable):
                return CallStatus.NOT_STARTED, "", result.reason
            if failed(result):
                return CallStatus.UNKNOWN, "", result.reason
            name, data = encode(result)
        except Exception as exc:
            log.exception("the handler of {} failed", type(request).__name__)
            return CallStatus.UNKNOWN, "", f"the handler failed: {type(exc).__name__}"
        return CallStatus.ANSWERED, name, data

    def not_started(self, call: Call, reason: str) -> Answer:
        """Return the answer to a call whose handler was not run."""
        stamp = self.hybrid_clock.now()
        return Answer(stamp, call.number, CallStatus.NOT_STARTED, "", reason)

    def outcome_unknown(self, call: Call, reason: str) -> Answer:
        """Return the answer to a call whose handler may have run."""
        stamp = self.hybrid_clock.now()
        return Answer(stamp, call.number, CallStatus.UNKNOWN, "", reason)
