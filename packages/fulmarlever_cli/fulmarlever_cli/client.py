"""Client of the administration API of the daemons."""

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

REQUEST_TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 3.0
SINGLE_DAEMON_TIMEOUT_S = 4.0
"""Shorter than for other requests, so that a hung daemon does not delay the others."""

MAX_ROUNDS = 3
RETRY_DELAY_S = 0.3  # before the second round; grows by as much with each round
RETRY_STATUSES = (429, 503)
NOT_FOUND_STATUS = 404
NO_ADMIN_API_HINT = (
    "is not an admin port. A daemon started with --interface has none: "
    "read its metrics, and its log with 'fulmarlever explain'"
)


class AdminClient:
    """Client that sends each request to the first daemon that answers.

    Every operation of the API is safe to repeat, so a request that got no answer is
    sent again, to the next daemon, in up to ``MAX_ROUNDS`` rounds over ``addresses``.
    ``addresses`` lists ``HOST:PORT`` of admin ports. Use the client as an asynchronous
    context manager.
    """

    def __init__(self, addresses: list[str], token: str) -> None:
        self.addresses = addresses
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> AdminClient:
        timeout = aiohttp.ClientTimeout(
            total=REQUEST_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        self._session = aiohttp.ClientSession(timeout=timeout, headers=self._headers)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._session.close()

    async def get(self, path: str, **query: str) -> Any | Failure:
        """Send a GET request and return the decoded JSON answer or a failure."""
        return await self._send("GET", path, params=query)

    async def post(self, path: str, **options: Any) -> Any | Failure:
        """Send a POST request and return the decoded JSON answer or a failure.

        ``options`` are sent as a JSON object. Return ``OutcomeUnknown`` if the change
        may have been made, and ``Unavailable`` if no daemon made it.
        """
        return await self._send("POST", path, json=options)

    async def get_from(self, address: str, path: str) -> Any | Failure:
        """Send a GET request to the daemon at one address, without retries."""
        timeout = aiohttp.ClientTimeout(
            total=SINGLE_DAEMON_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        return await self._send_once("GET", address, path, timeout=timeout)

    async def _send(self, method: str, path: str, **options: Any) -> Any | Failure:
        result: Any = Unavailable("no admin address is given")
        is_unknown = False
        for round_number in range(MAX_ROUNDS):
            await asyncio.sleep(RETRY_DELAY_S * round_number)
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
                return _parse_reply(address, reply.status, await reply.text())
        except aiohttp.ClientConnectorError as exc:
            return Unavailable(f"{address}: {exc.strerror or exc}")
        except aiohttp.InvalidURL:
            return Refused(f"{address!r} is not HOST:PORT")
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            return OutcomeUnknown(f"{address}: {exc or 'no answer in time'}")


def _parse_reply(address: str, status: int, text: str) -> Any | Failure:
    try:
        body = json.loads(text)
    except ValueError:
        if status == NOT_FOUND_STATUS:
            return Refused(f"{address} {NO_ADMIN_API_HINT}")
        return OutcomeUnknown(f"status {status} without a JSON body")
    return body if status < 400 else _parse_problem(status, body)


def _parse_problem(status: int, body: dict) -> Failure:
    if "findings" in body:
        return Findings.from_wire(body["findings"])
    reason = f"{body.get('title', status)}: {body.get('detail', '')}"
    if status == 409:
        return Conflict(reason)
    if status in RETRY_STATUSES:
        return Unavailable(reason)
    return (
        OutcomeUnknown(reason) if body.get("outcome") == "unknown" else Refused(reason)
    )
