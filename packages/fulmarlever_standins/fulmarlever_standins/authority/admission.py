"""The stand-in of the admission service: which workers may run a step."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

ADMISSION_ADDRESS = "admission:1"
DECIDE_S = 0.02
PER_WORKER_S = 0.002
VALID_S = 3.0
MAX_NAMES = 100


class AdmissionCore:
    """Answers one call after the other.

    ``admits`` tells whether a worker may run a step. ``tickets`` holds every ticket
    given, with the time at which it ends.
    """

    def __init__(self) -> None:
        self.admits: Callable[[str, str], bool] = lambda step, worker: True
        self.tickets: dict[str, float] = {}
        # Whether answers say how long their tickets hold, as the queue does.
        self.tells_validity = True
        self.calls = 0
        self._turn = asyncio.Lock()

    async def handle(self, body: dict) -> tuple:
        """Answer a call with a status and a body."""
        if len(body["workers"]) > MAX_NAMES:
            return 400, None
        async with self._turn:
            self.calls += 1
            await asyncio.sleep(DECIDE_S + PER_WORKER_S * len(body["workers"]))
        step = body["step"]
        good = [
            [worker, self._give(step, worker)]
            for worker in body["workers"]
            if self.admits(step, worker)
        ]
        answer = {"good": good}
        if self.tells_validity:
            answer["validityMs"] = int(VALID_S * 1000)
        return 200, answer

    def _give(self, step: str, worker: str) -> str:
        ticket = f"{step}/{worker}/{self.calls}"
        self.tickets[ticket] = asyncio.get_running_loop().time() + VALID_S
        return ticket

    def is_valid(self, ticket: str, task: str, worker: str) -> bool:
        """Return whether a start may use a ticket now."""
        step = task.rpartition(".")[0]
        now = asyncio.get_running_loop().time()
        known = self.tickets.get(ticket, 0.0) > now
        return known and ticket.startswith(f"{step}/{worker}/")
