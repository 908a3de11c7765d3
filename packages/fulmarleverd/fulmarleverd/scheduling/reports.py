"""Takes workers' reports: ends and running tasks change runs, tasks and jobs."""

from __future__ import annotations

from collections.abc import Callable

from fulmarleverd.scheduling.decisions import record, record_run
from fulmarleverd.scheduling.fleet import Worker
from fulmarleverd.scheduling.metrics import ENDS
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.ports import EndedTask, RunningTask, WorkerReport
from fulmarleverd.scheduling.runs import Run, RunState
from fulmarleverd.scheduling.tasks import Task

END_DONE = "done"
END_FAILED = "failed"


class Reports:
    """Brings an owner's state up to date; ``on_taken`` looks at a worker afterwards."""

    def __init__(self, owner: Owner, on_taken: Callable[[Worker], None]) -> None:
        self._owner = owner
        self._on_taken = on_taken

    def take(self, worker: Worker, report: WorkerReport, asked_s: float) -> None:
        """Bring runs up to date; ``asked_s`` is when the worker was asked."""
        now = self._owner.now_s()
        worker.note_clock(report.clock_ms, now)
        worker.is_reachable = True
        worker.is_silent = False
        worker.first_answer_s = worker.first_answer_s or now
        self._take_ends(worker, report)
        present = {(item.task, item.run): item for item in report.running}
        for key, item in present.items():
            self._take_running(worker, key, item)
        for key, run in list(worker.runs.items()):
            is_certain = run.state in (RunState.RUNNING, RunState.STOPPING)
            if is_certain and key not in present and run.seen_at_s <= asked_s:
                self._take_absent(run)
        if not worker.is_reconciled:
            worker.is_reconciled = True
            record("worker-reconciled", worker=worker.id, runs=len(worker.runs))
            self._owner.changed.set()
        self._on_taken(worker)

    def _take_absent(self, run: Run) -> None:
        """Drop a run that its worker does not have and will not start."""
        if run.may_arrive_late and run.state is RunState.RUNNING:
            # A worker rejects the start of a run that was stopped there.
            self._owner.stop_run(run, "its worker no longer has it")
        else:
            self._owner.drop_run(run, "its worker no longer has it")

    def _take_ends(self, worker: Worker, report: WorkerReport) -> None:
        last = worker.ends_seen
        for ended in report.ended:
            if ended.number > worker.ends_seen:
                worker.ends_seen = ended.number
                self._take_end(worker, ended)
        if worker.ends_seen > last:
            number = worker.ends_seen
            self._owner.commits.after_commit(
                lambda: setattr(worker, "ends_known", number)
            )
            self._owner.changed.set()

    def _take_end(self, worker: Worker, ended: EndedTask) -> None:
        run = worker.runs.get((ended.task, ended.run))
        ENDS.labels(ended.outcome).inc()
        if run is None:
            self._take_unknown_end(worker, ended)
            return
        task = run.task
        worker.remove(run)
        task.runs.pop(run.number, None)
        if ended.checkpoint:
            task.checkpoint = ended.checkpoint
        record_run("run-ended", run, ended.outcome, number=ended.number)
        if ended.outcome == END_DONE and not task.step.spec.is_long_running:
            self._take_done(worker, run)
        elif ended.outcome == END_FAILED:
            self._take_failed(worker, task)
        task.step.refresh(task)
        if not task.step.job.is_final:
            self._owner.commits.stage(task.step.job)

    def _take_unknown_end(self, worker: Worker, ended: EndedTask) -> None:
        record(
            "end-ignored",
            "no such run is given to this worker",
            task=ended.task,
            run=ended.run,
            worker=worker.id,
            how=ended.outcome,
        )

    def _take_done(self, worker: Worker, run: Run) -> None:
        task = run.task
        worker.note_success()
        step = task.step
        tasks = step.tasks if step.spec.is_gang else [task]
        for member in tasks:
            step.complete(member)
        for copy in [run for member in tasks for run in member.runs.values()]:
            if not step.spec.is_gang:
                self._owner.stop_run(copy, "another copy is done")
        job = step.job
        if job.id in self._owner.jobs and job.is_complete:
            self._owner.finish_job(job, "all tasks done")

    def _take_failed(self, worker: Worker, task: Task) -> None:
        task.failures += 1
        task.avoid.add(worker.id)
        if worker.note_failure(self._owner.now_s()):
            record("worker-distrusted", worker=worker.id, failures=worker.failures)
        job = task.step.job
        is_limited = not task.step.spec.is_long_running
        if is_limited and task.failures >= job.queue.max_attempts:
            self._owner.fail_job(
                job, f"task {task.name} has failed {task.failures} times"
            )

    def _take_running(
        self, worker: Worker, key: tuple[str, int], item: RunningTask
    ) -> None:
        run = worker.runs.get(key)
        if run is None:
            self._stop_unknown(worker, item)
            return
        if run.state is RunState.SENT:
            run.state = RunState.RUNNING
            run.started_s = run.started_s or self._owner.now_s()
        run.percent = item.percent
        run.usage = item.usage
        if item.checkpoint:
            run.task.checkpoint = item.checkpoint

    def _stop_unknown(self, worker: Worker, item: RunningTask) -> None:
        record(
            "run-unknown",
            "stopped: it is not given to this worker",
            task=item.task,
            run=item.run,
            worker=worker.id,
        )
        self._owner.orders.send_stop_unknown(worker, item.task, item.run)
