"""The frames that daemons exchange after the handshake, and their wire form.

On the wire a frame is a list: the index of its class in ``FRAME_TYPES``, then its
fields in order.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from fulmarlever.wire import Fault, WireError


class CallStatus(IntEnum):
    """The status of a call, reported by the peer that received it."""

    ANSWERED = 0
    NOT_STARTED = 1
    UNKNOWN = 2


@dataclass(slots=True)
class Heartbeat:
    """A heartbeat with topic entries that the receiver may not have yet.

    ``stamp`` is a stamp of the sender's hybrid clock and ``interval_ms`` the longest
    time until its next heartbeat. ``entries`` has the form of ``entries_to_wire``.
    """

    stamp: int
    interval_ms: int
    entries: list


@dataclass(slots=True)
class Call:
    """A request with the name and the encoded fields of a message.

    ``number`` is unique on the connection.
    """

    stamp: int
    number: int
    name: str
    data: Any


@dataclass(slots=True)
class Answer:
    """The answer to the call of the same number.

    With the status ``ANSWERED`` it contains a message, otherwise ``data`` is the reason
    as text.
    """

    stamp: int
    number: int
    status: int
    name: str
    data: Any


Frame = Heartbeat | Call | Answer
FRAME_TYPES: tuple[type, ...] = (Heartbeat, Call, Answer)


def frame_to_wire(frame: Frame) -> list:
    """Return the wire form of a frame."""
    return [
        FRAME_TYPES.index(type(frame)),
        *(getattr(frame, n) for n in frame.__slots__),
    ]


def frame_from_wire(data: Any) -> Frame:
    """Build a frame from its wire form; raise ``WireError`` if it is malformed."""
    try:
        kind, *values = data
        frame = FRAME_TYPES[kind](*values)
    except (TypeError, ValueError, IndexError) as exc:
        raise WireError(Fault.MALFORMED, "a frame cannot be parsed") from exc
    numbers = (frame.stamp, getattr(frame, "number", 0), getattr(frame, "status", 0))
    numbers += (getattr(frame, "interval_ms", 0),)
    if not all(type(number) is int for number in numbers):
        raise WireError(Fault.MALFORMED, "a number in a frame is not an integer")
    if not isinstance(getattr(frame, "name", ""), str):
        raise WireError(Fault.MALFORMED, "the name in a frame is not a string")
    return frame
