"""Failures that functions return in place of a result.

A function that can fail in an expected way returns its result or one of these values.
Callers check with :func:`failed` or ``isinstance``. Exceptions are reserved for bugs
and for the boundaries of the process, such as sockets and files.
"""

from __future__ import annotations

from typing import Any, TypeGuard


class Failure:
    """The base class of failures; ``reason`` is an English phrase for people."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self.reason!r})"


class Unavailable(Failure):
    """The other side is not available at the moment, and nothing was changed there."""

    __slots__ = ()


class LocalShortage(Unavailable):
    """The process itself lacks a resource; nothing is known of the other side."""

    __slots__ = ()


class OutcomeUnknown(Failure):
    """The operation may or may not have taken effect."""

    __slots__ = ()


class InProgress(Failure):
    """The same operation is in progress; repeat the request in ``retry_after_s``."""

    __slots__ = ("retry_after_s",)

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class Conflict(Failure):
    """A conditional write failed because another writer changed a row first.

    ``keys`` are the keys of the rows whose condition did not hold.
    """

    __slots__ = ("keys",)

    def __init__(self, reason: str, keys: tuple[str, ...] = ()) -> None:
        super().__init__(reason)
        self.keys = keys


class Refused(Failure):
    """The request was understood but rejected in its present form."""

    __slots__ = ()


class NotRun(Failure):
    """A request was certainly not run and may be repeated in ``retry_after_s``.

    ``status`` is the HTTP status for the caller.
    """

    __slots__ = ("retry_after_s", "status")

    def __init__(self, reason: str, retry_after_s: float, status: int = 503) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s
        self.status = status


def failed(value: Any) -> TypeGuard[Failure]:
    """Return whether a value is a failure instead of a result."""
    return isinstance(value, Failure)
