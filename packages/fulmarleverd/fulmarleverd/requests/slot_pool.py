"""The pool of slots that this daemon may use, and the requests that wait for one."""

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

# The lowest latency used to compute a rate of requests; it bounds the rate.
MIN_LATENCY_S = 0.0005


class SlotPool:
    """The slots of all backend servers of the zone, by server and by service.

    ``shares`` maps the name of a server to this daemon's share of it.
    """

    def __init__(self, clock: Clock, policy: RoutingPolicy) -> None:
        self.clock = clock
        self.policy = policy
        self.pause_detector = PauseDetector(clock.monotonic())
        self.shares: dict[str, ServerShare] = {}
        self._abandoned: list[Slot] = []
        self._by_service: dict[str, list[ServerShare]] = {}
        self._waiters: dict[str, deque[asyncio.Future[Slot]]] = {}

    def set_servers(self, servers: Mapping[str, BackendServer]) -> None:
        """Set the servers of the zone; servers not among them get no new request."""
        for name, server in servers.items():
            self.shares.setdefault(name, ServerShare(server)).update_server(server)
        for name in set(self.shares) - set(servers):
            share = self.shares[name]
            share.is_listed = False
            if share.limit == 0 and share.in_use == 0:
                del self.shares[name]
        self._by_service = {}
        for share in self.shares.values():
            self._by_service.setdefault(share.server.service, []).append(share)

    def set_limit(self, name: str, limit: int, run_limit_s: float) -> None:
        """Set how many slots of a server may be used.

        ``run_limit_s`` is the longest time in seconds that a request may run on one.
        """
        share = self.shares[name]
        share.run_limit_s = run_limit_s
        share.limit = limit
        self._assign_free_slots(share.server.service)

    def of_service(self, service: str) -> list[ServerShare]:
        """Return this daemon's shares of a service's servers."""
        return self._by_service.get(service, [])

    def services(self) -> Iterable[str]:
        """Return the services that have servers in the zone."""
        return self._by_service

    def free_slots(self, service: str) -> int:
        """Return the number of slots that requests of the service may take now."""
        now = self.clock.monotonic()
        if not self.pause_detector.observe(now):
            return 0
        return sum(share.free_slots(now) for share in self.of_service(service))

    def capacity(self, service: str) -> int:
        """Return the number of slots of the service, free and in use.

        Slots of servers that are leaving are not counted.
        """
        return sum(s.limit for s in self.of_service(service) if not s.is_leaving)

    def waiting(self, service: str) -> int:
        """Return the number of requests that wait for a slot of the service."""
        return len(self._waiters.get(service, ()))

    def expected_wait_s(self, service: str) -> float:
        """Return the estimated time in seconds until a new request gets a slot.

        It is infinite when this daemon has no slot of the service.
        """
        shares = [s for s in self.of_service(service) if not s.is_leaving]
        rate = sum(s.limit / max(s.latency_s, MIN_LATENCY_S) for s in shares)
        if rate <= 0:
            return math.inf
        now = self.clock.monotonic()
        if any(share.free_slots(now) > 0 for share in shares):
            return 0.0
        return (self.waiting(service) + 1) / rate

    def expected_run_s(self, service: str) -> float:
        """Return the mean latency in seconds of the service's servers.

        It is 0 when this daemon has no slot of the service.
        """
        shares = [s for s in self.of_service(service) if s.limit and not s.is_leaving]
        if not shares:
            return 0.0
        return sum(share.latency_s for share in shares) / len(shares)

    def take(self, service: str) -> Slot | None:
        """Take a free slot of the service; return ``None`` when there is none."""
        now = self.clock.monotonic()
        if not self.pause_detector.observe(now):
            return None
        candidates = [s for s in self.of_service(service) if s.free_slots(now) > 0]
        if not candidates:
            return None
        share = self.policy.choose(candidates)
        share.in_use += 1
        return Slot(share, now, share.run_limit_s)

    def may_send(self, slot: Slot) -> bool:
        """Return whether a request may still be sent on a slot taken earlier.

        It may not after a pause of the process, or more than ``MAX_PAUSE_S`` after the
        slot was taken: another daemon may own the slot by then.
        """
        now = self.clock.monotonic()
        if not self.pause_detector.observe(now):
            return False
        return now - slot.taken_at <= MAX_PAUSE_S

    async def wait(self, service: str, timeout_s: float) -> Slot | None:
        """Wait for a slot, first come, first served; return ``None`` on timeout."""
        fut = asyncio.get_running_loop().create_future()
        waiters = self._waiters.setdefault(service, deque())
        waiters.append(fut)
        try:
            async with asyncio.timeout(timeout_s):
                return await fut
        except TimeoutError:
            return self._granted_slot(fut)
        except asyncio.CancelledError:
            slot = self._granted_slot(fut)
            if slot is not None:
                self.return_to_pool(slot)
            raise
        finally:
            if fut in waiters:
                waiters.remove(fut)

    def _granted_slot(self, fut: asyncio.Future[Slot]) -> Slot | None:
        if fut.done() and not fut.cancelled():
            return fut.result()
        return None

    def return_to_pool(self, slot: Slot, has_ended: bool = True) -> None:
        """Return a slot to the pool.

        With ``has_ended`` false, the request may still run at the server: the slot
        stays in use until the run limit has passed since the request was sent.
        """
        if has_ended or slot.sent_at is None:
            self._free_slot(slot)
            return
        self._abandoned.append(slot)

    @property
    def abandoned(self) -> int:
        """Return the number of slots whose abandoned request may still run."""
        return len(self._abandoned)

    def free_expired(self) -> None:
        """Free the abandoned slots whose request must have ended."""
        now = self.clock.monotonic()
        expired = [s for s in self._abandoned if now - s.sent_at >= s.run_limit_s]
        for slot in expired:
            self._abandoned.remove(slot)
            self._free_slot(slot)

    def _free_slot(self, slot: Slot) -> None:
        slot.share.in_use -= 1
        self._assign_free_slots(slot.server.service)

    def assign_free_slots(self) -> None:
        """Assign slots to waiting requests, for example after a backoff has ended."""
        for service in self._waiters:
            self._assign_free_slots(service)

    def _assign_free_slots(self, service: str) -> None:
        waiters = self._waiters.get(service)
        while waiters:
            slot = self.take(service)
            if slot is None:
                return
            fut = waiters.popleft()
            if fut.done():
                slot.share.in_use -= 1
            else:
                fut.set_result(slot)
