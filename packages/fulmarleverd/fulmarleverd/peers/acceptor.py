"""The server side of connections between daemons, one task per connection."""

from __future__ import annotations

import asyncio

from loguru import logger as log

from fulmarlever.wire import (
    Fault,
    FrameStream,
    Hello,
    WireError,
    accept,
    read_hello,
    refuse,
)
from fulmarleverd.peers.frames import (
    Call,
    Frame,
    Heartbeat,
    frame_from_wire,
    frame_to_wire,
)
from fulmarleverd.peers.metrics import REFUSED_FRAMES
from fulmarleverd.peers.node import Node
from fulmarleverd.peers.sockets import configure_socket

HANDSHAKE_TIMEOUT_S = 3.0
MAX_PENDING_HANDSHAKES = 64
MAX_CALLS_PER_CONNECTION = 256
READ_BUFFER_BYTES = 64 << 10


class Acceptor:
    """Listens on the peer port and serves the heartbeats and calls of peers."""

    __slots__ = ("_node", "_server", "_pending_handshakes", "_connections", "_tasks")

    def __init__(self, node: Node) -> None:
        self._node = node
        self._server: asyncio.Server | None = None
        self._pending_handshakes = 0
        self._connections: dict[str, FrameStream] = {}
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on the peer port; raise ``OSError`` when it is in use."""
        cfg = self._node.settings
        self._server = await asyncio.start_server(
            self._serve, cfg.address, cfg.peer_port, limit=READ_BUFFER_BYTES
        )

    async def stop(self) -> None:
        """Close the port and every connection, and cancel the running calls."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def streams(self) -> list[FrameStream]:
        """Return the open connections, one per peer."""
        return list(self._connections.values())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._track_task(asyncio.current_task())
        try:
            await self._serve_peer(reader, writer)
        except WireError as exc:
            REFUSED_FRAMES.labels(exc.fault).inc()
            log.debug("incoming peer connection refused: {}", exc)
        except (OSError, EOFError, TimeoutError) as exc:
            log.debug("incoming peer connection closed: {!r}", exc)
        except asyncio.CancelledError:
            log.debug("incoming peer connection closed because the daemon stops")
        finally:
            writer.close()

    async def _serve_peer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._pending_handshakes >= MAX_PENDING_HANDSHAKES:
            raise WireError(Fault.BUSY, "too many connections with a pending handshake")
        self._pending_handshakes += 1
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                stream, hello = await self._handshake(reader, writer)
                first_frame = frame_from_wire(await stream.receive())
        finally:
            self._pending_handshakes -= 1
        if self._node.is_stale(hello):
            raise WireError(Fault.STALE, f"a higher incarnation of {hello.vm} is known")
        await self._serve_authenticated(stream, hello, first_frame)

    async def _handshake(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[FrameStream, Hello]:
        node = self._node
        secret = node.settings.peer_secret
        configure_socket(writer)
        try:
            hello = await read_hello(reader, secret)
            if hello.target != node.vm:
                raise WireError(
                    Fault.STALE, f"this is {node.vm}, the hello is for {hello.target}"
                )
        except WireError as exc:
            refuse(writer, exc)
            raise
        welcome = node.hello(hello.vm)
        welcome.digests = node.topics.digests()
        return accept(reader, writer, secret, hello, welcome), hello

    async def _serve_authenticated(
        self, stream: FrameStream, hello: Hello, first_frame: Frame
    ) -> None:
        # A peer opens one connection at a time, so an older one was left behind by a
        # network partition.
        old = self._connections.get(hello.vm)
        if old is not None:
            old.close()
        self._connections[hello.vm] = stream
        if self._node.roster.update_address(
            hello.vm, hello.zone, hello.address, hello.port
        ):
            self._node.termination.clear_refusals(hello.vm)
        try:
            await self._read(stream, hello, first_frame)
        finally:
            if self._connections.get(hello.vm) is stream:
                del self._connections[hello.vm]
                self._mark_disconnected(hello)

    def _mark_disconnected(self, hello: Hello) -> None:
        # Connections from other zones are also closed when they are no longer needed.
        if hello.zone == self._node.settings.zone:
            self._node.roster.mark_suspect(hello.vm)

    async def _read(self, stream: FrameStream, hello: Hello, frame: Frame) -> None:
        call_tasks: set[asyncio.Task] = set()
        try:
            while True:
                self._node.hybrid_clock.observe(frame.stamp)
                self._node.record_contact(hello)
                self._handle_frame(stream, hello.vm, frame, call_tasks)
                frame = frame_from_wire(await stream.receive())
        finally:
            # Running handlers are not cancelled: stopped halfway, they could leave
            # partial effects.
            stream.close()

    def _handle_frame(
        self, stream: FrameStream, vm: str, frame: Frame, call_tasks: set[asyncio.Task]
    ) -> None:
        if isinstance(frame, Heartbeat):
            self._node.roster.set_heartbeat_interval(vm, frame.interval_ms / 1000)
            self._node.merge(frame.entries)
        elif not isinstance(frame, Call):
            raise WireError(Fault.MALFORMED, "unexpected answer on this connection")
        elif len(call_tasks) >= MAX_CALLS_PER_CONNECTION or not stream.can_send():
            answer = self._node.not_started(frame, "too many calls in progress")
            stream.send(frame_to_wire(answer), is_small=True)
        else:
            task = asyncio.create_task(self._run(stream, frame))
            call_tasks.add(task)
            task.add_done_callback(call_tasks.discard)
            self._track_task(task)

    async def _run(self, stream: FrameStream, call: Call) -> None:
        answer = await self._node.answer(call)
        try:
            await stream.send_when_drained(frame_to_wire(answer))
        except (WireError, TypeError, ValueError, OverflowError) as exc:
            log.error("cannot send the answer to call {}: {}", call.name, exc)
            answer = self._node.outcome_unknown(call, "the answer cannot be sent")
            stream.send(frame_to_wire(answer), is_small=True)
        except OSError as exc:
            log.debug("connection lost before the answer to {}: {!r}", call.name, exc)

    def _track_task(self, task: asyncio.Task) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
