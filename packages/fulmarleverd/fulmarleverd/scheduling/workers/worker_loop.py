"""The loop of one worker: extend its lease, wait for ended runs, process reports."""

from __future__ import annotations

import asyncio

from loguru import logger as log

from fulmarlever.outcomes import LocalShortage, failed
from fulmarleverd.loop_delay import LoopDelay
from fulmarleverd.scheduling.decisions import record
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.ports import (
    REJECT_INCARNATION,
    Rejected,
    WorkerCalls,
    WorkerReport,
)
from fulmarleverd.scheduling.workers.fleet import Worker, is_other_incarnation
from fulmarleverd.scheduling.workers.report_pace import (
    WAIT_IDLE_S,
    first_pause_s,
    idle_pause_s,
)
from fulmarleverd.scheduling.workers.reports import ReportProcessor

# How long the worker may hold back its answer while no run ends.
WAIT_WITH_RUNS_S = 1.0
# While other tasks may disturb serving tasks.
WAIT_WITH_SERVING_S = 0.5
MAX_COMMIT_WAIT_S = 0.4
RETRY_S = 0.2
LEASE_POLL_S = 0.05
# While the event loop of the owner is late, a worker is called less often: the ends of
# more runs then share one report. The pause is this multiple of the delay.
PAUSE_PER_DELAY = 2.0
MAX_PAUSE_S = 0.8
# A shorter delay has no effect on the calls.
MIN_DELAY_S = 0.05


class WorkerLoop:
    """Keeps extending the lease of one worker and processing its reports.

    ``is_one_of_many`` is set for the workers that a new owner finds all at once.
    """

    __slots__ = (
        "_owner",
        "_worker",
        "_calls",
        "_reports",
        "_delay",
        "_is_one_of_many",
        "_failures",
    )

    def __init__(
        self,
        owner: Owner,
        worker: Worker,
        calls: WorkerCalls,
        reports: ReportProcessor,
        delay: LoopDelay,
        is_one_of_many: bool = False,
    ) -> None:
        self._owner = owner
        self._worker = worker
        self._calls = calls
        self._reports = reports
        self._delay = delay
        self._is_one_of_many = is_one_of_many
        self._failures = 0

    async def run(self) -> None:
        """Call the worker until it is removed from the fleet, or until cancelled."""
        fleet = self._owner.fleet
        if self._is_one_of_many and not self._may_replace_others():
            await self._pause_while_idle(first_pause_s(self._worker.id, len(fleet)))
        while self._is_known():
            if not self._may_call():
                await asyncio.sleep(LEASE_POLL_S)
                continue
            try:
                await self._call()
            except Exception as exc:
                await self._process_fault(exc)
            if self._worker.is_reachable:
                await self._pause_while_idle(idle_pause_s(len(fleet)))

    def _may_replace_others(self) -> bool:
        """Return whether runs of other incarnations wait for this worker's answer."""
        orphans = self._owner.orphans
        return any(run.worker_key.id == self._worker.id for run in orphans)

    async def _pause_while_idle(self, seconds: float) -> None:
        """Wait until the worker gets a run, at most for some seconds."""
        worker = self._worker
        if worker.runs or not seconds:
            return
        worker.got_run.clear()
        try:
            async with asyncio.timeout(seconds):
                await worker.got_run.wait()
        except TimeoutError:
            return

    async def _process_fault(self, exc: Exception) -> None:
        """Treat a worker whose answer cannot be processed like one without an answer.

        An error that concerns one worker does not end the scheduling on all others.
        """
        worker = self._worker
        log.bind(event="worker-fault", worker=worker.id).opt(exception=exc).error(
            "the answer of the worker cannot be processed"
        )
        self._owner.mark_unreachable(worker, f"unexpected error: {exc!r}")
        await asyncio.sleep(RETRY_S)

    def _is_known(self) -> bool:
        """Return whether the fleet still has the worker."""
        return self._owner.fleet.find(self._worker.key) is self._worker

    def _may_call(self) -> bool:
        """Return whether the worker may be called now.

        A reachable worker is called only if it may be given a lease.
        """
        lease = self._owner.lease
        if not lease.may_extend:
            return False
        return not self._worker.is_reachable or lease.may_grant_lease(self._worker.key)

    def _max_wait_s(self) -> float:
        """Return how long the worker may wait for an end before it answers."""
        worker = self._worker
        if not worker.is_reconciled or not worker.is_reachable:
            return 0.0
        is_late = self._delay.recent_s > MIN_DELAY_S
        if 0 < worker.serving_run_count < len(worker.runs):
            return WAIT_WITH_RUNS_S if is_late else WAIT_WITH_SERVING_S
        return WAIT_WITH_RUNS_S if worker.runs and not is_late else WAIT_IDLE_S

    async def _call(self) -> None:
        """Extend the worker's lease with one call and process the answer."""
        worker = self._worker
        owner = self._owner
        requested_at_s = owner.now_s()
        until_ms = 0
        # A call to an unreachable worker grants no lease: a lease extended by a call
        # without an answer would delay the time at which its tasks may run elsewhere.
        if worker.is_reachable and worker.runs:
            worker.lease_granted_at_s = requested_at_s
            until_ms = worker.lease_until_ms(
                requested_at_s, owner.lease_ends.worker_lease_s
            )
        number = worker.end_to_acknowledge() if worker.is_reachable else 0
        report = await self._calls.extend_lease(
            worker.entry,
            owner.call_tokens.current(worker.id),
            until_ms,
            number,
            self._max_wait_s(),
        )
        if isinstance(report, WorkerReport):
            worker.record_acknowledged(number)
        if not self._is_known():
            # Removed during the call; its answer tells nothing about the fleet.
            return
        if isinstance(report, WorkerReport):
            await self._process(report, requested_at_s)
        elif failed(report):
            await self._process_failure(report)

    async def _process(self, report: WorkerReport, requested_at_s: float) -> None:
        if is_other_incarnation(self._worker, report):
            self._owner.incarnations.add_answering(self._worker, report.incarnation)
            return
        if not self._worker.is_reachable:
            record("worker-reached", worker=self._worker.id, failures=self._failures)
            # The row of the scheduler's lease still lists the worker as unresponsive.
            self._owner.commits.renew()
        self._failures = 0
        self._reports.process(self._worker, report, requested_at_s)
        await self._wait_for_commit()
        if self._delay.recent_s > MIN_DELAY_S:
            pause_s = PAUSE_PER_DELAY * self._delay.recent_s
            await asyncio.sleep(min(MAX_PAUSE_S, pause_s))

    async def _wait_for_commit(self) -> None:
        """Wait until reported ends are committed, at most ``MAX_COMMIT_WAIT_S``.

        A worker answers at once as long as the owner has not acknowledged all its ends.
        """
        worker = self._worker
        if worker.last_end_committed >= worker.last_end_seen:
            return
        committed = asyncio.Event()
        self._owner.commits.after_commit(committed.set)
        try:
            async with asyncio.timeout(MAX_COMMIT_WAIT_S):
                await committed.wait()
        except TimeoutError:
            # Acknowledged by a later call; until then the worker reports the ends anew.
            return

    async def _process_failure(self, failure: object) -> None:
        worker = self._worker
        if isinstance(failure, Rejected) and failure.reason == REJECT_INCARNATION:
            self._owner.incarnations.process_rejection(worker, failure)
            return
        if not isinstance(failure, LocalShortage):
            self._failures += 1
            self._owner.mark_unreachable(worker, failure.reason)
        await asyncio.sleep(RETRY_S)
