"""The runs of tasks on a simulated worker: batch work and service instances."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from fulmarlever.clock import Clock
from fulmarlever.structure.size import Size
from fulmarlever_standins.backend import Backend
from fulmarlever_standins.backend_server import BackendServer
from fulmarlever_standins.orders import StartOrder

TICK_S = 0.05
MAX_STEP_S = 0.25
USAGE_SAMPLES = 400
IDLE_CORES_FRACTION = 0.1
SERVICE_MEMORY_FRACTION = 0.6


class Run:
    """One attempt of a task, with its lease, state and usage samples.

    ``received`` and ``lease_end`` are monotonic times in seconds, ``started`` and
    ``ended`` Unix times. ``progress`` and ``share``, the share of full speed, range
    from 0 to 1. ``state`` is ``running``, ``done``, ``failed`` or ``stopped``.
    """

    is_service = False

    def __init__(self, order: StartOrder, clock: Clock, received: float) -> None:
        self.order = order
        self.clock = clock
        self.lease_end = received + order.lease_s
        self.state = "running"
        self.reason = ""
        self.result = ""
        self.checkpoint = order.checkpoint
        self.progress = 0.0
        self.share = 1.0
        self.started = clock.wall()
        self.ended: float | None = None
        self.samples: deque[tuple[float, Size]] = deque(maxlen=USAGE_SAMPLES)

    @property
    def is_running(self) -> bool:
        """Return whether the run has not ended; only then its size is reserved."""
        return self.state == "running"

    @property
    def in_progress(self) -> int:
        """Return the number of requests in progress."""
        return 0

    def usage(self) -> Size:
        """Return the current usage."""
        return self.order.size

    def sample(self, factor: float) -> None:
        """Record the current usage, multiplied by a factor, for later reports."""
        used = self.usage()
        scaled = Size(used.cores * factor, used.memory_mib * factor)
        self.samples.append((self.clock.monotonic(), scaled))

    def reported_usage(self, lag_s: float) -> tuple[Size, float]:
        """Return the latest usage that is at least ``lag_s`` seconds old, and its age.

        Without such a sample, return an empty size and ``lag_s``.
        """
        now = self.clock.monotonic()
        for time, used in reversed(self.samples):
            if now - time >= lag_s:
                return used, now - time
        return Size(), lag_s

    def end(self, state: str, reason: str = "", result: str = "") -> None:
        """Enter a final state, unless the run has ended before."""
        if self.is_running:
            self.state = state
            self.reason = reason
            self.result = result
            self.ended = self.clock.wall()

    async def start(self) -> None:
        """Begin the work."""

    async def drain(self, limit_s: float, notice_s: float) -> None:
        """Wait for requests in progress before a planned stop.

        The wait takes ``limit_s`` seconds at most. A service instance announces the
        stop to its clients for at least ``notice_s`` seconds.
        """

    async def close(self) -> None:
        """Release the resources of the run, in any state."""

    def to_record(self) -> dict:
        """Return the run as one entry of ``runs`` in the worker's record."""
        return {
            "task": self.order.task,
            "attempt": self.order.attempt,
            "start": self.started,
            "end": self.ended,
            "state": self.state,
            "resumed_from": self.order.checkpoint,
        }


class BatchRun(Run):
    """A batch task whose progress is proportional to its share of full speed."""

    def __init__(
        self,
        order: StartOrder,
        clock: Clock,
        received: float,
        progress: float,
        slow_factor: Callable[[], float],
        fails: Callable[[], bool],
    ) -> None:
        super().__init__(order, clock, received)
        self.progress = progress
        self.is_paused = False
        self._slow_factor = slow_factor
        self._fails = fails
        self._work: asyncio.Task | None = None

    def usage(self) -> Size:
        """Return the actual usage of the work, with cores scaled by the share."""
        uses = self.order.work.uses or self.order.size
        return Size(uses.cores * self.share, uses.memory_mib)

    async def start(self) -> None:
        """Begin the work at the progress of the checkpoint."""
        self._work = asyncio.create_task(self._advance())

    async def close(self) -> None:
        """Cancel the work."""
        if self._work is not None:
            self._work.cancel()

    async def _advance(self) -> None:
        before = self.clock.monotonic()
        while self.progress < 1.0 and self.is_running:
            await asyncio.sleep(TICK_S)
            now = self.clock.monotonic()
            # The cap keeps a suspended process from counting the time as progress.
            step_s = min(now - before, MAX_STEP_S)
            before = now
            self._add_progress(step_s)
        self._finish()

    def _add_progress(self, step_s: float) -> None:
        if self.is_paused:
            return
        seconds = max(self.order.work.seconds, TICK_S) * self._slow_factor()
        self.progress = min(1.0, self.progress + step_s * self.share / seconds)

    def _finish(self) -> None:
        if self.order.work.fails or self._fails():
            self.end("failed", reason="the task ended with an error")
            return
        self.end("done", result=f"{self.order.task} attempt {self.order.attempt}")


class ServiceRun(Run):
    """A service instance, which is a backend server on a port of its own."""

    is_service = True

    def __init__(
        self,
        order: StartOrder,
        clock: Clock,
        received: float,
        address: str,
        slow_factor: Callable[[int], float],
    ) -> None:
        super().__init__(order, clock, received)
        limits = order.service or {}
        self._is_closed = False
        self.backend = Backend(clock, int(limits.get("slots", 8)), slow_factor)
        self.server = BackendServer(
            self.backend, address, int(limits.get("connections", 64))
        )

    @property
    def in_progress(self) -> int:
        """Return the number of requests in progress."""
        return self.backend.in_progress

    def usage(self) -> Size:
        """Return a usage whose cores grow with the number of requests in progress."""
        size = self.order.size
        busy = self.backend.in_progress / self.backend.slots
        fraction = IDLE_CORES_FRACTION + (1.0 - IDLE_CORES_FRACTION) * busy
        return Size(size.cores * fraction, size.memory_mib * SERVICE_MEMORY_FRACTION)

    async def start(self) -> None:
        """Listen for requests."""
        await self.server.start()

    async def drain(self, limit_s: float, notice_s: float) -> None:
        """Announce that the server leaves and wait for the requests in progress."""
        await self.server.drain(limit_s, notice_s)

    async def close(self) -> None:
        """Close the port, unless it has been closed before."""
        if not self._is_closed:
            self._is_closed = True
            await self.server.stop()
