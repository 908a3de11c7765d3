"""What the owner publishes, and when."""

from __future__ import annotations

from dataclasses import replace

from fulmarleverd.scheduling.admission.forecast import Candidate, Forecast
from fulmarleverd.scheduling.admission.publisher import (
    MAX_FACTOR,
    MIN_FACTOR,
    PUBLISH_PERIOD_S,
    AdmissionPublisher,
)
from fulmarleverd.scheduling.jobs.runs import RunState
from fulmarleverd.scheduling.jobs.tasks import Job
from fulmarleverd.scheduling.persistence.rows import ADMISSION_KEY, SUMMARY_TABLE
from fulmarleverd.scheduling.planning.planner import Planner
from fulmarleverd.scheduling.ports import StoredRow
from fulmarleverd.scheduling.run_times import RunTimes
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.tests.scheduling.base import QUEUE, OwnerTestCase
from fulmarleverd.tests.scheduling.published.values import published_value

STEP = StepSpec(count=64, cpu_m=1000, memory_mb=10, estimate_s=2.0)
BEST_EFFORT = replace(STEP, is_best_effort=True)
URGENT = replace(QUEUE, name="urgent", priority=0)
KEY = ("desk", QUEUE.priority, False)
# The fleet has 64 cores.
CORES = 64.0


class DoubledTimes(RunTimes):
    """Learned times of a queue whose tasks take twice as long as declared."""

    __slots__ = ()

    def expected_step_s(self, queue_name: str, number: int, spec: StepSpec) -> float:
        return 2.0 * spec.estimate_s


class PublisherTests(OwnerTestCase):
    def setUp(self):
        super().setUp()
        self.rows: list[StoredRow] = []
        self.commits.stage_row = self.rows.append
        self.planner = Planner(self.owner, lambda spec, worker: 0.0)
        self.publisher = AdmissionPublisher(self.owner, RunTimes())

    def tick(self) -> Forecast:
        self.clock.advance(1.01 * PUBLISH_PERIOD_S)
        self.publisher.tick()
        return self.publisher.forecast

    def add_jobs(self, count: int, step: StepSpec = STEP, queue=QUEUE) -> list[Job]:
        first = len(self.owner.jobs)
        return [
            self.add_job(f"{queue.name}-{number}", step, queue=queue)
            for number in range(first, first + count)
        ]

    def plan(self) -> None:
        self.planner.plan()
        for job in self.owner.jobs.values():
            for run in job.runs():
                run.state = RunState.RUNNING
                run.started_s = run.started_s or self.clock.now

    def test_a_new_owner_replaces_the_row_of_the_earlier_one_at_once(self):
        self.publisher.tick()
        (row,) = self.rows
        self.assertEqual((row.table, row.key), (SUMMARY_TABLE, ADMISSION_KEY))
        self.assertEqual(Forecast.unpack(published_value(row)).groups, {})

    def test_an_idle_fleet_costs_no_writes(self):
        for _ in range(20):
            self.tick()
        self.add_jobs(1)
        self.plan()
        self.tick()
        self.assertEqual(len(self.rows), 1)

    def test_the_row_is_kept_while_tasks_wait_and_emptied_afterwards(self):
        self.add_jobs(5)
        self.plan()
        for count in range(1, 5):
            self.tick()
            self.assertEqual(len(self.rows), count)
        self.owner.jobs.clear()
        self.tick()
        self.tick()
        self.assertEqual(len(self.rows), 5)
        self.assertEqual(Forecast.unpack(published_value(self.rows[-1])).groups, {})

    def test_a_deployment_with_one_priority_costs_no_writes(self):
        self.add_jobs(9, queue=URGENT)
        for _ in range(10):
            self.tick()
        self.assertEqual(len(self.rows), 1)

    def test_more_urgent_and_smaller_work_is_ahead_and_less_urgent_is_not(self):
        later = replace(QUEUE, name="later", priority=5)
        self.add_jobs(2, queue=URGENT)
        self.add_jobs(3)
        self.add_jobs(9, queue=later)
        group = self.tick().find(*KEY)
        self.assertAlmostEqual(group.urgent_work_core_s, 2 * 128.0)
        self.assertAlmostEqual(group.backlog_core_s, 5 * 128.0)
        self.assertAlmostEqual(group.cores, CORES)

    def test_work_that_running_tasks_have_done_is_not_ahead(self):
        self.add_jobs(2)
        self.plan()
        before = self.tick().find(*KEY).backlog_core_s
        after = self.tick().find(*KEY).backlog_core_s
        self.assertAlmostEqual(before - after, 1.01 * PUBLISH_PERIOD_S * CORES, 1)

    def test_workers_not_yet_heard_of_by_a_new_owner_count(self):
        # Guards against refusals after each change of the owner.
        for worker in self.workers:
            worker.is_reconciled = worker.is_reachable = False
        self.add_jobs(3)
        self.assertAlmostEqual(self.tick().find(*KEY).cores, CORES)
        self.workers[0].is_unresponsive = True
        self.assertAlmostEqual(self.tick().find(*KEY).cores, CORES / 2)

    def test_free_cores_too_small_for_waiting_tasks_are_room_for_narrow_jobs(self):
        # Load: a wide job waits in a fleet with room for narrow ones.
        self.add_jobs(1, replace(STEP, count=3, cpu_m=24000))
        self.plan()
        room = self.tick().find(*KEY).room
        self.assertEqual(room[0], 16.0)
        self.assertEqual(room[-1], 0.0)

    def test_room_that_waiting_tasks_are_about_to_take_is_not_published(self):
        # Load: a burst that the planner has not got to.
        self.add_jobs(10)
        self.assertEqual(set(self.tick().find(*KEY).room), {0.0})

    def test_best_effort_work_is_judged_by_what_it_leaves_and_completes(self):
        # Load: workers whose best-effort tasks take four times as long as expected.
        key = ("desk", QUEUE.priority, True)
        self.add_jobs(40, BEST_EFFORT)
        self.plan()
        first = self.tick().find(*key).cores
        for _ in range(20):
            self.tick()
        slow = self.tick().find(*key).cores
        self.assertLess(slow, 0.5 * first)

    def test_evacuated_workers_do_not_count_before_their_first_report(self):
        # Load: a new owner whose workers have not reported, half of them evacuated; the
        # forecast would be half of the true time.
        self.add_jobs(40)
        for worker in self.owner.fleet:
            worker.is_reconciled = False
        first = self.tick().find(*KEY).cores
        for worker in list(self.owner.fleet)[::2]:
            worker.is_evacuated = True
        self.assertLess(self.tick().find(*KEY).cores, 0.75 * first)

    def test_learned_ratios_are_published_for_the_daemons(self):
        # Load: declarations that are off. Daemons know nothing of the learned times.
        self.publisher = AdmissionPublisher(self.owner, DoubledTimes())
        self.add_jobs(3)
        self.tick()
        ratios = Forecast.unpack(published_value(self.rows[-1])).ratios
        self.assertEqual(ratios.by_step, {("plans", 0): 2.0})
        spec = self.owner.jobs["plans-0"].spec
        self.assertEqual(ratios.critical_path_s(spec, QUEUE), 4.0)
        self.assertEqual(ratios.total_work_core_s(spec, QUEUE), 2 * 128.0)

    def test_one_wrong_declaration_does_not_set_the_published_ratio(self):
        # Load: the newest job declares a thousandth of the time that its tasks take.
        class TwoSeconds(RunTimes):
            def expected_step_s(
                self, queue_name: str, number: int, spec: StepSpec
            ) -> float:
                return 2.0

        self.publisher = AdmissionPublisher(self.owner, TwoSeconds())
        self.add_jobs(30)
        self.add_jobs(1, replace(STEP, estimate_s=0.002))
        self.tick()
        ratios = Forecast.unpack(published_value(self.rows[-1])).ratios
        self.assertLess(ratios.by_step.get(("plans", 0), 1.0), 1.5)

    def test_errors_of_the_forecast_are_corrected_within_bounds(self):
        # Load: jobs that end much earlier, or much later, than forecast.
        rows = (("earlier", 0.01, MIN_FACTOR), ("later", 30.0, MAX_FACTOR))
        for name, age_factor, bound in self.each(rows):
            self.publisher = AdmissionPublisher(self.owner, RunTimes())
            self.owner.jobs.clear()
            self.owner.open_jobs.ended_at_s.clear()
            self.add_jobs(20)
            self.tick()
            wait_s = self.publisher.forecast.find(*KEY).wait_s(
                Candidate(128.0, 2.0, 5.0, 15.0)
            )
            jobs = [self.add_job(f"{name}-{n}", STEP) for n in range(200)]
            self.tick()
            for job in jobs:
                for task in job.tasks():
                    task.step.complete(task)
                job.since_s = self.clock.now - 2.0 - age_factor * wait_s
                self.owner.open_jobs.finish(job, "")
            self.tick()
            factor = self.tick().find(*KEY).factor
            self.assertAlmostEqual(factor, bound, 1)
