"""Tickets of the admission service: which workers may run the steps of a queue."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from fulmarlever.outcomes import failed
from fulmarleverd.scheduling.decisions import record
from fulmarleverd.scheduling.fleet import Worker
from fulmarleverd.scheduling.obstacles import find_obstacle
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.ports import Admission, AdmissionCalls
from fulmarleverd.scheduling.specs import QueueSpec
from fulmarleverd.scheduling.tasks import Step, Ticket

# A call takes longer with each worker in it, and the service takes one call at a time.
MIN_WORKERS_PER_CALL = 8
MAX_WORKERS_PER_CALL = 30
WORKERS_PER_TASK = 2
CALL_MARGIN_S = 1.0
RETRY_S = 0.2
# A ticket has to hold until its start has arrived.
TICKET_MARGIN_S = 0.5


def has_ticket(step: Step, worker: Worker, now_s: float) -> bool:
    """Return whether a worker may be told to start tasks of a step."""
    ticket = step.tickets.get(worker.key)
    return ticket is not None and bool(ticket.text) and now_s < ticket.valid_until_s


class TicketRequester:
    """Asks for the tickets of waiting steps, one call after the other."""

    def __init__(self, owner: Owner, calls: AdmissionCalls) -> None:
        self._owner = owner
        self._calls = calls
        self._wanted: list[Step] = []
        self._has_wanted = asyncio.Event()

    def request(self, steps: Iterable[Step]) -> None:
        """Take note of the steps that lack tickets, the most urgent first."""
        self._wanted = list(steps)
        if self._wanted:
            self._has_wanted.set()

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await self._has_wanted.wait()
            self._has_wanted.clear()
            while self._wanted:
                await self._ask(self._wanted.pop(0))

    async def _ask(self, step: Step) -> None:
        workers = self._choose(step)
        if not workers or step.job.is_final:
            return
        asked_s = self._owner.now_s()
        ids = [worker.id for worker in workers]
        timeout_s = decision_s(step.job.queue, len(ids)) + CALL_MARGIN_S
        answer = await self._calls.admit(step.name, ids, timeout_s)
        if failed(answer):
            record("tickets-unanswered", answer.reason, step=step.name)
            await asyncio.sleep(RETRY_S)
        else:
            self._take(step, workers, answer, asked_s)
        # The planner tells again what is wanted.
        self._owner.changed.set()

    def _choose(self, step: Step) -> list[Worker]:
        """Return the workers to ask about: those known as admitted come first."""
        now = self._owner.now_s()
        usable = self._owner.fleet.usable(step.job.queue.service, now)
        open_workers = [
            worker
            for worker in usable
            if worker.takes_starts(now)
            and find_obstacle(step, worker) is None
            and not has_ticket(step, worker, now)
            and not _is_forbidden(step, worker)
        ]
        open_workers.sort(key=lambda w: (w.key not in step.tickets, -w.free_cpu_m()))
        count = max(MIN_WORKERS_PER_CALL, WORKERS_PER_TASK * len(step.waiting))
        return open_workers[: min(count, MAX_WORKERS_PER_CALL)]

    def _take(
        self, step: Step, workers: list[Worker], answer: Admission, asked_s: float
    ) -> None:
        valid_s = answer.validity_s or step.job.queue.ticket_validity_s
        until_s = asked_s + valid_s - TICKET_MARGIN_S
        for worker in workers:
            text = answer.tickets.get(worker.id, "")
            step.tickets[worker.key] = Ticket(text, until_s)
        record(
            "tickets-known",
            step=step.name,
            asked=len(workers),
            admitted=len(answer.tickets),
            valid_s=round(until_s - self._owner.now_s(), 2),
        )


def _is_forbidden(step: Step, worker: Worker) -> bool:
    ticket = step.tickets.get(worker.key)
    return ticket is not None and not ticket.text


def decision_s(queue: QueueSpec, workers: int) -> float:
    """Return how long the admission service takes for a call about some workers."""
    return queue.decision_s + workers * queue.decision_per_worker_s
