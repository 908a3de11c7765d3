"""A stand-in for the admission service, which decides who may run a step."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

ADMISSION_ADDRESS = "admission:1"
DECISION_S = 0.02
DECISION_PER_WORKER_S = 0.002
TICKET_VALIDITY_S = 3.0
MAX_WORKERS_PER_CALL = 100


class AdmissionCore:
    """An admission service that handles one call at a time.

    ``is_admitted`` takes a step and a worker id and returns whether the worker may run
    the step. ``tickets`` maps each issued ticket to the loop time, in seconds, at which
    it expires. ``calls`` counts the handled calls.
    """

    def __init__(self) -> None:
        self.is_admitted: Callable[[str, str], bool] = lambda step, worker: True
        self.tickets: dict[str, float] = {}
        # Whether answers state the validity of their tickets. Without it, the daemon
        # uses the validity of the queue.
        self.includes_validity = True
        self.calls = 0
        self._lock = asyncio.Lock()

    async def handle(self, body: dict) -> tuple:
        """Return the status and the body of the answer to a call.

        The call asks about one step and a list of workers. The answer has a ticket for
        each admitted worker; a call about more than ``MAX_WORKERS_PER_CALL`` workers
        gets status 400.
        """
        if len(body["workers"]) > MAX_WORKERS_PER_CALL:
            return 400, None
        async with self._lock:
            self.calls += 1
            await asyncio.sleep(
                DECISION_S + DECISION_PER_WORKER_S * len(body["workers"])
            )
        step = body["step"]
        admitted = [
            [worker, self._issue_ticket(step, worker)]
            for worker in body["workers"]
            if self.is_admitted(step, worker)
        ]
        answer = {"good": admitted}
        if self.includes_validity:
            answer["validityMs"] = int(TICKET_VALIDITY_S * 1000)
        return 200, answer

    def _issue_ticket(self, step: str, worker: str) -> str:
        ticket = f"{step}/{worker}/{self.calls}"
        self.tickets[ticket] = asyncio.get_running_loop().time() + TICKET_VALIDITY_S
        return ticket

    def is_valid(self, ticket: str, task: str, worker: str) -> bool:
        """Return whether a ticket is unexpired and fits a task and a worker."""
        step = task.rpartition(".")[0]
        now = asyncio.get_running_loop().time()
        is_unexpired = self.tickets.get(ticket, 0.0) > now
        return is_unexpired and ticket.startswith(f"{step}/{worker}/")
