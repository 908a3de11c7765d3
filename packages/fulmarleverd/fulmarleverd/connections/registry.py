"""The open connections of a server, and which of them is closed to make room."""

from __future__ import annotations

import asyncio
import heapq
import math
from collections import Counter
from collections.abc import Callable, Iterator
from enum import Enum
from typing import Protocol

from fulmarleverd.connections.budget import ByteBudget, Reservation, SpareChunks
from fulmarleverd.connections.framing import LimitExceeded
from fulmarleverd.connections.limits import ConnectionLimits
from fulmarleverd.connections.metrics import (
    BUFFERED_BYTES,
    OPEN_CONNECTIONS,
    REFUSED_CONNECTIONS,
)
from fulmarleverd.connections.refusal_log import RefusalLog

SWEEP_INTERVAL_S = 0.25
# After a refusal the client has this time to read it and to close the connection.
LINGER_S = 1.0
# When a client that finds no room may come back, in seconds.
RETRY_AFTER_S = 1.0
# Looking for the slowest requests takes time in proportion to their number, so that
# several are found at a time, and not for each request that finds no budget.
SEARCH_INTERVAL_S = 0.1
VICTIMS_PER_SEARCH = 32


class Phase(Enum):
    """What a connection waits for.

    ``FRESH`` connections have sent nothing yet, ``IDLE`` ones wait for another request.
    ``BUSY`` ones wait for the answer to a complete request, and ``CLOSING`` ones for
    the client to close them after a refusal.
    """

    FRESH = "fresh"
    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    BUSY = "busy"
    CLOSING = "closing"


class Connection(Protocol):
    """What the registry requires of a connection.

    Times are those of ``ConnectionRegistry.now``, in seconds. ``phase_since_s`` is when
    its phase began, ``begun_s`` when the first byte of the request came, and
    ``last_byte_s`` when the last one came. ``received_bytes`` are those of the request
    so far, ``peer`` is the address of the client.
    """

    phase: Phase
    phase_since_s: float
    begun_s: float
    last_byte_s: float
    received_bytes: int
    reservation: Reservation
    peer: str

    def refuse(self, exc: LimitExceeded) -> None:
        """Answer with a refusal, if there is a request, and close the connection."""

    def abort(self) -> None:
        """Close the connection at once and remove it."""

    def unsent_bytes(self) -> int:
        """Return the bytes of answers that the client hasn't taken yet."""


class ConnectionRegistry:
    """The connections of a server by phase, and the budget that they share.

    ``find_limits`` returns the limits now in force.
    """

    def __init__(
        self,
        find_limits: Callable[[], ConnectionLimits],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.find_limits = find_limits
        limits = find_limits()
        self.budget = ByteBudget(limits.buffered_bytes)
        self._loop = loop
        # The time for which the sweep was late, and when it is due.
        self._paused_s = 0.0
        self._sweep_due_s = math.inf
        self._spare_chunks = SpareChunks(
            limits.spare_chunks_per_s, limits.spare_chunks, self.now()
        )
        self.count = 0
        self._log = RefusalLog()
        self._by_phase: dict[Phase, dict[Connection, None]] = {
            phase: {} for phase in Phase
        }
        self._by_address: Counter[str] = Counter()
        # Connections with unsent answers: the size, and since when it is the same.
        self._unsent: dict[Connection, tuple[int, float]] = {}
        self._victims: list[tuple[Connection, float]] = []
        self._next_search_s = float("-inf")
        self._sweep_timer: asyncio.TimerHandle | None = None
        OPEN_CONNECTIONS.set_function(lambda: self.count)
        BUFFERED_BYTES.set_function(lambda: self.budget.used)

    def now(self) -> float:
        """Return the seconds for which this process could read from its connections.

        A pause of the process, or of the whole VM, counts as ``SWEEP_INTERVAL_S``: the
        bytes that clients send meanwhile are read only afterwards.
        """
        time_s = self._loop.time()
        late_s = time_s - self._sweep_due_s
        if late_s > SWEEP_INTERVAL_S:
            self._paused_s += late_s
            self._sweep_due_s = time_s
        return time_s - self._paused_s

    def admit(self, conn: Connection) -> LimitExceeded | None:
        """Add a new connection, or return why it is refused.

        At the limit, another connection is closed in its favour if possible.
        """
        limits = self.find_limits()
        address = conn.peer
        per_address = limits.connections_per_address
        if per_address and self._by_address[address] >= per_address:
            return _busy("address", "too many connections from this address")
        if self.count >= limits.connections and not self._close_one(limits):
            return _busy("connections", "too many connections")
        self.count += 1
        self._by_address[address] += 1
        conn.phase = Phase.FRESH
        conn.phase_since_s = self.now()
        self._by_phase[Phase.FRESH][conn] = None
        return None

    def remove(self, conn: Connection) -> None:
        """Forget a connection that has been closed.

        Its reservation lasts until it is released, as its handler may still run.
        """
        if self._by_phase[conn.phase].pop(conn, conn) is conn:
            return
        self._unsent.pop(conn, None)
        self.count -= 1
        self._by_address[conn.peer] -= 1
        if not self._by_address[conn.peer]:
            del self._by_address[conn.peer]

    def is_open(self, conn: Connection) -> bool:
        """Return whether a connection has been admitted and not been removed."""
        return conn in self._by_phase[conn.phase]

    def move(self, conn: Connection, phase: Phase) -> None:
        """Record that a connection entered another phase.

        A connection that has been removed isn't added again.
        """
        if self._by_phase[conn.phase].pop(conn, conn) is conn:
            return
        conn.phase = phase
        conn.phase_since_s = self.now()
        self._by_phase[phase][conn] = None
        if phase in SWEPT_PHASES:
            self._schedule_sweep()

    def watch_unsent(self, conn: Connection) -> None:
        """Abort a connection once its client has taken no bytes for ``idle_s``."""
        if self.is_open(conn):
            self._unsent[conn] = (conn.unsent_bytes(), self.now())
            self._schedule_sweep()

    def reserve(self, conn: Connection, size: int) -> None:
        """Reserve bytes for a request, closing slower ones if necessary.

        Raise ``LimitExceeded`` if there is none to be closed.
        """
        while not conn.reservation.extend(size):
            victim = self._find_slowest(self.find_limits().head_s)
            if victim is None or victim is conn:
                raise _busy("budget", "too many requests are being received")
            victim.refuse(_busy("slow", "the request was slower than others"))

    def borrow_chunks(self, count: int) -> bool:
        """Return whether a body may have more chunks than its bytes justify."""
        return self._spare_chunks.take(count, self.now())

    def release(self, conn: Connection) -> None:
        """Release what a connection has reserved."""
        conn.reservation.release()

    def count_refusal(self, reason: str, detail: str, peer: str) -> None:
        """Count and log a refused or closed connection."""
        REFUSED_CONNECTIONS.labels(reason).inc()
        self._log.add(reason, detail, peer, self.now())

    def close(self) -> None:
        """Stop the timer."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None
            self._sweep_due_s = math.inf

    def _find_slowest(self, min_age_s: float) -> Connection | None:
        """Return an incomplete request with the fewest bytes per second, if any.

        Requests that are younger than ``min_age_s`` aren't considered.
        """
        now = self.now()
        if not self._victims and now >= self._next_search_s:
            self._next_search_s = now + SEARCH_INTERVAL_S
            self._victims = self._search_slowest(now, min_age_s)
        while self._victims:
            conn, begun_s = self._victims.pop()
            is_same = conn.begun_s == begun_s and conn.phase in INCOMPLETE_PHASES
            if is_same and conn in self._by_phase[conn.phase]:
                return conn
        return None

    def _search_slowest(
        self, now: float, min_age_s: float
    ) -> list[tuple[Connection, float]]:
        """Return incomplete requests and when they began, the slowest one last."""

        def progress(conn: Connection) -> float:
            return conn.received_bytes / (now - conn.begun_s)

        old = (
            conn
            for phase in INCOMPLETE_PHASES
            for conn in self._by_phase[phase]
            if now - conn.begun_s > min_age_s
        )
        found = heapq.nsmallest(VICTIMS_PER_SEARCH, old, key=progress)
        return [(conn, conn.begun_s) for conn in reversed(found)]

    def _close_one(self, limits: ConnectionLimits) -> bool:
        """Close a connection in favour of a new one; return whether there was one."""
        victim = next(iter(self._by_phase[Phase.CLOSING]), None)
        if victim is None:
            victim = self._find_slowest(limits.head_s) or self._find_idle(limits.head_s)
        if victim is None:
            return False
        self.count_refusal(
            "displaced", f"closed while {victim.phase.value}", victim.peer
        )
        victim.abort()
        return True

    def _find_idle(self, min_age_s: float) -> Connection | None:
        """Return the connection that has been idle for longest, unused ones first."""
        latest_s = self.now() - min_age_s
        for phase in (Phase.FRESH, Phase.IDLE):
            conn = next(iter(self._by_phase[phase]), None)
            if conn is not None and conn.phase_since_s < latest_s:
                return conn
        return None

    def _schedule_sweep(self) -> None:
        if self._sweep_timer is None:
            self._sweep_due_s = self._loop.time() + SWEEP_INTERVAL_S
            self._sweep_timer = self._loop.call_at(self._sweep_due_s, self._sweep)

    def _sweep(self) -> None:
        """End the connections that are out of time."""
        self._sweep_timer = None
        limits = self.find_limits()
        now = self.now()
        self._sweep_due_s = math.inf
        for conn in list(self._late(Phase.HEAD, now - limits.head_s)):
            conn.refuse(LimitExceeded(408, "head-time", "the head took too long"))
        for conn in [c for c in self._by_phase[Phase.BODY] if _is_late(c, limits, now)]:
            conn.refuse(LimitExceeded(408, "body-time", "the body took too long"))
        for conn in list(self._late(Phase.CLOSING, now - LINGER_S)):
            conn.abort()
        self._sweep_unsent(limits.idle_s, now)
        if self._unsent or any(self._by_phase[phase] for phase in SWEPT_PHASES):
            self._schedule_sweep()

    def _sweep_unsent(self, idle_s: float, now: float) -> None:
        for conn, (size, since_s) in list(self._unsent.items()):
            unsent = conn.unsent_bytes()
            if not unsent:
                del self._unsent[conn]
            elif unsent != size:
                self._unsent[conn] = (unsent, now)
            elif now - since_s > idle_s:
                self.count_refusal("unread", "answers are not read", conn.peer)
                conn.abort()

    def _late(self, phase: Phase, until_s: float) -> Iterator[Connection]:
        """Yield the connections that entered a phase by ``until_s``, oldest first."""
        for conn in self._by_phase[phase]:
            if conn.phase_since_s > until_s:
                return
            yield conn


INCOMPLETE_PHASES = (Phase.HEAD, Phase.BODY)
SWEPT_PHASES = (*INCOMPLETE_PHASES, Phase.CLOSING)


def _is_late(conn: Connection, limits: ConnectionLimits, now: float) -> bool:
    if now - conn.last_byte_s > limits.idle_s:
        return True
    allowed_s = limits.idle_s + conn.received_bytes / limits.body_bytes_per_s
    return now - conn.begun_s > allowed_s


def _busy(reason: str, detail: str) -> LimitExceeded:
    return LimitExceeded(503, reason, detail, RETRY_AFTER_S)
