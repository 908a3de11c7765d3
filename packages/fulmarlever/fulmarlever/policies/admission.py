"""Policies that decide whether a request is admitted, by service and urgency."""

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
"""The fraction of the capacity up to which a service may borrow, by its urgency.

A service that exceeds its guaranteed share borrows what other services leave unused.
"""


class AdmissionPolicy(ABC):
    """Admits requests, or bytes of requests, and counts those in progress by service.

    ``capacity`` is the amount that the daemon is to hold at once, ``in_use`` the amount
    in progress by service, and ``total`` their sum. ``guaranteed`` holds the guaranteed
    amount by service, at least 1.
    """

    __slots__ = ("capacity", "in_use", "total", "guaranteed")

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.in_use: dict[str, int] = {}
        self.total = 0
        self.guaranteed: dict[str, int] = {}

    def configure(self, services: Mapping[str, ServiceSpec], capacity: int) -> None:
        """Set the capacity and the services that share it.

        Guaranteed shares that add up to more than 1 are scaled down to 1.
        """
        self.capacity = capacity
        total = sum(spec.guaranteed_share for spec in services.values())
        scale = capacity / max(1.0, total)
        self.guaranteed = {
            name: max(1, math.floor(spec.guaranteed_share * scale))
            for name, spec in services.items()
        }

    @abstractmethod
    def admits(self, spec: ServiceSpec, amount: int = 1) -> bool:
        """Return whether an amount more of a service may be admitted."""

    def enter(self, service: str, amount: int = 1) -> None:
        """Count an admitted amount of a service."""
        self.in_use[service] = self.in_use.get(service, 0) + amount
        self.total += amount

    def leave(self, service: str, amount: int = 1) -> None:
        """Release an amount of a service that was counted by ``enter``."""
        self.in_use[service] -= amount
        self.total -= amount


@ADMISSION.register("shares")
class GuaranteedShares(AdmissionPolicy):
    """Guarantees each service its share and lends unused capacity by urgency.

    A service below its guaranteed share is always admitted, also while others have
    borrowed the whole capacity. The total may then reach twice the capacity until
    borrowed capacity is returned. In exchange, no capacity stays idle while a service
    does not use its share.
    """

    __slots__ = ()

    def admits(self, spec: ServiceSpec, amount: int = 1) -> bool:
        """Return whether the service stays within its share or may borrow capacity."""
        in_use = self.in_use.get(spec.name, 0) + amount
        if in_use <= self.guaranteed.get(spec.name, 1):
            return True
        return self.total + amount <= self.capacity * BORROWING_LIMIT[spec.urgency]


@ADMISSION.register("none")
class FirstComeFirstServed(AdmissionPolicy):
    """Admits everything below the capacity; the naive baseline.

    A flood of requests of one service leaves no capacity for the others.
    """

    __slots__ = ()

    def admits(self, spec: ServiceSpec, amount: int = 1) -> bool:
        """Return whether the amount fits into the capacity."""
        return self.total + amount <= self.capacity
