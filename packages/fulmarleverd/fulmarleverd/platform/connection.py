"""An HTTP/1.1 client connection that carries one request at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from fulmarlever.outcomes import OutcomeUnknown

# The store's largest response is 1 MB of values, encoded in base64 within JSON.
MAX_RESPONSE_BYTES = 4 << 20
FIRST_FINAL_STATUS = 200
# A response that has begun to arrive may exceed the time limit of its call, as long as
# no pause between its parts is longer than this and it is complete in time.
MAX_PAUSE_S = 0.5
MAX_TRANSFER_S = 8.0
BODY_LENGTH_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


@dataclass(slots=True, frozen=True)
class RawResponse:
    """The HTTP status and the whole body of a response."""

    status: int
    body: bytes


class Connection(asyncio.Protocol):
    """A connection of a pool, which implements the event loop's protocol callbacks.

    ``idle_since_s`` is the time of the last response in seconds on the event loop's
    clock. ``has_timed_out`` is set once a response did not arrive in time. ``peer``
    names the process at the other end, "" while it is not known.
    """

    __slots__ = (
        "idle_since_s",
        "peer",
        "has_timed_out",
        "_loop",
        "_transport",
        "_parser",
        "_pending_response",
        "_body",
        "_size",
        "_has_length",
        "_has_headers",
        "_is_reusable",
        "_left_s",
        "_timer",
        "_sent_at_s",
        "_received_at_s",
    )

    def __init__(self) -> None:
        self.idle_since_s = 0.0
        self.peer = ""
        self.has_timed_out = False
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._pending_response: asyncio.Future[RawResponse | OutcomeUnknown] | None = (
            None
        )
        self._is_reusable = False
        self._reset_response()

    @classmethod
    async def open(cls, host: str, port: int, local_address: str) -> Connection:
        """Connect from ``local_address``, "" for any; raise ``OSError`` on failure."""
        local = (local_address, 0) if local_address else None
        loop = asyncio.get_running_loop()
        _, conn = await loop.create_connection(cls, host, port, local_addr=local)
        return conn

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection is open and has no request in progress."""
        return self._is_reusable and self._pending_response is None

    async def send(
        self, request: bytes, left_s: Callable[[], float]
    ) -> RawResponse | OutcomeUnknown:
        """Send a request and return its response.

        The connection ends if there is no response in time: ``left_s`` returns the
        seconds that are left, and is asked again when they have passed. A large
        response may take longer. After a cancelled call the connection cannot be
        reused.
        """
        self._pending_response = response = self._loop.create_future()
        self._transport.write(request)
        self._sent_at_s = self._received_at_s = self._loop.time()
        self._left_s = left_s
        self._start_timer(left_s())
        try:
            return await response
        finally:
            self._timer.cancel()

    def abort(self) -> None:
        """Close the connection at once and discard unsent data."""
        self._is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _start_timer(self, timeout_s: float) -> None:
        self._timer = self._loop.call_later(timeout_s, self._on_timer)

    def _on_timer(self) -> None:
        left_s = self._left_s()
        if left_s > 0.0:
            # This process was late itself, so the answer may only be unread.
            self._start_timer(left_s)
            return
        if self._is_arriving():
            self._start_timer(MAX_PAUSE_S)
            return
        self.has_timed_out = True
        self._fail("no answer in time")

    def _is_arriving(self) -> bool:
        """Return whether a part of the response has arrived of late."""
        now = self._loop.time()
        return (
            self._has_headers
            and now - self._received_at_s < MAX_PAUSE_S
            and now - self._sent_at_s < MAX_TRANSFER_S
        )

    def _reset_response(self) -> None:
        self._body: list[bytes] = []
        self._size = 0
        self._has_length = False
        self._has_headers = False

    def _fail(self, reason: str) -> None:
        self._resolve(OutcomeUnknown(reason))
        self.abort()

    def _resolve(self, outcome: RawResponse | OutcomeUnknown) -> None:
        response, self._pending_response = self._pending_response, None
        if response is not None and not response.done():
            response.set_result(outcome)

    # Callbacks of the event loop

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Record that the connection is open."""
        self._transport = transport
        self._is_reusable = True

    def data_received(self, data: bytes) -> None:
        """Parse received data of a response."""
        self._received_at_s = self._loop.time()
        if self._pending_response is None:
            self._fail("bytes without a request")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(f"malformed answer: {exc}")

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete a response that has no length, or fail the request in progress."""
        if exc is None and self._has_headers and not self._has_length:
            # A response without a length ends with the connection.
            self._finish_response()
        self._is_reusable = False
        cause = f": {exc}" if exc else ""
        self._resolve(OutcomeUnknown(f"connection lost before the answer{cause}"))

    # Callbacks of the parser

    def on_header(self, name: bytes, value: bytes) -> None:
        """Check whether a header determines the length of the body."""
        if name.lower() in BODY_LENGTH_HEADERS:
            self._has_length = True

    def on_headers_complete(self) -> None:
        """Record that all headers have arrived."""
        self._has_headers = True

    def on_body(self, data: bytes) -> None:
        """Append data to the body, up to ``MAX_RESPONSE_BYTES``."""
        self._size += len(data)
        self._body.append(data)
        if self._size > MAX_RESPONSE_BYTES:
            self._fail(f"answer of more than {MAX_RESPONSE_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Complete the response, unless it is an interim one."""
        self._finish_response()

    def _finish_response(self) -> None:
        status = self._parser.get_status_code()
        body = b"".join(self._body)
        self._reset_response()
        if status >= FIRST_FINAL_STATUS:
            self._is_reusable &= self._parser.should_keep_alive()
            self._resolve(RawResponse(status, body))
