"""Log lines about refused connections, of bounded number."""

from __future__ import annotations

from loguru import logger as log

INTERVAL_S = 5.0


class RefusalLog:
    """Logs at most one line per reason every ``INTERVAL_S`` seconds.

    A line has the number of refusals for the same reason since the line before, which
    have no line of their own. The reasons are a fixed set.
    """

    __slots__ = ("_next_s", "_left_out")

    def __init__(self) -> None:
        self._next_s: dict[str, float] = {}
        self._left_out: dict[str, int] = {}

    def add(self, reason: str, detail: str, peer: str, now_s: float) -> None:
        """Log a refusal of the client ``peer``, or count it for the next line.

        ``now_s`` is on any steady clock, the same for all calls.
        """
        if now_s < self._next_s.get(reason, float("-inf")):
            self._left_out[reason] = self._left_out.get(reason, 0) + 1
            return
        self._next_s[reason] = now_s + INTERVAL_S
        log.bind(
            event="connection-refused",
            reason=reason,
            peer=peer,
            left_out=self._left_out.pop(reason, 0),
        ).info(detail)
