"""Remembers calls to workers that got no answer and may still be carried out.

Such a call is carried out by whichever incarnation of the worker has the address when
it arrives, unless that one has already seen a higher token. An acknowledgement of ended
runs does the most harm: a worker forgets the ends up to its number, also those still
to come, and each incarnation numbers its ends from 1.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from fulmarlever.clock import Clock
from fulmarleverd.scheduling.specs import WorkerKey

# How long after it was sent a call without an answer may be carried out.
MAX_LATE_S = 15.0


class SentCall:
    """A call in progress; ``is_answered`` is set if it cannot arrive any more."""

    __slots__ = ("is_answered",)

    def __init__(self) -> None:
        self.is_answered = False


class Arrivals:
    """Until when the calls of one kind may arrive, by incarnation of a worker id."""

    __slots__ = ("_clock", "_in_flight", "_until_s")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._in_flight: Counter[WorkerKey] = Counter()
        self._until_s: dict[str, dict[WorkerKey, float]] = {}

    def begin(self, key: WorkerKey) -> None:
        """Note that a call is sent."""
        self._in_flight[key] += 1
        self._until_s.setdefault(key.id, {}).setdefault(key, float("-inf"))

    def end(self, key: WorkerKey, is_answered: bool) -> None:
        """Note that the wait for an answer has ended."""
        self._in_flight[key] -= 1
        if not is_answered:
            self._until_s[key.id][key] = self._clock.boot() + MAX_LATE_S

    def may_reach(self, key: WorkerKey, since_s: float) -> bool:
        """Return whether a call for another incarnation may reach this one.

        It may have arrived after a time, or may do so yet.
        """
        return any(
            self._in_flight[other] > 0 or until_s > since_s
            for other, until_s in self._until_s.get(key.id, {}).items()
            if other != key
        )


class OutstandingCalls:
    """The calls of an owner that may still arrive.

    ``any_call`` holds all of them, ``acknowledgements`` those that acknowledge ends.
    Times are in seconds on the owner's clock.
    """

    __slots__ = ("any_call", "acknowledgements")

    def __init__(self, clock: Clock) -> None:
        self.any_call = Arrivals(clock)
        self.acknowledgements = Arrivals(clock)

    @contextmanager
    def sending(self, key: WorkerKey, is_acknowledgement: bool) -> Iterator[SentCall]:
        """Send a call to an incarnation of a worker within the context."""
        kinds = [self.any_call]
        if is_acknowledgement:
            kinds.append(self.acknowledgements)
        for kind in kinds:
            kind.begin(key)
        sent = SentCall()
        try:
            yield sent
        finally:
            for kind in kinds:
                kind.end(key, sent.is_answered)
