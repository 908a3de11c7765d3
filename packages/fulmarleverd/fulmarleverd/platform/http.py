"""Calls over HTTP with JSON bodies, and sentinel values for their failures."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

import aiohttp

from fulmarlever.outcomes import OutcomeUnknown, Unavailable

CONNECT_TIMEOUT_S = 0.6
KEEPALIVE_S = 20.0
JSON_HEADERS = {"Content-Type": "application/json"}


@dataclass(slots=True, frozen=True)
class Reply:
    """The answer to a call: HTTP status and decoded body (None if it has none)."""

    status: int
    body: Any


CallResult = Reply | Unavailable | OutcomeUnknown


class HTTPClient:
    """A pool of connections. ``local_address`` is the source of each connection."""

    __slots__ = ("_session", "_local_address", "_per_host")

    def __init__(self, local_address: str, per_host: int) -> None:
        self._local_address = local_address
        self._per_host = per_host
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Open the pool."""
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=self._per_host,
            keepalive_timeout=KEEPALIVE_S,
            local_addr=(self._local_address, 0) if self._local_address else None,
        )
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        )

    async def close(self) -> None:
        """Close the pool."""
        if self._session is not None:
            await self._session.close()

    async def call(
        self,
        method: str,
        url: str,
        timeout_s: float,
        body: object = None,
        headers: dict[str, str] | None = None,
    ) -> CallResult:
        """Send one request and return the whole answer.

        ``Unavailable`` means that the request was certainly not sent.
        """
        data = None
        if body is not None:
            data = json.dumps(body, separators=(",", ":")).encode()
            headers = {**JSON_HEADERS, **(headers or {})}
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=min(CONNECT_TIMEOUT_S, timeout_s)
        )
        try:
            async with self._session.request(
                method, url, data=data, headers=headers, timeout=timeout
            ) as resp:
                raw = await resp.read()
                return Reply(resp.status, json.loads(raw) if raw else None)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            return Unavailable(f"no connection: {exc}")
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as exc:
            return OutcomeUnknown(f"no answer: {type(exc).__name__} {exc}".strip())
