"""Set-up of ``loguru`` for the processes of fulmarlever."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import TYPE_CHECKING, TextIO

from loguru import logger as log

if TYPE_CHECKING:
    from loguru import Message, Record

SECRET_MASK = "***"
MIN_SECRET_LENGTH = 4
BOUND_NAMES = ("vm", "zone", "generation", "request", "task")


class LogSink:
    """Writes records as one line or as JSON and masks secret values."""

    __slots__ = ("_stream", "_is_json", "_secrets")

    def __init__(self, stream: TextIO, is_json: bool, secrets: Iterable[str]) -> None:
        self._stream = stream
        self._is_json = is_json
        long_enough = {text for text in secrets if len(text) >= MIN_SECRET_LENGTH}
        # A secret that contains another one has to be masked first.
        self._secrets = sorted(long_enough, key=len, reverse=True)

    def __call__(self, message: Message) -> None:
        """Write one record."""
        record = message.record
        line = as_json(record) if self._is_json else as_line(record)
        self._stream.write(self._mask(line) + "\n")
        self._stream.flush()

    def _mask(self, line: str) -> str:
        for secret in self._secrets:
            line = line.replace(secret, SECRET_MASK)
        return line


def configure_logs(
    level: str = "INFO",
    is_json: bool = False,
    *,
    vm: str = "",
    zone: str = "",
    secrets: Iterable[str] = (),
    stream: TextIO | None = None,
) -> None:
    """Send logs to a stream (standard error), with VM and zone on each record.

    Further ids are bound with ``log.bind(request=...)``; ``secrets`` never appear.
    """
    log.remove()
    log.configure(extra={"vm": vm, "zone": zone})
    sink = LogSink(stream or sys.stderr, is_json, secrets)
    log.add(sink, level=level.upper(), backtrace=False, diagnose=False)


def as_line(record: Record) -> str:
    """Return a record as one line of text; line breaks are escaped."""
    ids = " ".join(f"{name}={value}" for name, value in _bound(record).items())
    time = record["time"].strftime("%Y-%m-%dT%H:%M:%S.%f%z")
    text = f"{time} {record['level'].name:<7} {ids} {_text(record)}"
    return text.replace("\r", "\\r").replace("\n", "\\n")


def as_json(record: Record) -> str:
    """Return a record as one JSON object."""
    fields = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        **_bound(record),
        "module": record["name"],
        "message": _text(record),
    }
    return json.dumps(fields, ensure_ascii=False, default=str)


def _bound(record: Record) -> dict[str, object]:
    extra = record["extra"]
    return {name: extra[name] for name in BOUND_NAMES if extra.get(name)}


def _text(record: Record) -> str:
    exception = record["exception"]
    if exception is None or exception.type is None:
        return record["message"]
    return f"{record['message']}: {exception.type.__name__}: {exception.value}"
