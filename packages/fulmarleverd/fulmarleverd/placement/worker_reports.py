"""Turns the reports and answers of workers into new states of tasks."""

from __future__ import annotations

from collections.abc import Iterator

from fulmarlever.exceptions import KernelError
from fulmarlever.outcomes import Refused
from fulmarlever.structure.configuration import IsolationRule
from fulmarlever.structure.size import Size
from fulmarlever.structure.task import Task, TaskState
from fulmarleverd.placement.backends import server_name
from fulmarleverd.placement.calls import CallResult
from fulmarleverd.placement.orders import (
    AttemptId,
    Ended,
    Started,
    StopOrder,
    TaskReport,
    WorkerReport,
)
from fulmarleverd.placement.state import ZoneState
from fulmarleverd.placement.task_cache import RESERVING_STATES
from fulmarleverd.placement.task_transitions import (
    DONE,
    FAILED,
    RUNNING,
    confirmed,
    ended,
    reported,
    requeued,
    stopping,
)
from fulmarleverd.placement.writer import WriteBatch
from fulmarleverd.services.workers import MAX_CLOCK_DRIFT, ORDER_VALIDITY_S, WorkerView

MISSING = "its worker no longer has it"
LOST = "its worker is lost"

OVERUSE_INTERVAL_S = 2.0
"""The time between two usage updates of a worker with tasks above their reservation."""

USAGE_INTERVAL_S = 4.0
"""The time between two usage updates of any other worker."""

UNLISTED_TIMEOUT_S = 30.0
"""The time after which a VM that is missing from the VM list counts as removed."""


def _is_unchanged(task: Task, worker: str, report: TaskReport) -> bool:
    """Return whether a report confirms the known state, as nearly all reports do."""
    return (
        report.state == RUNNING
        and task.state is TaskState.RUNNING
        and task.attempt == report.attempt
        and task.worker == worker
    )


def _excess(usage: Size, reservation: Size) -> Size:
    return Size(
        max(0.0, usage.cores - reservation.cores),
        max(0.0, usage.memory_mib - reservation.memory_mib),
    )


class ReportProcessor:
    """Processes the reports and answers of workers since the last round."""

    def __init__(self, state: ZoneState) -> None:
        self.state = state
        self._reports: dict[str, WorkerReport] = {}
        self._next_usage_s: dict[str, float] = {}

    def add_report(self, report: WorkerReport) -> bool:
        """Keep a worker's report for the next round.

        Return whether an attempt has ended, so that the round should start at once.
        """
        worker = report.answer.worker
        self._reports[worker] = report
        self.state.pending_acknowledgements.pop(worker, None)
        return any(task.state != RUNNING for task in report.answer.tasks)

    def collect_changes(self, write_batch: WriteBatch) -> None:
        """Add the new states of tasks with a result, a report or a lost worker."""
        for result in self.state.calls.take_results():
            self._process_result(result, write_batch)
        reports, self._reports = self._reports, {}
        for worker, report in reports.items():
            self._process_report(worker, report, write_batch)
        for task in self._lost_tasks():
            write_batch.add(requeued(task, LOST))

    def _process_result(self, result: CallResult, write_batch: WriteBatch) -> None:
        task = self.state.task_cache.get(result.key)
        if task is None or task.attempt != result.attempt:
            return
        answer = result.answer
        if isinstance(answer, Started):
            self._record_start(task, answer)
            write_batch.add(confirmed(task))
        elif isinstance(answer, Ended):
            # The result of a batch task that is done comes only with its report.
            if answer.state != DONE or task.is_service:
                write_batch.add(ended(task, answer))
        elif result.is_start:
            self._record_refusal(task, answer, write_batch)

    def _record_start(self, task: Task, answer: Started) -> None:
        self.state.confirmed_at_s[task.key] = self.state.clock.monotonic()
        self.state.health.record_confirmed_start(task.worker)
        if task.is_service and answer.port:
            self.state.backends.addresses[server_name(task)] = answer

    def _record_refusal(
        self, task: Task, answer: Refused, write_batch: WriteBatch
    ) -> None:
        now_s = self.state.clock.monotonic()
        self.state.health.record_failure(task.worker, task.owner, now_s, is_start=True)
        self.state.workloads.retry_delays.record_failure(task.key, task.worker, now_s)
        # An earlier order may have started the same attempt, so a stop has to confirm
        # that it does not run.
        write_batch.add(stopping(task, f"start refused: {answer.reason}"))

    def _process_report(
        self, worker: str, report: WorkerReport, write_batch: WriteBatch
    ) -> None:
        present = set()
        orphans = 0
        prefix, entries = f"task/{self.state.name}/", self.state.task_cache.entries
        for item in report.answer.tasks:
            key = prefix + item.task
            present.add(key)
            entry = entries.get(key)
            if entry is None or not _is_unchanged(entry.task, worker, item):
                orphans += self._process_task_report(worker, item, write_batch)
        self._update_reconciled(worker, orphans)
        now_s = self.state.clock.monotonic()
        if now_s >= self._next_usage_s.get(worker, 0.0):
            self._record_usage(worker, report)
            is_over = self.state.excess_by_worker[worker] != Size()
            self._next_usage_s[worker] = now_s + (
                OVERUSE_INTERVAL_S if is_over else USAGE_INTERVAL_S
            )
        for key in self.state.task_cache.keys_by_worker.get(worker, set()) - present:
            if self._is_missing(entries[key].task, report):
                write_batch.add(requeued(entries[key].task, MISSING))

    def _record_usage(self, worker: str, report: WorkerReport) -> None:
        excess = Size()
        for item in report.answer.tasks:
            key = f"task/{self.state.name}/{item.task}"
            task = self.state.task_cache.get(key)
            if item.state != RUNNING or not self._is_current(task, worker, item):
                continue
            self.state.usage_by_task[key] = item.usage
            excess += _excess(item.usage, task.reservation)
            if not task.is_service:
                kind = self.state.workloads.kind(task)
                self.state.workloads.sizes.observe(kind, key, item.usage)
        self.state.excess_by_worker[worker] = excess

    def _update_reconciled(self, worker: str, orphans: int) -> None:
        # An orphan uses capacity that the task cache does not count.
        if orphans:
            self.state.reconciled_workers.discard(worker)
        else:
            self.state.reconciled_workers.add(worker)

    def _process_task_report(
        self, worker: str, report: TaskReport, write_batch: WriteBatch
    ) -> bool:
        """Process the report on one attempt; return whether it is an orphan.

        An orphan is a running attempt that is not assigned to the worker.
        """
        key = f"task/{self.state.name}/{report.task}"
        if key in write_batch.tasks:
            return False
        task = self.state.task_cache.get(key)
        next_state = reported(task, report) if task is not None else None
        if next_state is not None:
            self._record_end(task, report)
            write_batch.add(next_state)
        elif report.state != RUNNING:
            attempt = AttemptId(report.task, report.attempt)
            self.state.pending_acknowledgements.setdefault(worker, set()).add(attempt)
        elif not self._is_current(task, worker, report):
            self._stop_orphan(worker, report)
            return True
        return False

    def _record_end(self, task: Task, report: TaskReport) -> None:
        if task.is_service or not task.worker:
            return
        now_s = self.state.clock.monotonic()
        kind = self.state.workloads.kind(task)
        started_at_s = self.state.confirmed_at_s.get(task.key)
        is_complete = report.state == DONE and started_at_s and not task.checkpoint
        run_s = now_s - started_at_s if is_complete else None
        self.state.workloads.sizes.record_end(kind, task.key, run_s)
        if report.state == FAILED:
            self.state.workloads.retry_delays.record_failure(
                task.key, task.worker, now_s
            )
            self.state.health.record_failure(task.worker, task.owner, now_s)
        elif report.state == DONE:
            self.state.health.record_success(task.worker)

    def _is_current(self, task: Task | None, worker: str, report: TaskReport) -> bool:
        return (
            task is not None
            and task.attempt == report.attempt
            and task.worker == worker
            and task.state in RESERVING_STATES
        )

    def _stop_orphan(self, worker: str, report: TaskReport) -> None:
        owner, _, index = report.task.rpartition("/")
        # A key of its own keeps this call from delaying calls for the task itself.
        orphan = Task(self.state.name, f"{worker}!{owner}", int(index), worker=worker)
        orphan.attempt = report.attempt
        order = StopOrder(report.task, report.attempt, self.state.epoch, False)
        self.state.calls.stop(orphan, order)

    def _is_missing(self, task: Task, report: WorkerReport) -> bool:
        if task.state is not TaskState.RUNNING:
            return False
        confirmed_at_s = self.state.confirmed_at_s.get(task.key, self.state.loaded_at_s)
        return report.sent_s > confirmed_at_s

    def _lost_tasks(self) -> Iterator[Task]:
        fleet = self.state.workers.fleet()
        for worker in list(self.state.task_cache.keys_by_worker):
            view = fleet.get(worker)
            if view is not None and self.state.workers.is_reachable(view):
                continue
            self.state.reconciled_workers.discard(worker)
            if self._are_leases_expired(view):
                yield from (
                    task
                    for task in self.state.task_cache.of_worker(worker)
                    if self._may_move(task, view)
                )

    def _are_leases_expired(self, view: WorkerView | None) -> bool:
        lease_s = self.state.settings.task_lease_s * (1 + MAX_CLOCK_DRIFT)
        end_s = self.state.loaded_at_s + ORDER_VALIDITY_S + lease_s
        if view is not None:
            end_s = max(end_s, view.leases_end_s)
        return self.state.clock.monotonic() > end_s

    def _may_move(self, task: Task, view: WorkerView | None) -> bool:
        """Return whether no former placer can still renew the lease of a task."""
        if self._is_unlisted(view) or (view is not None and view.answered_s):
            return True
        job = self.state.job(task)
        if task.is_service or (job and job.isolation is IsolationRule.MOVE):
            return True
        return all(self._is_process_ended(name) for name in self.state.lease.row.former)

    def _is_unlisted(self, view: WorkerView | None) -> bool:
        since_s = self.state.loaded_at_s if view is None else view.unlisted_since_s
        now_s = self.state.clock.monotonic()
        return since_s is not None and now_s - since_s >= UNLISTED_TIMEOUT_S

    def _is_process_ended(self, identity: str) -> bool:
        vm, _, incarnation = identity.partition("#")
        try:
            membership = self.state.kernel.find("membership")
        except KernelError:
            return False
        return membership.is_ended(vm, int(incarnation))
