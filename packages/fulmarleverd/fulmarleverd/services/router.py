"""The service ``router``: the way of a request from admission to its answer."""

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
from fulmarleverd.requests.draining import requests_left_s
from fulmarleverd.requests.exchange import Channel, Result
from fulmarleverd.requests.forwarding import PeerChooser
from fulmarleverd.requests.headers import STATE_LEAVING
from fulmarleverd.requests.metrics import (
    BACKEND_ERRORS,
    FORWARDS,
    REFUSED,
    RETRIES,
)
from fulmarleverd.requests.server_share import Slot
from fulmarleverd.services.claims import Claim

MAX_TRIES = 4
MAX_HOPS = 1
FORWARD_MARGIN_S = 0.25
RETRY_POLICY = "budget"
RUN_ALLOWANCE = 2.0
"""How many times the mean run time a waiting request keeps for its run."""

TRIM_S = 0.25
DRAIN_STEP_S = 0.02


@SERVICES.register("router")
class Router(Service):
    """Finds a slot for each request, here or at a peer, and returns its answer."""

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
        """Find the other services and begin to take forwarded requests."""
        self.config = self.kernel.find("config")
        self.admission = self.kernel.find("admission")
        self.claims = self.kernel.find("claims")
        self.slots = self.kernel.find("slots")
        self.membership = self.kernel.find("membership")
        self.peers = PeerChooser(self.membership, self.settings.zone, self._rng)
        self.membership.handle(Forward, self.handle_forward)
        self.spawn(self._trim(), "router trim")

    async def handle(self, req: Request) -> Answer:
        """Return the answer to a caller's request, or a problem answer."""
        spec = self.config.current().services.get(req.service)
        if spec is None:
            return Answer.from_problem(404, "Unknown service", req.service)
        ticket = self.admission.enter(req)
        if failed(ticket):
            return Answer.from_failure(ticket)
        self.in_progress += 1
        try:
            return await self._claimed(req, spec)
        finally:
            self.in_progress -= 1
            self.admission.leave(ticket)

    async def _claimed(self, req: Request, spec: ServiceSpec) -> Answer:
        if not req.key or spec.is_idempotent(req.method, req.path):
            return as_answer(await self._run(req, spec))
        claim = await self.claims.begin(
            spec.name, req.key, req.digest(), spec.claim_required
        )
        if not isinstance(claim, Claim):
            return claim if isinstance(claim, Answer) else Answer.from_failure(claim)
        result = await self._run(req, spec)
        answer = as_answer(result)
        if isinstance(result, NotRun):
            self.claims.release(claim)
        else:
            await self.claims.finish(claim, answer)
        return answer

    async def _run(
        self, req: Request, spec: ServiceSpec
    ) -> Answer | NotRun | OutcomeUnknown:
        """Try a request until it has an answer or may not be sent again."""
        is_old = bool(self.settings.old_setup) and req.hash_fraction() >= spec.new_share
        budget = self._budget(spec)
        budget.count_request(spec.retry_budget)
        is_idempotent = spec.is_idempotent(req.method, req.path)
        visited = [self.settings.vm]
        unknown: OutcomeUnknown | None = None
        reason = "no backend server could be reached"
        for _ in range(MAX_TRIES):
            if req.deadline <= self.clock.monotonic():
                reason = "the deadline is over"
                break
            if is_old:
                result = await self._try_old(req, spec)
            else:
                result = await self._try(req, spec, visited, MAX_HOPS, True)
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
        """Run the request of a peer on a slot of this daemon."""
        req = message.to_request(self.clock.monotonic())
        spec = self.config.current().services.get(req.service)
        if spec is None or self.kernel.is_draining:
            return Forwarded.from_result(NotRun("not served here", 1.0))
        visited = [*message.visited, self.settings.vm]
        self.in_progress += 1
        try:
            result = await self._try(req, spec, visited, message.hops, message.may_wait)
        finally:
            self.in_progress -= 1
        return Forwarded.from_result(result)

    async def _try(
        self,
        req: Request,
        spec: ServiceSpec,
        visited: list[str],
        hops: int,
        may_wait: bool,
    ) -> Result | NotRun:
        """Run a request once: on an own slot, at a peer, or after a wait."""
        slot = self.slots.take(spec.name)
        if slot is not None:
            return await self._run_on(slot, req, spec)
        if hops > 0:
            vm = self.peers.free_peer(spec.name, visited)
            if vm is not None:
                return await self._forward(vm, req, spec, visited, hops, False)
        if not may_wait:
            return NotRun("no free slot", 1.0)
        return await self._wait(req, spec, visited, hops)

    async def _wait(
        self, req: Request, spec: ServiceSpec, visited: list[str], hops: int
    ) -> Result | NotRun:
        """Wait for a slot where the wait is shortest, if the deadline allows it."""
        pool = self.slots.pool
        # A request that starts later than this would be given up before its answer.
        run_s = RUN_ALLOWANCE * pool.expected_run_s(spec.name)
        left_s = req.deadline - self.clock.monotonic() - run_s
        own_s = pool.expected_wait_s(spec.name)
        place = self.peers.best_wait(spec.name, visited) if hops > 0 else None
        if place is not None and place.wait_s < min(own_s, left_s):
            return await self._forward(place.vm, req, spec, visited, hops, True)
        if left_s <= 0 or own_s > left_s:
            REFUSED.labels(spec.name, "deadline").inc()
            status = 504 if pool.capacity(spec.name) else 503
            return NotRun("no slot is free in time", own_s, status)
        if pool.waiting(spec.name) >= self.settings.max_queue_per_class:
            REFUSED.labels(spec.name, "queue").inc()
            return NotRun("too many requests wait", own_s, 503)
        slot = await pool.wait(spec.name, left_s)
        if slot is None:
            REFUSED.labels(spec.name, "deadline").inc()
            return NotRun("no slot was free in time", own_s, 504)
        return await self._run_on(slot, req, spec)

    async def _run_on(self, slot: Slot, req: Request, spec: ServiceSpec) -> Result:
        now = self.clock.monotonic()
        dispatch = Dispatch(now, slot.run_limit_s, req.deadline, slot.share)
        dispatch.start(self._exchange(dispatch, slot, req, spec))
        return await self._until_deadline(dispatch)

    async def _until_deadline(self, dispatch: Dispatch) -> Result:
        """Return the result of a dispatch, or an unknown outcome when time is over.

        The dispatch goes on, so that its slot becomes free when the server answers.
        """
        self._running.add(dispatch)
        result = await dispatch.wait(self.clock.monotonic())
        if result is not None:
            return result
        if dispatch.run_until < dispatch.deadline:
            return OutcomeUnknown("no answer within the longest run time")
        return OutcomeUnknown("no answer before the deadline")

    async def _exchange(
        self, dispatch: Dispatch, slot: Slot, req: Request, spec: ServiceSpec
    ) -> None:
        share = slot.share
        channel = self.channels.take(share.address)
        result: Result = OutcomeUnknown("no answer within the longest run time")
        try:
            result = await channel.exchange(
                req,
                req.path,
                spec.max_answer_bytes,
                lambda: self._mark_sent(slot),
            )
        finally:
            most_idle = 0 if share.is_leaving else share.limit
            self.channels.give_back(channel, most_idle)
            self.slots.give_back(slot, not isinstance(result, OutcomeUnknown))
            self._judge(slot, channel, result)
            self._running.discard(dispatch)
            dispatch.finish(result)

    def _mark_sent(self, slot: Slot) -> bool:
        if not self.slots.pool.may_send(slot):
            return False
        slot.sent_at = self.clock.monotonic()
        return True

    def _judge(self, slot: Slot, channel: Channel, result: Result) -> None:
        """Learn from the result of a request how its server does."""
        share = slot.share
        now = self.clock.monotonic()
        if channel.state == STATE_LEAVING:
            share.says_leaving = True
        if isinstance(result, Answer):
            share.answered_at = now
            share.measure(now - slot.sent_at, now)
            return
        BACKEND_ERRORS.labels(slot.server.service, type(result).__name__).inc()
        if isinstance(result, Unavailable):
            share.block(now)
        else:
            share.measure(now - slot.taken_at, now)

    async def _try_old(self, req: Request, spec: ServiceSpec) -> Result:
        now = self.clock.monotonic()
        dispatch = Dispatch(now, spec.max_run_s, req.deadline)
        dispatch.start(self._exchange_old(dispatch, req, spec))
        return await self._until_deadline(dispatch)

    async def _exchange_old(
        self, dispatch: Dispatch, req: Request, spec: ServiceSpec
    ) -> None:
        channel = self.channels.take(self.old_address)
        result: Result = OutcomeUnknown("no answer within the longest run time")
        path = f"/{spec.name}{req.path}"
        try:
            result = await channel.exchange(
                req, path, spec.max_answer_bytes, lambda: True
            )
        finally:
            self.channels.give_back(channel, MAX_IDLE_UNOWNED)
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
        """Send a request to a peer and return what became of it.

        A peer that did not run it counts as visited from then on.
        """
        left_s = req.deadline - self.clock.monotonic()
        message = Forward.from_request(req, left_s, hops - 1, visited, may_wait)
        key = (vm, spec.name)
        self.peers.under_way[key] += 1
        try:
            reply = await self._call(vm, message, left_s + FORWARD_MARGIN_S)
        finally:
            self.peers.under_way[key] -= 1
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

    async def _trim(self) -> None:
        while True:
            await asyncio.sleep(TRIM_S)
            self._end_late_dispatches()
            self.channels.trim(self.slots.pool.shares, [self.old_address])

    def _end_late_dispatches(self) -> None:
        now = self.clock.monotonic()
        for dispatch in [d for d in self._running if d.is_over(now)]:
            dispatch.cancel()

    async def drain(self) -> None:
        """Wait until no request is in progress, here or for a peer."""
        end = self.clock.monotonic() + requests_left_s(self.kernel)
        while self.clock.monotonic() < end and (self.in_progress or self._running):
            await asyncio.sleep(DRAIN_STEP_S)

    async def stop(self) -> None:
        """End what is left and close the connections to backend servers."""
        for dispatch in self._running:
            dispatch.cancel()
        await self.channels.close()
        await super().stop()


def as_answer(result: Answer | NotRun | OutcomeUnknown) -> Answer:
    """Return an answer to the caller in either case."""
    return result if isinstance(result, Answer) else Answer.from_failure(result)
