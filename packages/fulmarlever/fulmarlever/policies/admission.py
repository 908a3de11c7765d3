"""Policies that say whether a request is taken in, by service and urgency."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Mapping

from fulmarlever.registry import Registry
from fulmarlever.structure.configuration import ServiceSpec, Urgency

ADMISSION: Registry[type[AdmissionPolicy]] = Registry("admission policy")

BORROWING_LIMIT: Mapping[Urgency, float] = {
    Urgency.CRITICAL: 1.0,
    Urgency.HIGH: 0.95,
    Urgency.NORMAL: 0.9,
    Urgency.LOW: 0.8,
}
"""The fraction of the capacity up to which each urgency may use what others leave."""


class AdmissionPolicy(ABC):
    """The requests, or bytes of requests, that this daemon holds, by service."""

    __slots__ = ("capacity", "in_use", "total", "guaranteed")

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.in_use: dict[str, int] = {}
        self.total = 0
        self.guaranteed: dict[str, int] = {}

    def configure(self, services: Mapping[str, ServiceSpec], capacity: int) -> None:
        """Set the capacity and the services that share it."""
        self.capacity = capacity
        total = sum(spec.guaranteed_share for spec in services.values())
        scale = capacity / max(1.0, total)
        self.guaranteed = {
            name: max(1, math.floor(spec.guaranteed_share * scale))
            for name, spec in services.items()
        }

    @abstractmethod
    def admits(self, spec: ServiceSpec, amount: int = 1) -> bool:
        """Return whether an amount of a service may enter."""

    def enter(self, service: str, amount: int = 1) -> None:
        """Count what entered."""
        self.in_use[service] = self.in_use.get(service, 0) + amount
        self.total += amount

    def leave(self, service: str, amount: int = 1) -> None:
        """Count what left."""
        self.in_use[service] -= amount
        self.total -= amount


@ADMISSION.register("shares")
class GuaranteedShares(AdmissionPolicy):
    """Keeps each service's guaranteed share open and lends the rest by urgency.

    A service below its guaranteed share is always admitted, also when others have
    borrowed the whole capacity; at most twice the capacity is then held, until the
    borrowed part has been served. Nothing is reserved while nobody asks for it.
    """

    __slots__ = ()

    def admits(self, spec: ServiceSpec, amount: int = 1) -> bool:
        """Return whether the service is below its share or may borrow."""
        in_use = self.in_use.get(spec.name, 0) + amount
        if in_use <= self.guaranteed.get(spec.name, 1):
            return True
        return self.total + amount <= self.capacity * BORROWING_LIMIT[spec.urgency]


@ADMISSION.register("none")
class FirstComeFirstServed(AdmissionPolicy):
    """Admits anything below the capacity: a naive version that a flood fills."""

    __slots__ = ()

    def admits(self, spec: ServiceSpec, amount: int = 1) -> bool:
        """Return whether there is any room."""
        return self.total + amount <= self.capacity
