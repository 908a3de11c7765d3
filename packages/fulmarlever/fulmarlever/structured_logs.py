"""Structured logs: JSON lines that a thread writes to a stream.

Each line has a time, a level, the VM, the zone, an event name and the fields of the
event. A log call never blocks: lines above the rate limit of their event, and lines
for which the queue is full, are dropped and counted.
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


class EventRateLimiter:
    """Limits the lines of each event per window of ``WINDOW_S``.

    ``suppressed`` counts the lines above the limit by event.
    """

    __slots__ = ("_limit", "_window", "_counts", "suppressed")

    def __init__(self, limit: int = MAX_LINES_PER_EVENT_AND_S) -> None:
        self._limit = limit
        self._window = -1
        self._counts: dict[str, int] = {}
        self.suppressed: dict[str, int] = {}

    def allows(self, event: str, now_s: float) -> bool:
        """Count a line of an event and return whether it may be written.

        ``now_s`` is a monotonic time in seconds.
        """
        window = int(now_s / WINDOW_S)
        if window != self._window:
            self._window = window
            self._counts = {}
        count = self._counts.get(event, 0)
        self._counts[event] = count + 1
        if count < self._limit:
            return True
        self.suppressed[event] = self.suppressed.get(event, 0) + 1
        return False

    def pop_suppressed(self, event: str) -> int:
        """Return the number of suppressed lines of an event and reset it to 0."""
        return self.suppressed.pop(event, 0)


class LineWriter:
    """Writes lines to a stream in a thread of its own.

    ``dropped`` counts the lines for which the queue was full or the stream failed.
    """

    def __init__(self, stream: TextIO) -> None:
        self.dropped = 0
        self._stream = stream
        self._lines: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_LINES)
        self._thread = threading.Thread(target=self._run, daemon=True, name="logs")
        self._thread.start()

    def write(self, line: str) -> None:
        """Queue a line, or drop it if the queue is full; never block."""
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self.dropped += 1

    def close(self, timeout_s: float = 0.5) -> None:
        """Write the queued lines and end the thread within twice ``timeout_s``."""
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
                # The stream's reader is gone; the metric of dropped lines counts these.
                self.dropped += len(lines)
            if None in lines:
                return


class StructuredSink:
    """A ``loguru`` sink that writes records as JSON lines."""

    __slots__ = ("_writer", "_rate_limiter")

    def __init__(self, writer: LineWriter, rate_limiter: EventRateLimiter) -> None:
        self._writer = writer
        self._rate_limiter = rate_limiter

    def __call__(self, message: Message) -> None:
        """Queue a record unless the rate limit of its event is reached."""
        record = message.record
        event = record["extra"].get("event", record["name"])
        if self._rate_limiter.allows(event, time.monotonic()):
            suppressed = self._rate_limiter.pop_suppressed(event)
            self._writer.write(to_json(record, suppressed))


def to_json(record: Record, suppressed: int = 0) -> str:
    """Return a record as one JSON object.

    ``suppressed`` is the number of earlier lines of the event that were dropped.
    """
    fields = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        **record["extra"],
        "outcome": record["message"],
    }
    exc = record["exception"]
    if exc is not None and exc.type is not None:
        fields["error"] = f"{exc.type.__name__}: {exc.value}"
        fields["where"] = _innermost_location(exc.traceback)
    if suppressed:
        fields["left_out_before"] = suppressed
    return json.dumps(fields, default=str, separators=(",", ":"))


def _innermost_location(traceback: object) -> str:
    """Return ``FILE:LINE`` of the innermost frame of a traceback."""
    location = ""
    while traceback is not None:
        code = traceback.tb_frame.f_code
        location = f"{code.co_filename.rsplit('/', 1)[-1]}:{traceback.tb_lineno}"
        traceback = traceback.tb_next
    return location


def configure_structured_logs(
    *, vm: str, zone: str, incarnation: str, stream: TextIO | None = None
) -> LineWriter:
    """Send all logs as JSON lines to a stream, standard output by default.

    Every line has ``vm``, ``zone`` and ``incarnation``, which identifies the process;
    the key of the last is ``life``.
    """
    writer = LineWriter(stream or sys.stdout)
    log.remove()
    log.configure(extra={"vm": vm, "zone": zone, "life": incarnation})
    sink = StructuredSink(writer, EventRateLimiter())
    log.add(sink, level="INFO", backtrace=False, diagnose=False)
    return writer
