"""Group commit: several changes in one transaction, at a limited rate of writes."""

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
MAX_QUEUED_CHANGES = 20000
BURST_S = 1.0


class WriteRateLimiter:
    """A token bucket that limits the write transactions per second.

    The bucket holds the tokens of ``BURST_S`` seconds and is full at the start.
    """

    __slots__ = ("_clock", "_writes_per_s", "_tokens", "_refilled_at")

    def __init__(self, writes_per_s: float, clock: Clock) -> None:
        self._clock = clock
        self._writes_per_s = writes_per_s
        self._tokens = writes_per_s * BURST_S
        self._refilled_at = clock.monotonic()

    def try_acquire(self) -> float:
        """Take one token and return 0, or return the seconds until one is available."""
        now = self._clock.monotonic()
        refilled = (now - self._refilled_at) * self._writes_per_s
        self._tokens = min(self._writes_per_s * BURST_S, self._tokens + refilled)
        self._refilled_at = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self._writes_per_s


class _QueuedChange:
    """A change in the queue and the future of its result."""

    __slots__ = ("change", "priority", "fut")

    def __init__(
        self, change: Change, priority: WritePriority, fut: asyncio.Future
    ) -> None:
        self.change = change
        self.priority = priority
        self.fut = fut

    def keys(self) -> set[str]:
        """Return every key that the change reads, writes or deletes."""
        return {*self.change.conditions, *self.change.writes, *self.change.deletes}


class GroupCommitQueue:
    """Queues one daemon's writes to the table and combines them into transactions.

    Changes are sent in the order of their priorities. Changes that write a common key
    never share a transaction. When a condition of one change does not hold, that
    change alone fails with ``Conflict``, and the others of its transaction are sent
    again. ``batch_delay_s`` is the time to wait for more changes before a transaction.
    """

    def __init__(
        self,
        write: Callable[[Change], Awaitable[WriteResult]],
        rate_limiter: WriteRateLimiter,
        batch_delay_s: float,
    ) -> None:
        self._write = write
        self._rate_limiter = rate_limiter
        self._batch_delay_s = batch_delay_s
        self._queues: dict[WritePriority, deque[_QueuedChange]] = {
            priority: deque() for priority in WritePriority
        }
        self._has_changes = asyncio.Event()
        self._in_flight: set[asyncio.Task] = set()
        self._commit_slots = asyncio.Semaphore(MAX_COMMITS_IN_FLIGHT)

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    async def commit(self, change: Change, priority: WritePriority) -> WriteResult:
        """Queue a change, wait for its transaction and return the result.

        Return ``Unavailable`` at once when ``MAX_QUEUED_CHANGES`` are waiting.
        """
        if len(self) >= MAX_QUEUED_CHANGES:
            return Unavailable("too many writes are queued for the table")
        fut = asyncio.get_running_loop().create_future()
        self._queues[priority].append(_QueuedChange(change, priority, fut))
        self._has_changes.set()
        return await fut

    async def run(self) -> None:
        """Send the queued changes until cancelled."""
        while True:
            await self._has_changes.wait()
            await asyncio.sleep(self._batch_delay_s)
            await self._commit_slots.acquire()
            while (delay := self._rate_limiter.try_acquire()) > 0:
                await asyncio.sleep(delay)
            group = self._select_group()
            if not len(self):
                self._has_changes.clear()
            self._start_commit(group)

    async def flush(self) -> None:
        """Wait until nothing is queued or in flight."""
        while len(self) or self._in_flight:
            await asyncio.sleep(self._batch_delay_s)

    def _start_commit(self, group: list[_QueuedChange]) -> None:
        task = asyncio.get_running_loop().create_task(self._send(group))
        self._in_flight.add(task)
        task.add_done_callback(self._release_slot)

    def _release_slot(self, task: asyncio.Task) -> None:
        self._in_flight.discard(task)
        self._commit_slots.release()

    def _select_group(self) -> list[_QueuedChange]:
        group: list[_QueuedChange] = []
        read: dict[str, int] = {}
        written: set[str] = set()
        rows = 0
        for queued in self._candidates():
            rows += len(queued.keys())
            if rows > MAX_ROWS_PER_COMMIT and group:
                break
            if _conflicts_with(queued.change, read, written):
                continue
            group.append(queued)
            read.update(queued.change.conditions)
            written.update(queued.change.writes, queued.change.deletes)
        for queued in group:
            self._queues[queued.priority].remove(queued)
        return group

    def _candidates(self) -> Iterator[_QueuedChange]:
        for priority in WritePriority:
            yield from self._queues[priority]

    async def _send(self, group: list[_QueuedChange]) -> None:
        while group:
            result = await self._write(_merge(group))
            if not isinstance(result, Conflict):
                _set_group_result(group, result)
                return
            conflicting = [
                queued for queued in group if not queued.keys().isdisjoint(result.keys)
            ]
            for queued in conflicting or group:
                _set_result(queued, Conflict(result.reason, result.keys))
            group = [
                queued for queued in group if conflicting and queued not in conflicting
            ]


def _conflicts_with(change: Change, read: dict[str, int], written: set[str]) -> bool:
    """Return whether a change cannot join a transaction.

    ``read`` has the versions that the transaction's conditions expect and ``written``
    the keys that it writes or deletes.
    """
    changed = {*change.writes, *change.deletes}
    if not changed.isdisjoint(written) or not changed.isdisjoint(read):
        return True
    return any(
        key in written or read.get(key, version) != version
        for key, version in change.conditions.items()
    )


def _merge(group: list[_QueuedChange]) -> Change:
    merged = Change()
    for queued in group:
        merged.conditions.update(queued.change.conditions)
        merged.writes.update(queued.change.writes)
        merged.deletes.extend(queued.change.deletes)
        merged.ttl_s.update(queued.change.ttl_s)
    return merged


def _set_group_result(group: list[_QueuedChange], result: WriteResult) -> None:
    for queued in group:
        if isinstance(result, Applied):
            keys = queued.change.writes
            _set_result(queued, Applied({key: result.versions[key] for key in keys}))
        else:
            _set_result(queued, result)


def _set_result(queued: _QueuedChange, result: WriteResult) -> None:
    if not queued.fut.done():
        queued.fut.set_result(result)
