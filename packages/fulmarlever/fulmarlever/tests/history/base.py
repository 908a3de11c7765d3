"""Log lines for tests of the history of jobs."""

from __future__ import annotations

import json


def line(at_s: float, event: str, outcome: str = "", **fields: object) -> str:
    """Return a log line in the format of the daemons."""
    minutes, seconds = divmod(at_s, 60.0)
    time = f"2026-01-01T00:{int(minutes):02}:{seconds:06.3f}+00:00"
    data = {"time": time, "level": "INFO", "vm": "vm-1", "event": event, **fields}
    return json.dumps({**data, "outcome": outcome}) + "\n"


KNOWN = line(1, "job-known", job="j")
DONE = line(9, "job-ended", "all tasks done", job="j", state="completed", age_s=8)
