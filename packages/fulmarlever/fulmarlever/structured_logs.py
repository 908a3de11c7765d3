"""Structured logs: JSON lines on a stream, bounded and written by a thread.

Each line has a time, a level, the VM, the zone, an event name and the event's inputs.
A log call never waits: lines beyond the rate of their event or beyond the queue are
counted and left out.
"""

from __future__ import annotations

import json
import queue
import sys
import threading
import time
from typing import TYPE_CHECKING, TextIO

from loguru import logger as log

if TYPE_CHECKING:
    from loguru import Message, Record

MAX_QUEUED_LINES = 5000
MAX_LINES_PER_WRITE = 500
MAX_LINES_PER_EVENT_AND_S = 300
WINDOW_S = 1.0


class EventRate:
    """Counts the lines of each event in the current window."""

    __slots__ = ("_limit", "_window", "_counts", "left_out")

    def __init__(self, limit: int = MAX_LINES_PER_EVENT_AND_S) -> None:
        self._limit = limit
        self._window = -1
        self._counts: dict[str, int] = {}
        self.left_out: dict[str, int] = {}

    def allows(self, event: str, now_s: float) -> bool:
        """Return whether one more line of an event may be written now."""
        window = int(now_s / WINDOW_S)
        if window != self._window:
            self._window = window
            self._counts = {}
        count = self._counts.get(event, 0)
        self._counts[event] = count + 1
        if count < self._limit:
            return True
        self.left_out[event] = self.left_out.get(event, 0) + 1
        return False

    def take_left_out(self, event: str) -> int:
        """Return and reset how many lines of an event were left out."""
        return self.left_out.pop(event, 0)


class LineWriter:
    """Writes lines in a thread of its own; full queues drop lines and count them."""

    def __init__(self, stream: TextIO) -> None:
        self.dropped = 0
        self._stream = stream
        self._lines: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_LINES)
        self._thread = threading.Thread(target=self._run, daemon=True, name="logs")
        self._thread.start()

    def write(self, line: str) -> None:
        """Queue a line without waiting."""
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self.dropped += 1

    def close(self, timeout_s: float = 0.5) -> None:
        """Write what is queued and end the thread."""
        try:
            self._lines.put(None, timeout=timeout_s)
        except queue.Full:
            return
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while True:
            lines = [self._lines.get()]
            while not self._lines.empty() and len(lines) < MAX_LINES_PER_WRITE:
                lines.append(self._lines.get())
            text = "".join(line + "\n" for line in lines if line is not None)
            try:
                self._stream.write(text)
                self._stream.flush()
            except (OSError, ValueError):
                # Nobody reads the logs any more; the metric shows the loss.
                self.dropped += len(lines)
            if None in lines:
                return


class StructuredSink:
    """A ``loguru`` sink that turns records into JSON lines."""

    __slots__ = ("_writer", "_rate")

    def __init__(self, writer: LineWriter, rate: EventRate) -> None:
        self._writer = writer
        self._rate = rate

    def __call__(self, message: Message) -> None:
        """Queue one record."""
        record = message.record
        event = record["extra"].get("event", record["name"])
        if self._rate.allows(event, time.monotonic()):
            left_out = self._rate.take_left_out(event)
            self._writer.write(to_json(record, left_out))


def to_json(record: Record, left_out: int = 0) -> str:
    """Return a record as one JSON object."""
    fields = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        **record["extra"],
        "outcome": record["message"],
    }
    exc = record["exception"]
    if exc is not None and exc.type is not None:
        fields["error"] = f"{exc.type.__name__}: {exc.value}"
        fields["where"] = _innermost(exc.traceback)
    if left_out:
        fields["left_out_before"] = left_out
    return json.dumps(fields, default=str, separators=(",", ":"))


def _innermost(traceback: object) -> str:
    """Return file and line of the innermost frame of a traceback."""
    place = ""
    while traceback is not None:
        code = traceback.tb_frame.f_code
        place = f"{code.co_filename.rsplit('/', 1)[-1]}:{traceback.tb_lineno}"
        traceback = traceback.tb_next
    return place


def configure_structured_logs(
    *, vm: str, zone: str, incarnation: str, stream: TextIO | None = None
) -> LineWriter:
    """Send all logs as JSON lines to a stream, standard output by default."""
    writer = LineWriter(stream or sys.stdout)
    log.remove()
    log.configure(extra={"vm": vm, "zone": zone, "life": incarnation})
    sink = StructuredSink(writer, EventRate())
    log.add(sink, level="INFO", backtrace=False, diagnose=False)
    return writer
