"""Calls over HTTP with JSON bodies, and sentinel values for their failures."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import Any

from fulmarlever.outcomes import OutcomeUnknown, Unavailable, failed
from fulmarleverd.platform.connection import Answer, Connection

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
    """Connections to any number of addresses, at most ``per_address`` to each.

    ``local_address`` is the source of each connection.
    """

    __slots__ = ("_local_address", "_per_address", "_pools")

    def __init__(self, local_address: str, per_address: int) -> None:
        self._local_address = local_address
        self._per_address = per_address
        self._pools: dict[str, AddressPool] = {}

    def close(self) -> None:
        """Close every connection."""
        for pool in self._pools.values():
            pool.close()

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        timeout_s: float,
        body: object = None,
        headers: dict[str, str] | None = None,
    ) -> CallResult:
        """Send one request and return the whole answer.

        ``Unavailable`` means that the request was certainly not sent.
        """
        until_s = asyncio.get_running_loop().time() + timeout_s
        request = _encode(method, address, path, body, headers or {})
        answer = await self._pool(address).ask(request, until_s)
        if failed(answer):
            return answer
        try:
            return Reply(answer.status, json.loads(answer.body or "null"))
        except ValueError as exc:
            return OutcomeUnknown(f"answer {answer.status} is not JSON: {exc}")

    def _pool(self, address: str) -> AddressPool:
        if address not in self._pools:
            self._drop_unused()
            self._pools[address] = AddressPool(
                address, self._local_address, self._per_address
            )
        return self._pools[address]

    def _drop_unused(self) -> None:
        """Forget addresses that are not called any more, as workers come and go."""
        for address, pool in list(self._pools.items()):
            if pool.is_unused():
                pool.close()
                del self._pools[address]


class AddressPool:
    """The connections to one address."""

    __slots__ = (
        "_address",
        "_local_address",
        "_idle",
        "_used",
        "_places",
        "_calls",
        "_last_call_s",
    )

    def __init__(self, address: str, local_address: str, limit: int) -> None:
        self._address = address
        self._local_address = local_address
        self._idle: list[Connection] = []
        self._used: set[Connection] = set()
        self._places = asyncio.Semaphore(limit)
        self._calls = 0
        self._last_call_s = 0.0

    async def ask(
        self, request: bytes, until_s: float
    ) -> Answer | Unavailable | OutcomeUnknown:
        """Send a request; ``until_s`` is on the event loop's clock."""
        self._calls += 1
        try:
            return await self._ask(request, until_s)
        finally:
            self._calls -= 1
            self._last_call_s = asyncio.get_running_loop().time()

    def is_unused(self) -> bool:
        """Return whether no call is under way and the last one was long ago."""
        now = asyncio.get_running_loop().time()
        return self._calls == 0 and now - self._last_call_s > KEEPALIVE_S

    async def _ask(
        self, request: bytes, until_s: float
    ) -> Answer | Unavailable | OutcomeUnknown:
        try:
            async with asyncio.timeout_at(until_s):
                await self._places.acquire()
        except TimeoutError:
            return Unavailable(f"every connection to {self._address} is in use")
        try:
            conn = self._take_idle() or await self._connect(until_s)
            return conn if failed(conn) else await self._use(conn, request, until_s)
        finally:
            self._places.release()

    def _take_idle(self) -> Connection | None:
        now = asyncio.get_running_loop().time()
        while self._idle:
            conn = self._idle.pop()
            if conn.is_reusable and now - conn.idle_since_s < KEEPALIVE_S:
                return conn
            conn.abort()
        return None

    async def _connect(self, until_s: float) -> Connection | Unavailable:
        host, _, port = self._address.rpartition(":")
        connect_until_s = asyncio.get_running_loop().time() + CONNECT_TIMEOUT_S
        try:
            async with asyncio.timeout_at(min(connect_until_s, until_s)):
                return await Connection.open(host, int(port), self._local_address)
        except (TimeoutError, OSError, ValueError) as exc:
            reason = f"no connection to {self._address}: {type(exc).__name__} {exc}"
            return Unavailable(reason.strip())

    async def _use(
        self, conn: Connection, request: bytes, until_s: float
    ) -> Answer | OutcomeUnknown:
        left_s = until_s - asyncio.get_running_loop().time()
        self._used.add(conn)
        try:
            return await conn.ask(request, max(0.0, left_s))
        finally:
            self._used.discard(conn)
            self._take_back(conn)

    def _take_back(self, conn: Connection) -> None:
        if conn.is_reusable:
            conn.idle_since_s = asyncio.get_running_loop().time()
            self._idle.append(conn)
            return
        conn.abort()
        if conn.has_timed_out:
            # The others may have gone silent with it.
            self._drop_idle()

    def close(self) -> None:
        """Close every connection."""
        for conn in self._used:
            conn.abort()
        self._drop_idle()

    def _drop_idle(self) -> None:
        for conn in self._idle:
            conn.abort()
        self._idle.clear()


def _encode(
    method: str, address: str, path: str, body: object, headers: dict[str, str]
) -> bytes:
    """Return the bytes of a request."""
    data = b""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
    if body is not None:
        data = json.dumps(body, separators=(",", ":")).encode()
        headers = {**JSON_HEADERS, **headers, "Content-Length": str(len(data))}
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + data
