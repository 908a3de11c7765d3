"""The worker stand-in: tasks under leases, fenced by attempt and epoch."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import dataclass

from fulmarlever.clock import Clock
from fulmarlever.structure.size import DIMENSIONS, Size
from fulmarlever_standins.backend_server import LEAVING_NOTICE_S
from fulmarlever_standins.checkpoints import CheckpointStore
from fulmarlever_standins.orders import StartOrder, StopOrder, WorkerFaults
from fulmarlever_standins.runs import STEP_S, BatchRun, Run, ServiceRun


@dataclass(slots=True, frozen=True)
class Refusal:
    """A refused order, as an HTTP status and a reason."""

    status: int
    reason: str
    attempt: int = 0
    epoch: int = 0


class Worker:
    """The tasks of one worker and the rules by which it takes orders."""

    def __init__(
        self,
        name: str,
        address: str,
        size: Size,
        checkpoints: CheckpointStore,
        clock: Clock | None = None,
    ) -> None:
        self.name = name
        self.address = address
        self.size = size
        self.checkpoints = checkpoints
        self.clock = clock or Clock()
        self.faults = WorkerFaults()
        self.runs: dict[str, Run] = {}
        self.history: list[Run] = []
        self.overruns = 0
        self.max_reserved = Size()
        self._epoch = 0
        self._attempts: dict[str, int] = defaultdict(int)
        self._locks: dict[str, asyncio.Lock] = defaultdict(asyncio.Lock)

    def reserved(self) -> Size:
        """Return the sum of the sizes of the running tasks."""
        running = (run.order.size for run in self.runs.values() if run.is_running)
        return sum(running, Size())

    def usage(self) -> Size:
        """Return what the running tasks use now."""
        running = (run for run in self.runs.values() if run.is_running)
        return sum((run.usage() for run in running), Size())

    async def start(self, order: StartOrder, received: float) -> Run | Refusal:
        """Start a task, or return the run of an equal order."""
        async with self._locks[order.task]:
            await self.expire()
            refusal = self._check_token(order.task, order.attempt, order.epoch)
            if refusal is not None:
                return refusal
            known = self.runs.get(order.task)
            if known is not None and known.order.attempt == order.attempt:
                return known
            if order.attempt <= self._attempts[order.task]:
                return Refusal(409, "the attempt is over", order.attempt, order.epoch)
            if known is not None:
                await self._end(known, "stopped", "a later attempt was started")
            return await self._start_new(order, received)

    async def stop(self, order: StopOrder) -> Run | Refusal | None:
        """Stop a task and return its run, or ``None`` when it is unknown."""
        async with self._locks[order.task]:
            await self.expire()
            refusal = self._check_token(order.task, order.attempt, order.epoch)
            if refusal is not None:
                return refusal
            self._attempts[order.task] = order.attempt
            run = self.runs.get(order.task)
            if run is None:
                return None
            if run.order.attempt < order.attempt:
                await self._end(run, "stopped", "a later attempt was stopped")
                return None
            return await self._stop_run(run, order)

    async def renew(
        self, epoch: int, leases: list[dict], not_after_s: float | None = None
    ) -> Refusal | None:
        """Renew leases from the time of the call.

        An older epoch is refused, and a call after ``not_after_s`` renews nothing.
        """
        received = self.clock.monotonic()
        await self.expire()
        if epoch < self._epoch:
            return Refusal(409, "the epoch is over", epoch=self._epoch)
        self._epoch = epoch
        if self._is_late(not_after_s):
            return None
        for lease in leases:
            run = self.runs.get(lease["task"])
            if run is not None and run.order.attempt == lease["attempt"]:
                run.lease_end = max(run.lease_end, received + lease["lease_s"])
        return None

    def acknowledge(self, tasks: list[dict]) -> None:
        """Forget ended runs whose end has been recorded."""
        for item in tasks:
            run = self.runs.get(item["task"])
            is_same = run is not None and run.order.attempt == item["attempt"]
            if is_same and not run.is_running:
                del self.runs[item["task"]]

    def throttle(
        self, task: str, attempt: int, epoch: int, share: float
    ) -> Refusal | None:
        """Limit a running task to a share of its speed."""
        refusal = self._check_token(task, attempt, epoch)
        if refusal is not None:
            return refusal
        run = self.runs.get(task)
        if run is None or run.order.attempt != attempt:
            return Refusal(409, "no such attempt", self._attempts[task], epoch)
        run.share = max(0.0, min(1.0, share))
        return None

    async def expire(self) -> None:
        """Stop every run whose lease is over."""
        now = self.clock.monotonic()
        for run in list(self.runs.values()):
            if run.is_running and run.lease_end <= now:
                await self._end(run, "stopped", "the lease is over")

    async def watch(self) -> None:
        """Enforce leases and sample the usage until cancelled."""
        while True:
            await self.expire()
            for run in self.runs.values():
                if run.is_running:
                    run.sample(self.faults.usage_factor.get(run.order.kind, 1.0))
            await asyncio.sleep(STEP_S)

    async def close(self, drain_s: float) -> None:
        """Stop every run, after its requests in progress."""
        running = [run for run in self.runs.values() if run.is_running]
        await asyncio.gather(*(run.drain(drain_s, notice_s=0.0) for run in running))
        for run in running:
            await self._end(run, "stopped", "the worker was stopped")

    def service_slow_factor(self, in_progress: int) -> float:
        """Return how many times longer a request takes, by faults and other work."""
        slowdown = sum(
            self.faults.interference.get(run.order.kind, 0.0) * run.share
            for run in self.runs.values()
            if run.is_running and not run.is_service
        )
        slowdown += self.faults.contention * max(0, in_progress - 1)
        return self.faults.slow_factor * (1.0 + slowdown)

    async def _start_new(self, order: StartOrder, received: float) -> Run | Refusal:
        if self.faults.fail_starts:
            return Refusal(500, "the worker failed to start the task")
        progress = await self.checkpoints.load(order.checkpoint)
        if progress is None:
            return Refusal(503, "the checkpoint could not be read")
        if self._is_late(order.not_after_s):
            return Refusal(409, "the order came too late")
        reserved = self.reserved() + order.size
        excess = ", ".join(reserved.dimensions_exceeding(self.size))
        if excess:
            self.overruns += 1
            return Refusal(507, f"does not fit: {excess}")
        run = self._build(order, received, progress)
        self._attempts[order.task] = order.attempt
        self.runs[order.task] = run
        self.history.append(run)
        self._note_reserved(reserved)
        await run.start()
        return run

    def _build(self, order: StartOrder, received: float, progress: float) -> Run:
        if order.service is not None:
            return ServiceRun(
                order, self.clock, received, self.address, self.service_slow_factor
            )
        return BatchRun(
            order,
            self.clock,
            received,
            progress,
            lambda: self.faults.slow_factor,
            lambda: self.faults.fail_tasks,
        )

    async def _stop_run(self, run: Run, order: StopOrder) -> Run | Refusal:
        if not run.is_running:
            return run
        if isinstance(run, BatchRun) and order.checkpoint:
            run.is_paused = True
            name = await self.checkpoints.save(run)
            run.is_paused = False
            if not name and run.is_running:
                return Refusal(503, "the checkpoint could not be written")
            run.checkpoint = name or run.checkpoint
        await run.drain(order.drain_s, LEAVING_NOTICE_S)
        await self._end(run, "stopped", "stopped on request")
        return run

    async def _end(self, run: Run, state: str, reason: str) -> None:
        run.end(state, reason)
        await run.close()

    def _is_late(self, not_after_s: float | None) -> bool:
        return not_after_s is not None and self.clock.monotonic() > not_after_s

    def _check_token(self, task: str, attempt: int, epoch: int) -> Refusal | None:
        known = self._attempts[task]
        if epoch < self._epoch:
            return Refusal(409, "the epoch is over", known, self._epoch)
        self._epoch = epoch
        if attempt < known:
            return Refusal(409, "the attempt is over", known, self._epoch)
        return None

    def _note_reserved(self, reserved: Size) -> None:
        highest = (
            max(getattr(reserved, name), getattr(self.max_reserved, name))
            for name in DIMENSIONS
        )
        self.max_reserved = Size(*highest)
