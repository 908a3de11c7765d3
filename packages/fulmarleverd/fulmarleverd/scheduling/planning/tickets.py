"""Requests for tickets: which workers may run the steps of queues with admission."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from fulmarlever.outcomes import failed
from fulmarleverd.scheduling.decisions import record
from fulmarleverd.scheduling.health.tolerance import ANY_WORKER
from fulmarleverd.scheduling.jobs.tasks import Step, Ticket
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.planning.obstacles import find_obstacle
from fulmarleverd.scheduling.ports import Admission, AdmissionCalls
from fulmarleverd.scheduling.specs import QueueSpec
from fulmarleverd.scheduling.workers.fleet import Worker

# A call takes longer with each worker in it, and the service handles one at a time.
MIN_WORKERS_PER_CALL = 8
MAX_WORKERS_PER_CALL = 30
WORKERS_PER_TASK = 2
CALL_MARGIN_S = 1.0
RETRY_S = 0.2
# A ticket has to stay valid until the start that carries it has arrived.
TICKET_MARGIN_S = 0.5


def has_ticket(step: Step, worker: Worker, now_s: float) -> bool:
    """Return whether a worker has a valid ticket for a step.

    ``now_s`` is on the owner's clock.
    """
    ticket = step.tickets.get(worker.key)
    return ticket is not None and bool(ticket.text) and now_s < ticket.valid_until_s


class TicketRequester:
    """Requests the tickets of waiting steps, one call at a time."""

    def __init__(self, owner: Owner, calls: AdmissionCalls) -> None:
        self._owner = owner
        self._calls = calls
        self._requested: list[Step] = []
        self._has_requested = asyncio.Event()

    def request(self, steps: Iterable[Step]) -> None:
        """Set the steps to request tickets for, the most urgent first.

        They replace those of the last call.
        """
        self._requested = list(steps)
        if self._requested:
            self._has_requested.set()

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await self._has_requested.wait()
            self._has_requested.clear()
            while self._requested:
                await self._request_step(self._requested.pop(0))

    async def _request_step(self, step: Step) -> None:
        """Request tickets for a step with one call and store the answer."""
        workers = self._choose_workers(step)
        if not workers or step.job.is_final:
            return
        requested_at_s = self._owner.now_s()
        ids = [worker.id for worker in workers]
        timeout_s = decision_s(step.job.queue, len(ids)) + CALL_MARGIN_S
        answer = await self._calls.admit(step.name, ids, timeout_s)
        if failed(answer):
            record("tickets-unanswered", answer.reason, step=step.name)
            await asyncio.sleep(RETRY_S)
        else:
            self._store_answer(step, workers, answer, requested_at_s)
        # The planner runs again and sets the steps that still lack tickets.
        self._owner.changed.set()

    def _choose_workers(self, step: Step) -> list[Worker]:
        """Return the workers to name in a call, those admitted earlier first."""
        now = self._owner.now_s()
        # Tickets of impaired workers are needed once a task would wait otherwise.
        accepting = self._owner.fleet.workers_accepting_runs(
            step.job.queue.service, now, ANY_WORKER
        )
        undecided = [
            worker
            for worker in accepting
            if find_obstacle(step, worker) is None
            and not has_ticket(step, worker, now)
            and not is_forbidden(step, worker)
        ]
        undecided.sort(
            key=lambda worker: (
                worker.is_impaired_at(now),
                worker.key not in step.tickets,
                -worker.free_cpu_m(),
            )
        )
        count = max(MIN_WORKERS_PER_CALL, WORKERS_PER_TASK * len(step.waiting))
        return undecided[: min(count, MAX_WORKERS_PER_CALL)]

    def _store_answer(
        self,
        step: Step,
        workers: list[Worker],
        answer: Admission,
        requested_at_s: float,
    ) -> None:
        """Store the tickets of an answer; workers without a ticket are forbidden."""
        valid_s = answer.validity_s or step.job.queue.ticket_validity_s
        until_s = requested_at_s + valid_s - TICKET_MARGIN_S
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


def is_forbidden(step: Step, worker: Worker) -> bool:
    """Return whether the admission service has refused a worker for a step."""
    ticket = step.tickets.get(worker.key)
    return ticket is not None and not ticket.text


def decision_s(queue: QueueSpec, workers: int) -> float:
    """Return the time, in seconds, of a call that names a number of workers."""
    return queue.decision_s + workers * queue.decision_per_worker_s
