"""HTTP calls with JSON bodies; failures are returned as sentinel values."""

from __future__ import annotations

import asyncio
import errno
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from fulmarlever.outcomes import LocalShortage, OutcomeUnknown, Unavailable, failed
from fulmarleverd.deadline import Deadline
from fulmarleverd.loop_delay import LoopDelay
from fulmarleverd.platform.connection import Connection, RawResponse
from fulmarleverd.platform.json_values import FORMAT_ERRORS, decode_json

CONNECT_TIMEOUT_S = 0.6
KEEPALIVE_S = 20.0
MAX_KEPT_CONNECTIONS = 1950
# The process or its VM has no descriptor left.
SHORTAGE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE})
JSON_HEADERS = {"Content-Type": "application/json"}


@dataclass(slots=True, frozen=True)
class Response:
    """The HTTP status and the decoded JSON body of a response, ``None`` if empty."""

    status: int
    body: Any


CallResult = Response | Unavailable | OutcomeUnknown


class OtherPeer(Unavailable):
    """Another process than the expected one answers at the address.

    ``peer`` names it. The request was not sent.
    """

    __slots__ = ("peer",)

    def __init__(self, peer: str) -> None:
        super().__init__(f"another process answers: {peer}")
        self.peer = peer


@dataclass(slots=True, frozen=True)
class PeerCheck:
    """Which process a request is meant for, and how to find out which one answers.

    A connection ends with the process that accepted it. So the check is sent once on
    each connection, before anything else, and the request follows only if the process
    is the expected one. ``body`` is posted to ``path``; it must do no harm to any
    process. ``identify`` returns the name of the process from the body of a response
    with status 200, and raises one of ``FORMAT_ERRORS`` if there is none.
    """

    expected: str
    path: str
    body: object
    headers: dict[str, str]
    identify: Callable[[Any], str]

    def find_peer(self, response: RawResponse) -> str:
        """Return the name of the process that gave a response, "" if there is none."""
        if response.status != 200:
            return ""
        try:
            return self.identify(decode_json(response.body or "null"))
        except FORMAT_ERRORS:
            return ""


class OpenConnections:
    """How many connections of a client are open, and how many it keeps for later.

    Beyond ``kept`` only the last connection to each address stays open after its call.
    """

    __slots__ = ("count", "kept")

    def __init__(self, kept: int) -> None:
        self.count = 0
        self.kept = kept


class HTTPClient:
    """An HTTP client with a pool of connections for each address.

    A pool has at most ``per_address`` connections. ``local_address`` is their source
    address, "" for any. Time limits exclude the delay of the process's own event loop,
    which ``delay`` measures. Over ``kept`` connections in all pools, only one to each
    address is kept for later calls.
    """

    __slots__ = ("_local_address", "_per_address", "_delay", "_pools", "_open")

    def __init__(
        self,
        local_address: str,
        per_address: int,
        delay: LoopDelay | None = None,
        kept: int = MAX_KEPT_CONNECTIONS,
    ) -> None:
        self._local_address = local_address
        self._per_address = per_address
        self._delay = delay or LoopDelay()
        self._pools: dict[str, AddressPool] = {}
        self._open = OpenConnections(kept)

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
        check: PeerCheck | None = None,
    ) -> CallResult:
        """Send one request and return the whole response.

        ``address`` is ``host:port`` and ``timeout_s`` limits the whole call, in
        seconds; a check on a new connection has as much time for itself.
        ``Unavailable`` means that the request was certainly not sent,
        ``OutcomeUnknown`` that it may have been carried out. With a ``check`` the
        request is sent only to the expected process, ``OtherPeer`` is returned for
        another one; if the check itself is rejected, its response is returned.
        """
        deadline = Deadline(timeout_s, self._delay)
        request = encode_request(method, address, path, body, headers or {})
        if failed(request):
            return request
        response = await self._pool(address).send(request, deadline, check)
        if failed(response):
            return response
        try:
            return Response(response.status, decode_json(response.body or "null"))
        except ValueError as exc:
            return OutcomeUnknown(f"answer {response.status} is not JSON: {exc}")

    def _pool(self, address: str) -> AddressPool:
        if address not in self._pools:
            self._close_unused_pools()
            self._pools[address] = AddressPool(
                address, self._local_address, self._per_address, self._open
            )
        return self._pools[address]

    def _close_unused_pools(self) -> None:
        """Close the pools of addresses that are not called any more.

        Workers come and go, each with an address of its own.
        """
        for address, pool in list(self._pools.items()):
            if pool.is_unused():
                pool.close()
                del self._pools[address]


class AddressPool:
    """The connections to one address, at most ``limit``."""

    __slots__ = (
        "_address",
        "_local_address",
        "_open",
        "_idle",
        "_in_use",
        "_connection_permits",
        "_calls_in_progress",
        "_last_call_s",
    )

    def __init__(
        self, address: str, local_address: str, limit: int, open_: OpenConnections
    ) -> None:
        self._address = address
        self._local_address = local_address
        self._open = open_
        self._idle: list[Connection] = []
        self._in_use: set[Connection] = set()
        self._connection_permits = asyncio.Semaphore(limit)
        self._calls_in_progress = 0
        self._last_call_s = 0.0

    async def send(
        self, request: bytes, deadline: Deadline, check: PeerCheck | None = None
    ) -> RawResponse | Unavailable | OutcomeUnknown:
        """Send a request on a free connection and return its response.

        With a check, the request is sent only if the expected process answers.
        """
        self._calls_in_progress += 1
        try:
            return await self._send(request, deadline, check)
        finally:
            self._calls_in_progress -= 1
            self._last_call_s = asyncio.get_running_loop().time()

    def is_unused(self) -> bool:
        """Return whether the last call ended more than ``KEEPALIVE_S`` seconds ago."""
        now = asyncio.get_running_loop().time()
        return self._calls_in_progress == 0 and now - self._last_call_s > KEEPALIVE_S

    async def _send(
        self, request: bytes, deadline: Deadline, check: PeerCheck | None
    ) -> RawResponse | Unavailable | OutcomeUnknown:
        try:
            await self._acquire_permit(deadline)
        except TimeoutError:
            return Unavailable(f"every connection to {self._address} is in use")
        try:
            peer = check.expected if check is not None else ""
            conn = self._pop_idle(peer) or await self._connect(deadline)
            if failed(conn):
                return conn
            return await self._send_on(conn, request, deadline, check)
        finally:
            self._connection_permits.release()

    async def _acquire_permit(self, deadline: Deadline) -> None:
        if self._connection_permits.locked():
            await deadline.wait(self._connection_permits.acquire())
        else:
            await self._connection_permits.acquire()

    def _pop_idle(self, peer: str) -> Connection | None:
        """Return a free connection, none that is known to lead to another process."""
        now = asyncio.get_running_loop().time()
        while self._idle:
            conn = self._idle.pop()
            is_recent = now - conn.idle_since_s < KEEPALIVE_S
            leads_elsewhere = peer and conn.peer not in ("", peer)
            if conn.is_reusable and is_recent and not leads_elsewhere:
                return conn
            self._discard(conn)
        return None

    async def _connect(self, deadline: Deadline) -> Connection | Unavailable:
        host, _, port = self._address.rpartition(":")
        try:
            opening = Connection.open(host, int(port), self._local_address)
            conn = await deadline.sooner(CONNECT_TIMEOUT_S).wait(opening)
        except (TimeoutError, OSError, ValueError, OverflowError) as exc:
            # The last two come from an address that is none.
            reason = f"no connection to {self._address}: {type(exc).__name__} {exc}"
            if getattr(exc, "errno", None) in SHORTAGE_ERRORS:
                return LocalShortage(reason)
            return Unavailable(reason.strip())
        self._open.count += 1
        return conn

    async def _send_on(
        self,
        conn: Connection,
        request: bytes,
        deadline: Deadline,
        check: PeerCheck | None,
    ) -> RawResponse | Unavailable | OutcomeUnknown:
        self._in_use.add(conn)
        try:
            if check is not None:
                is_new = not conn.peer
                response = await self._check_peer(conn, deadline, check)
                if response is not None:
                    return response
                if is_new:
                    deadline = deadline.restarted()
            return await conn.send(request, deadline.left_s)
        finally:
            self._in_use.discard(conn)
            self._return_connection(conn)

    async def _check_peer(
        self, conn: Connection, deadline: Deadline, check: PeerCheck
    ) -> RawResponse | Unavailable | None:
        """Return None if a connection leads to the expected process.

        Otherwise return what the call returns in place of a response.
        """
        if not conn.peer:
            request = encode_request(
                "POST", self._address, check.path, check.body, check.headers
            )
            if failed(request):
                return request
            response = await conn.send(request, deadline.left_s)
            if failed(response):
                return Unavailable(f"no answer to a check: {response.reason}")
            conn.peer = check.find_peer(response)
            if not conn.peer:
                is_rejected = response.status != 200
                return response if is_rejected else Unavailable("peer without a name")
            if not conn.is_reusable:
                return Unavailable("the connection ended after a check")
        return None if conn.peer == check.expected else OtherPeer(conn.peer)

    def _return_connection(self, conn: Connection) -> None:
        if conn.is_reusable and not self._is_surplus():
            conn.idle_since_s = asyncio.get_running_loop().time()
            self._idle.append(conn)
            return
        self._discard(conn)
        if conn.has_timed_out:
            # The server may have stopped answering on the other connections, too.
            self._close_idle()

    def _is_surplus(self) -> bool:
        """Return whether a connection that is free again need not be kept."""
        has_others = bool(self._idle or self._in_use)
        return has_others and self._open.count > self._open.kept

    def _discard(self, conn: Connection) -> None:
        """Close a connection that no call uses any more."""
        self._open.count -= 1
        conn.abort()

    def close(self) -> None:
        """Close every connection."""
        for conn in self._in_use:
            conn.abort()
        self._close_idle()

    def _close_idle(self) -> None:
        for conn in self._idle:
            self._discard(conn)
        self._idle.clear()


def encode_request(
    method: str, address: str, path: str, body: object, headers: dict[str, str]
) -> bytes | Unavailable:
    """Encode a request with an optional JSON body.

    ``Unavailable`` means that a value cannot be sent as it is.
    """
    data = b""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
    if body is not None:
        data = json.dumps(body, separators=(",", ":")).encode()
        headers = {**JSON_HEADERS, **headers, "Content-Length": str(len(data))}
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if not all(line.isprintable() for line in lines):
        return Unavailable(f"the request to {address!r} cannot be encoded")
    return "\r\n".join([*lines, "", ""]).encode() + data
