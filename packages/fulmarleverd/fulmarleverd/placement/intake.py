"""Takes up what workers said, as new states of tasks."""

from __future__ import annotations

from collections.abc import Iterator

from fulmarlever.exceptions import KernelError
from fulmarlever.outcomes import Refused
from fulmarlever.structure.configuration import IsolationRule
from fulmarlever.structure.size import Size
from fulmarlever.structure.task import Task, TaskState
from fulmarleverd.placement.backends import server_name
from fulmarleverd.placement.book import HOLDING
from fulmarleverd.placement.calls import CallResult
from fulmarleverd.placement.orders import (
    AttemptId,
    Ended,
    Started,
    StopOrder,
    TaskReport,
    WorkerReport,
)
from fulmarleverd.placement.settle import (
    DONE,
    FAILED,
    RUNNING,
    confirmed,
    ended,
    reported,
    requeued,
    stopping,
)
from fulmarleverd.placement.state import ZoneState
from fulmarleverd.placement.writer import Draft
from fulmarleverd.services.workers import MAX_CLOCK_DRIFT, ORDER_VALIDITY_S, WorkerView

MISSING = "its worker no longer has it"
LOST = "its worker is lost"

USAGE_S = 2.0
"""The time between two looks at the usage of a worker whose tasks use too much."""

CALM_USAGE_S = 4.0
"""The time between two looks at the usage of another worker's tasks."""

GONE_AFTER_S = 30.0
"""How long a VM must be missing from the VM list before it is taken for gone."""


def _is_as_known(task: Task, worker: str, report: TaskReport) -> bool:
    """Return whether a report says nothing new, which nearly all of them do."""
    return (
        report.state == RUNNING
        and task.state is TaskState.RUNNING
        and task.attempt == report.attempt
        and task.worker == worker
    )


def _beyond(usage: Size, reservation: Size) -> Size:
    return Size(
        max(0.0, usage.cores - reservation.cores),
        max(0.0, usage.memory_mib - reservation.memory_mib),
    )


class Intake:
    """Reports and answers of workers since the last round."""

    def __init__(self, state: ZoneState) -> None:
        self.state = state
        self._reports: dict[str, WorkerReport] = {}
        self._usage_due_s: dict[str, float] = {}

    def take_report(self, report: WorkerReport) -> bool:
        """Keep a worker's report for the next round; return whether it is urgent."""
        worker = report.answer.worker
        self._reports[worker] = report
        self.state.acknowledge.pop(worker, None)
        return any(task.state != RUNNING for task in report.answer.tasks)

    def fill(self, draft: Draft) -> None:
        """Add the new states of all tasks about which something was heard."""
        for result in self.state.calls.take_results():
            self._take_result(result, draft)
        reports, self._reports = self._reports, {}
        for worker, report in reports.items():
            self._take_worker(worker, report, draft)
        for task in self._lost():
            draft.add(requeued(task, LOST))

    def _take_result(self, result: CallResult, draft: Draft) -> None:
        task = self.state.book.get(result.key)
        if task is None or task.attempt != result.attempt:
            return
        answer = result.answer
        if isinstance(answer, Started):
            self._note_started(task, answer)
            draft.add(confirmed(task))
        elif isinstance(answer, Ended):
            # The report of a task that ended by itself also carries its result.
            if answer.state != DONE or task.is_service:
                draft.add(ended(task, answer))
        elif result.is_start:
            self._note_refused(task, answer, draft)

    def _note_started(self, task: Task, answer: Started) -> None:
        self.state.confirmed_s[task.key] = self.state.clock.monotonic()
        self.state.health.record_confirmed_start(task.worker)
        if task.is_service and answer.port:
            self.state.backends.addresses[server_name(task)] = answer

    def _note_refused(self, task: Task, answer: Refused, draft: Draft) -> None:
        now_s = self.state.clock.monotonic()
        self.state.health.record_failure(task.worker, task.owner, now_s, is_start=True)
        self.state.lookup.retries.note_failure(task.key, task.worker, now_s)
        # An earlier order of the same attempt may have been carried out, so a stop
        # must confirm that it does not run.
        draft.add(stopping(task, f"start refused: {answer.reason}"))

    def _take_worker(self, worker: str, report: WorkerReport, draft: Draft) -> None:
        present = set()
        strays = 0
        prefix, entries = f"task/{self.state.name}/", self.state.book.entries
        for item in report.answer.tasks:
            key = prefix + item.task
            present.add(key)
            entry = entries.get(key)
            if entry is None or not _is_as_known(entry.task, worker, item):
                strays += self._take_task(worker, item, draft)
        self._note_ready(worker, strays)
        now_s = self.state.clock.monotonic()
        if now_s >= self._usage_due_s.get(worker, 0.0):
            self._note_usage(worker, report)
            is_over = self.state.excess[worker] != Size()
            self._usage_due_s[worker] = now_s + (USAGE_S if is_over else CALM_USAGE_S)
        for key in self.state.book.on_worker.get(worker, set()) - present:
            if self._is_missing(entries[key].task, report):
                draft.add(requeued(entries[key].task, MISSING))

    def _note_usage(self, worker: str, report: WorkerReport) -> None:
        excess = Size()
        for item in report.answer.tasks:
            key = f"task/{self.state.name}/{item.task}"
            task = self.state.book.get(key)
            if item.state != RUNNING or not self._is_current(task, worker, item):
                continue
            self.state.usage[key] = item.usage
            excess += _beyond(item.usage, task.reservation)
            if not task.is_service:
                kind = self.state.lookup.kind(task)
                self.state.lookup.sizes.observe(kind, key, item.usage)
        self.state.excess[worker] = excess

    def _note_ready(self, worker: str, strays: int) -> None:
        # A stray takes room that the book does not count.
        if strays:
            self.state.ready.discard(worker)
        else:
            self.state.ready.add(worker)

    def _take_task(self, worker: str, report: TaskReport, draft: Draft) -> bool:
        """Take up one report and return whether it shows a stray run."""
        key = f"task/{self.state.name}/{report.task}"
        if key in draft.tasks:
            return False
        task = self.state.book.get(key)
        new = reported(task, report) if task is not None else None
        if new is not None:
            self._note_end(task, report)
            draft.add(new)
        elif report.state != RUNNING:
            attempt = AttemptId(report.task, report.attempt)
            self.state.acknowledge.setdefault(worker, set()).add(attempt)
        elif not self._is_current(task, worker, report):
            self._stop_stray(worker, report)
            return True
        return False

    def _note_end(self, task: Task, report: TaskReport) -> None:
        if task.is_service or not task.worker:
            return
        now_s = self.state.clock.monotonic()
        kind = self.state.lookup.kind(task)
        started_s = self.state.confirmed_s.get(task.key)
        is_whole = report.state == DONE and started_s and not task.checkpoint
        run_s = now_s - started_s if is_whole else None
        self.state.lookup.sizes.end(kind, task.key, run_s)
        if report.state == FAILED:
            self.state.lookup.retries.note_failure(task.key, task.worker, now_s)
            self.state.health.record_failure(task.worker, task.owner, now_s)
        elif report.state == DONE:
            self.state.health.record_success(task.worker)

    def _is_current(self, task: Task | None, worker: str, report: TaskReport) -> bool:
        return (
            task is not None
            and task.attempt == report.attempt
            and task.worker == worker
            and task.state in HOLDING
        )

    def _stop_stray(self, worker: str, report: TaskReport) -> None:
        owner, _, index = report.task.rpartition("/")
        # The key of its own keeps this call from delaying those of the task itself.
        stray = Task(self.state.name, f"{worker}!{owner}", int(index), worker=worker)
        stray.attempt = report.attempt
        order = StopOrder(report.task, report.attempt, self.state.epoch, False)
        self.state.calls.stop(stray, order)

    def _is_missing(self, task: Task, report: WorkerReport) -> bool:
        if task.state is not TaskState.RUNNING:
            return False
        known_s = self.state.confirmed_s.get(task.key, self.state.loaded_s)
        return report.sent_s > known_s

    def _lost(self) -> Iterator[Task]:
        fleet = self.state.workers.fleet()
        for worker in list(self.state.book.on_worker):
            view = fleet.get(worker)
            if view is not None and self.state.workers.is_reachable(view):
                continue
            self.state.ready.discard(worker)
            if self._is_lease_over(view):
                yield from (
                    task
                    for task in self.state.book.of_worker(worker)
                    if self._may_move(task, view)
                )

    def _is_lease_over(self, view: WorkerView | None) -> bool:
        lease_s = self.state.settings.task_lease_s * (1 + MAX_CLOCK_DRIFT)
        end_s = self.state.loaded_s + ORDER_VALIDITY_S + lease_s
        if view is not None:
            end_s = max(end_s, view.leases_end_s)
        return self.state.clock.monotonic() > end_s

    def _may_move(self, task: Task, view: WorkerView | None) -> bool:
        """Return whether no former placer can still be renewing a task."""
        if self._is_gone(view) or (view is not None and view.answered_s):
            return True
        job = self.state.job(task)
        if task.is_service or (job and job.isolation is IsolationRule.MOVE):
            return True
        return all(self._is_ended(name) for name in self.state.lease.row.former)

    def _is_gone(self, view: WorkerView | None) -> bool:
        since_s = self.state.loaded_s if view is None else view.unlisted_since_s
        now_s = self.state.clock.monotonic()
        return since_s is not None and now_s - since_s >= GONE_AFTER_S

    def _is_ended(self, identity: str) -> bool:
        vm, _, incarnation = identity.partition("#")
        try:
            membership = self.state.kernel.find("membership")
        except KernelError:
            return False
        return membership.is_ended(vm, int(incarnation))
