"""The stand-in of the admission service: which workers may run a step."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

ADMISSION_ADDRESS = "admission:1"
DECISION_S = 0.02
DECISION_PER_WORKER_S = 0.002
TICKET_VALIDITY_S = 3.0
MAX_WORKERS_PER_CALL = 100


class AdmissionCore:
    """Answers one call after the other.

    ``admits`` tells whether a worker may run a step. ``tickets`` holds every ticket
    given, with the time at which it ends.
    """

    def __init__(self) -> None:
        self.is_admitted: Callable[[str, str], bool] = lambda step, worker: True
        self.tickets: dict[str, float] = {}
        # Whether answers say how long their tickets hold, as the queue does.
        self.includes_validity = True
        self.calls = 0
        self._lock = asyncio.Lock()

    async def handle(self, body: dict) -> tuple:
        """Answer a call with a status and a body."""
        if len(body["workers"]) > MAX_WORKERS_PER_CALL:
            return 400, None
        async with self._lock:
            self.calls += 1
            await asyncio.sleep(
                DECISION_S + DECISION_PER_WORKER_S * len(body["workers"])
            )
        step = body["step"]
        good = [
            [worker, self._issue_ticket(step, worker)]
            for worker in body["workers"]
            if self.is_admitted(step, worker)
        ]
        answer = {"good": good}
        if self.includes_validity:
            answer["validityMs"] = int(TICKET_VALIDITY_S * 1000)
        return 200, answer

    def _issue_ticket(self, step: str, worker: str) -> str:
        ticket = f"{step}/{worker}/{self.calls}"
        self.tickets[ticket] = asyncio.get_running_loop().time() + TICKET_VALIDITY_S
        return ticket

    def is_valid(self, ticket: str, task: str, worker: str) -> bool:
        """Return whether a start may use a ticket now."""
        step = task.rpartition(".")[0]
        now = asyncio.get_running_loop().time()
        known = self.tickets.get(ticket, 0.0) > now
        return known and ticket.startswith(f"{step}/{worker}/")
