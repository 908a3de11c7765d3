"""A fake of the HTTP connection to the platform, with faults in a fixed order."""

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
    """What happens to one request."""

    NONE = "none"
    DOWN = "down"
    ANSWER_LOST = "answer lost"
    REQUEST_LOST = "request lost"
    REQUEST_LATE = "request late"


class FakeHTTP:
    """The interface of ``PlatformHTTP`` over a table in memory.

    A late request takes effect only when ``deliver_late`` is called, after its sender
    has already concluded that the answer was lost.
    """

    def __init__(self, faults: Iterable[Fault] = ()) -> None:
        self.table = MemoryTable()
        self.faults = deque(faults)
        self.late: list[tuple[str, dict]] = []

    async def send(
        self, method: str, path: str, *, json: object = None, data: bytes | None = None
    ) -> Reply | Unavailable | OutcomeUnknown:
        fault = self.faults.popleft() if self.faults else Fault.NONE
        if fault is Fault.DOWN:
            return Unavailable("the platform answers 503")
        if fault is Fault.REQUEST_LOST:
            return OutcomeUnknown("lost")
        if fault is Fault.REQUEST_LATE:
            self.late.append((path, json))
            return OutcomeUnknown("lost")
        reply = self._carry_out(path, json)
        return OutcomeUnknown("lost") if fault is Fault.ANSWER_LOST else reply

    def deliver_late(self) -> None:
        """Carry out the requests that were held up."""
        for path, body in self.late:
            self._carry_out(path, body)
        self.late.clear()

    def _carry_out(self, path: str, body: dict) -> Reply:
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
