"""An HTTP server protocol that limits its connections.

Each connection has at most one request in aiohttp's parser and handler. The bytes of
further requests wait until it has been answered.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from fulmarleverd.connections.budget import Reservation
from fulmarleverd.connections.framing import (
    ChunkScanner,
    HeadCollector,
    LimitExceeded,
)
from fulmarleverd.connections.limits import ConnectionLimits
from fulmarleverd.connections.listening import RECEIVE_BUFFER_BYTES
from fulmarleverd.connections.registry import ConnectionRegistry, Phase

# All connections read into this buffer, as a read is handled before the next one.
READ_BUFFER_BYTES = 65536
# While a request is being answered, little is read of the following ones.
BUSY_READ_BYTES = 4096
MAX_WAITING_BYTES = 16384
# A client that sends more than this after a refusal is disconnected at once.
MAX_DISCARDED_BYTES = 1 << 20
# A slow reader of answers makes the handler wait instead of more memory being used.
MAX_UNSENT_BYTES = 16384

# Memory of a request in bytes: the two tasks, the request and the response; a parsed
# header field; the copies of each byte of a head; and the growth of a body's buffer.
# aiohttp 3.14 allocates 4.7 KB, 307 bytes and two copies; the rest is a margin for the
# allocator.
REQUEST_BYTES = 8192
FIELD_BYTES = 400
COPIES_OF_HEAD = 4
BODY_FACTOR = 1.25
# The buffers of a compressed body that the parser expands.
EXPANSION_BYTES = 3 * 262144

_read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))


class LimitedProtocol(RequestHandler, asyncio.BufferedProtocol):
    """A caller's connection within the limits of its registry."""

    __slots__ = (
        "registry",
        "phase",
        "phase_since_s",
        "begun_s",
        "last_byte_s",
        "received_bytes",
        "reservation",
        "peer",
        "_limits",
        "_head",
        "_chunks",
        "_left",
        "_payload",
        "_waiting",
        "_discarded",
        "_is_admitted",
        "_is_compressed",
        "_is_answered",
        "_is_ignoring",
        "_is_last",
        "_lost",
        "_own_transport",
    )

    def __init__(
        self, manager: web.Server, registry: ConnectionRegistry, **options: object
    ) -> None:
        limits = registry.find_limits()
        options.setdefault("max_line_size", limits.head_bytes)
        options.setdefault("max_field_size", limits.head_bytes)
        super().__init__(manager, max_headers=limits.head_fields, **options)
        self.registry = registry
        self.phase = Phase.FRESH
        self.phase_since_s = 0.0
        self.begun_s = 0.0
        self.last_byte_s = 0.0
        self.received_bytes = 0
        self.reservation = Reservation(registry.budget)
        self.peer = ""
        self._limits = limits
        self._head = HeadCollector(limits)
        # The scanner of a chunked body, or the bytes left of one of known length.
        self._chunks: ChunkScanner | None = None
        self._left = 0
        self._payload: StreamReader = EMPTY_PAYLOAD
        # Bytes received while a request is being answered.
        self._waiting = b""
        self._discarded = 0
        self._is_admitted = False
        self._is_compressed = False
        # The request has been answered before its body was complete.
        self._is_answered = False
        # The body is over the limit, so that its handler refuses it unread.
        self._is_ignoring = False
        # The connection is closed after the answer to the present request.
        self._is_last = False
        self._lost: asyncio.Future[None] | None = None
        self._own_transport: asyncio.Transport | None = None

    def refusal_response(self, exc: LimitExceeded) -> web.Response:
        """Return the answer to a request that is over a limit; it has not run."""
        return web.json_response({"error": exc.detail}, status=exc.status)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Serve the connection, or refuse it at once."""
        self._own_transport = transport
        name = transport.get_extra_info("peername")
        self.peer = str(name[0]) if name else ""
        excess = self.registry.admit(self)
        if excess is None:
            self._is_admitted = True
            transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
            super().connection_made(transport)
            return
        self.registry.count_refusal(excess.reason, excess.detail, self.peer)
        transport.write(_raw_response(self._refusal(excess)))
        transport.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release everything that the connection holds."""
        if self._lost is not None and not self._lost.done():
            self._lost.set_result(None)
        self._waiting = b""
        self._head.reset(self._limits)
        if self._is_answered:
            # aiohttp would wait for the rest of the body after the answer.
            self._payload.feed_eof()
        if self._is_admitted:
            self._leave()
            super().connection_lost(exc)
        self._own_transport = None

    def _leave(self) -> None:
        """Leave the registry; a handler in progress keeps the reservation."""
        self.registry.remove(self)
        if not self._request_in_progress:
            self.registry.release(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the next bytes are read into."""
        if self.phase is Phase.BUSY:
            return _read_buffer[:BUSY_READ_BYTES]
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes in the buffer."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Pass complete heads and parts of bodies on to aiohttp's parser."""
        if not data:
            # aiohttp continues to parse what it has kept.
            if self.phase is not Phase.CLOSING:
                super().data_received(data)
            return
        if not self._is_admitted or self._force_close or self._close:
            return
        if self.phase is Phase.CLOSING:
            self._discarded += len(data)
            if self._discarded > MAX_DISCARDED_BYTES:
                self.abort()
            return
        try:
            self._process(data)
        except LimitExceeded as exc:
            self.refuse(exc)

    def _process(self, data: bytes) -> None:
        self.last_byte_s = self.registry.now()
        while data and self.phase is not Phase.CLOSING:
            if self.phase is Phase.BODY:
                data = self._take_body(data)
            elif self.phase is Phase.BUSY:
                self._keep_waiting(data)
                return
            else:
                data = self._take_head(data)

    def _keep_waiting(self, data: bytes) -> None:
        """Keep bytes that follow a request which has not been answered.

        Without budget for them the connection ends with that answer, so that the
        client sends the following requests again.
        """
        size = len(data)
        is_full = len(self._waiting) + size >= MAX_WAITING_BYTES
        if is_full:
            # The kernel keeps the bytes that a paused connection receives.
            size += RECEIVE_BUFFER_BYTES
        if self._is_last or not self.reserve(size):
            self._is_last = True
            self._waiting = b""
            return
        self._waiting += data
        if is_full and not self._buffer_paused:
            self._pause_reading_for_buffer()

    def _take_head(self, data: bytes) -> bytes:
        """Take bytes of a head and return those that follow it."""
        if self.phase is not Phase.HEAD:
            self._limits = self.registry.find_limits()
            self._head.reset(self._limits)
            self.begun_s = self.last_byte_s
            self.received_bytes = 0
        self.received_bytes += len(data)
        kept = self._head.size
        head, rest = self._head.take(data)
        if not head:
            if self.phase is not Phase.HEAD:
                self.registry.move(self, Phase.HEAD)
            self.registry.reserve(self, self._head.size - kept)
            return b""
        self.received_bytes -= len(rest)
        self.registry.release(self)
        self._begin_request(head)
        return rest

    def _begin_request(self, head: bytes) -> None:
        """Parse a head and prepare for its body."""
        try:
            messages, self._upgraded, _ = self._parser.feed_data(head)
        except HttpProcessingError as exc:
            raise LimitExceeded(
                400, "malformed", f"{type(exc).__name__}: {exc.message}"
            ) from None
        if len(messages) != 1:
            raise LimitExceeded(400, "malformed", "the request is malformed")
        message, payload = messages[0]
        self._is_answered = self._is_ignoring = False
        self._chunks = None
        self._left = 0
        cost = REQUEST_BYTES + COPIES_OF_HEAD * len(head)
        cost += FIELD_BYTES * len(message.headers)
        if message.chunked:
            self._chunks = ChunkScanner(self._limits, self.registry.borrow_chunks)
        elif payload is not EMPTY_PAYLOAD and not payload.is_eof():
            self._left = int(message.headers.get("Content-Length", 0))
            if self._left > self._limits.body_bytes:
                self._is_ignoring = True
            else:
                cost += int(self._left * BODY_FACTOR)
        self._is_compressed = bool(message.compression)
        if self._is_compressed:
            cost += EXPANSION_BYTES + self._limits.body_bytes
        self.registry.reserve(self, cost)
        self._payload = payload
        has_body = self._chunks is not None or self._left
        self.registry.move(self, Phase.BODY if has_body else Phase.BUSY)
        self._enqueue(message, payload)

    def _enqueue(self, message: object, payload: StreamReader) -> None:
        """Give a request, or an error, to the task that handles requests."""
        self._request_count += 1
        self._messages.append((message, payload))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _take_body(self, data: bytes) -> bytes:
        """Pass bytes of a body on and return those that follow it."""
        if self._chunks is None:
            piece, rest = data, b""
            if len(data) > self._left:
                piece, rest = data[: self._left], data[self._left :]
            self._left -= len(piece)
            self.received_bytes += len(piece)
            if not self._is_ignoring:
                super().data_received(piece)
            is_complete = not self._left
        else:
            rest = self._take_chunks(data)
            is_complete = self._chunks.is_complete
        if is_complete and self.phase is Phase.BODY:
            self.registry.move(self, Phase.BUSY)
            if self._is_answered:
                self._begin_next()
        return rest

    def _take_chunks(self, data: bytes) -> bytes:
        scanner = self._chunks
        payload, rest = scanner.take(data)
        self.received_bytes += len(payload)
        if payload:
            self.registry.reserve(self, int(len(payload) * BODY_FACTOR))
            super().data_received(b"%x\r\n%b\r\n" % (len(payload), payload))
        if scanner.is_complete:
            super().data_received(b"0\r\n\r\n")
        return rest

    async def _handle_request(self, *args: object) -> tuple[web.StreamResponse, bool]:
        try:
            return await super()._handle_request(*args)
        finally:
            if not self.registry.is_open(self):
                self.registry.release(self)

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float
    ) -> tuple[web.StreamResponse, bool]:
        """Send an answer, then continue with the bytes that wait for it."""
        # aiohttp would expand the rest of a compressed body only to drop it.
        is_expanding = self._is_compressed and not self._payload.is_eof()
        is_dropping = self._is_ignoring or is_expanding
        if is_dropping or self._is_last:
            resp.force_close()
        result = await super().finish_response(request, resp, start_time)
        if is_dropping and self.phase in (Phase.BODY, Phase.BUSY):
            self.registry.move(self, Phase.CLOSING)
        if self.unsent_bytes():
            self.registry.watch_unsent(self)
        if self.phase is Phase.CLOSING:
            await self._linger()
        elif self.phase is Phase.BUSY and resp.keep_alive:
            self._begin_next()
        elif self.phase is Phase.BODY:
            self._is_answered = True
        return result

    async def _linger(self) -> None:
        """Wait until the client has read a refusal and closes the connection.

        Closing at once with unread bytes would reset the connection, and the client
        might not get the answer.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if transport.can_write_eof():
            transport.write_eof()
        self._lost = self._loop.create_future()
        await self._lost

    def _begin_next(self) -> None:
        """Continue with the bytes of further requests, if there are any."""
        self.registry.release(self)
        self._payload = EMPTY_PAYLOAD
        self._is_compressed = False
        self.registry.move(self, Phase.IDLE)
        if self._waiting:
            data, self._waiting = self._waiting, b""
            self.data_received(data)
        if self._buffer_paused and len(self._waiting) < MAX_WAITING_BYTES:
            self._resume_reading_for_buffer()

    def reserve(self, size: int) -> bool:
        """Reserve bytes until the answer; return whether they are available."""
        try:
            self.registry.reserve(self, size)
        except LimitExceeded:
            return False
        return True

    def refuse(self, exc: LimitExceeded) -> None:
        """Answer a request that is not complete with a refusal and close."""
        phase = self.phase
        if phase in (Phase.BUSY, Phase.CLOSING):
            return
        _drop_traceback(exc)
        self.registry.count_refusal(exc.reason, exc.detail, self.peer)
        self.registry.release(self)
        self._waiting = b""
        self._head.reset(self._limits)
        self.registry.move(self, Phase.CLOSING)
        if phase is Phase.BODY:
            # A stream that a handler waits for is empty.
            with contextlib.suppress(RuntimeError):
                self._payload.read_nowait()
            self._payload.set_exception(exc)
        else:
            self._enqueue(_ErrInfo(exc.status, exc, exc.detail), EMPTY_PAYLOAD)

    def abort(self) -> None:
        """Close the connection at once, dropping what has not been sent."""
        self._leave()
        self._force_close = True
        if self._own_transport is not None:
            self._own_transport.abort()

    def unsent_bytes(self) -> int:
        """Return the bytes of answers that the client hasn't taken yet."""
        transport = self._own_transport
        return 0 if transport is None else transport.get_write_buffer_size()

    def pause_writing(self) -> None:
        """Make handlers wait until the client has taken more of its answers."""
        super().pause_writing()
        self.registry.watch_unsent(self)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to a request that failed."""
        if isinstance(exc, LimitExceeded):
            _drop_traceback(exc)
            return self._refusal(exc)
        if self.transport is None:
            # The client has closed the connection before the end of its request.
            return web.Response(status=400)
        return super().handle_error(request, status, exc, message)

    def log_exception(self, *args: object, **options: object) -> None:
        """Log an unexpected exception; refusals are counted instead."""
        if not isinstance(options.get("exc_info"), LimitExceeded):
            super().log_exception(*args, **options)

    def _refusal(self, exc: LimitExceeded) -> web.Response:
        resp = self.refusal_response(exc)
        if exc.retry_after_s is not None:
            resp.headers["Retry-After"] = str(max(1, math.ceil(exc.retry_after_s)))
        resp.force_close()
        return resp


class LimitedServer(web.Server):
    """Creates a :class:`LimitedProtocol` for each connection.

    ``find_limits`` returns the limits now in force.
    """

    protocol_class: type[LimitedProtocol] = LimitedProtocol

    def __init__(
        self,
        handler: object,
        find_limits: Callable[[], ConnectionLimits],
        **options: object,
    ) -> None:
        super().__init__(handler)
        self.registry = ConnectionRegistry(find_limits, self._loop)
        self._options = {"access_log": None, **options}

    def __call__(self) -> LimitedProtocol:
        """Return the protocol for a new connection."""
        return self.protocol_class(
            self, self.registry, loop=self._loop, **self._options
        )

    async def shutdown(self, timeout: float | None = None) -> None:
        """Close every connection."""
        await super().shutdown(timeout)
        self.registry.close()


def _drop_traceback(exc: LimitExceeded) -> None:
    """Release the frames of the traceback, which hold the bytes of the request.

    A refusal is kept until the client has read it.
    """
    exc.__traceback__ = None
    exc.__context__ = None


def _raw_response(resp: web.Response) -> bytes:
    """Return the bytes of a response to a connection that isn't served."""
    fields = {
        **resp.headers,
        "Content-Length": str(len(resp.body or b"")),
        "Connection": "close",
    }
    lines = [f"HTTP/1.1 {resp.status} {resp.reason}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode() + bytes(resp.body or b"")
