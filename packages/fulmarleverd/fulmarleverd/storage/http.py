"""HTTP requests to the platform, whose failures are returned as values."""

from __future__ import annotations

from dataclasses import dataclass

import aiohttp

from fulmarlever.outcomes import OutcomeUnknown, Unavailable

STATUS_UNAVAILABLE = 503
MAX_CONNECTIONS = 16


@dataclass(slots=True, frozen=True)
class Reply:
    """An HTTP response of the platform with its status, body and entity tag."""

    status: int
    body: bytes
    etag: str = ""


class PlatformHTTP:
    """An HTTP session with the platform.

    ``base`` is ``HOST:PORT``. Connections are bound to ``local_address``, and each
    request takes at most ``timeout_s``.
    """

    __slots__ = ("_base", "_headers", "_local_address", "_timeout", "_session")

    def __init__(
        self, base: str, vm: str, zone: str, local_address: str, timeout_s: float
    ) -> None:
        self._base = f"http://{base}"
        self._headers = {"X-VM": vm, "X-Zone": zone}
        self._local_address = local_address
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Open the session; call it before the first request."""
        connector = aiohttp.TCPConnector(
            limit=MAX_CONNECTIONS, local_addr=(self._local_address, 0)
        )
        self._session = aiohttp.ClientSession(
            connector=connector, headers=self._headers, timeout=self._timeout
        )

    async def close(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def send(
        self,
        method: str,
        path: str,
        *,
        json: object = None,
        data: bytes | None = None,
        known_etag: str = "",
    ) -> Reply | Unavailable | OutcomeUnknown:
        """Send one request and return the complete response.

        Return ``Unavailable`` when the platform certainly did nothing, because there
        was no connection or the status is 503, and ``OutcomeUnknown`` when the response
        was lost. With ``known_etag``, the response for an unchanged entity has status
        304 and no body.
        """
        headers = {"If-None-Match": known_etag} if known_etag else None
        try:
            async with self._session.request(
                method, self._base + path, json=json, data=data, headers=headers
            ) as resp:
                body = await resp.read()
        except aiohttp.ClientConnectorError as exc:
            return Unavailable(f"no connection to the platform: {exc.strerror}")
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            return OutcomeUnknown(f"no answer from the platform: {type(exc).__name__}")
        if resp.status == STATUS_UNAVAILABLE:
            return Unavailable("the platform answered with status 503")
        return Reply(resp.status, body, resp.headers.get("ETag", ""))
