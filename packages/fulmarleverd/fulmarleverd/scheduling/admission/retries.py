"""When refused callers are told to return, and which of them did as told."""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from fulmarlever.clock import Clock
from fulmarlever.registry import Registry

# The least that a caller is told, in whole seconds.
MIN_RETRY_S = 1.0
# Returns are spread over this window if it is not known when there will be room.
DEFAULT_WINDOW_S = 3.0
# Bounds the memory of the table.
MAX_REFUSALS = 10_000
# A refusal is forgotten this long after the time at which its caller was to return.
KEPT_S = 30.0
# A return may be this early, as the header has whole seconds.
TOLERANCE_S = 0.05
# The fractional parts of its multiples are spread evenly at any length.
GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0


class Return(Enum):
    """How a job that comes in relates to an earlier refusal of it."""

    NEW = "new"
    EARLY = "early"
    DUE = "due"


@dataclass(slots=True, frozen=True)
class RoomWindow:
    """When there will be room for a refused job, in seconds from now.

    ``earliest_s`` is when the work ahead has fallen under the limit, ``latest_s`` when
    the job ceases to be of use, and ``taken_s`` the time of the room that the job
    itself takes.
    """

    earliest_s: float = 0.0
    latest_s: float = DEFAULT_WINDOW_S
    taken_s: float = 0.0


class Spread(Protocol):
    """Chooses the times of return of the callers of one group of jobs."""

    def delay_s(self, now_s: float, window: RoomWindow) -> float:
        """Return after which delay a caller is to return, in seconds."""


SPREADS: Registry[Callable[[], Spread]] = Registry("spread of returns")


@SPREADS.register("room")
class RoomSpread:
    """Gives each caller the time at which room for its job becomes free.

    Callers of one group queue up: each is told the time at which the room of those
    before it is used up. Times beyond the use of a job start again at the earliest one,
    as some callers never return.
    """

    __slots__ = ("_next_s",)

    def __init__(self) -> None:
        self._next_s = 0.0

    def delay_s(self, now_s: float, window: RoomWindow) -> float:
        """Return after which delay a caller is to return."""
        # Room that comes too late for the job may come earlier than forecast.
        first_s = min(window.earliest_s, window.latest_s / 2.0)
        start_s = max(now_s + first_s, self._next_s)
        if start_s > now_s + window.latest_s:
            start_s = now_s + first_s
        self._next_s = start_s + window.taken_s
        return start_s - now_s


@SPREADS.register("even")
class EvenSpread:
    """Spreads callers evenly over the window, for room that no forecast tells."""

    __slots__ = ("_position",)

    def __init__(self) -> None:
        # Daemons begin at different positions.
        self._position = random.random()

    def delay_s(self, now_s: float, window: RoomWindow) -> float:
        """Return after which delay a caller is to return."""
        self._position = (self._position + GOLDEN_RATIO) % 1.0
        return window.earliest_s + self._position * (
            window.latest_s - window.earliest_s
        )


class Refusal:
    """The last refusal of a job, with times on the steady clock in seconds.

    ``size_class`` is the class of the job, if it was refused for its size.
    """

    __slots__ = ("first_s", "due_s", "size_class")

    def __init__(self, first_s: float, due_s: float, size_class: int | None) -> None:
        self.first_s = first_s
        self.due_s = due_s
        self.size_class = size_class


class RetrySchedule:
    """A bounded table of the refusals of one daemon.

    It is lost with the daemon; then callers that return have no precedence.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._refusals: OrderedDict[str, Refusal] = OrderedDict()
        self._spreads: dict[tuple, Spread] = {}

    def __len__(self) -> int:
        return len(self._refusals)

    def find(self, job_id: str) -> Refusal | None:
        """Return the last refusal of a job, if it is not long ago."""
        refusal = self._refusals.get(job_id)
        if refusal is None or self._clock.monotonic() > refusal.due_s + KEPT_S:
            return None
        return refusal

    def classify(self, job_id: str) -> Return:
        """Return whether a job was refused before, and returned at its time."""
        refusal = self.find(job_id)
        if refusal is None:
            return Return.NEW
        now = self._clock.monotonic()
        return Return.DUE if now >= refusal.due_s - TOLERANCE_S else Return.EARLY

    def refuse(
        self,
        job_id: str,
        window: RoomWindow,
        spread: str = "room",
        key: tuple = (),
        size_class: int | None = None,
    ) -> float:
        """Return in how many whole seconds the caller of a refused job is to return.

        ``spread`` is a name in ``SPREADS``, ``key`` identifies the group of jobs that
        wait for the same room, and ``size_class`` is the class of the job, if it is
        refused for its size. A caller that returned early is told its earlier time
        again.
        """
        now = self._clock.monotonic()
        returned = self.classify(job_id)
        known = self._refusals.pop(job_id, None)
        if returned is Return.EARLY:
            self._refusals[job_id] = known
            return max(MIN_RETRY_S, math.ceil(known.due_s - now - TOLERANCE_S))
        first_s = now if returned is Return.NEW else known.first_s
        used_s = now - first_s
        latest_s = max(MIN_RETRY_S, window.latest_s - used_s)
        left = RoomWindow(window.earliest_s, latest_s, window.taken_s)
        item = (spread, *key)
        if item not in self._spreads:
            self._spreads[item] = SPREADS.find(spread)()
        delay_s = min(latest_s, self._spreads[item].delay_s(now, left))
        # Rounded up, it may not exceed the use of the job by a part of a second.
        delay_s = max(MIN_RETRY_S, min(math.ceil(delay_s), math.floor(latest_s)))
        self._refusals[job_id] = Refusal(first_s, now + delay_s, size_class)
        self._drop_old(now)
        return float(delay_s)

    def forget(self, job_id: str) -> None:
        """Forget the refusal of a job that is accepted."""
        self._refusals.pop(job_id, None)

    def _drop_old(self, now_s: float) -> None:
        while self._refusals:
            oldest = next(iter(self._refusals.values()))
            is_old = now_s > oldest.due_s + KEPT_S
            if not is_old and len(self._refusals) <= MAX_REFUSALS:
                return
            self._refusals.popitem(last=False)
