"""Remembers calls to workers that got no answer and may still be carried out.

Such a call is carried out by whichever incarnation of the worker has the address when
it arrives, unless that one has already seen a higher token. An acknowledgement of ended
runs is the worst of them: a worker forgets the ends up to its number, also those still
to come, and each incarnation numbers its ends from 1.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from fulmarlever.clock import Clock

# How long after it was sent a call without an answer may be carried out.
MAX_LATE_S = 15.0


class SentCall:
    """A call in progress; ``is_answered`` is set if it cannot arrive any more."""

    __slots__ = ("is_answered",)

    def __init__(self) -> None:
        self.is_answered = False


class Arrivals:
    """Until when the calls of one kind may arrive, by the id of the worker."""

    __slots__ = ("_clock", "_in_flight", "_until_s")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._in_flight: Counter[str] = Counter()
        self._until_s: dict[str, float] = {}

    def begin(self, worker_id: str) -> None:
        """Note that a call is sent."""
        self._in_flight[worker_id] += 1

    def end(self, worker_id: str, is_answered: bool) -> None:
        """Note that the wait for an answer has ended."""
        self._in_flight[worker_id] -= 1
        if not is_answered:
            self._until_s[worker_id] = self._clock.boot() + MAX_LATE_S

    def may_reach(self, worker_id: str, since_s: float) -> bool:
        """Return whether a call may have arrived after a time, or may do so yet."""
        latest_s = self._until_s.get(worker_id, float("-inf"))
        return self._in_flight[worker_id] > 0 or latest_s > since_s


class OutstandingCalls:
    """The calls of an owner that may still arrive, by the id of the worker.

    ``any_call`` holds all of them, ``acknowledgements`` those that acknowledge ends.
    Times are in seconds on the owner's clock.
    """

    __slots__ = ("any_call", "acknowledgements")

    def __init__(self, clock: Clock) -> None:
        self.any_call = Arrivals(clock)
        self.acknowledgements = Arrivals(clock)

    @contextmanager
    def sending(self, worker_id: str, is_acknowledgement: bool) -> Iterator[SentCall]:
        """Send a call within the context."""
        kinds = [self.any_call]
        if is_acknowledgement:
            kinds.append(self.acknowledgements)
        for kind in kinds:
            kind.begin(worker_id)
        sent = SentCall()
        try:
            yield sent
        finally:
            for kind in kinds:
                kind.end(worker_id, sent.is_answered)
