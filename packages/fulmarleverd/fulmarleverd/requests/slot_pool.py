"""The slots that this daemon may use: taking, giving back and waiting for them."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Iterable, Mapping

from fulmarlever.clock import Clock
from fulmarlever.policies.routing import RoutingPolicy
from fulmarlever.structure.fleet import BackendServer
from fulmarleverd.requests.pause_detector import MAX_PAUSE_S, PauseDetector
from fulmarleverd.requests.server_share import ServerShare, Slot

MIN_LATENCY_S = 0.0005


class SlotPool:
    """The shares of all servers of the zone, by server and by service."""

    def __init__(self, clock: Clock, policy: RoutingPolicy) -> None:
        self.clock = clock
        self.policy = policy
        self.pause_detector = PauseDetector(clock.monotonic())
        self.shares: dict[str, ServerShare] = {}
        self._abandoned: list[Slot] = []
        self._by_service: dict[str, list[ServerShare]] = {}
        self._waiting: dict[str, deque[asyncio.Future[Slot]]] = {}

    def set_servers(self, servers: Mapping[str, BackendServer]) -> None:
        """Adopt the servers of the zone; those not listed get no new request."""
        for name, server in servers.items():
            self.shares.setdefault(name, ServerShare(server)).adopt(server)
        for name in set(self.shares) - set(servers):
            share = self.shares[name]
            share.is_listed = False
            if share.limit == 0 and share.in_use == 0:
                del self.shares[name]
        self._by_service = {}
        for share in self.shares.values():
            self._by_service.setdefault(share.server.service, []).append(share)

    def set_limit(self, name: str, limit: int, run_limit_s: float) -> None:
        """Set how many slots of a server may be used and for how long each."""
        share = self.shares[name]
        share.run_limit_s = run_limit_s
        share.limit = limit
        self._serve_waiting(share.server.service)

    def of_service(self, service: str) -> list[ServerShare]:
        """Return the shares of a service's servers."""
        return self._by_service.get(service, [])

    def services(self) -> Iterable[str]:
        """Return the services that have servers in the zone."""
        return self._by_service

    def free(self, service: str) -> int:
        """Return the number of slots that a request of the service may take now."""
        now = self.clock.monotonic()
        if not self.pause_detector.observe(now):
            return 0
        return sum(share.free(now) for share in self.of_service(service))

    def capacity(self, service: str) -> int:
        """Return the number of slots of the service, in use or not."""
        return sum(s.limit for s in self.of_service(service) if not s.is_leaving)

    def waiting(self, service: str) -> int:
        """Return the number of requests that wait for a slot of the service."""
        return len(self._waiting.get(service, ()))

    def expected_wait_s(self, service: str) -> float:
        """Return an estimate of the time until a new request would get a slot.

        It is infinite when this daemon has no slot of the service.
        """
        shares = [s for s in self.of_service(service) if not s.is_leaving]
        rate = sum(s.limit / max(s.latency_s, MIN_LATENCY_S) for s in shares)
        if rate <= 0:
            return math.inf
        now = self.clock.monotonic()
        if any(share.free(now) > 0 for share in shares):
            return 0.0
        return (self.waiting(service) + 1) / rate

    def expected_run_s(self, service: str) -> float:
        """Return the mean time that a request takes on the servers of the service."""
        shares = [s for s in self.of_service(service) if s.limit and not s.is_leaving]
        if not shares:
            return 0.0
        return sum(share.latency_s for share in shares) / len(shares)

    def take(self, service: str) -> Slot | None:
        """Return a free slot of the service, or ``None``."""
        now = self.clock.monotonic()
        if not self.pause_detector.observe(now):
            return None
        candidates = [s for s in self.of_service(service) if s.free(now) > 0]
        if not candidates:
            return None
        share = self.policy.choose(candidates)
        share.in_use += 1
        return Slot(share, now, share.run_limit_s)

    def may_send(self, slot: Slot) -> bool:
        """Return whether a request may still start on a slot taken earlier."""
        now = self.clock.monotonic()
        if not self.pause_detector.observe(now):
            return False
        return now - slot.taken_at <= MAX_PAUSE_S

    async def wait(self, service: str, timeout_s: float) -> Slot | None:
        """Return the next slot that becomes free, or ``None`` when time is over."""
        fut = asyncio.get_running_loop().create_future()
        line = self._waiting.setdefault(service, deque())
        line.append(fut)
        try:
            async with asyncio.timeout(timeout_s):
                return await fut
        except TimeoutError:
            return self._late(fut)
        except asyncio.CancelledError:
            slot = self._late(fut)
            if slot is not None:
                self.give_back(slot)
            raise
        finally:
            if fut in line:
                line.remove(fut)

    def _late(self, fut: asyncio.Future[Slot]) -> Slot | None:
        if fut.done() and not fut.cancelled():
            return fut.result()
        return None

    def give_back(self, slot: Slot, is_free: bool = True) -> None:
        """Return a slot; one whose request may still run stays in use until it ended.

        The request of an abandoned slot has ended when its run limit has passed since
        it was sent.
        """
        if is_free or slot.sent_at is None:
            self._free(slot)
            return
        self._abandoned.append(slot)

    @property
    def abandoned(self) -> int:
        """Return the number of slots whose request was given up and may still run."""
        return len(self._abandoned)

    def free_expired(self) -> None:
        """Free the abandoned slots whose request must have ended."""
        now = self.clock.monotonic()
        expired = [s for s in self._abandoned if now - s.sent_at >= s.run_limit_s]
        for slot in expired:
            self._abandoned.remove(slot)
            self._free(slot)

    def _free(self, slot: Slot) -> None:
        slot.share.in_use -= 1
        self._serve_waiting(slot.server.service)

    def serve_waiting(self) -> None:
        """Serve requests that wait for servers that became usable with time."""
        for service in self._waiting:
            self._serve_waiting(service)

    def _serve_waiting(self, service: str) -> None:
        line = self._waiting.get(service)
        while line:
            slot = self.take(service)
            if slot is None:
                return
            fut = line.popleft()
            if fut.done():
                slot.share.in_use -= 1
            else:
                fut.set_result(slot)
