"""One request to a backend server and its whole answer over one connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import ClientError, ClientRequest, ClientResponse, ClientTimeout
from aiohttp.connector import Connection, TCPConnector
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
BODILESS_STATUSES = frozenset((204, 304))
NO_AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
TIMEOUT = ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S)

Result = Answer | Unavailable | OutcomeUnknown


class Channel:
    """At most one connection to a backend server, kept open between requests.

    ``state`` is the last value of the server's ``X-Backend-State``.
    """

    __slots__ = ("address", "state", "_host", "_connector")

    def __init__(self, host: str, port: int) -> None:
        self.address = (host, port)
        self._host = f"{host}:{port}"
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
        """Send a request to a path and return its whole answer.

        Return ``Unavailable`` when no byte of the request was sent; ``may_send`` is
        asked just before the first one. Return ``OutcomeUnknown`` when the answer is
        missing, truncated, too large or of unknown length.
        """
        message = self._message(req, path)
        try:
            conn = await self._connect(message)
        except (ClientError, OSError, TimeoutError) as exc:
            return Unavailable(f"no connection to the backend server: {exc}")
        if not may_send():
            conn.release()
            return Unavailable("the slot was lost before the request was sent")
        try:
            return await self._converse(message, conn, max_answer_bytes)
        except (ClientError, OSError, TimeoutError, ValueError) as exc:
            return OutcomeUnknown(f"no whole answer: {exc or type(exc).__name__}")
        finally:
            conn.close()

    def _message(self, req: Request, path: str) -> ClientRequest:
        headers = CIMultiDict(fields_to_send(req.headers))
        headers[REQUEST_ID_HEADER] = req.request_id
        headers["Host"] = self._host
        return ClientRequest(
            req.method,
            URL(f"http://{self._host}{path}", encoded=True),
            headers=headers,
            skip_auto_headers=NO_AUTO_HEADERS,
            data=req.body or None,
            loop=asyncio.get_running_loop(),
        )

    async def _connect(self, message: ClientRequest) -> Connection:
        conn = await self._connector.connect(message, [], TIMEOUT)
        if not conn.protocol.should_close:
            return conn
        # Bytes that came while the connection was idle belong to no request.
        conn.close()
        return await self._connector.connect(message, [], TIMEOUT)

    async def _converse(
        self, message: ClientRequest, conn: Connection, max_answer_bytes: int
    ) -> Result:
        conn.protocol.set_response_params(
            skip_payload=message.method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
        )
        response = await message.send(conn)
        try:
            await response.start(conn)
            return await self._read_answer(response, max_answer_bytes)
        finally:
            response.close()

    async def _read_answer(self, response: ClientResponse, limit: int) -> Result:
        self.state = response.headers.get(STATE_HEADER, "")
        if self.state == STATE_FULL and response.status == 503:
            await response.read()
            return Unavailable("the backend server is full")
        if not has_known_length(response):
            return OutcomeUnknown("the answer does not tell its length")
        body = await read_bounded(response, limit)
        if body is None:
            return OutcomeUnknown(f"the answer is larger than {limit} bytes")
        headers = list(fields_to_return(response.headers.items()))
        return Answer(response.status, headers, body)


def has_known_length(response: ClientResponse) -> bool:
    """Return whether a truncated body could be told from a whole one."""
    if response.method == "HEAD" or response.status in BODILESS_STATUSES:
        return True
    headers = response.headers
    if "Content-Length" in headers:
        return True
    return "chunked" in headers.get("Transfer-Encoding", "").lower()


async def read_bounded(response: ClientResponse, limit: int) -> bytes | None:
    """Return the whole body, or ``None`` when it is larger than the limit."""
    content = response.content
    chunk = await content.readany()
    if content.at_eof():
        return chunk if len(chunk) <= limit else None
    chunks = [chunk]
    size = len(chunk)
    while not content.at_eof():
        chunk = await content.readany()
        size += len(chunk)
        if size > limit:
            return None
        chunks.append(chunk)
    return b"".join(chunks)
