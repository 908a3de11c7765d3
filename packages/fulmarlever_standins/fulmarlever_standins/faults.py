"""The faults that can be injected into the simulated platform."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import StrEnum

from aiohttp import web


class ComponentState(StrEnum):
    """The states of one component of the platform.

    ``DOWN`` answers 503 at once and ``HOLD`` never answers. ``SLOW`` delays the call
    and its answer; the call takes effect even if the client has disconnected.
    """

    OK = "ok"
    DOWN = "down"
    HOLD = "hold"
    SLOW = "slow"


@dataclass(slots=True)
class PlatformFaults:
    """The faults in force.

    ``table``, ``objects`` and ``list`` are the states of the components, ``slow_s`` the
    delay of a slow one in seconds. ``lose_answers`` is the probability that the
    connection of a table write is closed in place of an answer. The VM list is
    ``list_lag_s`` seconds old. ``cut`` holds zones and ``cut_addresses`` IP addresses
    whose calls get no answer. ``dice`` is the random generator, not a fault.
    """

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
        """Set the given faults and leave the others unchanged.

        Raise ``ValueError`` for an unknown fault, state or number, and ``TypeError``
        for a value of another type.
        """
        for name, value in changes.items():
            if name == "dice" or name not in self.__slots__:
                raise ValueError(f"unknown fault {name!r}")
            setattr(self, name, self._convert(name, value))

    def is_cut(self, request: web.Request) -> bool:
        """Return whether the calls of a client get no answer, by zone or address."""
        zone = request.headers.get("X-Zone", "")
        return zone in self.cut or (request.remote or "") in self.cut_addresses

    def is_answer_lost(self) -> bool:
        """Draw whether to lose the answer to one write."""
        return self.dice.random() < self.lose_answers

    def to_wire(self) -> dict:
        """Return the faults in force as a JSON object, keyed by field name."""
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
