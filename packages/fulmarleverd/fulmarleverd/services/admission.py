"""The service ``admission``: whether this daemon accepts a request or its body."""

from __future__ import annotations

from dataclasses import dataclass

from fulmarlever.outcomes import NotRun
from fulmarlever.policies.admission import ADMISSION
from fulmarlever.structure.configuration import ServiceSpec
from fulmarlever.structure.request import Request
from fulmarleverd.kernel import SERVICES, Kernel, Service
from fulmarleverd.requests.metrics import REFUSED

REQUESTS_PER_SLOT = 4
MIN_CAPACITY = 64
BODY_CAPACITY_BYTES = 32 << 20
CAPACITY_REFRESH_S = 0.5


@dataclass(slots=True, eq=False)
class Ticket:
    """An admitted request that has no answer yet."""

    service: str


@dataclass(slots=True, eq=False)
class BodyTicket:
    """Memory reserved for the body of a request."""

    service: str
    size_bytes: int


@SERVICES.register("admission")
class Admission(Service):
    """Divides this daemon's capacity among services by guaranteed share and urgency.

    The capacity is a number of requests, which depends on the slots that this daemon
    owns, and a number of bytes for request bodies.
    """

    name = "admission"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        policy = ADMISSION.find(self.settings.admission_policy)
        self.requests = policy(MIN_CAPACITY)
        self.bodies = policy(BODY_CAPACITY_BYTES)
        self._refreshed_at = float("-inf")

    async def start(self) -> None:
        """Find the services from which the capacity is computed."""
        self.config = self.kernel.find("config")
        self.slots = self.kernel.find("slots")

    def enter(self, request: Request) -> Ticket | NotRun:
        """Admit a request, or refuse it when its service has no capacity left."""
        self._refresh_capacity()
        spec = self.config.current().services[request.service]
        if not self.requests.admits(spec):
            REFUSED.labels(spec.name, "share").inc()
            wait_s = self._expected_wait_s(spec)
            return NotRun(
                "the service exceeds its share of the capacity", wait_s, status=429
            )
        self.requests.enter(spec.name)
        return Ticket(spec.name)

    def leave(self, ticket: Ticket) -> None:
        """Release the capacity of a request that has been answered."""
        self.requests.leave(ticket.service)

    def enter_body(self, spec: ServiceSpec, size_bytes: int) -> BodyTicket | NotRun:
        """Reserve memory for a request's body before it is read, or refuse it."""
        self._refresh_capacity()
        if not self.bodies.admits(spec, size_bytes):
            REFUSED.labels(spec.name, "memory").inc()
            wait_s = self._expected_wait_s(spec)
            return NotRun("no memory is left for the request body", wait_s, status=503)
        self.bodies.enter(spec.name, size_bytes)
        return BodyTicket(spec.name, size_bytes)

    def leave_body(self, ticket: BodyTicket) -> None:
        """Release the memory reserved for a body."""
        self.bodies.leave(ticket.service, ticket.size_bytes)

    def _expected_wait_s(self, spec: ServiceSpec) -> float:
        return self.slots.pool.expected_wait_s(spec.name)

    def _refresh_capacity(self) -> None:
        now = self.clock.monotonic()
        if now - self._refreshed_at < CAPACITY_REFRESH_S:
            return
        self._refreshed_at = now
        services = self.config.current().services
        slots = sum(self.slots.pool.capacity(name) for name in services)
        capacity = MIN_CAPACITY + REQUESTS_PER_SLOT * slots
        self.requests.configure(services, capacity)
        self.bodies.configure(services, BODY_CAPACITY_BYTES)
