"""Lines of the structured logs of all daemons.

A log line is one JSON object, which other text may precede on its line.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from datetime import datetime


@dataclass(slots=True)
class LogLine:
    """One line of a daemon's log.

    ``at_s`` is the Unix time in seconds and ``fields`` the other values of the event by
    name.
    """

    at_s: float
    vm: str
    event: str
    outcome: str
    fields: dict[str, object]

    @classmethod
    def from_text(cls, text: str) -> LogLine | None:
        """Parse a line of a log file; return ``None`` if it is not a log line."""
        start = text.find('{"time"')
        if start < 0:
            return None
        try:
            data = json.loads(text[start:])
            at_s = datetime.fromisoformat(data.pop("time")).timestamp()
        except (ValueError, TypeError):
            return None
        skipped = ("level", "zone", "life")
        fields = {name: value for name, value in data.items() if name not in skipped}
        vm = str(fields.pop("vm", ""))
        event = str(fields.pop("event", ""))
        return cls(at_s, vm, event, str(fields.pop("outcome", "")), fields)

    def about(self, job: str) -> bool:
        """Return whether the line has the name of a job or of one of its tasks."""
        task = str(self.fields.get("task", ""))
        return self.fields.get("job") == job or task.startswith(job + ".")

    def describe(self) -> str:
        """Return the line as text for people, with the local time of day."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        moment = datetime.fromtimestamp(self.at_s).strftime("%H:%M:%S.%f")[:-3]
        return f"{moment} {self.vm} {self.event} {self.outcome} {fields}".rstrip()
