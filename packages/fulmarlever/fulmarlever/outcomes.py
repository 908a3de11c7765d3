"""Sentinel values with a reason, returned in place of a result.

A function that can fail in an expected way returns its result or one of these values.
Callers test with :func:`failed` or ``isinstance``. Exceptions are kept for faults of
the program and for the edges of the process.
"""

from __future__ import annotations

from typing import Any, TypeGuard


class Failure:
    """A result that is missing, with the reason as one English phrase."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self.reason!r})"


class Unavailable(Failure):
    """The other party did not answer, and nothing was changed there."""

    __slots__ = ()


class OutcomeUnknown(Failure):
    """The work may or may not have been done."""

    __slots__ = ()


class InProgress(Failure):
    """The same work is under way; ask for its outcome in ``retry_after_s``."""

    __slots__ = ("retry_after_s",)

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class Conflict(Failure):
    """A conditional write lost against another writer.

    ``keys`` names the rows whose condition did not hold.
    """

    __slots__ = ("keys",)

    def __init__(self, reason: str, keys: tuple[str, ...] = ()) -> None:
        super().__init__(reason)
        self.keys = keys


class Refused(Failure):
    """The party understood the request and will not carry it out as it stands."""

    __slots__ = ()


class NotRun(Failure):
    """A request certainly did not run; ``retry_after_s`` says when to come back."""

    __slots__ = ("retry_after_s", "status")

    def __init__(self, reason: str, retry_after_s: float, status: int = 503) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s
        self.status = status


def failed(value: Any) -> TypeGuard[Failure]:
    """Return whether a value is a failure and not a result."""
    return isinstance(value, Failure)
