"""Tasks that crash their workers are told apart from tasks beside them."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from itertools import pairwise

from fulmarlever.outcomes import OutcomeUnknown, Unavailable
from fulmarleverd.scheduling.health.crashes import (
    CRASHES_KEPT_S,
    ISOLATION_PAUSE_S,
    ISOLATION_S,
    MAX_CRASHES,
    MAX_CRASHES_LATER,
    MAX_ISOLATED_SHARE,
    MAX_ISOLATIONS_IN_A_ROW,
    MIN_CRASHES_TO_WAIT,
    QUIET_S,
    RECENT_S,
)
from fulmarleverd.scheduling.jobs.runs import Run, RunState
from fulmarleverd.scheduling.jobs.tasks import Job, JobState, Task
from fulmarleverd.scheduling.persistence.progress_rows import (
    pack_progress,
    restore_progress,
)
from fulmarleverd.scheduling.planning.planner import Planner
from fulmarleverd.scheduling.ports import (
    REJECT_INCARNATION,
    REJECT_TOKEN,
    Accepted,
    Command,
    Rejected,
    WorkerReport,
)
from fulmarleverd.scheduling.specs import StepSpec, WorkerEntry
from fulmarleverd.scheduling.workers.fleet import Worker
from fulmarleverd.scheduling.workers.worker_commands import WorkerCommands
from fulmarleverd.tests.scheduling.base import QUEUE, OwnerTestCase

SPEC = StepSpec(count=2, cpu_m=1000, estimate_s=1.0)
LONG_RUNNING = StepSpec(count=2, cpu_m=1000, is_long_running=True)
# The users' requirement: a job must not stand still for longer while there is room.
MAX_IDLE_S = 3.0


class AnsweringCalls:
    """Calls to workers that all get the same report and accept each start."""

    def __init__(self, report: object) -> None:
        self.report = report
        self.starts: list[Command] = []

    async def extend_lease(self, *args: object) -> object:
        return self.report

    async def start(self, entry: WorkerEntry, command: Command) -> Accepted:
        self.starts.append(command)
        return Accepted(1000)


class CrashTrackerTests(OwnerTestCase):
    def crash(self, worker: Worker) -> None:
        """Let a worker answer, fall silent and have restarted 3 s later."""
        worker.record_clock(1000, self.clock.now)
        self.owner.mark_unreachable(worker, "connection lost")
        self.clock.advance(3.0)
        self.owner.replace_worker(worker, "another incarnation")

    def start_and_crash(self, job: Job, number: int, crash_after_s: float) -> None:
        worker = self.add_worker(f"x{number}")
        self.start(job, worker)
        self.clock.advance(crash_after_s)
        self.crash(worker)

    def test_a_task_is_given_up_after_few_crashes(self):
        rows = (
            ("at the start", SPEC, 0.01, 2),
            ("long-running", LONG_RUNNING, 0.01, 2),
            ("later", SPEC, 2 * RECENT_S, MAX_CRASHES_LATER),
        )
        for name, spec, crash_after_s, crashes in self.each(rows):
            job = self.add_job(name, spec)
            for number in range(crashes):
                self.assertFalse(job.has_failed)
                self.start_and_crash(job, number, crash_after_s)
            self.assertIs(job.state, JobState.FAILED)
            self.assertIn(f"{crashes} workers crashed", job.cause)

    def test_tasks_beside_a_crashing_one_are_not_given_up(self):
        crashing, early, beside = (self.add_job(n, SPEC) for n in ("c", "e", "b"))
        first, second = self.workers
        self.start(early, first)
        self.clock.advance(2 * RECENT_S)
        self.start(crashing, first)
        self.start(beside, first)
        self.crash(first)
        self.start(crashing, second)
        self.crash(second)
        self.assertTrue(crashing.has_failed)
        crashes = [job.occurrences[0][0].tasks[0].crashes for job in (early, beside)]
        self.assertEqual(crashes, [0, 1])
        self.assertFalse(early.has_failed or beside.has_failed)

    def test_a_task_is_not_given_up_for_crashes_that_it_shares(self):
        beside = self.add_job("beside", SPEC)
        for number in range(MAX_CRASHES - 1):
            other = self.add_job(f"other{number}", SPEC)
            worker = self.add_worker(f"x{number}")
            self.start(other, worker)
            self.start(beside, worker)
            self.crash(worker)
        self.assertFalse(beside.has_failed)

    def test_an_isolated_run_is_the_only_suspect(self):
        earlier, suspect = self.add_job("earlier", SPEC), self.add_job("suspect", SPEC)
        self.start(earlier, self.workers[0])
        self.clock.advance(QUIET_S)
        run = self.start(suspect, self.workers[0])
        self.owner.crashes.isolate(run)
        self.crash(self.workers[0])
        crashes = [j.occurrences[0][0].tasks[0].crashes for j in (earlier, suspect)]
        self.assertEqual(crashes, [0, 1])

    def test_what_is_no_crash_is_not_counted(self):
        rows = (("answers again", False, True), ("drained", True, False))
        for name, is_draining, answers in self.each(rows):
            worker = self.add_worker(name, is_draining=is_draining)
            job = self.add_job(name, SPEC)
            run = self.start(job, worker)
            self.owner.mark_unreachable(worker, "no answer")
            if answers:
                self.report(worker, (run, 1.0, 0.0))
                self.clock.advance(2 * CRASHES_KEPT_S)
                self.report(worker, ends=((run, "done"),))
            else:
                self.owner.replace_worker(worker, "another incarnation")
            self.assertEqual(run.task.crashes, 0)

    # Regression (LOST): a job was given up for crashes of workers that may never have
    # had a run of its task.
    def test_crashes_without_proof_of_a_run_count_for_the_last_limit_only(self):
        rows = (
            ("start without an answer", self.send_without_answer),
            ("run of an earlier owner, not reported", self.restore_run),
            ("lease expired before the restart", self.start_and_expire),
        )
        for name, start in self.each(rows):
            job = self.add_job(name, SPEC)
            task = job.occurrences[0][0].tasks[0]
            for number in range(MAX_CRASHES):
                self.assertEqual((task.crashes, task.unproven_crashes), (0, number))
                self.assertFalse(job.has_failed)
                worker = self.add_worker(f"x{number}")
                start(job, worker)
                self.owner.replace_worker(worker, "another incarnation")
            self.assertIs(job.state, JobState.FAILED)
            self.assertIn(f"{MAX_CRASHES} workers crashed", job.cause)

    # Regression (LOST): the next incarnation had accepted the start, before its entry
    # came, so the run had never been on the one that crashed.
    def test_a_start_that_the_next_incarnation_accepted_is_no_proof(self):
        rows = (
            ("same clock", 5000, 5100, 0.1, True),
            ("slow clock", 5000, 24_620, 20.0, True),
            ("late answer", 5000, 5000, 0.2, True),
            ("began anew", 5000, 136, 0.1, False),
            ("began anew later", 1000, 1136, 1.4, False),
        )
        for name, earlier_ms, clock_ms, passed_s, expected in self.each(rows):
            worker = self.add_worker(name)
            worker.record_clock(earlier_ms, self.clock.now)
            self.clock.advance(passed_s)
            run = self.owner.assign(
                self.add_job(name, SPEC).occurrences[0][0].tasks[0], worker
            )
            run.state, run.sent_s = RunState.SENT, self.clock.now
            commands = WorkerCommands(self.owner, None)
            commands._process_start_result(run, worker, Accepted(clock_ms))
            self.assertEqual(run.has_begun, expected)
            self.owner.replace_worker(worker, "another incarnation")
            crashes = (run.task.crashes, run.task.unproven_crashes)
            self.assertEqual(crashes, (1, 0) if expected else (0, 1))

    # Regression (LOST): five starts in a row were sent to workers that had crashed
    # before, which looked like five crashes under the task.
    def test_a_suspect_is_not_started_on_a_worker_that_does_not_answer(self):
        report = WorkerReport(1000, "1", (), ())
        other = WorkerReport(1000, "2", (), ())
        rows = (
            ("no suspect", 0, OutcomeUnknown("no answer"), True),
            ("answers", 1, report, True),
            ("no answer", 1, OutcomeUnknown("no answer"), False),
            ("refused", 1, Unavailable("connection refused"), False),
            ("another worker", 1, Rejected(REJECT_INCARNATION, 0), False),
            ("another incarnation", 1, other, False),
            ("rejected", 1, Rejected(REJECT_TOKEN, 0), False),
        )
        for name, suspicions, answer, expected in self.each(rows):
            worker = self.add_worker(name)
            job = self.add_job(name, SPEC)
            task = job.occurrences[0][0].tasks[0]
            task.unproven_crashes = suspicions
            run = self.owner.assign(task, worker)
            calls = AnsweringCalls(answer)
            asyncio.run(self.send(run, calls))
            self.assertEqual(bool(calls.starts), expected)
            self.assertEqual(run.is_active, expected)
            self.owner.replace_worker(worker, "another incarnation")
            crashes = (task.crashes, task.unproven_crashes)
            self.assertEqual(crashes, (int(expected), suspicions))

    async def send(self, run: Run, calls: AnsweringCalls) -> None:
        commands = WorkerCommands(self.owner, calls)
        commands.send_start(run)
        await asyncio.gather(*commands._tasks)

    def send_without_answer(self, job: Job, worker: Worker) -> None:
        run = self.start(job, worker)
        run.state, run.has_begun, run.started_s = RunState.SENT, False, 0.0
        run.sent_s = self.clock.now
        self.owner.mark_unreachable(worker, "starts get no answer")

    def restore_run(self, job: Job, worker: Worker) -> None:
        run = self.start(job, worker)
        run.has_begun, run.started_s = False, 0.0
        self.owner.mark_unreachable(worker, "no answer")

    def start_and_expire(self, job: Job, worker: Worker) -> None:
        worker.record_clock(1000, self.clock.now)
        self.start(job, worker)
        self.owner.mark_unreachable(worker, "no answer")
        self.owner.expire_worker_lease(worker)

    # Regression (LOST, review/12): a task was given up after one crash and one run that
    # had ended by itself behind a cut, where its worker crashed later.
    def test_a_crash_behind_a_cut_is_no_proof(self):
        rows = (
            ("answers as it is listed", 0.0, (1, 0)),
            ("answers to its second call", 0.9, (1, 0)),
            ("is cut off for longer", 1.5, (0, 1)),
        )
        for name, unanswered_s, expected in self.each(rows):
            worker = self.add_worker(name)
            worker.record_clock(1000, self.clock.now)
            job = self.add_job(name, LONG_RUNNING)
            run = self.start(job, worker)
            self.owner.mark_unreachable(worker, "no answer")
            self.clock.advance(4.0)
            following = self.add_worker(name, "2")
            self.clock.advance(unanswered_s)
            self.owner.incarnations.confirm(following)
            crashes = (run.task.crashes, run.task.unproven_crashes)
            self.assertEqual(crashes, expected)

    # The same, where another worker has taken the address.
    def test_a_crash_behind_a_cut_under_another_id_is_no_proof(self):
        for name, unanswered_s, expected in self.each(
            (("answers", 0.0, (1, 0)), ("is cut off", 1.5, (0, 1)))
        ):
            worker = self.add_worker(name)
            worker.record_clock(1000, self.clock.now)
            worker.first_answer_s = self.clock.now
            run = self.start(self.add_job(name, LONG_RUNNING), worker)
            self.owner.mark_unreachable(worker, "no answer")
            self.clock.advance(4.0)
            following = self.add_worker(f"{name}-next")
            following.entry = replace(following.entry, address=worker.entry.address)
            self.clock.advance(unanswered_s)
            self.owner.incarnations.process_mismatch(worker, "another worker")
            crashes = (run.task.crashes, run.task.unproven_crashes)
            self.assertEqual(crashes, expected)

    def test_a_refused_start_is_no_crash(self):
        for name, may_arrive, expected in self.each((("", False, 0), ("t", True, 1))):
            worker = self.add_worker(f"x{name}")
            job = self.add_job(f"j{name}", SPEC)
            run = self.start(job, worker)
            run.state, run.has_begun = RunState.SENT, False
            run.is_refused, run.may_arrive_late = True, may_arrive
            self.owner.mark_unreachable(worker, "connection refused")
            self.owner.replace_worker(worker, "another incarnation")
            self.assertEqual(run.task.unproven_crashes, expected)

    def test_a_run_that_is_absent_from_a_later_answer_is_no_suspect(self):
        job = self.add_job("j", SPEC)
        self.send_without_answer(job, self.workers[0])
        self.clock.advance(2 * RECENT_S)
        self.workers[0].crash_suspects = None
        self.crash(self.workers[0])
        task = job.occurrences[0][0].tasks[0]
        self.assertEqual((task.crashes, task.unproven_crashes), (0, 0))

    def test_a_long_run_clears_its_task(self):
        job = self.add_job("j", LONG_RUNNING)
        self.start_and_crash(job, 0, 0.01)
        run = self.start(job, self.workers[0])
        for seconds, expected in ((CRASHES_KEPT_S / 2, 1), (CRASHES_KEPT_S, 0)):
            self.clock.advance(seconds)
            self.report(self.workers[0], (run, 100.0, 0.0))
            self.assertEqual(run.task.crashes, expected)

    def test_the_next_owner_knows_the_crashes(self):
        job = self.add_job("j", SPEC)
        self.start_and_crash(job, 0, 0.01)
        job.occurrences[0][0].tasks[1].unproven_crashes = 3
        restored = self.add_job("restored", SPEC)
        self.assertIsNone(restore_progress(restored, pack_progress(job)))
        tasks = restored.occurrences[0][0].tasks
        crashes = [(task.crashes, task.unproven_crashes) for task in tasks]
        self.assertEqual(crashes, [(1, 0), (0, 3)])

    def test_a_suspect_gets_no_copies(self):
        spec = StepSpec(cpu_m=1000, is_speculative=True)
        rows = (
            ("usual", 0, 0, True),
            ("suspect", 1, 0, False),
            ("suspect without proof", 0, 1, False),
        )
        for name, crashes, unproven, expected in self.each(rows):
            run = self.start(self.add_job(name, spec), self.workers[0])
            run.task.crashes, run.task.unproven_crashes = crashes, unproven
            self.assertEqual(self.owner.request_copy(run, "slow"), expected)


class IsolationTests(OwnerTestCase):
    def setUp(self):
        super().setUp()
        self.planner = Planner(self.owner, lambda spec, worker: 0.0)

    def add_suspect(self, name: str) -> Job:
        job = self.add_job(name, StepSpec(cpu_m=1000))
        job.occurrences[0][0].tasks[0].crashes = 1
        return job

    def test_a_suspect_runs_where_nothing_else_has_just_started(self):
        usual = self.add_job("usual", StepSpec(cpu_m=1000))
        self.planner.plan()
        suspect = self.add_suspect("suspect")
        later = self.add_job("later", StepSpec(count=20, cpu_m=1000))
        self.planner.plan()
        used, isolated = (next(iter(job.runs())).worker for job in (usual, suspect))
        self.assertIsNot(used, isolated)
        self.assertEqual({run.worker for run in later.runs()}, {used})
        self.clock.advance(ISOLATION_S)
        self.assertTrue(isolated.accepts_runs(self.clock.now))

    def test_a_task_with_several_crashes_waits_for_isolation(self):
        for worker in self.workers:
            worker.last_start_s = self.clock.now
        suspect = self.add_suspect("suspect")
        suspect.occurrences[0][0].tasks[0].crashes = 2
        usual = self.add_job("usual", StepSpec(cpu_m=1000))
        self.planner.plan()
        self.assertEqual((suspect.has_runs, usual.has_runs), (False, True))
        self.clock.advance(QUIET_S)
        self.planner.plan()
        self.assertTrue(suspect.has_runs)

    # Regression (LOST): after two waves of crashes 137 tasks waited for isolation, two
    # of which started a second, for half a minute beside workers with room.
    def test_many_tasks_with_several_crashes_wait_for_a_moment_only(self):
        jobs = [self.add_suspect(f"s{number}") for number in range(9)]
        tasks = [job.occurrences[0][0].tasks[0] for job in jobs]
        started = self.plan_suspects(tasks)
        self.assertEqual(set(started), set(tasks))

    # Guards against suspects of two jobs of which neither stands out if their worker
    # crashes.
    def test_tasks_of_several_jobs_are_started_apart(self):
        tasks = []
        for name in ("j1", "j2"):
            job = self.add_job(name, StepSpec(count=5, cpu_m=1000))
            *waiting, last = job.occurrences[0][0].tasks
            self.start(job, self.add_worker(f"other of {name}"), index=last.index)
            tasks += waiting
        started = self.plan_suspects(tasks)
        self.assertEqual(set(started), set(tasks))
        for worker in self.owner.fleet:
            starts = sorted(
                (at_s, task.step.job.id)
                for task, (worker_id, at_s) in started.items()
                if worker_id == worker.id
            )
            for (earlier_s, one), (later_s, other) in pairwise(starts):
                if one != other:
                    self.assertGreater(later_s - earlier_s, RECENT_S)

    def plan_suspects(self, tasks: list[Task]) -> dict[Task, tuple[str, float]]:
        """Plan for ``MAX_IDLE_S``; return where and when each task was started."""
        for task in tasks:
            task.crashes = MIN_CRASHES_TO_WAIT
        started: dict[Task, tuple[str, float]] = {}
        since_s = self.clock.now
        while self.clock.now - since_s < MAX_IDLE_S:
            self.planner.plan()
            for task in tasks:
                for run in task.runs.values():
                    started.setdefault(task, (run.worker.id, self.clock.now))
            self.clock.advance(0.1)
        return started

    def test_a_waiting_suspect_does_not_hold_back_its_step(self):
        for worker in self.workers:
            worker.last_start_s = self.clock.now
        job = self.add_job("j", StepSpec(count=3, cpu_m=1000))
        step = job.occurrences[0][0]
        step.tasks[0].crashes = 2
        started = list(self.planner._start_step(step, 1))
        self.assertEqual(started, [step.tasks[1]])

    def test_many_suspects_do_not_isolate_the_fleet(self):
        workers = 20
        for number in range(workers - len(self.workers)):
            self.add_worker(f"x{number}")
        self.clock.advance(QUIET_S)
        for number in range(3 * workers):
            self.add_suspect(f"s{number}")
        self.assertEqual(self.planner.plan(), 3 * workers)
        accepting = sum(w.accepts_runs(self.clock.now) for w in self.owner.fleet)
        self.assertEqual(accepting, workers - MAX_ISOLATED_SHARE * workers)

    # Regression (LOST): the suspects of one job were isolated one after the other, and
    # so kept the only worker with their label from all other jobs.
    def test_the_suspects_of_a_job_leave_a_worker_to_others(self):
        worker = self.workers[0]
        worker.entry = replace(worker.entry, labels=("b", "r1"))
        spec = StepSpec(count=60, cpu_m=100, required_label="b")
        wide = self.add_job("a", spec)
        for task in wide.tasks():
            task.crashes = 1
        less_urgent = replace(QUEUE, priority=QUEUE.priority + 1)
        spec = StepSpec(cpu_m=100, required_label="b")
        other = self.add_job("b", spec, queue=less_urgent)
        since_s = self.clock.now
        limit_s = MAX_ISOLATIONS_IN_A_ROW * ISOLATION_S + ISOLATION_PAUSE_S
        while not other.has_runs and self.clock.now - since_s < 2 * limit_s:
            self.clock.advance(0.1)
            self.planner.plan()
        self.assertLess(self.clock.now - since_s, limit_s)
