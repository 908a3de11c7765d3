"""One loop a worker: extend its lease, wait for ends, take its reports."""

from __future__ import annotations

import asyncio

from fulmarlever.outcomes import failed
from fulmarleverd.scheduling.decisions import record
from fulmarleverd.scheduling.fleet import Worker, has_other_life
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.ports import (
    REJECT_LIFE,
    Rejected,
    WorkerCalls,
    WorkerReport,
)
from fulmarleverd.scheduling.reports import Reports

WAIT_WITH_RUNS_S = 1.0
WAIT_WITH_SERVING_S = 0.5
WAIT_IDLE_S = 2.0
PAUSE_AFTER_ENDS_S = 0.01
MAX_COMMIT_WAIT_S = 0.4
RETRY_S = 0.2
LEASE_POLL_S = 0.05


class WorkerLoop:
    """Keeps one worker's lease and its reports coming."""

    __slots__ = ("_owner", "_worker", "_calls", "_reports", "_failures")

    def __init__(
        self, owner: Owner, worker: Worker, calls: WorkerCalls, reports: Reports
    ) -> None:
        self._owner = owner
        self._worker = worker
        self._calls = calls
        self._reports = reports
        self._failures = 0

    async def run(self) -> None:
        """Ask the worker until it is forgotten or the lease is lost."""
        worker = self._worker
        while self._owner.fleet.find(worker.key) is worker:
            if not self._may_ask():
                await asyncio.sleep(LEASE_POLL_S)
                continue
            await self._ask()

    def _may_ask(self) -> bool:
        """Return whether the worker may be asked, or be given a lease if it answers."""
        lease = self._owner.lease
        if not lease.may_extend:
            return False
        return not self._worker.is_reachable or lease.may_grant_lease(self._worker.key)

    def _wait_s(self) -> float:
        worker = self._worker
        if not worker.is_reconciled or not worker.is_reachable:
            return 0.0
        if worker.has_serving:
            return WAIT_WITH_SERVING_S
        return WAIT_WITH_RUNS_S if worker.runs else WAIT_IDLE_S

    async def _ask(self) -> None:
        worker = self._worker
        owner = self._owner
        asked_s = owner.now_s()
        until_ms = 0
        # A silent worker is only asked: a lease extended by a call without an answer
        # would put off the time at which its tasks may run elsewhere.
        if worker.is_reachable:
            worker.granted_s = asked_s
            until_ms = worker.lease_until_ms(asked_s, owner.lease_ends.worker_lease_s)
        report = await self._calls.extend_lease(
            worker.entry,
            owner.lease.token,
            until_ms,
            worker.ends_known,
            self._wait_s(),
        )
        if isinstance(report, WorkerReport):
            await self._take(report, asked_s)
        elif failed(report):
            await self._take_failure(report)

    async def _take(self, report: WorkerReport, asked_s: float) -> None:
        if has_other_life(self._worker, report):
            self._owner.add_incarnation(self._worker, report.life)
            return
        if not self._worker.is_reachable:
            record("worker-reached", worker=self._worker.id, failures=self._failures)
            # The lease's row still names it as silent.
            self._owner.commits.renew()
        self._failures = 0
        self._reports.take(self._worker, report, asked_s)
        await self._wait_for_commit()

    async def _wait_for_commit(self) -> None:
        """Wait until reported ends are committed, for a bounded time.

        A worker answers at once while it has ends that it was not told to be known.
        """
        worker = self._worker
        until_s = self._owner.now_s() + MAX_COMMIT_WAIT_S
        while worker.ends_known < worker.ends_seen and self._owner.now_s() < until_s:
            await asyncio.sleep(PAUSE_AFTER_ENDS_S)

    async def _take_failure(self, failure: object) -> None:
        worker = self._worker
        if isinstance(failure, Rejected) and failure.reason == REJECT_LIFE:
            self._owner.discard_worker(worker, failure.reason)
            return
        self._failures += 1
        self._owner.mark_unreachable(worker, failure.reason)
        await asyncio.sleep(RETRY_S)
