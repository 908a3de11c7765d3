"""The share that this daemon has of one backend server, and its slots."""

from __future__ import annotations

from dataclasses import dataclass

from fulmarlever.structure.fleet import BackendServer

LATENCY_WEIGHT = 0.2
INITIAL_LATENCY_S = 0.01
LATENCY_HALF_LIFE_S = 2.0
FIRST_BLOCK_S = 0.25
LONGEST_BLOCK_S = 5.0


@dataclass(slots=True, eq=False)
class Slot:
    """The right to have one request in progress on a server.

    ``taken_at`` is a time of the monotonic clock and ``run_limit_s`` the longest
    time that the request may run from when it is sent.
    """

    share: ServerShare
    taken_at: float
    run_limit_s: float
    sent_at: float | None = None

    @property
    def server(self) -> BackendServer:
        """Return the server that the slot belongs to."""
        return self.share.server


class ServerShare:
    """The slots of one server that this daemon may use and those in use.

    ``limit`` is the number it may use now. ``in_use`` counts requests in progress,
    among them those that were abandoned and may still run at the server.
    ``answered_at`` is the time of the server's last whole answer.
    """

    __slots__ = (
        "server",
        "limit",
        "in_use",
        "run_limit_s",
        "is_listed",
        "says_leaving",
        "is_worker_leaving",
        "answered_at",
        "_latency_s",
        "_measured_at",
        "_block_s",
        "_blocked_until",
    )

    def __init__(self, server: BackendServer) -> None:
        self.server = server
        self.limit = 0
        self.in_use = 0
        self.run_limit_s = 0.0
        self.is_listed = True
        self.says_leaving = False
        self.is_worker_leaving = False
        self.answered_at = float("-inf")
        self._latency_s = INITIAL_LATENCY_S
        self._measured_at = 0.0
        self._block_s = FIRST_BLOCK_S
        self._blocked_until = 0.0

    @property
    def address(self) -> tuple[str, int]:
        """Return the IP number and port of the server."""
        return self.server.address, self.server.port

    @property
    def is_leaving(self) -> bool:
        """Return whether any sign says that the server takes no new request."""
        if self.says_leaving or self.is_worker_leaving:
            return True
        return self.server.leaving or not self.is_listed

    def free(self, now: float) -> int:
        """Return the number of slots that a request may take at a time."""
        if self.in_use >= self.limit or self.is_leaving or now < self._blocked_until:
            return 0
        return self.limit - self.in_use

    def block(self, now: float) -> None:
        """Use the server no more for a while, longer after each failure in a row."""
        self._blocked_until = now + self._block_s
        self._block_s = min(LONGEST_BLOCK_S, 2 * self._block_s)

    def adopt(self, server: BackendServer) -> None:
        """Take over the server's description from the table."""
        before = (self.server.address, self.server.port, self.server.leaving)
        after = (server.address, server.port, server.leaving)
        if before != after:
            self.says_leaving = False
            self._blocked_until = 0.0
        self.server = server
        self.is_listed = True

    @property
    def latency_s(self) -> float:
        """Return the moving average of the server's answer time in seconds."""
        return self._latency_s

    def measure(self, seconds: float, now: float) -> None:
        """Count the time of one answer in the moving average."""
        self._latency_s += LATENCY_WEIGHT * (seconds - self._latency_s)
        self._measured_at = now
        self._block_s = FIRST_BLOCK_S

    def relax(self, typical_s: float, now: float, elapsed_s: float) -> None:
        """Move the average of an unused server towards a typical one.

        A server that was slow is not chosen and so gives no new measurement; without
        this it would never be tried again.
        """
        if now - self._measured_at < LATENCY_HALF_LIFE_S:
            return
        weight = 0.5 ** (elapsed_s / LATENCY_HALF_LIFE_S)
        self._latency_s = typical_s + weight * (self._latency_s - typical_s)
