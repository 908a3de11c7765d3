"""The service ``router``: runs an admitted request on a slot, here or at a peer."""

from __future__ import annotations

import asyncio
import random

from fulmarlever.outcomes import NotRun, OutcomeUnknown, Unavailable, failed
from fulmarlever.policies.retry import RETRY, RetryPolicy
from fulmarlever.structure.configuration import ServiceSpec
from fulmarlever.structure.request import Answer, Forward, Forwarded, Request
from fulmarleverd.kernel import SERVICES, Kernel, Service
from fulmarleverd.requests.channels import MAX_IDLE_UNOWNED, Channels
from fulmarleverd.requests.dispatch import Dispatch
from fulmarleverd.requests.draining import request_drain_left_s
from fulmarleverd.requests.exchange import Channel, Result
from fulmarleverd.requests.forwarding import PeerSelector
from fulmarleverd.requests.headers import STATE_LEAVING
from fulmarleverd.requests.metrics import (
    BACKEND_ERRORS,
    FORWARDS,
    REFUSED,
    RETRIES,
)
from fulmarleverd.requests.server_share import Slot
from fulmarleverd.services.claims import Claim

MAX_ATTEMPTS = 4
MAX_HOPS = 1
# Time beyond the deadline for which the answer of a peer is awaited.
FORWARD_MARGIN_S = 0.25
RETRY_POLICY = "budget"
RUN_TIME_FACTOR = 2.0
"""Multiple of the mean run time that a waiting request reserves for its run."""

TRIM_PERIOD_S = 0.25
DRAIN_POLL_S = 0.02


@SERVICES.register("router")
class Router(Service):
    """Finds a slot for each request, locally or at a peer, and returns its answer.

    A share of the requests of each service may go to the old setup instead.
    """

    name = "router"

    def __init__(self, kernel: Kernel, retry_policy: str = RETRY_POLICY) -> None:
        super().__init__(kernel)
        self.channels = Channels()
        self.in_progress = 0
        self._retry_policy = RETRY.find(retry_policy)
        self._budgets: dict[str, RetryPolicy] = {}
        self._running: set[Dispatch] = set()
        self._rng = random.Random(self.settings.vm)
        host, _, port = self.settings.old_setup.rpartition(":")
        self.old_address = (host, int(port or 0))

    async def start(self) -> None:
        """Find the other services and start to accept forwarded requests."""
        self.config = self.kernel.find("config")
        self.admission = self.kernel.find("admission")
        self.claims = self.kernel.find("claims")
        self.slots = self.kernel.find("slots")
        self.membership = self.kernel.find("membership")
        self.peers = PeerSelector(self.membership, self.settings.zone, self._rng)
        self.membership.handle(Forward, self.handle_forward)
        self.spawn(self._run_trim(), "router trim")

    async def handle(self, req: Request) -> Answer:
        """Return the answer to a caller's request, or a problem answer if it failed."""
        spec = self.config.current().services.get(req.service)
        if spec is None:
            return Answer.from_problem(404, "Unknown service", req.service)
        ticket = self.admission.enter(req)
        if failed(ticket):
            return Answer.from_failure(ticket)
        self.in_progress += 1
        try:
            return await self._run_with_claim(req, spec)
        finally:
            self.in_progress -= 1
            self.admission.leave(ticket)

    async def _run_with_claim(self, req: Request, spec: ServiceSpec) -> Answer:
        if not req.key or spec.is_idempotent(req.method, req.path):
            return as_answer(await self._run_with_retries(req, spec))
        claim = await self.claims.begin(
            spec.name, req.key, req.digest(), spec.claim_required
        )
        if not isinstance(claim, Claim):
            return claim if isinstance(claim, Answer) else Answer.from_failure(claim)
        result = await self._run_with_retries(req, spec)
        answer = as_answer(result)
        if isinstance(result, NotRun):
            self.claims.release(claim)
        else:
            await self.claims.finish(claim, answer)
        return answer

    async def _run_with_retries(
        self, req: Request, spec: ServiceSpec
    ) -> Answer | NotRun | OutcomeUnknown:
        """Attempt a request until it has an answer or must not be sent again.

        The outcome stays unknown once it was unknown for one attempt, even if a later
        attempt did not run.
        """
        is_old = bool(self.settings.old_setup) and req.hash_fraction() >= spec.new_share
        budget = self._budget(spec)
        budget.count_request(spec.retry_budget)
        is_idempotent = spec.is_idempotent(req.method, req.path)
        visited = [self.settings.vm]
        unknown: OutcomeUnknown | None = None
        reason = "no backend server could be reached"
        for _ in range(MAX_ATTEMPTS):
            if req.deadline <= self.clock.monotonic():
                reason = "the deadline has passed"
                break
            if is_old:
                result = await self._attempt_old(req, spec)
            else:
                result = await self._attempt(req, spec, visited, MAX_HOPS, True)
            if isinstance(result, Answer):
                return result
            reason = result.reason
            if isinstance(result, NotRun):
                return unknown or result
            if isinstance(result, OutcomeUnknown):
                unknown = result
                if not is_idempotent or not budget.take():
                    return result
                RETRIES.labels(spec.name).inc()
        return unknown or NotRun(reason, 1.0)

    async def handle_forward(self, message: Forward) -> Forwarded:
        """Run a request that a peer forwarded, or return why it did not run."""
        req = message.to_request(self.clock.monotonic())
        spec = self.config.current().services.get(req.service)
        if spec is None or self.kernel.is_draining:
            return Forwarded.from_result(
                NotRun("the peer does not accept this request", 1.0)
            )
        visited = [*message.visited, self.settings.vm]
        self.in_progress += 1
        try:
            result = await self._attempt(
                req, spec, visited, message.hops, message.may_wait
            )
        finally:
            self.in_progress -= 1
        return Forwarded.from_result(result)

    async def _attempt(
        self,
        req: Request,
        spec: ServiceSpec,
        visited: list[str],
        hops: int,
        may_wait: bool,
    ) -> Result | NotRun:
        """Run a request once: on a local slot, at a peer, or after waiting."""
        slot = self.slots.take(spec.name)
        if slot is not None:
            return await self._run_on_slot(slot, req, spec)
        if hops > 0:
            vm = self.peers.free_peer(spec.name, visited)
            if vm is not None:
                return await self._forward(vm, req, spec, visited, hops, False)
        if not may_wait:
            return NotRun("no free slot", 1.0)
        return await self._wait_for_slot(req, spec, visited, hops)

    async def _wait_for_slot(
        self, req: Request, spec: ServiceSpec, visited: list[str], hops: int
    ) -> Result | NotRun:
        """Wait for a slot, locally or at the peer with the shortest expected wait.

        Return ``NotRun`` if the request could not end before its deadline.
        """
        pool = self.slots.pool
        # A request that starts too late would be abandoned before its answer.
        run_s = RUN_TIME_FACTOR * pool.expected_run_s(spec.name)
        left_s = req.deadline - self.clock.monotonic() - run_s
        local_wait_s = pool.expected_wait_s(spec.name)
        peer_wait = self.peers.shortest_wait(spec.name, visited) if hops > 0 else None
        if peer_wait is not None and peer_wait.wait_s < min(local_wait_s, left_s):
            return await self._forward(peer_wait.vm, req, spec, visited, hops, True)
        if left_s <= 0 or local_wait_s > left_s:
            REFUSED.labels(spec.name, "deadline").inc()
            status = 504 if pool.capacity(spec.name) else 503
            return NotRun(
                "no slot is expected before the deadline", local_wait_s, status
            )
        if pool.waiting(spec.name) >= self.settings.max_queue_per_class:
            REFUSED.labels(spec.name, "queue").inc()
            return NotRun("too many requests are waiting", local_wait_s, 503)
        slot = await pool.wait(spec.name, left_s)
        if slot is None:
            REFUSED.labels(spec.name, "deadline").inc()
            return NotRun("no slot was free before the deadline", local_wait_s, 504)
        return await self._run_on_slot(slot, req, spec)

    async def _run_on_slot(self, slot: Slot, req: Request, spec: ServiceSpec) -> Result:
        now = self.clock.monotonic()
        dispatch = Dispatch(now, slot.run_limit_s, req.deadline, slot.share)
        dispatch.start(self._exchange(dispatch, slot, req, spec))
        return await self._wait_until_deadline(dispatch)

    async def _wait_until_deadline(self, dispatch: Dispatch) -> Result:
        """Return the result of a dispatch, or an unknown outcome at the deadline.

        The dispatch continues, so that its slot becomes free when the server answers.
        """
        self._running.add(dispatch)
        result = await dispatch.wait(self.clock.monotonic())
        if result is not None:
            return result
        if dispatch.run_until < dispatch.deadline:
            return OutcomeUnknown("no answer within the run limit")
        return OutcomeUnknown("no answer before the deadline")

    async def _exchange(
        self, dispatch: Dispatch, slot: Slot, req: Request, spec: ServiceSpec
    ) -> None:
        share = slot.share
        channel = self.channels.take(share.address)
        result: Result = OutcomeUnknown("no answer within the run limit")
        try:
            result = await channel.exchange(
                req,
                req.path,
                spec.max_answer_bytes,
                lambda: self._mark_sent(slot),
            )
        finally:
            max_idle = 0 if share.is_leaving else share.limit
            self.channels.return_to_pool(channel, max_idle)
            self.slots.return_to_pool(slot, not isinstance(result, OutcomeUnknown))
            self._record_result(slot, channel, result)
            self._running.discard(dispatch)
            dispatch.finish(result)

    def _mark_sent(self, slot: Slot) -> bool:
        if not self.slots.pool.may_send(slot):
            return False
        slot.sent_at = self.clock.monotonic()
        return True

    def _record_result(self, slot: Slot, channel: Channel, result: Result) -> None:
        """Update the state and latency of a server from the result of a request."""
        share = slot.share
        now = self.clock.monotonic()
        if channel.state == STATE_LEAVING:
            share.reports_leaving = True
        if isinstance(result, Answer):
            share.answered_at = now
            share.record_latency(now - slot.sent_at, now)
            return
        BACKEND_ERRORS.labels(slot.server.service, type(result).__name__).inc()
        if isinstance(result, Unavailable):
            share.start_backoff(now)
        else:
            share.record_latency(now - slot.taken_at, now)

    async def _attempt_old(self, req: Request, spec: ServiceSpec) -> Result:
        now = self.clock.monotonic()
        dispatch = Dispatch(now, spec.max_run_s, req.deadline)
        dispatch.start(self._exchange_old(dispatch, req, spec))
        return await self._wait_until_deadline(dispatch)

    async def _exchange_old(
        self, dispatch: Dispatch, req: Request, spec: ServiceSpec
    ) -> None:
        channel = self.channels.take(self.old_address)
        result: Result = OutcomeUnknown("no answer within the run limit")
        path = f"/{spec.name}{req.path}"
        try:
            result = await channel.exchange(
                req, path, spec.max_answer_bytes, lambda: True
            )
        finally:
            self.channels.return_to_pool(channel, MAX_IDLE_UNOWNED)
            self._running.discard(dispatch)
            dispatch.finish(result)

    async def _forward(
        self,
        vm: str,
        req: Request,
        spec: ServiceSpec,
        visited: list[str],
        hops: int,
        may_wait: bool,
    ) -> Result:
        """Send a request to a peer and return the result.

        A peer that did not run the request is added to ``visited``.
        """
        left_s = req.deadline - self.clock.monotonic()
        message = Forward.from_request(req, left_s, hops - 1, visited, may_wait)
        key = (vm, spec.name)
        self.peers.in_flight[key] += 1
        try:
            reply = await self._call(vm, message, left_s + FORWARD_MARGIN_S)
        finally:
            self.peers.in_flight[key] -= 1
        FORWARDS.labels(spec.name, type(reply).__name__).inc()
        if isinstance(reply, NotRun | Unavailable):
            visited.append(vm)
            return Unavailable(reply.reason)
        return reply

    async def _call(
        self, vm: str, message: Forward, timeout_s: float
    ) -> Answer | NotRun | OutcomeUnknown | Unavailable:
        reply = await self.membership.call(vm, message, timeout_s)
        return reply.to_result() if isinstance(reply, Forwarded) else reply

    def _budget(self, spec: ServiceSpec) -> RetryPolicy:
        if spec.name not in self._budgets:
            self._budgets[spec.name] = self._retry_policy()
        return self._budgets[spec.name]

    async def _run_trim(self) -> None:
        while True:
            await asyncio.sleep(TRIM_PERIOD_S)
            self._cancel_expired()
            self.channels.trim(self.slots.pool.shares, [self.old_address])

    def _cancel_expired(self) -> None:
        now = self.clock.monotonic()
        for dispatch in [d for d in self._running if d.is_expired(now)]:
            dispatch.cancel()

    async def drain(self) -> None:
        """Wait until no request of callers or peers is in progress."""
        end = self.clock.monotonic() + request_drain_left_s(self.kernel)
        while self.clock.monotonic() < end and (self.in_progress or self._running):
            await asyncio.sleep(DRAIN_POLL_S)

    async def stop(self) -> None:
        """Cancel the remaining dispatches and close the connections to servers."""
        for dispatch in self._running:
            dispatch.cancel()
        await self.channels.close()
        await super().stop()


def as_answer(result: Answer | NotRun | OutcomeUnknown) -> Answer:
    """Return an answer as it is, and a failure as a problem answer."""
    return result if isinstance(result, Answer) else Answer.from_failure(result)
