"""A closed loop of the planner, the interference guard and simple workers.

Each worker runs one serving task. Its headroom falls linearly with the cores that
best-effort tasks use beside it. Commits and starts take no time, and a speed limit is
in force at once.
"""

from __future__ import annotations

from collections import defaultdict

from fulmarleverd.scheduling.interference.control import InterferenceGuard
from fulmarleverd.scheduling.jobs.runs import FULL_PERCENT, Run, RunState
from fulmarleverd.scheduling.jobs.tasks import Job
from fulmarleverd.scheduling.planning.planner import Planner
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.workers.fleet import Worker
from fulmarleverd.scheduling.workers.reports import ReportProcessor
from fulmarleverd.tests.scheduling.base import OwnerTestCase

STEP_S = 0.1
STEPS_PER_REPORT = 3
# A worker reports the cores in use of the last half second.
USE_REPORTED_AFTER_S = 0.5
SERVING_IMAGE = "desk"
SERVING = StepSpec(
    count=2,
    cpu_m=8000,
    image=SERVING_IMAGE,
    latency_target_s=0.05,
    is_long_running=True,
)


class SharedWorkersTestCase(OwnerTestCase):
    """Runs best-effort jobs beside one serving task on each of two workers.

    ``coefficients`` are the headroom that each image takes if it uses all cores of a
    worker, and ``headroom`` is what a serving task has alone. ``longest_idle_s`` is the
    longest time that each job has had no run.
    """

    coefficients: dict[str, float] = {}
    headroom = 2.0

    def setUp(self):
        super().setUp()
        self.guard = InterferenceGuard(self.owner)
        self.planner = Planner(self.owner, self.guard.headroom_taken)
        self.reports = ReportProcessor(self.owner, self.guard.process_report)
        self.work_left_s: dict[Run, float] = {}
        self.idle_since_s: dict[str, float] = {}
        self.longest_idle_s: dict[str, float] = defaultdict(float)
        for image, coefficient in self.coefficients.items():
            self.train_model(image, coefficient)
        serving = self.add_job("serving", SERVING)
        self.serving = {
            worker: self.start(serving, worker, index=index)
            for index, worker in enumerate(self.workers)
        }

    def train_model(self, image: str, coefficient: float) -> None:
        """Let the model learn what an image takes from the serving tasks."""
        for number in range(60):
            load = 0.1 * (number % 2)
            before, after = {image: 0.0}, {image: load}
            lost = coefficient * load
            self.guard.model.observe(SERVING_IMAGE, before, after, lost)

    def play(self, jobs: list[Job], seconds: float, task_s: float) -> None:
        """Play jobs whose tasks each work for ``task_s`` seconds at full speed."""
        for step in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for worker in self.workers:
                self._work(worker)
                if step % STEPS_PER_REPORT == 0:
                    self._report(worker)
            self.planner.plan()
            self._carry_out(task_s)
            self._measure(jobs)

    def _best_effort_runs(self, worker: Worker) -> list[Run]:
        runs = worker.runs.values()
        return [run for run in runs if run.task.step.spec.is_best_effort]

    def _work(self, worker: Worker) -> None:
        for run in self._best_effort_runs(worker):
            share = run.speed_limit_percent / FULL_PERCENT
            self.work_left_s[run] -= STEP_S * share

    def _report(self, worker: Worker) -> None:
        """Report ends, the use of cores and the latency of the serving task."""
        ends, rows, taken = [], [], 0.0
        for run in self._best_effort_runs(worker):
            spec = run.task.step.spec
            used_m = spec.cpu_m * run.speed_limit_percent / FULL_PERCENT
            if run.state is RunState.STOPPING:
                ends.append((run, "stopped"))
            elif self.work_left_s[run] <= 0.0:
                ends.append((run, "done"))
            else:
                taken += self.coefficients[spec.image] * used_m / worker.entry.cpu_m
                is_new = self.clock.now - run.started_s < USE_REPORTED_AFTER_S
                rows.append((run, 50.0, 0.0 if is_new else used_m))
        headroom = max(0.1, self.headroom - taken)
        serving = self.serving[worker]
        target_ms = serving.task.step.spec.latency_target_s * 1000.0
        row = (serving, FULL_PERCENT, target_ms / headroom)
        self.report(worker, row, *rows, ends=tuple(ends))

    def _carry_out(self, task_s: float) -> None:
        """Commit what was planned, and begin the runs that were started."""
        actions, self.commits.actions = self.commits.actions, []
        for action in actions:
            action()
        for run in self.commands.starts:
            run.state = RunState.RUNNING
            run.confirmed_at_s = run.started_s = self.clock.now
            run.has_begun = True
            self.owner.record_begin(run)
            self.work_left_s[run] = task_s
        self.commands.starts.clear()

    def _measure(self, jobs: list[Job]) -> None:
        now = self.clock.now
        for job in jobs:
            if job.has_runs or job.is_final:
                self.idle_since_s.pop(job.id, None)
                continue
            since_s = self.idle_since_s.setdefault(job.id, now)
            idle_s = now - since_s
            self.longest_idle_s[job.id] = max(idle_s, self.longest_idle_s[job.id])
