"""A stand-in for the metadata store: versioned rows, transactions and a feed."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Iterable
from urllib.parse import parse_qs, urlsplit

HISTORY_ROWS = 5000
PAGE_ROWS = 500
MAX_TRANSACTION_ROWS = 100
MAX_TRANSACTION_BYTES = 1_000_000
MAX_ROW_BYTES = 65536

RowName = tuple[str, str, str]


class StoreCore:
    """The rows of all tables, by table, partition and key, and their latest changes.

    ``version`` is incremented by each transaction; a row has the version of the
    transaction that wrote it last. ``calls`` counts the handled calls.
    """

    def __init__(self) -> None:
        self.version = 0
        self._rows: dict[RowName, tuple[str, int]] = {}
        self._history: list[tuple[int, RowName, str | None]] = []
        self._history_start_version = 0
        self._changed = asyncio.Event()
        self.calls = 0

    async def handle(self, method: str, url: str, body: dict | None) -> tuple:
        """Return the status and the body of the answer to one call.

        A call to an unknown path gets status 404.
        """
        self.calls += 1
        parts = urlsplit(url)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if (method, parts.path) == ("POST", "/rows-tx"):
            return self.transact(body)
        if (method, parts.path) == ("GET", "/rows-get"):
            return self.read(query)
        if (method, parts.path) == ("GET", "/rows-feed"):
            return await self.feed(query)
        return 404, None

    def transact(self, body: dict) -> tuple:
        """Apply a transaction if each row that it expects has the expected version.

        Status 412 means that a version differs; the answer then holds the current rows.
        Status 400 means that the transaction or a value is too large, or has rows of
        several partitions without ``across``.
        """
        entries = body["expected"] + body["setKeys"] + body["remove"]
        if len(entries) > MAX_TRANSACTION_ROWS:
            return 400, {"reason": "too many entries"}
        if len({row.get("part", "") for row in entries}) > 1 and not body.get("across"):
            return 400, {"reason": "rows of several parts"}
        if sum(len(row["value"]) for row in body["setKeys"]) > MAX_TRANSACTION_BYTES:
            return 400, {"reason": "the transaction is too large"}
        if any(_value_bytes(row) > MAX_ROW_BYTES for row in body["setKeys"]):
            return 400, {"reason": "a value is too large"}
        expected_names = [_row_name(row) for row in body["expected"]]
        conditions_hold = all(
            self._version_of(name) == row["ver"]
            for name, row in zip(expected_names, body["expected"], strict=True)
        )
        if not conditions_hold:
            return 412, {
                "rows": [
                    self._row_to_wire(n) for n in expected_names if n in self._rows
                ]
            }
        writes = [(_row_name(row), row["value"]) for row in body["setKeys"]]
        removed = [(_row_name(row), None) for row in body["remove"]]
        self._apply([*writes, *removed])
        return 200, self._as_of_now()

    def put_json(self, table: str, key: str, value: object) -> None:
        """Write a value as JSON without conditions, as the operator and workers do."""
        self.put(table, key, json.dumps(value).encode())

    def put(self, table: str, key: str, value: bytes, part: str = "") -> None:
        """Write any value without conditions or limits."""
        self._apply([((table, part, key), base64.b64encode(value).decode())])

    def remove(self, table: str, key: str) -> None:
        """Remove a row without conditions."""
        self._apply([((table, "", key), None)])

    def value(self, table: str, key: str) -> bytes | None:
        """Return the value of a row, or ``None`` if there is no such row."""
        found = self._rows.get((table, "", key))
        return None if found is None else base64.b64decode(found[0])

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table, sorted, from all partitions."""
        return sorted(name[2] for name in self._rows if name[0] == table)

    def drop_history(self) -> None:
        """Drop the history of changes, as the platform may."""
        self._history = []
        self._history_start_version = self.version

    def _apply(self, changes: Iterable[tuple[RowName, str | None]]) -> None:
        self.version += 1
        for name, value in changes:
            if value is None:
                self._rows.pop(name, None)
            else:
                self._rows[name] = (value, self.version)
            self._history.append((self.version, name, value))
        del self._history[:-HISTORY_ROWS]
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _version_of(self, name: RowName) -> int:
        return self._rows[name][1] if name in self._rows else 0

    def _row_to_wire(self, name: RowName) -> dict:
        value, version = self._rows[name]
        return {**_row_name_fields(name), "value": value, "ver": version}

    def read(self, query: dict) -> tuple:
        """Return the rows of one partition from a key on, up to a page's limit.

        ``hasMore`` tells whether further rows follow.
        """
        first_key, end_key = query.get("from", ""), query.get("target")
        names = sorted(
            name
            for name in self._rows
            if name[:2] == (query["table"], query.get("part", ""))
            and name[2] >= first_key
            and (end_key is None or name[2] < end_key)
        )
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        rows = [self._row_to_wire(name) for name in names[:limit]]
        has_more = len(names) > limit
        return 200, {"rows": rows, "hasMore": has_more, **self._as_of_now()}

    async def feed(self, query: dict) -> tuple:
        """Return the changes of a table after a version; wait for one if need be.

        The answer is empty after ``waitMs``. Status 410 means that the history does not
        reach back to the version.
        """
        after = int(query["after"])
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(query["waitMs"]) / 1000.0
        while not (rows := self._changes(query["table"], after)):
            if after < self._history_start_version:
                return 410, None
            try:
                async with asyncio.timeout_at(until_s):
                    await self._changed.wait()
            except TimeoutError:
                # A row may have changed at the same moment.
                rows = self._changes(query["table"], after)
                break
        if after < self._history_start_version:
            return 410, None
        return 200, {"rows": rows, **self._as_of_now()}

    def _as_of_now(self) -> dict:
        """Return the newest version and the time of the store's steady clock."""
        now_s = asyncio.get_running_loop().time()
        return {"ver": self.version, "nowMs": int(1000.0 * now_s)}

    def _changes(self, table: str, after: int) -> list[dict]:
        return [
            {**_row_name_fields(name), "value": value or "", "ver": version}
            | ({"tombstone": True} if value is None else {})
            for version, name, value in self._history
            if version > after and name[0] == table
        ]


def _value_bytes(row: dict) -> int:
    return len(base64.b64decode(row["value"]))


def _row_name(row: dict) -> RowName:
    return (row["table"], row.get("part", ""), row["key"])


def _row_name_fields(name: RowName) -> dict:
    return {"table": name[0], "part": name[1], "key": name[2]}
