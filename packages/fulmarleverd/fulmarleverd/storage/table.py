"""Transactions on the platform's table whose outcome is found out after a loss."""

from __future__ import annotations

import json
from collections.abc import Iterable
from uuid import uuid4

from fulmarlever.outcomes import Conflict, OutcomeUnknown, Unavailable, failed
from fulmarlever.structure.table import ABSENT, Applied, Change, Row
from fulmarleverd.storage.http import PlatformHTTP, Reply

MARKER_TTL_S = 600.0
MARKER_APPLIED = "applied"
MARKER_VOID = "void"
VOID_TRIES = 3

# A version that no row has: a change conditional on it conflicts and is read again.
UNKNOWN_VERSION = -1

WriteResult = Applied | Conflict | Unavailable | OutcomeUnknown


class Table:
    """Reads and atomic writes of rows.

    Every write also inserts a marker row under an id of its own. When the answer is
    lost, the insertion of a void marker under the same id either succeeds, and then
    the write can no longer take effect, or conflicts, and then the marker's value
    tells which of the two came first.
    """

    __slots__ = ("_http", "is_up")

    def __init__(self, http: PlatformHTTP) -> None:
        self._http = http
        self.is_up = False

    async def read(
        self, keys: Iterable[str], prefixes: Iterable[str] = ()
    ) -> dict[str, Row] | Unavailable:
        """Return the existing rows of the keys and below the prefixes, by key."""
        request = {"keys": list(keys), "prefixes": list(prefixes)}
        reply = await self._http.send("POST", "/v1/table/read", json=request)
        self.is_up = not failed(reply)
        if failed(reply):
            return Unavailable(reply.reason)
        if reply.status != 200:
            return Unavailable(f"read answered with status {reply.status}")
        rows = json.loads(reply.body)["rows"]
        return {r["key"]: Row(r["key"], r["value"], r["version"]) for r in rows}

    async def write(self, change: Change) -> WriteResult:
        """Apply one change and find out its outcome when the answer is lost."""
        marker = f"write/{uuid4().hex}"
        result = await self._send(_with_marker(change, marker, MARKER_APPLIED))
        if isinstance(result, OutcomeUnknown):
            result = await self._resolve(change, marker)
        if isinstance(result, Applied):
            result.versions.pop(marker, None)
        return result

    async def _send(self, change: Change) -> WriteResult:
        body = {name: getattr(change, name) for name in Change.__slots__}
        reply = await self._http.send("POST", "/v1/table/write", json=body)
        self.is_up = not failed(reply)
        if failed(reply):
            return reply
        return _parse_write(reply)

    async def _resolve(self, change: Change, marker: str) -> WriteResult:
        void = _with_marker(Change(), marker, MARKER_VOID)
        for _ in range(VOID_TRIES):
            result = await self._send(void)
            if isinstance(result, Applied):
                return Unavailable("the write was withdrawn after a lost answer")
            if isinstance(result, Conflict):
                return await self._read_back(change, marker)
            if isinstance(result, Unavailable):
                break
        return OutcomeUnknown("the table does not tell whether the write took effect")

    async def _read_back(self, change: Change, marker: str) -> WriteResult:
        rows = await self.read([marker, *change.writes])
        if failed(rows) or marker not in rows:
            return OutcomeUnknown("the write's marker could not be read")
        if rows[marker].value != MARKER_APPLIED:
            return Unavailable("the write was withdrawn after a lost answer")
        return Applied({key: _own_version(rows, key, change) for key in change.writes})


def _with_marker(change: Change, marker: str, value: str) -> Change:
    return Change(
        conditions={**change.conditions, marker: ABSENT},
        writes={**change.writes, marker: value},
        deletes=list(change.deletes),
        ttl_s={**change.ttl_s, marker: MARKER_TTL_S},
    )


def _own_version(rows: dict[str, Row], key: str, change: Change) -> int:
    """Return a row's version if it still holds what the change wrote."""
    row = rows.get(key)
    if row is None or row.value != json.loads(json.dumps(change.writes[key])):
        return UNKNOWN_VERSION
    return row.version


def _parse_write(reply: Reply) -> WriteResult:
    if reply.status == 200:
        return Applied(json.loads(reply.body)["versions"])
    if reply.status == 409:
        keys = tuple(json.loads(reply.body)["conflicts"])
        return Conflict("condition does not hold", keys)
    return Unavailable(f"write answered with status {reply.status}")
