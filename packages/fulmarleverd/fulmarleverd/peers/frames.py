"""The frames that daemons exchange once a connection is open."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from fulmarlever.wire import Fault, WireError


class CallStatus(IntEnum):
    """How a call ended at the peer that handled it."""

    ANSWERED = 0
    NOT_STARTED = 1
    UNKNOWN = 2


@dataclass(slots=True)
class Heartbeat:
    """A heartbeat with the topic entries that the receiver does not have yet.

    ``interval_ms`` is the longest time to the next heartbeat of the sender.
    """

    stamp: int
    interval_ms: int
    entries: list


@dataclass(slots=True)
class Call:
    """A request to the handler of a message; ``number`` is unique on the stream."""

    stamp: int
    number: int
    name: str
    data: Any


@dataclass(slots=True)
class Answer:
    """The result of a call: a message, or a reason in ``data``."""

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
    """Build a frame or raise ``WireError``."""
    try:
        kind, *values = data
        frame = FRAME_TYPES[kind](*values)
    except (TypeError, ValueError, IndexError) as exc:
        raise WireError(Fault.MALFORMED, "a frame of unknown form") from exc
    numbers = (frame.stamp, getattr(frame, "number", 0), getattr(frame, "status", 0))
    numbers += (getattr(frame, "interval_ms", 0),)
    if not all(type(number) is int for number in numbers):
        raise WireError(Fault.MALFORMED, "a frame with a wrong number")
    if not isinstance(getattr(frame, "name", ""), str):
        raise WireError(Fault.MALFORMED, "a frame with a wrong name")
    return frame
