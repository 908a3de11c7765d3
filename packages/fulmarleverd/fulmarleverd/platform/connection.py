"""One HTTP/1.1 connection that carries one request at a time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import httptools

from fulmarlever.outcomes import OutcomeUnknown

# The store's largest answer is 1 MB of values, encoded in base64 within JSON.
MAX_ANSWER_BYTES = 4 << 20
FIRST_FINAL_STATUS = 200
BODY_LENGTH_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


@dataclass(slots=True, frozen=True)
class Answer:
    """The status and the whole body of an answer."""

    status: int
    body: bytes


class Connection(asyncio.Protocol):
    """A connection of the pool; ``idle_since_s`` is on the event loop's clock.

    ``has_timed_out`` is set once an answer did not come in time.
    """

    __slots__ = (
        "idle_since_s",
        "has_timed_out",
        "_loop",
        "_transport",
        "_parser",
        "_answer",
        "_body",
        "_size",
        "_has_length",
        "_has_headers",
        "_is_reusable",
    )

    def __init__(self) -> None:
        self.idle_since_s = 0.0
        self.has_timed_out = False
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._answer: asyncio.Future[Answer | OutcomeUnknown] | None = None
        self._is_reusable = False
        self._begin()

    @classmethod
    async def open(cls, host: str, port: int, local_address: str) -> Connection:
        """Connect from ``local_address``, "" for any. Raises ``OSError``."""
        local = (local_address, 0) if local_address else None
        loop = asyncio.get_running_loop()
        _, conn = await loop.create_connection(cls, host, port, local_addr=local)
        return conn

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent."""
        return self._is_reusable and self._answer is None

    async def ask(self, request: bytes, timeout_s: float) -> Answer | OutcomeUnknown:
        """Send a request and return its answer; without one the connection ends."""
        self._answer = answer = self._loop.create_future()
        self._transport.write(request)
        timer = self._loop.call_later(timeout_s, self._time_out, timeout_s)
        try:
            return await answer
        finally:
            timer.cancel()

    def abort(self) -> None:
        """End the connection at once and drop what has not been sent yet."""
        self._is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _time_out(self, timeout_s: float) -> None:
        self.has_timed_out = True
        self._fail(f"no answer within {timeout_s:.2f} s")

    def _begin(self) -> None:
        self._body: list[bytes] = []
        self._size = 0
        self._has_length = False
        self._has_headers = False

    def _fail(self, reason: str) -> None:
        self._settle(OutcomeUnknown(reason))
        self.abort()

    def _settle(self, outcome: Answer | OutcomeUnknown) -> None:
        answer, self._answer = self._answer, None
        if answer is not None and not answer.done():
            answer.set_result(outcome)

    # Called by the event loop

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take note that the connection is open."""
        self._transport = transport
        self._is_reusable = True

    def data_received(self, data: bytes) -> None:
        """Parse a piece of an answer."""
        if self._answer is None:
            self._fail("bytes without a request")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(f"malformed answer: {exc}")

    def connection_lost(self, exc: Exception | None) -> None:
        """Take note that the connection is over."""
        if exc is None and self._has_headers and not self._has_length:
            # The end of the connection is the end of such an answer.
            self._complete()
        self._is_reusable = False
        cause = f": {exc}" if exc else ""
        self._settle(OutcomeUnknown(f"connection lost before the answer{cause}"))

    # Called by the parser

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take note of a header."""
        if name.lower() in BODY_LENGTH_HEADERS:
            self._has_length = True

    def on_headers_complete(self) -> None:
        """Take note that all headers have come."""
        self._has_headers = True

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        self._size += len(data)
        self._body.append(data)
        if self._size > MAX_ANSWER_BYTES:
            self._fail(f"answer of more than {MAX_ANSWER_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Hand the whole answer over."""
        self._complete()

    def _complete(self) -> None:
        status = self._parser.get_status_code()
        body = b"".join(self._body)
        self._begin()
        if status >= FIRST_FINAL_STATUS:
            self._is_reusable &= self._parser.should_keep_alive()
            self._settle(Answer(status, body))
