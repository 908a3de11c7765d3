"""A fake of the HTTP session with the platform that injects a list of faults."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Iterable
from enum import StrEnum

from fulmarlever.outcomes import OutcomeUnknown, Unavailable
from fulmarlever.structure.table import Applied, Change
from fulmarlever_standins.table import MemoryTable
from fulmarleverd.storage.http import Reply


class Fault(StrEnum):
    """The fault of one request."""

    NONE = "none"
    DOWN = "down"
    ANSWER_LOST = "answer lost"
    REQUEST_LOST = "request lost"
    REQUEST_DELAYED = "request delayed"


class FakeHTTP:
    """A fake of ``PlatformHTTP`` with a table in memory.

    A delayed request takes effect only when ``deliver_delayed`` is called, after its
    sender has already treated the answer as lost.
    """

    def __init__(self, faults: Iterable[Fault] = ()) -> None:
        self.table = MemoryTable()
        self.faults = deque(faults)
        self.delayed: list[tuple[str, dict]] = []

    async def send(
        self, method: str, path: str, *, json: object = None, data: bytes | None = None
    ) -> Reply | Unavailable | OutcomeUnknown:
        fault = self.faults.popleft() if self.faults else Fault.NONE
        if fault is Fault.DOWN:
            return Unavailable("the platform answers 503")
        if fault is Fault.REQUEST_LOST:
            return OutcomeUnknown("lost")
        if fault is Fault.REQUEST_DELAYED:
            self.delayed.append((path, json))
            return OutcomeUnknown("lost")
        reply = self._execute(path, json)
        return OutcomeUnknown("lost") if fault is Fault.ANSWER_LOST else reply

    def deliver_delayed(self) -> None:
        """Execute the delayed requests."""
        for path, body in self.delayed:
            self._execute(path, body)
        self.delayed.clear()

    def _execute(self, path: str, body: dict) -> Reply:
        if path.endswith("/read"):
            rows = self.table.read(body["keys"], body["prefixes"])
            wire = [
                {"key": r.key, "value": r.value, "version": r.version} for r in rows
            ]
            return Reply(200, json.dumps({"rows": wire}).encode())
        result = self.table.write(Change(**body))
        if isinstance(result, Applied):
            return Reply(200, json.dumps({"versions": result.versions}).encode())
        return Reply(409, json.dumps({"conflicts": result}).encode())
