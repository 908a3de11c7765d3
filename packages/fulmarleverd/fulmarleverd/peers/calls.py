"""Outstanding calls on one connection, matched with their answers by number."""

from __future__ import annotations

import asyncio
from typing import Any

from fulmarlever.exceptions import KernelError
from fulmarlever.outcomes import OutcomeUnknown, Unavailable
from fulmarlever.structure.messages import decode
from fulmarleverd.peers.frames import Answer, CallStatus
from fulmarleverd.peers.metrics import LATE_ANSWERS

DECODE_ERRORS = (KernelError, TypeError, ValueError, KeyError, AttributeError)


class PendingCalls:
    """The futures of the outstanding calls on one connection.

    Call numbers are never reused on a connection.
    """

    __slots__ = ("_futures", "_next_number")

    def __init__(self) -> None:
        self._futures: dict[int, asyncio.Future] = {}
        self._next_number = 1

    def __len__(self) -> int:
        return len(self._futures)

    def open(self) -> tuple[int, asyncio.Future]:
        """Register a new call and return its number and its future."""
        number = self._next_number
        self._next_number += 1
        future = asyncio.get_running_loop().create_future()
        self._futures[number] = future
        return number, future

    def close(self, number: int) -> None:
        """Remove a call; a later answer to it is discarded."""
        self._futures.pop(number, None)

    def resolve(self, answer: Answer) -> bool:
        """Set the result of the call that an answer belongs to.

        Return false, and count a late answer, when the call is no longer outstanding.
        """
        future = self._futures.pop(answer.number, None)
        if future is None or future.done():
            LATE_ANSWERS.inc()
            return False
        future.set_result(read_answer(answer))
        return True

    def fail(self, reason: str) -> None:
        """Complete every outstanding call as ``OutcomeUnknown``."""
        for future in self._futures.values():
            if not future.done():
                future.set_result(OutcomeUnknown(reason))
        self._futures.clear()


def read_answer(answer: Answer) -> Any:
    """Return the message that an answer contains, or the failure it reports."""
    if answer.status == CallStatus.NOT_STARTED:
        return Unavailable(str(answer.data))
    if answer.status != CallStatus.ANSWERED:
        return OutcomeUnknown(str(answer.data))
    try:
        return decode(answer.name, answer.data)
    except DECODE_ERRORS as exc:
        return OutcomeUnknown(f"the answer cannot be decoded: {exc}")
