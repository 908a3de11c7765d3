"""HTTP exchange with a backend server: one request and its complete answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import ClientError, ClientRequest, ClientTimeout, StreamReader
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection, TCPConnector
from aiohttp.http import HttpProcessingError, RawResponseMessage, StreamWriter
from multidict import CIMultiDict
from yarl import URL

from fulmarlever.outcomes import OutcomeUnknown, Unavailable
from fulmarlever.structure.request import Answer, Request
from fulmarleverd.requests.headers import (
    REQUEST_ID_HEADER,
    STATE_FULL,
    STATE_HEADER,
    fields_to_return,
    fields_to_send,
)

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_S = 15.0
METHODS_WITH_BODY = frozenset(("PATCH", "POST", "PUT"))
BODILESS_STATUSES = frozenset((204, 304))
SWITCHING_PROTOCOLS = 101
TIMEOUT = ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S)
EXPECTED_ERRORS = (ClientError, HttpProcessingError, OSError, TimeoutError, ValueError)

Result = Answer | Unavailable | OutcomeUnknown


class Channel:
    """At most one connection to a backend server, kept open between requests.

    ``state`` is the last value of the server's ``X-Backend-State``.
    """

    __slots__ = ("address", "state", "_host", "_target", "_loop", "_connector")

    def __init__(self, host: str, port: int) -> None:
        self.address = (host, port)
        self._host = f"{host}:{port}"
        self._loop = asyncio.get_running_loop()
        self._target = ClientRequest("GET", URL(f"http://{self._host}/"))
        self.state = ""
        self._connector = TCPConnector(
            limit=1, keepalive_timeout=KEEPALIVE_S, use_dns_cache=False
        )

    async def close(self) -> None:
        """Close the connection."""
        await self._connector.close()

    async def exchange(
        self,
        req: Request,
        path: str,
        max_answer_bytes: int,
        may_send: Callable[[], bool],
    ) -> Result:
        """Send a request to a path and return its complete answer.

        ``may_send`` is called just before the first byte is sent. Return
        ``Unavailable`` when no byte of the request was sent, or when the server refused
        it with the state ``full``. Return ``OutcomeUnknown`` when the answer is
        missing, truncated, larger than ``max_answer_bytes`` or of unknown length.
        """
        try:
            conn = await self._connect()
        except (ClientError, OSError, TimeoutError) as exc:
            return Unavailable(f"no connection to the backend server: {exc}")
        if not may_send():
            conn.release()
            return Unavailable("the slot was lost before the request was sent")
        is_reusable = False
        try:
            await self._send(req, path, conn.protocol)
            message, body = await read_head(conn.protocol)
            result = await self._read_answer(req, message, body, max_answer_bytes)
            is_reusable = not isinstance(result, OutcomeUnknown)
            return result
        except EXPECTED_ERRORS as exc:
            return OutcomeUnknown(f"no complete answer: {exc or type(exc).__name__}")
        finally:
            conn.release() if is_reusable else conn.close()

    async def _connect(self) -> Connection:
        conn = await self._connector.connect(self._target, [], TIMEOUT)
        if not conn.protocol.should_close:
            return conn
        # Bytes that arrived while the connection was idle belong to no request.
        conn.close()
        return await self._connector.connect(self._target, [], TIMEOUT)

    async def _send(self, req: Request, path: str, protocol: ResponseHandler) -> None:
        """Write head and body together, so that a small request is one packet."""
        protocol.set_response_params(
            skip_payload=req.method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
        )
        headers = CIMultiDict(fields_to_send(req.headers))
        headers["Host"] = self._host
        headers[REQUEST_ID_HEADER] = req.request_id
        if req.body or req.method in METHODS_WITH_BODY:
            headers["Content-Length"] = str(len(req.body))
        writer = StreamWriter(protocol, self._loop)
        await writer.write_headers(f"{req.method} {path} HTTP/1.1", headers)
        await writer.write_eof(req.body)

    async def _read_answer(
        self,
        req: Request,
        message: RawResponseMessage,
        body: StreamReader,
        limit: int,
    ) -> Result:
        headers = message.headers
        self.state = headers.get(STATE_HEADER, "")
        if not has_known_length(req.method, message):
            return OutcomeUnknown("the length of the answer is unknown")
        data = await read_bounded(body, limit)
        if data is None:
            return OutcomeUnknown(f"the answer is larger than {limit} bytes")
        if self.state == STATE_FULL and message.code == 503:
            return Unavailable("the backend server is full")
        return Answer(message.code, list(fields_to_return(headers.items())), data)


async def read_head(
    protocol: ResponseHandler,
) -> tuple[RawResponseMessage, StreamReader]:
    """Return the head and the body of the final answer, skipping interim ones."""
    while True:
        message, body = await protocol.read()
        if message.code >= 200 or message.code == SWITCHING_PROTOCOLS:
            return message, body


def has_known_length(method: str, message: RawResponseMessage) -> bool:
    """Return whether a truncated body can be told from a complete one."""
    if message.code == SWITCHING_PROTOCOLS:
        return False
    if method == "HEAD" or message.code in BODILESS_STATUSES:
        return True
    return message.chunked or "Content-Length" in message.headers


async def read_bounded(body: StreamReader, limit: int) -> bytes | None:
    """Return the complete body, or ``None`` when it exceeds ``limit`` bytes."""
    chunk = await body.readany()
    if body.at_eof():
        return chunk if len(chunk) <= limit else None
    chunks = [chunk]
    size = len(chunk)
    while not body.at_eof():
        chunk = await body.readany()
        size += len(chunk)
        if size > limit:
            return None
        chunks.append(chunk)
    return b"".join(chunks)
