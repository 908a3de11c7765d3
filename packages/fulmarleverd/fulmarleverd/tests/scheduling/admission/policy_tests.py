"""Which jobs a daemon refuses by a forecast."""

from __future__ import annotations

from dataclasses import replace

from fulmarlever.clock import ManualClock
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.scheduling.admission.forecast import Forecast, GroupLoad, JobLoad
from fulmarleverd.scheduling.admission.policy import LET_IN_PERIOD, AdmissionPolicy
from fulmarleverd.scheduling.admission.retries import RetrySchedule
from fulmarleverd.scheduling.admission.times import StepRatios
from fulmarleverd.scheduling.planning.order import Rank
from fulmarleverd.scheduling.specs import JobSpec, QueueSpec, StepSpec

URGENT = QueueSpec("urgent", "h", "/u/", "desk", 0, 3, 2.0, 1.0)
BATCH = QueueSpec("batch", "h", "/b/", "desk", 2, 3, 2.0, 1.0)
ELSEWHERE = replace(URGENT, service="other")
STEP = StepSpec(count=10, cpu_m=1000, estimate_s=1.0)
# The hard deadline is 3 x (2 x 1 s + 1 s); the work is 10 core-seconds.
DEADLINE_S = 9.0
CORES = 100.0


class FixedForecast:
    """A reader with a forecast that the test sets."""

    def __init__(self) -> None:
        self.forecast: Forecast | None = None
        self.changed_at_s = 1000.0
        self.age_s = 0.1

    def current(self) -> Forecast | None:
        return self.forecast


class PolicyTests(TableTestCase):
    def setUp(self):
        self.clock = ManualClock(1000.0)
        self.reader = FixedForecast()
        self.queues = (URGENT, BATCH)
        self.policy = self.new_policy()
        self.numbers = iter(range(100_000))

    def new_policy(self) -> AdmissionPolicy:
        self.retries = RetrySchedule(self.clock)
        return AdmissionPolicy(
            self.reader, self.retries, lambda: self.queues, self.clock
        )

    def set_wait(self, seconds: float, **changes: object) -> None:
        """Publish a forecast by which jobs wait for some seconds."""
        ratios = changes.pop("ratios", None)
        load = GroupLoad(
            "desk",
            2,
            False,
            CORES,
            [JobLoad(1.0, Rank.MEETS_OBJECTIVE)],
            urgent_work_core_s=seconds * CORES,
        )
        self.reader.forecast = Forecast.from_loads(
            [replace(load, **changes)], {}, ratios
        )

    def is_refused(
        self, *steps: StepSpec, queue: QueueSpec = BATCH, job_id: str = "", **options
    ) -> bool:
        job_id = job_id or f"j{next(self.numbers)}"
        job = JobSpec(job_id, "", steps or (STEP,), **options)
        return self.policy.find_refusal(job, queue) is not None

    # Name, seconds of waiting, whether a new job is refused.
    LOAD_ROWS = (
        ("an idle fleet", None, False),
        ("a little work", 2.0, False),
        ("just in time", 7.8, False),
        ("just too late", 8.2, True),
        ("a sustained overload", 60.0, True),
    )

    def test_only_jobs_that_would_complete_too_late_are_refused(self):
        for _, wait_s, expected in self.each(self.LOAD_ROWS):
            self.policy = self.new_policy()
            self.reader.forecast = None
            if wait_s is not None:
                self.set_wait(wait_s)
            self.assertEqual(self.is_refused(), expected)

    # Name, queue, steps, options of the job, the configured queues.
    EXEMPT_ROWS = (
        ("the most urgent queue", URGENT, (STEP,), {}, (URGENT, BATCH)),
        ("the only queue of its service", BATCH, (STEP,), {}, (ELSEWHERE, BATCH)),
        ("no configuration yet", BATCH, (STEP,), {}, ()),
        (
            "a long-running job",
            BATCH,
            (replace(STEP, is_long_running=True),),
            {},
            (URGENT, BATCH),
        ),
        ("repetitions", BATCH, (STEP,), {"repetitions": 3}, (URGENT, BATCH)),
        (
            # Best-effort steps use other cores.
            "another use of cores",
            BATCH,
            (replace(STEP, is_best_effort=True),),
            {},
            (URGENT, BATCH),
        ),
    )

    def test_jobs_outside_of_admission_control_are_accepted_in_an_overload(self):
        self.set_wait(60.0)
        for _, queue, steps, options, queues in self.each(self.EXEMPT_ROWS):
            self.queues = queues
            self.assertFalse(self.is_refused(*steps, queue=queue, **options))

    def test_refusing_begins_above_the_limit_and_ends_well_below_it(self):
        # Load: work around the limit; refusals must not alternate with acceptance.
        rows = ((7.0, False), (8.5, True), (7.0, True), (6.0, False), (7.0, False))
        for wait_s, expected in rows:
            self.set_wait(wait_s)
            self.assertEqual(self.is_refused(), expected, wait_s)

    def test_callers_that_return_in_time_go_before_new_ones(self):
        # Load: the overload ends slowly; there is room for the first ones only.
        self.set_wait(8.5)
        self.assertTrue(self.is_refused(job_id="returns"))
        self.assertTrue(self.is_refused(job_id="returns-early"))
        self.set_wait(6.8)
        self.assertTrue(self.is_refused(job_id="returns-early"))
        self.clock.advance(5.0)
        self.assertTrue(self.is_refused(job_id="new"))
        self.assertFalse(self.is_refused(job_id="returns"))

    def test_each_tenth_job_of_a_size_that_would_be_refused_is_let_in(self):
        # Load: a sustained overload. No size may be left out for long.
        self.set_wait(60.0)
        for _ in range(3):
            refused = [self.is_refused() for _ in range(LET_IN_PERIOD)]
            self.assertEqual(refused.count(False), 1)

    def test_repeated_early_attempts_do_not_make_a_job_the_tenth(self):
        # Load: a caller that asks at once again and again.
        self.set_wait(60.0)
        for _ in range(5 * LET_IN_PERIOD):
            self.assertTrue(self.is_refused(job_id="impatient"))

    def test_a_burst_between_two_forecasts_counts(self):
        # Load: a burst that one daemon accepts before the owner knows of it.
        self.set_wait(6.0)
        refused = [self.is_refused() for _ in range(40)]
        self.assertFalse(any(refused[:15]))
        self.assertTrue(all(refused[25:29]))
        # The next forecast contains the jobs.
        self.clock.advance(1.0)
        self.reader.changed_at_s = self.clock.now
        self.set_wait(5.0)
        self.assertFalse(self.is_refused())

    def test_learned_ratios_change_the_deadline_and_the_work(self):
        # Load: declarations that are off by 0.9. Forecasts are made of real times.
        declared = replace(STEP, estimate_s=0.1)
        self.set_wait(6.0)
        self.assertTrue(self.is_refused(declared))
        self.policy = self.new_policy()
        self.set_wait(6.0, ratios=StepRatios({("batch", 0): 10.0}))
        self.assertFalse(self.is_refused(declared))

    def test_a_surge_in_one_zone_leaves_the_others_their_share(self):
        # Load: ten times as many callers in one zone, whose daemon has refused many.
        self.set_wait(8.5)
        surge, other = self.new_policy(), self.new_policy()
        accepted = {surge: 0, other: 0}
        offered = {surge: 1000, other: 100}
        for policy, count in offered.items():
            self.policy = policy
            for number in range(count):
                self.set_wait(8.5 if number % 2 else 5.0)
                accepted[policy] += not self.is_refused()
        shares = [accepted[policy] / offered[policy] for policy in (surge, other)]
        self.assertGreater(min(shares), 0.5 * max(shares))

    def test_a_refusal_tells_the_figures_behind_it(self):
        self.set_wait(20.0)
        refusal = self.policy.find_refusal(JobSpec("j", "", (STEP,)), BATCH)
        fields = refusal.log_fields()
        self.assertAlmostEqual(fields["forecast_s"], 21.0, delta=0.1)
        self.assertEqual(fields["limit_s"], DEADLINE_S)
        self.assertEqual(fields["row_age_s"], 0.1)
        self.assertEqual(refusal.status, 429)
        # Useful for 8 s more, while the work is under the limit only after 12 s.
        self.assertTrue(1.0 <= refusal.retry_after_s <= 8.0)
