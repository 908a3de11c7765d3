"""The switchable faults of the platform stand-in."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import StrEnum

from aiohttp import web


class ComponentState(StrEnum):
    """The states of one part of the platform.

    ``DOWN`` answers 503 at once, ``HOLD`` never answers, ``SLOW`` delays the effect
    and the answer; the effect then comes also when the client has given up.
    """

    OK = "ok"
    DOWN = "down"
    HOLD = "hold"
    SLOW = "slow"


@dataclass(slots=True)
class PlatformFaults:
    """The faults in force. ``lose_answers`` is the probability for one write."""

    table: ComponentState = ComponentState.OK
    objects: ComponentState = ComponentState.OK
    list: ComponentState = ComponentState.OK
    slow_s: float = 1.0
    lose_answers: float = 0.0
    list_lag_s: float = 0.0
    cut: set[str] = field(default_factory=set)
    cut_addresses: set[str] = field(default_factory=set)
    dice: random.Random = field(default_factory=lambda: random.Random(1))

    def update(self, changes: dict) -> None:
        """Set the given faults and leave the others.

        Raise ``ValueError`` for an unknown fault or state.
        """
        for name, value in changes.items():
            if name == "dice" or name not in self.__slots__:
                raise ValueError(f"unknown fault {name!r}")
            setattr(self, name, self._convert(name, value))

    def is_cut(self, request: web.Request) -> bool:
        """Return whether the client of a request is cut off from the platform."""
        zone = request.headers.get("X-Zone", "")
        return zone in self.cut or (request.remote or "") in self.cut_addresses

    def is_answer_lost(self) -> bool:
        """Return whether to lose the answer of one write."""
        return self.dice.random() < self.lose_answers

    def to_wire(self) -> dict:
        """Return the faults in force as JSON values."""
        names = [name for name in self.__slots__ if name != "dice"]
        values = {name: getattr(self, name) for name in names}
        sets = {name: sorted(v) for name, v in values.items() if isinstance(v, set)}
        return values | sets

    def _convert(self, name: str, value: object) -> object:
        if name in ("table", "objects", "list"):
            return ComponentState(value)
        if name in ("cut", "cut_addresses"):
            return set(value)
        return float(value)
