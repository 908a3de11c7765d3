"""An open-loop load generator: it does not wait for answers to earlier requests."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from fulmarlever_standins.balancer import Balancer
from fulmarlever_standins.caller import Caller, CallerRequest, CallerResult, Reply


@dataclass(slots=True, frozen=True)
class LoadSpec:
    """One stream of requests to a service, with Poisson arrivals of a mean rate.

    ``post_part`` is the fraction of POST requests, to ``post_path`` and with a body of
    ``body_bytes`` bytes; the others are GET. ``slow_part`` is the fraction of requests
    that take ``slow_work_ms`` instead of ``work_ms``. Equal specs give equal requests.
    """

    service: str
    rate_per_s: float
    work_ms: int = 10
    post_part: float = 0.5
    answer_bytes: int = 512
    body_bytes: int = 256
    deadline_ms: int = 0
    seed: int = 1
    name: str = "load"
    post_path: str = "orders"
    slow_part: float = 0.0
    slow_work_ms: int = 0

    def requests(self) -> Iterator[tuple[float, CallerRequest]]:
        """Yield an infinite stream of requests, each with the pause before it in s."""
        rng = random.Random(self.seed)
        number = 0
        while True:
            number += 1
            yield rng.expovariate(self.rate_per_s), self._request(rng, number)

    def _request(self, rng: random.Random, number: int) -> CallerRequest:
        request_id = f"{self.name}-{self.seed}-{number}"
        is_slow = rng.random() < self.slow_part
        is_post = rng.random() < self.post_part
        return CallerRequest(
            request_id=request_id,
            service=self.service,
            method="POST" if is_post else "GET",
            path=self.post_path if is_post else "items",
            body=rng.randbytes(self.body_bytes) if is_post else b"",
            key=f"key-{request_id}" if is_post else "",
            work_ms=self.slow_work_ms if is_slow else self.work_ms,
            answer_bytes=self.answer_bytes,
            deadline_ms=self.deadline_ms,
        )


@dataclass(slots=True)
class Load:
    """A load, its results so far and its unfinished requests."""

    spec: LoadSpec
    balancer: Balancer
    caller: Caller
    results: list[CallerResult] = field(default_factory=list)
    unfinished: set[asyncio.Task] = field(default_factory=set)

    async def run(self, duration_s: float) -> list[CallerResult]:
        """Send requests for ``duration_s`` seconds and wait for all their results."""
        start = time.monotonic()
        due_s = start
        for pause_s, request in self.spec.requests():
            due_s += pause_s
            if due_s > start + duration_s:
                break
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            self._send(request)
        if self.unfinished:
            await asyncio.wait(self.unfinished)
        return self.results

    def counts(self) -> Counter[Reply]:
        """Return the number of results by reply."""
        return Counter(result.reply for result in self.results)

    def _send(self, request: CallerRequest) -> None:
        task = asyncio.create_task(self._send_one(request))
        self.unfinished.add(task)
        task.add_done_callback(self.unfinished.discard)

    async def _send_one(self, request: CallerRequest) -> None:
        vm = self.balancer.choose()
        self.results.append(await self.caller.send(request, vm.name, vm.caller_address))
