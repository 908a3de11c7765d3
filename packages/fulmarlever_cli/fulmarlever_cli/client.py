"""The client of the daemons' administration API."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import aiohttp

from fulmarlever.findings import Findings
from fulmarlever.outcomes import (
    Conflict,
    Failure,
    OutcomeUnknown,
    Refused,
    Unavailable,
)

REQUEST_LIMIT_S = 15.0
CONNECT_LIMIT_S = 3.0
ASK_LIMIT_S = 4.0
"""The limit for one daemon of many, so that a frozen one does not hold up the rest."""

ROUNDS = 3
PAUSE_S = 0.3
RETRIED_STATUSES = (429, 503)
NOT_FOUND = 404
NO_ADMIN_API = (
    "is not an admin port. A daemon started with --interface has none: "
    "read its metrics, and its log with 'fulmarlever explain'"
)


class AdminClient:
    """Sends requests to the first daemon that answers.

    Every operation of the API is safe to repeat, so a request whose answer is lost is
    sent again, to the next daemon.
    """

    def __init__(self, addresses: list[str], token: str) -> None:
        self.addresses = addresses
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> AdminClient:
        timeout = aiohttp.ClientTimeout(
            total=REQUEST_LIMIT_S, sock_connect=CONNECT_LIMIT_S
        )
        self._session = aiohttp.ClientSession(timeout=timeout, headers=self._headers)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._session.close()

    async def get(self, path: str, **query: str) -> Any | Failure:
        """Return the answer to a read."""
        return await self._send("GET", path, params=query)

    async def post(self, path: str, **options: Any) -> Any | Failure:
        """Return the answer to a change."""
        return await self._send("POST", path, json=options)

    async def get_from(self, address: str, path: str) -> Any | Failure:
        """Return the answer of one daemon to a read."""
        limit = aiohttp.ClientTimeout(total=ASK_LIMIT_S, sock_connect=CONNECT_LIMIT_S)
        return await self._send_once("GET", address, path, timeout=limit)

    async def _send(self, method: str, path: str, **options: Any) -> Any | Failure:
        result: Any = Unavailable("no admin address is given")
        is_unknown = False
        for number in range(ROUNDS):
            await asyncio.sleep(PAUSE_S * number)
            for address in self.addresses:
                result = await self._send_once(method, address, path, **options)
                is_unknown = is_unknown or isinstance(result, OutcomeUnknown)
                if not isinstance(result, Unavailable | OutcomeUnknown):
                    return result
        if is_unknown and method != "GET":
            return OutcomeUnknown(result.reason)
        return Unavailable(result.reason)

    async def _send_once(
        self, method: str, address: str, path: str, **options: Any
    ) -> Any | Failure:
        url = f"http://{address}{path}"
        try:
            async with self._session.request(method, url, **options) as reply:
                return _read_reply(address, reply.status, await reply.text())
        except aiohttp.ClientConnectorError as exc:
            return Unavailable(f"{address}: {exc.strerror or exc}")
        except aiohttp.InvalidURL:
            return Refused(f"{address!r} is not HOST:PORT")
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            return OutcomeUnknown(f"{address}: {exc or 'no answer in time'}")


def _read_reply(address: str, status: int, text: str) -> Any | Failure:
    try:
        body = json.loads(text)
    except ValueError:
        if status == NOT_FOUND:
            return Refused(f"{address} {NO_ADMIN_API}")
        return OutcomeUnknown(f"status {status} without a JSON body")
    return body if status < 400 else _read_problem(status, body)


def _read_problem(status: int, body: dict) -> Failure:
    if "findings" in body:
        return Findings.from_wire(body["findings"])
    reason = f"{body.get('title', status)}: {body.get('detail', '')}"
    if status == 409:
        return Conflict(reason)
    if status in RETRIED_STATUSES:
        return Unavailable(reason)
    return (
        OutcomeUnknown(reason) if body.get("outcome") == "unknown" else Refused(reason)
    )
