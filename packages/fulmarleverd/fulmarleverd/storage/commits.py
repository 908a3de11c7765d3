"""Group commits: many changes in one transaction, inside a budget of writes."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Iterator

from fulmarlever.clock import Clock
from fulmarlever.outcomes import Conflict, Unavailable
from fulmarlever.structure.table import Applied, Change, WritePriority
from fulmarleverd.storage.table import WriteResult

MAX_ROWS_PER_COMMIT = 150
MAX_COMMITS_IN_FLIGHT = 4
MAX_WAITING_CHANGES = 20000
BURST_S = 1.0


class WriteBudget:
    """A token bucket of write transactions per second."""

    __slots__ = ("_clock", "_rate", "_tokens", "_updated")

    def __init__(self, per_s: float, clock: Clock) -> None:
        self._clock = clock
        self._rate = per_s
        self._tokens = per_s * BURST_S
        self._updated = clock.monotonic()

    def wait_s(self) -> float:
        """Take one token, or return the seconds until there is one."""
        now = self._clock.monotonic()
        earned = (now - self._updated) * self._rate
        self._tokens = min(self._rate * BURST_S, self._tokens + earned)
        self._updated = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self._rate


class _Waiting:
    """A change that waits for its commit."""

    __slots__ = ("change", "priority", "fut")

    def __init__(
        self, change: Change, priority: WritePriority, fut: asyncio.Future
    ) -> None:
        self.change = change
        self.priority = priority
        self.fut = fut

    def keys(self) -> set[str]:
        """Return every key that the change touches."""
        return {*self.change.conditions, *self.change.writes, *self.change.deletes}


class GroupCommits:
    """The queue of one daemon's writes to the table.

    Changes are sent in the order of their priorities. Changes that write a common key
    never share a transaction. When a condition of one change does not hold, that
    change gets the conflict and the others of its transaction are sent again.
    """

    def __init__(
        self,
        write: Callable[[Change], Awaitable[WriteResult]],
        budget: WriteBudget,
        linger_s: float,
    ) -> None:
        self._write = write
        self._budget = budget
        self._linger_s = linger_s
        self._queues: dict[WritePriority, deque[_Waiting]] = {
            priority: deque() for priority in WritePriority
        }
        self._wake = asyncio.Event()
        self._in_flight: set[asyncio.Task] = set()
        self._free = asyncio.Semaphore(MAX_COMMITS_IN_FLIGHT)

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    async def commit(self, change: Change, priority: WritePriority) -> WriteResult:
        """Queue a change and return its outcome."""
        if len(self) >= MAX_WAITING_CHANGES:
            return Unavailable("too many writes are waiting for the table")
        fut = asyncio.get_running_loop().create_future()
        self._queues[priority].append(_Waiting(change, priority, fut))
        self._wake.set()
        return await fut

    async def run(self) -> None:
        """Send queued changes until cancelled."""
        while True:
            await self._wake.wait()
            await asyncio.sleep(self._linger_s)
            await self._free.acquire()
            while (delay := self._budget.wait_s()) > 0:
                await asyncio.sleep(delay)
            group = self._take_group()
            if not len(self):
                self._wake.clear()
            self._start(group)

    async def flush(self) -> None:
        """Wait until nothing is queued or in flight."""
        while len(self) or self._in_flight:
            await asyncio.sleep(self._linger_s)

    def _start(self, group: list[_Waiting]) -> None:
        task = asyncio.get_running_loop().create_task(self._send(group))
        self._in_flight.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task) -> None:
        self._in_flight.discard(task)
        self._free.release()

    def _take_group(self) -> list[_Waiting]:
        group: list[_Waiting] = []
        read: dict[str, int] = {}
        written: set[str] = set()
        rows = 0
        for waiting in self._candidates():
            rows += len(waiting.keys())
            if rows > MAX_ROWS_PER_COMMIT and group:
                break
            if _clashes(waiting.change, read, written):
                continue
            group.append(waiting)
            read.update(waiting.change.conditions)
            written.update(waiting.change.writes, waiting.change.deletes)
        for waiting in group:
            self._queues[waiting.priority].remove(waiting)
        return group

    def _candidates(self) -> Iterator[_Waiting]:
        for priority in WritePriority:
            yield from self._queues[priority]

    async def _send(self, group: list[_Waiting]) -> None:
        while group:
            result = await self._write(_merge(group))
            if not isinstance(result, Conflict):
                _answer(group, result)
                return
            lost = [w for w in group if not w.keys().isdisjoint(result.keys)]
            for waiting in lost or group:
                _settle(waiting, Conflict(result.reason, result.keys))
            group = [w for w in group if lost and w not in lost]


def _clashes(change: Change, read: dict[str, int], written: set[str]) -> bool:
    """Return whether a change cannot share a transaction with those chosen."""
    touched = {*change.writes, *change.deletes}
    if not touched.isdisjoint(written) or not touched.isdisjoint(read):
        return True
    return any(
        key in written or read.get(key, version) != version
        for key, version in change.conditions.items()
    )


def _merge(group: list[_Waiting]) -> Change:
    merged = Change()
    for waiting in group:
        merged.conditions.update(waiting.change.conditions)
        merged.writes.update(waiting.change.writes)
        merged.deletes.extend(waiting.change.deletes)
        merged.ttl_s.update(waiting.change.ttl_s)
    return merged


def _answer(group: list[_Waiting], result: WriteResult) -> None:
    for waiting in group:
        if isinstance(result, Applied):
            keys = waiting.change.writes
            _settle(waiting, Applied({key: result.versions[key] for key in keys}))
        else:
            _settle(waiting, result)


def _settle(waiting: _Waiting, result: WriteResult) -> None:
    if not waiting.fut.done():
        waiting.fut.set_result(result)
