"""The client of the platform's metadata store: rows, transactions and changes."""

from __future__ import annotations

import base64
from typing import Any
from urllib.parse import urlencode

from loguru import logger as log

from fulmarlever.outcomes import OutcomeUnknown, Unavailable, failed
from fulmarleverd.platform.http import CallResult, HTTPClient, Response
from fulmarleverd.platform.json_values import FORMAT_ERRORS, require_text
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
    TransactionRejected,
)

MAX_CONNECTIONS = 24
# How much longer than its wait a call for changes may take.
FEED_MARGIN_S = 0.7
# The answers to a transaction that would be the same each time.
REJECTIONS = (400, 403, 413)


class AuthorityStore:
    """Calls to the store at one address, with its JSON format."""

    __slots__ = ("_address", "_http")

    def __init__(self, address: str, http: HTTPClient) -> None:
        self._address = address
        self._http = http

    def set_address(self, address: str) -> None:
        """Use another address (``host:port``) from the next call on."""
        self._address = address

    async def transact(self, tx: Transaction, timeout_s: float) -> CommitResult:
        """Apply a transaction; see ``Store.transact``."""
        body = {
            "expected": [
                {**_encode_key(row), "ver": row.version} for row in tx.conditions
            ],
            "setKeys": [
                {**_encode_key(row), "value": _encode_value(row)} for row in tx.writes
            ],
            "remove": [_encode_key(row) for row in tx.deletes],
        }
        rows = (*tx.conditions, *tx.writes, *tx.deletes)
        if len({row.partition for row in rows}) > 1:
            # A transaction over several partitions must say so and takes twice as long.
            body["across"] = True
        response = await self._call("POST", "/rows-tx", timeout_s, body)
        if failed(response):
            return response
        try:
            if response.status == 200:
                return Committed(int(response.body["ver"]))
            if response.status == 412:
                rows = response.body.get("rows") or ()
                return ConditionFailed(tuple(_decode_row(row) for row in rows))
        except FORMAT_ERRORS as exc:
            return OutcomeUnknown(f"malformed answer of the store: {exc!r}")
        reason = f"the store answers {response.status}: {response.body}"
        if response.status in REJECTIONS:
            return TransactionRejected(reason)
        return Unavailable(reason)

    async def read(
        self,
        table: str,
        first: str = "",
        end: str = "",
        timeout_s: float = 1.0,
        partition: str = "",
    ) -> RowSet | Unavailable:
        """Return a page of up to 500 rows; see ``Store.read``."""
        query = {"table": table, "part": partition, "limit": 500}
        if first:
            query["from"] = first
        if end:
            # The first key after the range.
            query["target"] = end
        path = "/rows-get?" + urlencode(query)
        return _decode_rows(await self._call("GET", path, timeout_s))

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> RowSet | HistoryGone | Unavailable:
        """Wait for rows that changed after a version; see ``Store.changes``."""
        query = {"table": table, "after": after, "waitMs": int(wait_s * 1000)}
        path = "/rows-feed?" + urlencode(query)
        response = await self._call("GET", path, wait_s + FEED_MARGIN_S)
        if isinstance(response, Response) and response.status == 410:
            return HistoryGone(f"the store has no history of {table} since {after}")
        return _decode_rows(response)

    async def _call(
        self, method: str, path: str, timeout_s: float, body: object = None
    ) -> CallResult:
        response = await self._http.call(method, self._address, path, timeout_s, body)
        outcome = type(response).__name__ if failed(response) else str(response.status)
        STORE_CALLS.labels(path.split("?")[0], outcome).inc()
        if isinstance(response, Response) and response.status in (429, 503):
            return Unavailable(f"the store answers {response.status}")
        return response


def _decode_rows(response: CallResult) -> RowSet | Unavailable:
    """Decode the rows of a response.

    A read changes nothing, so every failure is ``Unavailable``.
    """
    if failed(response):
        return Unavailable(response.reason)
    if response.status != 200:
        return Unavailable(f"the store answers {response.status}: {response.body}")
    try:
        body = response.body
        rows = tuple(filter(None, map(_decode_readable, body.get("rows") or ())))
        return RowSet(
            rows,
            int(body["ver"]),
            bool(body.get("hasMore")),
            _decode_time_s(body.get("nowMs")),
        )
    except FORMAT_ERRORS as exc:
        return Unavailable(f"malformed answer of the store: {exc!r}")


def _decode_time_s(milliseconds: Any) -> float | None:
    """Return the time of the store's clock in seconds, ``None`` if it is not given."""
    is_number = isinstance(milliseconds, int | float)
    return milliseconds / 1000.0 if is_number else None


def _encode_key(row: StoredRow) -> dict[str, str]:
    return {"table": row.table, "part": row.partition, "key": row.key}


def _encode_value(row: StoredRow) -> str:
    return base64.b64encode(row.value).decode()


def _decode_readable(data: dict[str, Any]) -> StoredRow | None:
    """Decode a row, ``None`` if it cannot be; the rows beside it hold."""
    try:
        return _decode_row(data)
    except FORMAT_ERRORS as exc:
        log.bind(event="row-unreadable").warning(f"{str(data)[:80]!a}: {exc!r}")
        return None


def _decode_row(data: dict[str, Any]) -> StoredRow:
    return StoredRow(
        require_text(data.get("table", "")),
        require_text(data["key"]),
        base64.b64decode(data.get("value") or ""),
        int(data.get("ver", ABSENT)),
        # Marks a deleted row in the feed of changes.
        bool(data.get("tombstone")),
        require_text(data.get("part", "")),
    )
