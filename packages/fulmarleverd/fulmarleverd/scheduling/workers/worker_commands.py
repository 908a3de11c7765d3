"""Commands to workers: start a run, stop a run, limit its speed.

Starts are repeated a few times, stops until the worker has accepted them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from loguru import logger as log

from fulmarlever.outcomes import LocalShortage, OutcomeUnknown, Unavailable
from fulmarleverd.scheduling.decisions import record, record_run
from fulmarleverd.scheduling.holds.hold import HoldReason
from fulmarleverd.scheduling.jobs.runs import Run, RunState
from fulmarleverd.scheduling.metrics import STARTS
from fulmarleverd.scheduling.owner import ZONE_EVACUATED, Owner
from fulmarleverd.scheduling.ports import (
    REJECT_CAPACITY,
    REJECT_INCARNATION,
    REJECT_INVALID,
    REJECT_LEASE_OVER,
    REJECT_RUN,
    REJECT_TICKET,
    REJECT_TOKEN,
    REJECTIONS,
    Accepted,
    Command,
    CommandResult,
    Rejected,
    WorkerCalls,
    WorkerReport,
)
from fulmarleverd.scheduling.workers.fleet import Worker, is_other_incarnation

MAX_START_ATTEMPTS = 4
MAX_LIMIT_ATTEMPTS = 4
RETRY_S = 0.1
# A worker that rejects a start for lack of capacity or as unhealthy, or that answers
# none of a run's starts, gets no starts for this long. The last pause is longer, as the
# task itself waits until the worker has confirmed that the run is gone.
CAPACITY_PAUSE_S = 0.3
UNHEALTHY_PAUSE_S = 2.0
UNANSWERED_PAUSE_S = 4.0
LEASE_POLL_S = 0.05


class WorkerCommands:
    """Sends the commands of an owner and updates the state of runs by their results.

    ``on_start_answered`` is called with the seconds that each start took.
    """

    def __init__(
        self,
        owner: Owner,
        calls: WorkerCalls,
        on_start_answered: Callable[[float], None] = lambda took_s: None,
    ) -> None:
        self._owner = owner
        self._calls = calls
        self._on_start_answered = on_start_answered
        self._tasks: set[asyncio.Task] = set()

    def close(self) -> None:
        """Cancel every command that has no result yet."""
        for task in self._tasks:
            task.cancel()

    def _spawn(self, coroutine: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.opt(exception=task.exception()).error("sending a command failed")

    def _command(self, run: Run, worker: Worker) -> Command:
        owner = self._owner
        until_ms = worker.lease_until_ms(owner.now_s(), owner.lease_ends.worker_lease_s)
        ticket = run.task.step.tickets.get(worker.key)
        return Command(
            task=run.task.name,
            run=run.number,
            token=owner.call_tokens.current(worker.id),
            lease_until_ms=until_ms,
            payload=run.task.step.job.spec.payload,
            checkpoint=run.task.checkpoint,
            ticket=ticket.text if ticket else "",
        )

    # Starts

    def send_start(self, run: Run) -> None:
        """Send the start of a planned run; its assignment must be committed.

        The run is dropped if its job has ended or its worker's zone is evacuated.
        """
        if run.state is not RunState.PLANNED or not run.is_active:
            return
        if run.task.step.job.is_final:
            self._owner.drop_run(run, "its job has ended before the start")
            return
        if run.worker.is_evacuated:
            self._owner.drop_run(run, ZONE_EVACUATED)
            return
        run.state = RunState.SENT
        run.is_refused = True
        self._spawn(self._start(run))

    async def _start(self, run: Run) -> None:
        """Send a start; a run whose start fails unexpectedly is not left uncertain."""
        try:
            await self._try_start(run)
        except Exception as exc:
            _log_fault(run, exc)
            if run.state is RunState.SENT:
                run.may_arrive_late |= not run.is_refused
                self._prevent_start(run, "its start has failed unexpectedly")

    async def _try_start(self, run: Run) -> None:
        """Send a start until its result is known or all attempts have failed."""
        if run.task.is_crash_suspect and not await self._is_worker_answering(run):
            return
        for _ in range(MAX_START_ATTEMPTS):
            if not await self._may_start(run):
                return
            worker = run.worker
            sent_s = self._owner.now_s()
            run.sent_s = run.sent_s or sent_s
            run.last_sent_s = sent_s
            worker.lease_granted_at_s = max(worker.lease_granted_at_s, sent_s)
            run.is_refused = False
            result = await self._calls.start(worker.entry, self._command(run, worker))
            self._on_start_answered(self._owner.now_s() - sent_s)
            STARTS.labels(_outcome(result)).inc()
            if self._process_start_result(run, worker, result):
                return
            await asyncio.sleep(RETRY_S)
        if run.state is not RunState.SENT or not run.is_active:
            return
        if isinstance(result, LocalShortage):
            self._prevent_start(run, result.reason)
        else:
            self._give_up(run, run.worker)

    async def _is_worker_answering(self, run: Run) -> bool:
        """Return whether the worker of a run answers now; drop the run if it does not.

        A worker that crashed some time ago, unnoticed, would look as if the run had
        crashed it.
        """
        if not await self._may_start(run):
            return False
        owner = self._owner
        worker = run.worker
        token = owner.call_tokens.current(worker.id)
        report = await self._calls.extend_lease(worker.entry, token, 0, 0, 0.0)
        if run.state is not RunState.SENT or not run.is_active:
            return False
        if isinstance(report, WorkerReport):
            if not is_other_incarnation(worker, report):
                worker.record_clock(report.clock_ms, owner.now_s())
                return True
            self._prevent_start(run, REJECT_INCARNATION)
            owner.incarnations.add_answering(worker, report.incarnation)
            return False
        self._prevent_start(run, report.reason)
        if not isinstance(report, Rejected | LocalShortage):
            owner.mark_unreachable(worker, report.reason)
        elif report.reason == REJECT_INCARNATION:
            owner.incarnations.process_rejection(worker, report)
        return False

    async def _may_start(self, run: Run) -> bool:
        """Wait until a start may be sent; return False if it is no longer needed."""
        lease = self._owner.lease
        while run.state is RunState.SENT and run.is_active:
            if run.worker.is_evacuated:
                self._prevent_start(run, ZONE_EVACUATED)
                return False
            if lease.is_valid and lease.may_grant_lease(run.worker.key):
                return True
            if lease.is_valid and not run.worker.is_reachable:
                self._prevent_start(run, "its worker does not answer")
                return False
            await asyncio.sleep(LEASE_POLL_S)
        return False

    def _process_start_result(
        self, run: Run, worker: Worker, result: CommandResult
    ) -> bool:
        """Update a run by the result of its start; return False to send it again."""
        owner = self._owner
        now = owner.now_s()
        if run.worker is not worker:
            # It has moved to the next incarnation, whose report tells of it.
            run.may_arrive_late |= isinstance(result, OutcomeUnknown)
            return True
        if isinstance(result, Accepted):
            # Another incarnation may have answered under the worker's id.
            run.has_begun = worker.has_expected_clock(result.clock_ms, now)
            worker.record_clock(result.clock_ms, now)
            run.started_s = now
            run.accepted_clock_ms = result.clock_ms if run.has_begun else 0
            owner.record_begin(run)
            if run.state is RunState.SENT:
                run.state = RunState.RUNNING
                run.confirmed_at_s = now
            record_run("run-accepted", run, "accepted", checkpoint=run.task.checkpoint)
            owner.stop_probe(run)
            return True
        record_run("run-not-started", run, result.reason)
        if isinstance(result, Rejected):
            return self._process_rejection(run, worker, result)
        run.is_refused = isinstance(result, Unavailable)
        run.may_arrive_late |= not run.is_refused
        return False

    def _process_rejection(self, run: Run, worker: Worker, result: Rejected) -> bool:
        """Update a run after its start was rejected; return False to send it again."""
        owner = self._owner
        now = owner.now_s()
        worker.record_clock(result.clock_ms, now)
        if result.reason == REJECT_LEASE_OVER:
            return False
        if result.reason == REJECT_INCARNATION:
            # This attempt has certainly not started the run.
            self._prevent_start(run, result.reason)
            owner.incarnations.process_rejection(worker, result)
        elif result.reason == REJECT_RUN:
            # The run has already started and ended there, as the next report shows.
            run.state = RunState.RUNNING
            run.confirmed_at_s = now
        elif result.reason == REJECT_TOKEN:
            token = owner.call_tokens.current(worker.id)
            record("token-refused", worker=worker.id, token=token)
            self._prevent_start(run, result.reason)
        elif result.reason == REJECT_TICKET:
            run.task.step.tickets.pop(worker.key, None)
            self._prevent_start(run, result.reason)
        elif result.reason == REJECT_INVALID:
            run.task.avoid(worker.id, now)
            self._prevent_start(run, result.reason)
        elif result.reason == REJECT_CAPACITY:
            worker.holds.add(HoldReason.NO_ROOM, now, CAPACITY_PAUSE_S)
            self._prevent_start(run, result.reason)
        else:
            # A worker that refuses for a reason that is not known is unhealthy, too.
            worker.holds.add(HoldReason.UNHEALTHY, now, UNHEALTHY_PAUSE_S)
            self._prevent_start(run, result.reason)
        return True

    def _give_up(self, run: Run, worker: Worker) -> None:
        """Mark a worker as unreachable after all attempts to start a run failed.

        It may still answer other calls, so new runs go elsewhere for a while.
        """
        now = self._owner.now_s()
        worker.holds.add(HoldReason.UNANSWERED, now, UNANSWERED_PAUSE_S)
        self._owner.mark_unreachable(worker, "starts get no answer")
        self._prevent_start(run, "its worker does not answer")

    def _prevent_start(self, run: Run, reason: str) -> None:
        """Drop a run, or stop it if its start may still arrive at the worker."""
        if run.may_arrive_late:
            self._owner.stop_run(run, reason)
        else:
            self._owner.drop_run(run, reason)

    # Stops and speed limits

    def send_stop(self, run: Run) -> None:
        """Send a stop until the worker accepts it; the run stays until it has ended."""
        self._spawn(self._stop(run))

    async def _stop(self, run: Run) -> None:
        """Send a stop until it is accepted, also after an unexpected error."""
        is_sent = False
        while not is_sent:
            try:
                await self._try_stop(run)
                is_sent = True
            except Exception as exc:
                _log_fault(run, exc)
                await asyncio.sleep(RETRY_S)

    async def _try_stop(self, run: Run) -> None:
        while run.is_active:
            if not self._owner.lease.may_extend:
                await asyncio.sleep(LEASE_POLL_S)
                continue
            worker = run.worker
            if worker is None:
                # Sent by whoever finds its worker again.
                return
            result = await self._calls.stop(worker.entry, self._command(run, worker))
            if run.worker is not worker:
                # The answer tells nothing about the next incarnation.
                continue
            if isinstance(result, Accepted):
                run.confirmed_at_s = self._owner.now_s()
                return
            record_run("run-stop-unanswered", run, result.reason)
            if isinstance(result, Rejected) and result.reason == REJECT_INCARNATION:
                # The next attempt goes to the incarnation to which the run has moved.
                self._owner.incarnations.process_rejection(worker, result)
            await asyncio.sleep(RETRY_S)

    def send_stop_unknown(self, worker: Worker, task: str, run: int) -> None:
        """Send one stop for a run that belongs to no job of this owner."""
        command = Command(task, run, self._owner.call_tokens.current(worker.id))
        self._spawn(self._calls.stop(worker.entry, command))

    def send_speed_limit(self, run: Run, percent: int) -> None:
        """Limit a run to a percentage of its full speed, 0 to pause it."""
        run.worker.set_speed_limit(run, percent)
        self._spawn(self._limit_speed(run, percent))

    async def _limit_speed(self, run: Run, percent: int) -> None:
        """Send a speed limit until the worker has it or it is no longer wanted."""
        for _ in range(MAX_LIMIT_ATTEMPTS):
            worker = run.worker
            is_wanted = run.is_active and run.speed_limit_percent == percent
            if not is_wanted or worker is None:
                return
            result = await self._calls.set_speed_limit(
                worker.entry, self._command(run, worker), percent
            )
            if isinstance(result, Accepted):
                # A later limit may have arrived before this one.
                run.is_speed_limit_known &= run.speed_limit_percent == percent
                return
            record_run("pace-not-set", run, result.reason, percent=percent)
            await asyncio.sleep(RETRY_S)
        # The next report finds out what the worker does with the run.
        run.is_speed_limit_known = False


def _log_fault(run: Run, exc: Exception) -> None:
    log.bind(event="command-fault", task=run.task.name, run=run.number).opt(
        exception=exc
    ).error("sending a command has failed unexpectedly")


def _outcome(result: CommandResult) -> str:
    """Return the name of a result as the metric counts it, one of a few."""
    if isinstance(result, Rejected):
        return result.reason if result.reason in REJECTIONS else "other"
    return type(result).__name__
