"""The platform's metadata store: rows, transactions and the feed of changes."""

from __future__ import annotations

import base64
from typing import Any
from urllib.parse import urlencode

from fulmarlever.outcomes import OutcomeUnknown, Unavailable, failed
from fulmarleverd.platform.http import CallResult, HTTPClient, Reply
from fulmarleverd.scheduling.metrics import STORE_CALLS
from fulmarleverd.scheduling.ports import (
    ABSENT,
    CommitResult,
    Committed,
    ConditionFailed,
    HistoryGone,
    RowSet,
    StoredRow,
    Transaction,
)

MAX_CONNECTIONS = 24
FEED_MARGIN_S = 0.7


class AuthorityStore:
    """The store's client."""

    __slots__ = ("_address", "_http")

    def __init__(self, address: str, http: HTTPClient) -> None:
        self._address = address
        self._http = http

    def move(self, address: str) -> None:
        """Use another address from the next call on."""
        self._address = address

    async def transact(self, tx: Transaction, timeout_s: float) -> CommitResult:
        """Apply a transaction."""
        body = {
            "expected": [{**_name(row), "ver": row.version} for row in tx.conditions],
            "setKeys": [{**_name(row), "value": _encode(row)} for row in tx.writes],
            "remove": [_name(row) for row in tx.deletes],
        }
        rows = (*tx.conditions, *tx.writes, *tx.deletes)
        if len({row.partition for row in rows}) > 1:
            # The transaction is over several partitions and takes twice as long.
            body["across"] = True
        reply = await self._call("POST", "/rows-tx", timeout_s, body)
        if failed(reply):
            return reply
        try:
            if reply.status == 200:
                return Committed(int(reply.body["ver"]))
            if reply.status == 412:
                rows = reply.body.get("rows") or ()
                return ConditionFailed(tuple(_decode(row) for row in rows))
        except (KeyError, TypeError, ValueError) as exc:
            return OutcomeUnknown(f"malformed answer of the store: {exc!r}")
        return Unavailable(f"the store answers {reply.status}: {reply.body}")

    async def read(
        self,
        table: str,
        first: str = "",
        end: str = "",
        timeout_s: float = 1.0,
        partition: str = "",
    ) -> RowSet | Unavailable:
        """Return a page of rows."""
        query = {"table": table, "part": partition, "limit": 500}
        if first:
            query["from"] = first
        if end:
            # The first key behind the range.
            query["target"] = end
        path = "/rows-get?" + urlencode(query)
        return _rows(await self._call("GET", path, timeout_s))

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> RowSet | HistoryGone | Unavailable:
        """Wait for rows that changed after a version."""
        query = {"table": table, "after": after, "waitMs": int(wait_s * 1000)}
        path = "/rows-feed?" + urlencode(query)
        reply = await self._call("GET", path, wait_s + FEED_MARGIN_S)
        if isinstance(reply, Reply) and reply.status == 410:
            return HistoryGone(f"the history of {table} since {after} is gone")
        return _rows(reply)

    async def _call(
        self, method: str, path: str, timeout_s: float, body: object = None
    ) -> CallResult:
        reply = await self._http.call(method, self._address, path, timeout_s, body)
        outcome = type(reply).__name__ if failed(reply) else str(reply.status)
        STORE_CALLS.labels(path.split("?")[0], outcome).inc()
        if isinstance(reply, Reply) and reply.status in (429, 503):
            return Unavailable(f"the store answers {reply.status}")
        return reply


def _rows(reply: CallResult) -> RowSet | Unavailable:
    """Decode the rows of an answer; nothing was changed, so no outcome is unknown."""
    if failed(reply):
        return Unavailable(reply.reason)
    if reply.status != 200:
        return Unavailable(f"the store answers {reply.status}: {reply.body}")
    try:
        body = reply.body
        rows = tuple(_decode(row) for row in body.get("rows") or ())
        return RowSet(rows, int(body["ver"]), bool(body.get("hasMore")))
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        return Unavailable(f"malformed answer of the store: {exc!r}")


def _name(row: StoredRow) -> dict[str, str]:
    return {"table": row.table, "part": row.partition, "key": row.key}


def _encode(row: StoredRow) -> str:
    return base64.b64encode(row.value).decode()


def _decode(data: dict[str, Any]) -> StoredRow:
    return StoredRow(
        data.get("table", ""),
        data["key"],
        base64.b64decode(data.get("value") or ""),
        int(data.get("ver", ABSENT)),
        # A row that was dropped.
        bool(data.get("tombstone")),
        data.get("part", ""),
    )
