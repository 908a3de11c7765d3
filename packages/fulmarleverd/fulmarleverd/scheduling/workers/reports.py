"""Applies workers' reports of ended and running tasks to runs, tasks and jobs."""

from __future__ import annotations

from collections.abc import Callable, Container

from fulmarleverd.scheduling.decisions import record, record_run
from fulmarleverd.scheduling.health.failures import DISTRUST_SCORE
from fulmarleverd.scheduling.health.trust import update_trust
from fulmarleverd.scheduling.holds.hold import HoldReason
from fulmarleverd.scheduling.jobs.runs import Run, RunState
from fulmarleverd.scheduling.jobs.tasks import Task
from fulmarleverd.scheduling.metrics import ENDS
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.ports import EndedTask, RunningTask, WorkerReport
from fulmarleverd.scheduling.run_times.whole_runs import lacks_cores, whole_run_s
from fulmarleverd.scheduling.workers.fleet import Worker

END_DONE = "done"
END_FAILED = "failed"
# The ends that the metric counts apart.
KNOWN_ENDS = (END_DONE, END_FAILED, "stopped", "lapsed", "broken", "alone")
# The name of a task and the number of its run.
RunKey = tuple[str, int]
# A run that no job accounts for takes capacity until it has stopped. How much is not
# known, so its worker gets no runs for this long, in seconds, after each report of it.
UNKNOWN_RUN_PAUSE_S = 1.0


class ReportProcessor:
    """Updates an owner's state by reports.

    ``on_processed`` is called with the worker after each report.
    """

    def __init__(self, owner: Owner, on_processed: Callable[[Worker], None]) -> None:
        self._owner = owner
        self._on_processed = on_processed

    def process(
        self, worker: Worker, report: WorkerReport, requested_at_s: float
    ) -> None:
        """Update the runs of a worker by its report.

        ``requested_at_s`` is when the report was requested, on the owner's clock: it
        tells nothing about runs that were confirmed later.
        """
        now = self._owner.now_s()
        if not worker.first_answer_s:
            self._owner.incarnations.confirm(worker)
            self._owner.incarnations.record_first_report(worker, report)
        worker.record_clock(report.clock_ms, now)
        worker.is_reachable = True
        worker.is_unresponsive = False
        self._owner.crashes.record_answer(worker)
        worker.first_answer_s = worker.first_answer_s or now
        self._process_ends(worker, report, requested_at_s)
        worker.last_report_s = now
        running = {(item.task, item.run): item for item in report.running}
        for key, item in running.items():
            self._update_running(worker, key, item)
        if report.has_more_ends:
            # A run that is not in the report may be among the ends that follow.
            record("more-ends-follow", worker=worker.id, number=worker.last_end_seen)
        else:
            self._reconcile(worker, running.keys(), requested_at_s)
        self._on_processed(worker)

    def _reconcile(
        self, worker: Worker, running: Container[RunKey], requested_at_s: float
    ) -> None:
        """Handle the runs that a worker neither has nor has ended."""
        for key, run in list(worker.runs.items()):
            is_certain = run.state in (RunState.RUNNING, RunState.STOPPING)
            if (
                is_certain
                and key not in running
                and run.confirmed_at_s <= requested_at_s
            ):
                self._handle_missing_run(run)
        if not worker.is_reconciled:
            worker.is_reconciled = True
            record("worker-reconciled", worker=worker.id, runs=len(worker.runs))
            self._owner.changed.set()

    def _handle_missing_run(self, run: Run) -> None:
        """Drop a run that its worker lacks, or stop it if it may still start there."""
        if run.is_probe:
            run.worker.record_hidden_end()
        if run.may_arrive_late and run.state is RunState.RUNNING:
            # A worker rejects the start of a run that was stopped there.
            self._owner.stop_run(run, "its worker no longer has it")
        else:
            self._owner.drop_run(run, "its worker no longer has it")

    def _process_ends(
        self, worker: Worker, report: WorkerReport, requested_at_s: float
    ) -> None:
        """Process the ends that no earlier report showed."""
        gap_s = float("inf")
        if worker.last_report_s and report.clock_ms:
            gap_s = requested_at_s - worker.last_report_s
        previous = worker.last_end_seen
        self._check_numbers(worker, report.ended)
        for ended in report.ended:
            if ended.number > worker.last_end_seen:
                worker.last_end_seen = ended.number
                self._process_end(worker, ended, gap_s)
        if worker.last_end_seen > previous:
            number = worker.last_end_seen
            self._owner.commits.after_commit(
                lambda: setattr(worker, "last_end_committed", number)
            )
            self._owner.changed.set()

    def _check_numbers(self, worker: Worker, ends: tuple[EndedTask, ...]) -> None:
        """Note that a worker reports its ends, and log those that it has left out."""
        if not ends:
            return
        if worker.may_hide_ends:
            worker.may_hide_ends = False
            record("worker-reports-ends", worker=worker.id, number=ends[0].number)
        left_out = ends[0].number - worker.last_end_seen - 1
        if worker.knows_all_ends and left_out > 0:
            record(
                "ends-left-out",
                "the worker has forgotten them before it reported them",
                worker=worker.id,
                ends=left_out,
                number=ends[0].number,
            )
        worker.knows_all_ends = True

    def _process_end(self, worker: Worker, ended: EndedTask, gap_s: float) -> None:
        """Process the end of a run.

        ``gap_s`` is how long no report had been requested from the worker before,
        infinite if this is not known.
        """
        run = worker.runs.get((ended.task, ended.run))
        how = ended.outcome if ended.outcome in KNOWN_ENDS else "other"
        ENDS.labels(how).inc()
        if run is None:
            self._log_unknown_end(worker, ended)
            return
        task = run.task
        self._owner.record_begin(run)
        worker.remove(run)
        task.runs.pop(run.number, None)
        task.step.job.last_end_s = self._owner.now_s()
        if ended.checkpoint:
            task.checkpoint = ended.checkpoint
        record_run("run-ended", run, ended.outcome, number=ended.number)
        if ended.outcome == END_DONE and not task.step.spec.is_long_running:
            self._record_run_time(worker, run, gap_s)
            self._handle_done(worker, run)
        elif ended.outcome == END_FAILED:
            self._handle_failed(worker, task)
        task.step.refresh(task)
        if not task.step.job.is_final:
            self._owner.commits.stage(task.step.job)

    def _log_unknown_end(self, worker: Worker, ended: EndedTask) -> None:
        record(
            "end-ignored",
            "the run is not assigned to this worker",
            task=ended.task,
            run=ended.run,
            worker=worker.id,
            how=ended.outcome,
        )

    def _record_run_time(self, worker: Worker, run: Run, gap_s: float) -> None:
        if run.state is RunState.RUNNING:
            seconds = whole_run_s(run, worker, gap_s)
            self._owner.run_times.record_end(run.task.step, seconds)

    def _handle_done(self, worker: Worker, run: Run) -> None:
        """Mark the task of a run as done, or all tasks of its gang; stop copies."""
        task = run.task
        worker.failures.record_success(run.started_s)
        step = task.step
        tasks = step.tasks if step.spec.is_gang else [task]
        for member in tasks:
            step.complete(member)
        for copy in [run for member in tasks for run in member.runs.values()]:
            if not step.spec.is_gang:
                self._owner.stop_run(copy, "another copy is done")
        job = step.job
        if job.id in self._owner.jobs and job.is_complete:
            self._owner.open_jobs.finish(job, "all tasks done")

    def _handle_failed(self, worker: Worker, task: Task) -> None:
        """Count a failure of a task; the last attempt fails its job."""
        owner = self._owner
        now = owner.now_s()
        task.failures += 1
        task.avoid(worker.id, now)
        owner.failures.record_failure(worker.failures, task.step, now)
        if worker.failures.score >= DISTRUST_SCORE:
            update_trust(owner, worker.entry.service)
        job = task.step.job
        is_limited = not task.step.spec.is_long_running
        if is_limited and task.failures >= job.queue.max_attempts:
            cause = f"task {task.name} has failed {task.failures} times"
            owner.open_jobs.fail(job, cause)

    def _update_running(self, worker: Worker, key: RunKey, item: RunningTask) -> None:
        run = worker.runs.get(key)
        if run is None:
            self._stop_unknown(worker, item)
            return
        if run.state is RunState.SENT:
            run.state = RunState.RUNNING
            run.started_s = run.started_s or self._owner.now_s()
        run.has_begun = True
        self._owner.stop_probe(run)
        self._owner.record_begin(run)
        run.progress_percent = item.progress_percent
        run.latency_ms_or_cpu_m = item.latency_ms_or_cpu_m
        run.was_limited |= lacks_cores(run)
        if item.checkpoint:
            run.task.checkpoint = item.checkpoint

    def _stop_unknown(self, worker: Worker, item: RunningTask) -> None:
        """Stop a run that the worker has, but that no job accounts for.

        Until it is gone the worker gets no runs: it may not guard its capacity itself.
        """
        now = self._owner.now_s()
        worker.holds.add(HoldReason.UNKNOWN_RUN, now, UNKNOWN_RUN_PAUSE_S)
        record(
            "run-unknown",
            "stopped, as it is not assigned to this worker",
            task=item.task,
            run=item.run,
            worker=worker.id,
            incarnation=worker.entry.incarnation,
        )
        self._owner.commands.send_stop_unknown(worker, item.task, item.run)
