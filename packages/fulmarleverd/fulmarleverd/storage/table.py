"""Transactions on the platform's table, with recovery of lost answers."""

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
MAX_VOID_ATTEMPTS = 3

# No row has this version, so a change conditional on it conflicts and the caller reads
# the row again.
UNKNOWN_VERSION = -1

WriteResult = Applied | Conflict | Unavailable | OutcomeUnknown


class Table:
    """Reads rows and writes them in atomic transactions.

    Every write also inserts a marker row with a unique key. When the answer to a write
    is lost, a void marker is inserted under the same key. If that succeeds, the write
    can no longer take effect. If it conflicts, the value of the marker shows which of
    the two was first. ``is_up`` is whether the last request was answered.
    """

    __slots__ = ("_http", "is_up")

    def __init__(self, http: PlatformHTTP) -> None:
        self._http = http
        self.is_up = False

    async def read(
        self, keys: Iterable[str], prefixes: Iterable[str] = ()
    ) -> dict[str, Row] | Unavailable:
        """Return by key the existing rows of the keys and of all keys with a prefix."""
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
        """Apply one change, and determine its outcome if the answer is lost.

        Return ``Conflict`` when a condition does not hold, ``Unavailable`` when the
        change certainly has no effect, and ``OutcomeUnknown`` when that cannot be
        determined. A version in ``Applied`` is ``UNKNOWN_VERSION`` for a row that was
        overwritten before its version could be read.
        """
        marker = f"write/{uuid4().hex}"
        result = await self._send(_with_marker(change, marker, MARKER_APPLIED))
        if isinstance(result, OutcomeUnknown):
            result = await self._resolve_outcome(change, marker)
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

    async def _resolve_outcome(self, change: Change, marker: str) -> WriteResult:
        void = _with_marker(Change(), marker, MARKER_VOID)
        for _ in range(MAX_VOID_ATTEMPTS):
            result = await self._send(void)
            if isinstance(result, Applied):
                return Unavailable("the write was voided after its answer was lost")
            if isinstance(result, Conflict):
                return await self._read_back(change, marker)
            if isinstance(result, Unavailable):
                break
        return OutcomeUnknown("the outcome of the write cannot be determined")

    async def _read_back(self, change: Change, marker: str) -> WriteResult:
        rows = await self.read([marker, *change.writes])
        if failed(rows) or marker not in rows:
            return OutcomeUnknown("the write's marker could not be read")
        if rows[marker].value != MARKER_APPLIED:
            return Unavailable("the write was voided after its answer was lost")
        return Applied(
            {key: _version_if_unchanged(rows, key, change) for key in change.writes}
        )


def _with_marker(change: Change, marker: str, value: str) -> Change:
    return Change(
        conditions={**change.conditions, marker: ABSENT},
        writes={**change.writes, marker: value},
        deletes=list(change.deletes),
        ttl_s={**change.ttl_s, marker: MARKER_TTL_S},
    )


def _version_if_unchanged(rows: dict[str, Row], key: str, change: Change) -> int:
    """Return a row's version if it still has the value that the change wrote."""
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
