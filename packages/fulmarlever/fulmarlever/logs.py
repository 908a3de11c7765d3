"""Setup of ``loguru`` for the processes of fulmarlever."""

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
BOUND_ID_NAMES = ("vm", "zone", "generation", "request", "task")


class LogSink:
    """A ``loguru`` sink that writes records as text or JSON and masks secrets.

    Secrets shorter than ``MIN_SECRET_LENGTH`` are not masked.
    """

    __slots__ = ("_stream", "_is_json", "_secrets")

    def __init__(self, stream: TextIO, is_json: bool, secrets: Iterable[str]) -> None:
        self._stream = stream
        self._is_json = is_json
        long_enough = {text for text in secrets if len(text) >= MIN_SECRET_LENGTH}
        # Longer secrets first, because a secret may contain another one.
        self._secrets = sorted(long_enough, key=len, reverse=True)

    def __call__(self, message: Message) -> None:
        """Write a record as one line."""
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
    """Send all logs to a stream, standard error by default.

    Each record has the VM and the zone, and further ids that the caller binds, as in
    ``log.bind(request=...)``. The values in ``secrets`` are masked.
    """
    log.remove()
    log.configure(extra={"vm": vm, "zone": zone})
    sink = LogSink(stream or sys.stderr, is_json, secrets)
    log.add(sink, level=level.upper(), backtrace=False, diagnose=False)


def as_line(record: Record) -> str:
    """Return a record as one line of text with escaped line breaks."""
    ids = " ".join(f"{name}={value}" for name, value in _bound_ids(record).items())
    time = record["time"].strftime("%Y-%m-%dT%H:%M:%S.%f%z")
    text = f"{time} {record['level'].name:<7} {ids} {_text(record)}"
    return text.replace("\r", "\\r").replace("\n", "\\n")


def as_json(record: Record) -> str:
    """Return a record as one JSON object."""
    fields = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        **_bound_ids(record),
        "module": record["name"],
        "message": _text(record),
    }
    return json.dumps(fields, ensure_ascii=False, default=str)


def _bound_ids(record: Record) -> dict[str, object]:
    extra = record["extra"]
    return {name: extra[name] for name in BOUND_ID_NAMES if extra.get(name)}


def _text(record: Record) -> str:
    exception = record["exception"]
    if exception is None or exception.type is None:
        return record["message"]
    return f"{record['message']}: {exception.type.__name__}: {exception.value}"
