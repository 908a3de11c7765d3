"""New runs stay off the workers of evacuated zones; runs at work stay there."""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import patch

from loguru import logger as log

from fulmarlever.clock import ManualClock
from fulmarlever.outcomes import OutcomeUnknown, Unavailable
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.loop_delay import LoopDelay
from fulmarleverd.scheduling.evacuation import zones as evacuated_zones
from fulmarleverd.scheduling.evacuation.control import Evacuation
from fulmarleverd.scheduling.evacuation.zones import MAX_AGE_S, EvacuatedZones
from fulmarleverd.scheduling.fairness.fair_shares import (
    PREEMPTION_TIMEOUT_S,
    FairShares,
)
from fulmarleverd.scheduling.health.progress import STALLED_AFTER_S, ProgressMonitor
from fulmarleverd.scheduling.interference.control import MAX_PAUSE_S, InterferenceGuard
from fulmarleverd.scheduling.jobs.runs import Run, RunState
from fulmarleverd.scheduling.jobs.tasks import Ticket
from fulmarleverd.scheduling.metrics import EVACUATED_RUNS
from fulmarleverd.scheduling.planning.backlog import Backlog
from fulmarleverd.scheduling.planning.obstacles import Obstacle
from fulmarleverd.scheduling.planning.planner import Planner
from fulmarleverd.scheduling.planning.start_rate import StartRate
from fulmarleverd.scheduling.planning.tickets import TicketRequester
from fulmarleverd.scheduling.specs import QueueSpec, StepSpec
from fulmarleverd.scheduling.workers.fleet import Worker
from fulmarleverd.scheduling.workers.worker_commands import WorkerCommands
from fulmarleverd.tests.scheduling.base import OwnerTestCase

TASK = {"cpu_m": 4000, "memory_mb": 100, "estimate_s": 5.0}
SERVING = {"is_long_running": True, "image": "a", "latency_target_s": 0.05}
TICKETS = QueueSpec("seals", "h", "/s/", "desk", needs_ticket=True)


class EvacuationTestCase(OwnerTestCase):
    """Two workers in zone ``z`` and, where the test adds it, one in zone ``y``."""

    def setUp(self):
        super().setUp()
        self.zones = EvacuatedZones(self.clock)
        self.evacuation = Evacuation(self.owner, self.zones)
        self.planner = Planner(self.owner, lambda spec, worker: 0.0)

    def evacuate(self, *zones: str) -> None:
        """Let the operator's rows name exactly these zones."""
        self.zones.update(zones, self.clock.now)
        self.evacuation.apply()

    def add_other(self, **options: object) -> Worker:
        return self.add_worker("w3", zone="y", **options)

    def new_runs_of(self, worker: Worker) -> list[Run]:
        return [r for r in worker.runs.values() if r.state is RunState.PLANNED]


class PlanTests(EvacuationTestCase):
    # Step, number of its tasks that start while the other zone has 32 cores.
    ROWS = (
        ("batch", StepSpec(count=20, **TASK), 8),
        ("gang that fits elsewhere", StepSpec(count=8, is_gang=True, **TASK), 8),
        ("gang that does not", StepSpec(count=9, is_gang=True, **TASK), 0),
        (
            "rack-bound gang of the zone",
            StepSpec(
                count=2, is_gang=True, is_rack_bound=True, required_label="b", **TASK
            ),
            0,
        ),
        ("label of the zone alone", StepSpec(count=2, required_label="b", **TASK), 0),
        ("serving", StepSpec(count=2, cpu_m=1000, **SERVING), 2),
        ("best effort", StepSpec(count=2, is_best_effort=True, **TASK), 2),
    )

    # Guards against plans that use a worker of an evacuated zone, and against steps
    # that are lost, rather than wait, when no other worker can run them.
    def test_no_run_is_planned_in_the_zone_until_it_is_restored(self):
        for name, spec, expected in self.each(self.ROWS):
            self.setUp()
            for number in range(2):
                self.add_worker(f"w{number + 1}", labels=("b", "r1"))
            other = self.add_other()
            self.evacuate("z")
            job = self.add_job(name, spec)
            self.planner.plan()
            self.assertEqual(len(other.runs), expected)
            self.assertEqual(sum(len(w.runs) for w in self.workers), 0)
            self.assertFalse(job.is_final)
            self.evacuate()
            self.planner.plan()
            started = sum(len(w.runs) for w in self.owner.fleet)
            self.assertEqual(started, spec.count)

    # Guards against sets of zones that are mixed up when evacuations overlap, and when
    # an entry is written again, as each heartbeat does.
    def test_only_the_named_zones_are_evacuated(self):
        rows = (
            ("none", (), "zy"),
            ("one", ("z",), "y"),
            ("both", ("z", "y"), ""),
            ("the other", ("y",), "z"),
            ("one without workers", ("x",), "zy"),
            ("the same zones again", ("x",), "zy"),
            ("again", ("z",), "y"),
        )
        self.add_other()
        for _, zones, accepting in self.each(rows):
            self.evacuate(*zones)
            for worker in list(self.owner.fleet):
                self.owner.add_worker(worker.entry)
            found = {w.entry.zone for w in self.owner.fleet if w.accepts_runs(0.0)}
            self.assertEqual(found, set(accepting))

    # Guards against a new incarnation that accepts runs, as it is not known yet when
    # the zone is evacuated.
    def test_workers_that_appear_in_an_evacuated_zone_accept_no_runs(self):
        self.evacuate("z")
        self.assertFalse(self.add_worker("w9").accepts_runs(0.0))
        self.assertFalse(self.add_worker("w1", "2").accepts_runs(0.0))

    # Guards against copies of runs of a slow worker that begin in the zone.
    def test_no_copy_is_started_in_the_zone(self):
        other = self.add_other()
        job = self.add_job("j", StepSpec(is_speculative=True, **TASK))
        run = self.start(job, other)
        self.evacuate("z")
        self.owner.request_copy(run, "slow")
        self.planner.plan()
        self.assertEqual(len(job.occurrences[0][0].tasks[0].runs), 1)

    # Guards against tasks that wait for isolation and then start in the zone.
    def test_no_suspect_of_a_crash_is_started_in_the_zone(self):
        job = self.add_job("j", StepSpec(**TASK))
        job.occurrences[0][0].tasks[0].crashes = 2
        self.clock.advance(10.0)
        self.evacuate("z")
        self.planner.plan()
        self.assertEqual(self.commits.actions, [])

    # Guards against tickets that are requested for, or used on, workers of the zone.
    def test_no_ticket_is_requested_for_workers_of_the_zone(self):
        job = self.add_job("j", StepSpec(count=2, **TASK), queue=TICKETS)
        step = job.occurrences[0][0]
        requester = TicketRequester(self.owner, None)
        for worker in self.workers:
            step.tickets[worker.key] = Ticket("t", self.clock.now + 10.0)
        self.evacuate("z")
        self.planner.plan()
        self.assertEqual(len(step.waiting), 2)
        step.tickets.clear()
        self.assertEqual(requester._choose_workers(step), [])
        self.evacuate()
        self.assertEqual(len(requester._choose_workers(step)), 2)


class RunsAtTheChangeTests(EvacuationTestCase):
    def begin(self, state: RunState, is_refused: bool = False) -> Run:
        job = self.add_job(f"j-{state}-{is_refused}", StepSpec(**TASK))
        run = self.owner.assign(job.occurrences[0][0].tasks[0], self.workers[0])
        run.state = state
        run.is_refused = is_refused
        return run

    # Guards against a start that is sent, or sent again, after the zone is evacuated,
    # and against the interruption of runs at work.
    def test_only_runs_that_have_not_begun_are_withdrawn(self):
        rows = (
            ("planned", RunState.PLANNED, False, "dropped"),
            ("sent", RunState.SENT, False, "stopped"),
            ("refused on the way", RunState.SENT, True, "dropped"),
            ("at work", RunState.RUNNING, False, "kept"),
            ("stopping", RunState.STOPPING, False, "kept"),
        )
        for _, state, is_refused, expected in self.each(rows):
            run = self.begin(state, is_refused)
            self.evacuate("z")
            found = "kept" if run.is_active else "dropped"
            found = "stopped" if run in self.commands.stops else found
            self.assertEqual(found, expected)
            self.assertEqual(run.task.is_waiting, expected == "dropped")
            self.evacuate()

    # Guards against the stop of an answered start whose late delivery it prevents, and
    # against a task that waits for ever after such a stop.
    def test_a_stopped_start_runs_elsewhere_after_its_end(self):
        run = self.begin(RunState.SENT)
        other = self.add_other()
        self.evacuate("z")
        self.planner.plan()
        self.assertEqual(len(other.runs), 0)
        self.report(self.workers[0], ends=((run, "stopped"),))
        self.planner.plan()
        self.assertEqual([r.task for r in other.runs.values()], [run.task])

    # Guards against a gang of which some tasks run without the others.
    def test_a_gang_is_withdrawn_as_a_whole(self):
        other = self.add_other()
        job = self.add_job("j", StepSpec(count=3, is_gang=True, **TASK))
        tasks = job.occurrences[0][0].tasks
        workers = (other, other, self.workers[0])
        runs = [self.owner.assign(t, w, 1) for t, w in zip(tasks, workers, strict=True)]
        states = (RunState.PLANNED, RunState.RUNNING, RunState.SENT)
        for run, state in zip(runs, states, strict=True):
            run.state = state
        self.evacuate("z")
        self.assertFalse(runs[0].is_active)
        self.assertCountEqual(self.commands.stops, runs[1:])

    def test_a_gang_at_work_stays(self):
        job = self.add_job("j", StepSpec(count=2, is_gang=True, **TASK))
        for index, worker in enumerate(self.workers):
            self.start(job, worker, index=index)
        self.evacuate("z")
        self.assertEqual(self.commands.stops, [])

    # Guards against the loss of what the operator needs to see.
    def test_the_runs_at_work_are_counted(self):
        lines: list[dict] = []
        log.add(lambda message: lines.append(message.record["extra"]))
        self.begin(RunState.RUNNING)
        self.begin(RunState.PLANNED)
        self.evacuate("z", "nowhere")
        gauge = EVACUATED_RUNS.labels("z")
        self.assertEqual(gauge._value.get(), 1)
        self.evacuate("nowhere")
        found = [
            (line["event"], line["zone"], line["workers"], line["runs"])
            for line in lines
            if line["event"].startswith("zone-")
        ]
        self.assertEqual(
            found,
            [
                ("zone-evacuated", "nowhere", 0, 0),
                ("zone-evacuated", "z", 2, 2),
                ("zone-restored", "z", 2, 1),
            ],
        )
        self.assertEqual(list(EVACUATED_RUNS.collect())[0].samples, [])


class PreemptionTests(EvacuationTestCase):
    def setUp(self):
        super().setUp()
        self.shares = FairShares(self.owner, self.planner)
        for number in range(4):
            job = self.add_job(f"f{number}", StepSpec(count=2, cpu_m=8000, **SERVING))
            for index, worker in enumerate(self.workers):
                self.start(job, worker, index=index).progress_percent = 100.0
        self.starved = self.add_job("large", StepSpec(count=2, cpu_m=8000, **SERVING))

    def pass_time(self) -> None:
        for _ in range(round(2.0 + PREEMPTION_TIMEOUT_S)):
            self.clock.advance(1.0)
            self.planner.plan()
            self.shares.tick()

    # Guards against tasks that are preempted in vain: their worker would get no run.
    def test_nothing_is_preempted_in_the_zone(self):
        rows = (("evacuated", ("z",), 0), ("not evacuated", (), 1))
        for _, zones, expected in self.each(rows):
            self.evacuate(*zones)
            self.pass_time()
            self.assertEqual(len(self.commands.stops), expected)

    # Guards against a worker that stays reserved for a step that it may not run.
    def test_reservations_in_the_zone_are_released(self):
        self.pass_time()
        reserved = self.commands.stops[0].worker
        self.assertIsNotNone(reserved.reserved_for)
        self.evacuate("z")
        self.assertIsNone(reserved.reserved_for)
        self.assertEqual(len(self.starved.occurrences[0][0].waiting), 2)


class MoveTests(EvacuationTestCase):
    # Guards against a run that is stopped to be moved when no other zone has a worker
    # for it: its task would then wait until the zone is restored.
    def test_a_stalled_run_stays_if_only_the_zone_can_run_it(self):
        rows = (
            ("another zone can", "a", ("z",), 1),
            ("none can", "b", ("z",), 0),
            ("not evacuated", "b", (), 1),
        )
        for name, label, zones, expected in self.each(rows):
            self.setUp()
            worker = self.add_worker("w1", labels=("a", "b", "r1"))
            self.add_other()
            monitor = ProgressMonitor(self.owner)
            job = self.add_job(name, StepSpec(required_label=label, **TASK))
            run = self.start(job, worker)
            self.evacuate(*zones)
            monitor.process_report(worker)
            self.clock.advance(2 * STALLED_AFTER_S)
            monitor.process_report(worker)
            self.assertEqual(self.commands.stops, [run] * expected)

    def test_a_paused_run_stays_if_only_the_zone_can_run_it(self):
        rows = (("evacuated", ("z",), 0), ("not evacuated", (), 1))
        for name, zones, expected in self.each(rows):
            self.setUp()
            guard = InterferenceGuard(self.owner)
            worker = self.workers[0]
            serving = self.add_job(f"{name}-s", StepSpec(cpu_m=8000, **SERVING))
            job = self.add_job(name, StepSpec(is_best_effort=True, image="b", **TASK))
            self.start(serving, worker).latency_ms_or_cpu_m = 60.0
            run = self.start(job, worker)
            worker.set_speed_limit(run, 0)
            run.paused_at_s = self.clock.now
            self.evacuate(*zones)
            self.clock.advance(MAX_PAUSE_S + 0.1)
            guard.process_report(worker)
            self.assertEqual(self.commands.stops, [run] * expected)


class WaitLogTests(EvacuationTestCase):
    # Guards against a log that gives an operator another cause than the evacuation.
    def test_the_obstacle_is_named(self):
        job = self.add_job("j", StepSpec(required_label="b", **TASK))
        task = job.occurrences[0][0].tasks[0]
        labelled = self.add_worker("w4", labels=("b", "r2"))
        self.evacuate("z")
        rows = ((labelled, Obstacle.EVACUATED), (self.workers[0], Obstacle.LABEL))
        for worker, expected in self.each(rows):
            found = self.planner.find_obstacle(task, worker)
            self.assertIs(found, expected)

    def test_a_step_that_waits_for_the_zone_says_so(self):
        lines: list[dict] = []
        log.add(
            lambda message: lines.append(
                {**message.record["extra"], "outcome": message.record["message"]}
            )
        )
        delay = LoopDelay()
        rate = StartRate(delay, self.clock)
        backlog = Backlog(self.owner, self.planner, rate, delay)
        self.add_worker("w4", labels=("b", "r2"))
        self.add_other()
        self.add_job("j", StepSpec(required_label="b", **TASK))
        self.evacuate("z")
        for _ in range(5):
            self.clock.advance(1.0)
            backlog.tick()
        (line,) = [line for line in lines if line["event"] == "step-waits"]
        self.assertEqual(line["workers_evacuated"], 1)
        self.assertEqual(line["outcome"], "mostly for evacuated")
        load = [line for line in lines if line["event"] == "load"][-1]
        self.assertEqual((load["evacuated_workers"], load["evacuated_runs"]), (3, 0))


class ColdWorkerTests(EvacuationTestCase):
    # Guards against runs on workers that are still slow after their zone is restored
    # while others would cost the same.
    def test_warm_workers_of_equal_cost_come_first(self):
        rows = (
            ("first is cold", (2.0, 0.0), 1),
            ("second is cold", (0.0, 2.0), 0),
            ("both are warm", (0.0, 0.0), 0),
            ("both are cold", (2.0, 2.0), 0),
        )
        for name, cold_left_s, expected in self.each(rows):
            self.setUp()
            for number, left_s in enumerate(cold_left_s):
                self.add_worker(f"w{number + 1}", cold_left_s=left_s)
            self.add_job(name, StepSpec(**TASK))
            self.planner.plan()
            self.assertEqual(len(self.workers[expected].runs), 1)


class FakeCalls:
    """Calls to workers of which each start has one fixed result."""

    def __init__(self, result: object) -> None:
        self.result = result
        self.starts = 0

    async def start(self, worker: object, command: object) -> object:
        self.starts += 1
        await asyncio.sleep(0.01)
        return self.result


class StartTests(EvacuationTestCase, unittest.IsolatedAsyncioTestCase):
    def assign(self, result: object) -> tuple[Run, WorkerCommands, FakeCalls]:
        calls = FakeCalls(result)
        commands = WorkerCommands(self.owner, calls)
        self.addCleanup(commands.close)
        commands.send_stop = self.commands.send_stop
        self.owner.commands = commands
        self.lease.is_valid = True
        self.lease.token = 1
        job = self.add_job("j", StepSpec(**TASK))
        task = job.occurrences[0][0].tasks[0]
        return self.owner.assign(task, self.workers[0]), commands, calls

    # Guards against a start that is sent after the commit that the plan waited for,
    # when the zone was evacuated meanwhile.
    async def test_a_committed_run_is_dropped_before_its_start(self):
        run, commands, calls = self.assign(OutcomeUnknown("none"))
        self.owner.fleet.set_evacuated_zones(frozenset("z"))
        commands.send_start(run)
        await asyncio.sleep(0.05)
        self.assertEqual(calls.starts, 0)
        self.assertTrue(run.task.is_waiting)

    # Guards against a start without an answer that is sent again.
    async def test_a_start_is_not_sent_again(self):
        rows = (
            ("no answer", OutcomeUnknown("none"), "stopped"),
            ("refused", Unavailable("refused"), "dropped"),
        )
        for _, result, expected in self.each(rows):
            self.setUp()
            run, commands, calls = self.assign(result)
            commands.send_start(run)
            await asyncio.sleep(0.05)
            self.owner.fleet.set_evacuated_zones(frozenset("z"))
            await asyncio.sleep(0.2)
            self.assertEqual(calls.starts, 1)
            found = "stopped" if run in self.commands.stops else "dropped"
            self.assertEqual(found, expected)


class KnownZonesTests(TableTestCase, unittest.IsolatedAsyncioTestCase):
    # Guards against an owner that plans before its watcher has read the rows, and
    # against one that never plans as its watcher alone has lost the store.
    async def test_a_new_owner_waits_for_a_recent_answer(self):
        rows = (
            ("never read", None, 0.2, False),
            ("read just now", 0.0, 0.0, True),
            ("read long ago", MAX_AGE_S + 1.0, 0.2, False),
            ("read long ago, and again", MAX_AGE_S + 1.0, "again", True),
        )
        for _, age_s, after, expected in self.each(rows):
            clock = ManualClock()
            zones = EvacuatedZones(clock)
            if age_s is not None:
                zones.update(("z",), clock.boot())
                clock.advance(age_s)
            wait = asyncio.create_task(zones.wait_until_recent())
            await asyncio.sleep(0.01)
            if after == "again":
                zones.update(("z",), clock.boot())
            await asyncio.sleep(0.05)
            self.assertEqual(wait.done(), expected)
            wait.cancel()

    async def test_an_old_answer_has_to_do_without_another(self):
        clock = ManualClock()
        zones = EvacuatedZones(clock)
        zones.update(("z",), clock.boot())
        clock.advance(60.0)
        with patch.object(evacuated_zones, "MAX_REFRESH_S", 0.02):
            async with asyncio.timeout(5.0):
                await zones.wait_until_recent()

    async def test_a_change_is_not_missed(self):
        zones = EvacuatedZones(ManualClock())
        wait = asyncio.create_task(zones.wait_for_change())
        zones.update((), 1.0)
        await asyncio.sleep(0)
        self.assertFalse(wait.done())
        zones.update(("z",), 2.0)
        await wait
        self.assertEqual(zones.zones, {"z"})
