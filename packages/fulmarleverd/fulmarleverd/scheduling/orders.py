"""Orders to workers: starts, stops and paces, repeated until their outcome is known."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from loguru import logger as log

from fulmarlever.outcomes import Unavailable
from fulmarleverd.scheduling.decisions import record, record_run
from fulmarleverd.scheduling.fleet import Worker
from fulmarleverd.scheduling.metrics import STARTS
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.ports import (
    REJECT_CAPACITY,
    REJECT_INVALID,
    REJECT_LEASE_OVER,
    REJECT_LIFE,
    REJECT_RUN,
    REJECT_TICKET,
    REJECT_TOKEN,
    REJECT_UNHEALTHY,
    Accepted,
    Order,
    OrderResult,
    Rejected,
    WorkerCalls,
)
from fulmarleverd.scheduling.runs import Run, RunState

START_TRIES = 4
RETRY_S = 0.1
CAPACITY_PAUSE_S = 0.3
UNHEALTHY_PAUSE_S = 2.0
LEASE_POLL_S = 0.05


class WorkerOrders:
    """Sends the orders of an owner. Runs are moved on by their outcomes."""

    def __init__(self, owner: Owner, calls: WorkerCalls) -> None:
        self._owner = owner
        self._calls = calls
        self._tasks: set[asyncio.Task] = set()

    def close(self) -> None:
        """Cancel every order that has no outcome yet."""
        for task in self._tasks:
            task.cancel()

    def _spawn(self, coroutine: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.opt(exception=task.exception()).error("an order ended")

    def _order(self, run: Run, worker: Worker) -> Order:
        owner = self._owner
        until_ms = worker.lease_until_ms(owner.now_s(), owner.lease_ends.worker_lease_s)
        ticket = run.task.step.tickets.get(worker.key)
        return Order(
            task=run.task.name,
            run=run.number,
            token=owner.lease.token,
            lease_until_ms=until_ms,
            payload=run.task.step.job.spec.payload,
            checkpoint=run.task.checkpoint,
            ticket=ticket.text if ticket else "",
        )

    # Starts

    def send_start(self, run: Run) -> None:
        """Send the start of a committed run."""
        if run.state is not RunState.PLANNED or not run.is_active:
            return
        if run.task.step.job.is_final:
            self._owner.drop_run(run, "its job has ended before the start")
            return
        run.state = RunState.SENT
        self._spawn(self._start(run))

    async def _start(self, run: Run) -> None:
        for _ in range(START_TRIES):
            if not await self._may_start(run):
                return
            worker = run.worker
            worker.granted_s = max(worker.granted_s, self._owner.now_s())
            result = await self._calls.start(worker.entry, self._order(run, worker))
            STARTS.labels(_outcome(result)).inc()
            if self._take_start(run, worker, result):
                return
            await asyncio.sleep(RETRY_S)
        self._give_up(run, run.worker)

    async def _may_start(self, run: Run) -> bool:
        """Wait until a start may be sent; return false if it is not needed any more."""
        lease = self._owner.lease
        while run.state is RunState.SENT and run.is_active:
            if lease.is_valid and lease.may_grant_lease(run.worker.key):
                return True
            if lease.is_valid and not run.worker.is_reachable:
                self._withdraw(run, "its worker does not answer")
                return False
            await asyncio.sleep(LEASE_POLL_S)
        return False

    def _take_start(self, run: Run, worker: Worker, result: OrderResult) -> bool:
        """Move a run on by the answer to its start; return false to send it again."""
        owner = self._owner
        now = owner.now_s()
        if isinstance(result, Accepted):
            worker.note_clock(result.clock_ms, now)
            run.started_s = now
            if run.state is RunState.SENT:
                run.state = RunState.RUNNING
                run.seen_at_s = now
            record_run("run-accepted", run, "accepted", checkpoint=run.task.checkpoint)
            return True
        record_run("run-not-started", run, result.reason)
        if isinstance(result, Rejected):
            return self._take_rejection(run, worker, result)
        if not isinstance(result, Unavailable):
            run.may_arrive_late = True
        return False

    def _take_rejection(self, run: Run, worker: Worker, result: Rejected) -> bool:
        owner = self._owner
        now = owner.now_s()
        worker.note_clock(result.clock_ms, now)
        if result.reason == REJECT_LEASE_OVER:
            return False
        if result.reason == REJECT_LIFE:
            owner.discard_worker(worker, result.reason)
        elif result.reason == REJECT_RUN:
            # It has run and ended there, which the next report shows.
            run.state = RunState.RUNNING
            run.seen_at_s = now
        elif result.reason == REJECT_TOKEN:
            record("token-refused", worker=worker.id, token=owner.lease.token)
            self._withdraw(run, result.reason)
        elif result.reason == REJECT_TICKET:
            run.task.step.tickets.pop(worker.key, None)
            self._withdraw(run, result.reason)
        else:
            pauses = {
                REJECT_CAPACITY: CAPACITY_PAUSE_S,
                REJECT_UNHEALTHY: UNHEALTHY_PAUSE_S,
            }
            worker.avoid_until_s = now + pauses.get(result.reason, 0.0)
            if result.reason == REJECT_INVALID:
                run.task.avoid.add(worker.id)
            self._withdraw(run, result.reason)
        return True

    def _give_up(self, run: Run, worker: Worker) -> None:
        self._owner.mark_unreachable(worker, "starts get no answer")
        self._withdraw(run, "its worker does not answer")

    def _withdraw(self, run: Run, why: str) -> None:
        """Make sure that a run does not start later, and plan its task again."""
        if run.may_arrive_late:
            self._owner.stop_run(run, why)
        else:
            self._owner.drop_run(run, why)

    # Stops and paces

    def send_stop(self, run: Run) -> None:
        """Send a stop until the worker has it; the run stays until its end is seen."""
        self._spawn(self._stop(run))

    async def _stop(self, run: Run) -> None:
        while run.is_active:
            if not self._owner.lease.may_extend:
                await asyncio.sleep(LEASE_POLL_S)
                continue
            worker = run.worker
            result = await self._calls.stop(worker.entry, self._order(run, worker))
            if isinstance(result, Accepted):
                run.seen_at_s = self._owner.now_s()
                return
            record_run("run-stop-unanswered", run, result.reason)
            if isinstance(result, Rejected) and result.reason == REJECT_LIFE:
                self._owner.discard_worker(worker, result.reason)
                return
            await asyncio.sleep(RETRY_S)

    def send_stop_unknown(self, worker: Worker, task: str, run: int) -> None:
        """Stop a run that no job of this owner accounts for, with one order."""
        order = Order(task, run, self._owner.lease.token)
        self._spawn(self._calls.stop(worker.entry, order))

    def send_pace(self, run: Run, percent: int) -> None:
        """Let a run work at a share of its speed."""
        run.worker.set_pace(run, percent)
        self._spawn(self._pace(run, percent))

    async def _pace(self, run: Run, percent: int) -> None:
        worker = run.worker
        result = await self._calls.pace(worker.entry, self._order(run, worker), percent)
        if not isinstance(result, Accepted):
            record_run("pace-not-set", run, result.reason, percent=percent)


def _outcome(result: OrderResult) -> str:
    if isinstance(result, Rejected):
        return result.reason
    return type(result).__name__
