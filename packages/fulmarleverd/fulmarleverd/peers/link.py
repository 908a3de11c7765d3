"""The outgoing connection to one peer, for heartbeats and calls."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

from loguru import logger as log

from fulmarlever.outcomes import OutcomeUnknown, Unavailable
from fulmarlever.structure.messages import encode
from fulmarlever.wire import Fault, FrameStream, Hello, WireError, dial
from fulmarleverd.peers.calls import PendingCalls
from fulmarleverd.peers.frames import (
    Answer,
    Call,
    Heartbeat,
    frame_from_wire,
    frame_to_wire,
)
from fulmarleverd.peers.metrics import CALLS, REFUSED_FRAMES
from fulmarleverd.peers.node import Node
from fulmarleverd.peers.outbox import Outbox
from fulmarleverd.peers.roster import PeerState
from fulmarleverd.peers.sockets import configure_socket
from fulmarleverd.peers.topics import entries_to_wire

CONNECT_TIMEOUT_S = 2.0
MIN_RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 2.0
RETRY_BACKOFF_FACTOR = 1.5
MAX_HEARTBEAT_BACKLOG_BYTES = 1 << 20
SILENCE_LIMIT_FACTOR = 3
IDLE_TIMEOUT_S = 30.0
BATCH_DELAY_S = 0.05
RATE_LIMITED_BYTES_PER_S = 320


class Link:
    """Connects to a peer, reconnects with backoff and sends heartbeats and calls.

    ``first_attempt`` is set once the first connection attempt has ended. ``is_idle``
    is true while no connection is needed: the peer is no neighbour and no call to it
    was made for ``IDLE_TIMEOUT_S``.
    """

    __slots__ = (
        "vm",
        "first_attempt",
        "is_idle",
        "_wake",
        "_needed_until_s",
        "_node",
        "stream",
        "_pending",
        "_outbox",
        "_connected",
        "_welcome",
    )

    def __init__(self, node: Node, vm: str) -> None:
        self.vm = vm
        self.first_attempt = asyncio.Event()
        self.is_idle = False
        self._wake = asyncio.Event()
        self._needed_until_s = float("-inf")
        self._node = node
        self.stream: FrameStream | None = None
        self._pending = PendingCalls()
        self._outbox = Outbox(
            node.topics, node.vm, lambda entry: node.should_send(entry, vm)
        )
        self._connected = asyncio.Event()
        self._welcome: Hello | None = None

    @property
    def is_up(self) -> bool:
        """Return whether the connection is open."""
        return self._connected.is_set()

    async def run(self) -> None:
        """Connect, serve the connection and reconnect, until cancelled."""
        delay_s = MIN_RETRY_DELAY_S
        while True:
            await self._wait_until_needed()
            is_connected = await self._connect()
            self.first_attempt.set()
            if is_connected:
                delay_s = MIN_RETRY_DELAY_S
                await self._serve()
            await self._wait_to_retry(delay_s)
            delay_s = min(delay_s * RETRY_BACKOFF_FACTOR, MAX_RETRY_DELAY_S)

    async def _wait_until_needed(self) -> None:
        while not self._is_needed():
            self._wake.clear()
            self.is_idle = True
            await self._wake.wait()
        self.is_idle = False

    def _is_needed(self) -> bool:
        if len(self._pending) or self._node.is_neighbour(self.vm):
            return True
        return self._node.clock.monotonic() < self._needed_until_s

    def request_connection(self) -> None:
        """Keep a connection for ``IDLE_TIMEOUT_S`` even if the peer is no neighbour."""
        self._needed_until_s = self._node.clock.monotonic() + IDLE_TIMEOUT_S
        if self.is_idle:
            self._wake.set()

    async def _wait_to_retry(self, delay_s: float) -> None:
        # The peer may have become alive during the failed attempt: then retry at once.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                await self._wake.wait()
        self._wake.clear()

    async def _connect(self) -> bool:
        peer = self._node.roster.get(self.vm)
        if peer is None:
            return False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._open(peer.address, peer.port)
        except ConnectionRefusedError:
            self._node.termination.record_refusal(self.vm)
        except WireError as exc:
            REFUSED_FRAMES.labels(exc.fault).inc()
            log.warning("cannot connect to {}: {}", self.vm, exc)
        except (OSError, EOFError, TimeoutError) as exc:
            log.debug("cannot connect to {}: {!r}", self.vm, exc)
        return self.is_up

    async def _open(self, address: str, port: int) -> None:
        reader, writer = await asyncio.open_connection(
            address, port, local_addr=(self._node.settings.address, 0)
        )
        try:
            configure_socket(writer)
            self._node.termination.clear_refusals(self.vm)
            secret = self._node.settings.peer_secret
            hello = self._node.hello(self.vm)
            stream, welcome = await dial(reader, writer, secret, hello)
            self._check_welcome(welcome)
        except BaseException:
            writer.transport.abort()
            raise
        self._set_connection(stream, welcome)

    def _check_welcome(self, welcome: Hello) -> None:
        if welcome.vm != self.vm:
            raise WireError(Fault.STALE, f"{welcome.vm} answered instead")
        if self._node.is_stale(welcome):
            raise WireError(Fault.STALE, "a higher incarnation of the peer is known")
        if welcome.seen > self._node.incarnation:
            self._node.raise_incarnation(welcome.seen)
            raise WireError(Fault.STALE, "a higher incarnation of this VM is known")

    def _set_connection(self, stream: FrameStream, welcome: Hello) -> None:
        self.stream = stream
        self._welcome = welcome
        self._pending = PendingCalls()
        self._node.record_contact(welcome)
        self._outbox.open(welcome.digests)
        self._connected.set()

    async def _serve(self) -> None:
        heartbeats = asyncio.create_task(self._send_heartbeats())
        try:
            await self._read_answers(self.stream)
        except WireError as exc:
            REFUSED_FRAMES.labels(exc.fault).inc()
            log.warning("connection to {} closed: {}", self.vm, exc)
        except (OSError, EOFError) as exc:
            log.debug("connection to {} lost: {!r}", self.vm, exc)
        finally:
            self._close_connection()
            heartbeats.cancel()
            await asyncio.gather(heartbeats, return_exceptions=True)

    def _close_connection(self) -> None:
        self._connected.clear()
        self.stream.close()
        self._outbox.close()
        self._pending.fail(f"the connection to {self.vm} was lost")

    async def _read_answers(self, stream: FrameStream) -> None:
        while True:
            frame = frame_from_wire(await stream.receive())
            if not isinstance(frame, Answer):
                raise WireError(
                    Fault.MALFORMED, "unexpected frame, only answers are allowed"
                )
            self._node.hybrid_clock.observe(frame.stamp)
            self._node.record_contact(self._welcome)
            self._pending.resolve(frame)

    async def _send_heartbeats(self) -> None:
        try:
            await self._heartbeat_loop()
        except (WireError, TypeError, ValueError) as exc:
            log.error("cannot send heartbeats to {}: {}", self.vm, exc)
        finally:
            # Closing the stream makes the reading task end the connection.
            self.stream.close()

    async def _heartbeat_loop(self) -> None:
        # The acceptor trusts the hello only after this first authenticated frame, since
        # a recorded hello could have been replayed.
        self._send_heartbeat()
        while self.stream.can_send() and self._is_needed():
            await self._wait_until_due(self._node.interval_s(self.vm))
            if not self._node.is_neighbour(self.vm):
                continue
            if self._is_silent():
                break
            if self.stream.send_buffer_bytes < MAX_HEARTBEAT_BACKLOG_BYTES:
                self._send_heartbeat()

    async def _wait_until_due(self, interval_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(interval_s):
                await self._outbox.urgent.wait()
                # Values that are published within the delay share one heartbeat.
                await asyncio.sleep(BATCH_DELAY_S)

    def _is_silent(self) -> bool:
        roster = self._node.roster
        limit_s = SILENCE_LIMIT_FACTOR * roster.silence_limit_s(self.vm)
        return roster.contact_age_s(self.vm) > limit_s

    def enqueue_missing(self) -> None:
        """Queue every entry again, after this daemon became or ceased to be a relay."""
        if self.is_up:
            self._outbox.enqueue_missing()

    def _send_heartbeat(self) -> None:
        node = self._node
        interval_s = node.interval_s(self.vm)
        budget_bytes = RATE_LIMITED_BYTES_PER_S * interval_s
        entries = self._outbox.take(budget_bytes / max(1, len(node.topics.listeners)))
        stamp = node.hybrid_clock.now()
        heartbeat = Heartbeat(stamp, int(interval_s * 1000), entries_to_wire(entries))
        self.stream.send(frame_to_wire(heartbeat))

    async def call(self, message: Any, timeout_s: float) -> Any:
        """Send a message and return its answer, waiting up to ``timeout_s``.

        Return ``Unavailable`` when the message was certainly not handled and
        ``OutcomeUnknown`` when it may have been. Raise ``KernelError`` for a value that
        is not a message.
        """
        result = await self._call(message, timeout_s)
        CALLS.labels(type(result).__name__ if _is_failure(result) else "answered").inc()
        return result

    async def _call(self, message: Any, timeout_s: float) -> Any:
        name, data = encode(message)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        self.request_connection()
        if not await self._wait_until_up(deadline):
            return Unavailable(f"no connection to {self.vm}")
        pending = self._pending
        number, future = pending.open()
        frame = Call(self._node.hybrid_clock.now(), number, name, data)
        try:
            return await self._exchange(frame, future, deadline)
        finally:
            pending.close(number)

    async def _wait_until_up(self, deadline: float) -> bool:
        # Wait for a connection to an alive peer, but only for the end of the first
        # attempt to any other: waiting longer would use up the caller's time in vain.
        event = self._connected if self._is_alive() else self.first_attempt
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                await event.wait()
        return self.is_up

    def _is_alive(self) -> bool:
        peer = self._node.roster.get(self.vm)
        return peer is not None and peer.state == PeerState.ALIVE

    def wake(self) -> None:
        """Connect now, without the rest of the retry delay, if it is needed."""
        self._wake.set()

    async def _exchange(
        self, frame: Call, future: asyncio.Future, deadline: float
    ) -> Any:
        try:
            if not self.stream.send(frame_to_wire(frame)):
                return Unavailable(f"the send buffer to {self.vm} is full")
        except WireError as exc:
            return Unavailable(f"the message cannot be sent: {exc}")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                return await future
        return OutcomeUnknown(f"no answer from {self.vm} before the deadline")


def _is_failure(result: Any) -> bool:
    return isinstance(result, Unavailable | OutcomeUnknown)
