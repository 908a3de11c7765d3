"""The slots of one backend server that this daemon owns, and the server's latency."""

from __future__ import annotations

from dataclasses import dataclass

from fulmarlever.structure.fleet import BackendServer

# Weight of a new measurement in the moving average of the latency.
LATENCY_WEIGHT = 0.2
INITIAL_LATENCY_S = 0.01
# The distance to the typical latency halves in this time without measurements.
LATENCY_HALF_LIFE_S = 2.0
MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 5.0


@dataclass(slots=True, eq=False)
class Slot:
    """The right to have one request in progress on a server.

    ``taken_at`` and ``sent_at`` are times of the monotonic clock in seconds;
    ``sent_at`` is ``None`` until the request is sent. ``run_limit_s`` is the longest
    time in seconds that the request may run after it was sent.
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
    """The slots of one backend server that this daemon owns.

    ``limit`` is the number of slots that it may use now. ``in_use`` counts requests in
    progress, including abandoned ones that may still run at the server. ``is_listed``
    is false once the server is missing from the zone's row of servers.
    ``reports_leaving`` is set by the server's own answers, ``is_worker_leaving`` by the
    VM list. ``answered_at`` is the time of the server's last complete answer, in
    seconds of the monotonic clock.
    """

    __slots__ = (
        "server",
        "limit",
        "in_use",
        "run_limit_s",
        "is_listed",
        "reports_leaving",
        "is_worker_leaving",
        "answered_at",
        "_latency_s",
        "_latency_recorded_at",
        "_backoff_s",
        "_backoff_until",
    )

    def __init__(self, server: BackendServer) -> None:
        self.server = server
        self.limit = 0
        self.in_use = 0
        self.run_limit_s = 0.0
        self.is_listed = True
        self.reports_leaving = False
        self.is_worker_leaving = False
        self.answered_at = float("-inf")
        self._latency_s = INITIAL_LATENCY_S
        self._latency_recorded_at = 0.0
        self._backoff_s = MIN_BACKOFF_S
        self._backoff_until = 0.0

    @property
    def address(self) -> tuple[str, int]:
        """Return the IP address and port of the server."""
        return self.server.address, self.server.port

    @property
    def is_leaving(self) -> bool:
        """Return whether the server must get no new request.

        It is enough that one source says so: the server's answers, its entry in the
        zone's row of servers, or the VM list.
        """
        if self.reports_leaving or self.is_worker_leaving:
            return True
        return self.server.leaving or not self.is_listed

    def free_slots(self, now: float) -> int:
        """Return the number of slots that requests may take at the time ``now``."""
        if self.in_use >= self.limit or self.is_leaving or now < self._backoff_until:
            return 0
        return self.limit - self.in_use

    def start_backoff(self, now: float) -> None:
        """Send no request to the server for a while.

        The time doubles with each consecutive failure, up to ``MAX_BACKOFF_S``.
        """
        self._backoff_until = now + self._backoff_s
        self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)

    def update_server(self, server: BackendServer) -> None:
        """Replace the server's description by the one read from the table.

        A new address or leaving state ends the backoff and what the server reported.
        """
        before = (self.server.address, self.server.port, self.server.leaving)
        after = (server.address, server.port, server.leaving)
        if before != after:
            self.reports_leaving = False
            self._backoff_until = 0.0
        self.server = server
        self.is_listed = True

    @property
    def latency_s(self) -> float:
        """Return the moving average of the server's response time in seconds."""
        return self._latency_s

    def record_latency(self, seconds: float, now: float) -> None:
        """Add the response time of one request, in seconds, to the moving average.

        It also resets the length of the next backoff to ``MIN_BACKOFF_S``.
        """
        self._latency_s += LATENCY_WEIGHT * (seconds - self._latency_s)
        self._latency_recorded_at = now
        self._backoff_s = MIN_BACKOFF_S

    def decay_latency(self, typical_s: float, now: float, elapsed_s: float) -> None:
        """Move the average latency of an unused server towards a typical latency.

        ``elapsed_s`` is the time in seconds since the previous call. A slow server is
        not chosen and therefore gets no new measurement; without the decay it would
        never be tried again.
        """
        if now - self._latency_recorded_at < LATENCY_HALF_LIFE_S:
            return
        weight = 0.5 ** (elapsed_s / LATENCY_HALF_LIFE_S)
        self._latency_s = typical_s + weight * (self._latency_s - typical_s)
