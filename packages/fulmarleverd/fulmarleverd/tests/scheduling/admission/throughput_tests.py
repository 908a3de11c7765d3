"""What is measured of the work that arrives and of the work that is completed."""

from __future__ import annotations

from fulmarlever.tests.base import TableTestCase
from fulmarleverd.scheduling.admission.throughput import (
    MAX_ARRIVALS,
    Arrival,
    Arrivals,
)
from fulmarleverd.tests.scheduling.admission.closed_loop import ClosedLoop, Load

SMALL, LARGE = ("plans", 0), ("plans", 2)


def arrivals_at(*times_s: float, work_core_s: float = 10.0) -> Arrivals:
    """Return arrivals at some times before now, which is 100 s."""
    arrivals = Arrivals()
    for at_s in times_s:
        arrivals.add(Arrival(at_s, work_core_s, 9.0, SMALL))
    return arrivals


class ArrivalsTests(TableTestCase):
    # Name, times of the jobs of 10 core-seconds, growth in core-seconds per second.
    ROWS = (
        ("no jobs", (), 0.0, 0.0),
        ("one job a second for long", range(60, 100), 9.0, 11.0),
        ("a burst just now", (99.0,) * 20, 9.0, 11.0),
        ("a burst that is over", (90.0,) * 20, 0.0, 0.0),
        ("jobs that a new owner reads, older than the averages", (50.0,) * 20, 0, 0),
    )

    def test_only_a_load_that_goes_on_counts_as_growth(self):
        for _, times_s, low, high in self.each(self.ROWS):
            growth = arrivals_at(*times_s).growth(100.0, ())
            per_s = sum(part for _, part in growth)
            self.assertTrue(low <= per_s <= high, per_s)

    def test_jobs_of_sizes_that_go_first_count_as_the_smallest(self):
        arrivals = arrivals_at(*range(80, 100))
        self.assertEqual({work for work, _ in arrivals.growth(100.0, ())}, {10.0})
        self.assertEqual({work for work, _ in arrivals.growth(100.0, {SMALL})}, {0.0})
        self.assertEqual({work for work, _ in arrivals.growth(100.0, {LARGE})}, {10.0})

    def test_the_number_of_jobs_kept_is_bounded(self):
        # Load: more jobs within the averages than any owner can start.
        arrivals = arrivals_at(*(99.0,) * (MAX_ARRIVALS + 500))
        self.assertEqual(len(arrivals.growth(100.0, ())), MAX_ARRIVALS)


class EfficiencyTests(TableTestCase):
    # Name, real time by declared time, expected efficiency.
    ROWS = (
        # Regression: runs between two measurements were counted as no cores in use.
        ("tasks that are shorter than a measurement", 1.0, 1.0),
        ("tasks that take twice the declared time", 2.0, 0.5),
        ("tasks that take half of the declared time", 0.5, 2.0),
    )

    def test_a_full_fleet_completes_the_work_of_its_real_run_times(self):
        for _, error, expected in self.each(self.ROWS):
            load = Load(
                share=1.5 / error,
                load_s=30.0,
                workers=4,
                is_admission_on=False,
                is_best_effort=False,
                error=lambda rng, error=error: error,
            )
            loop = ClosedLoop(load)
            found: list[float] = []
            efficiency = loop.publisher._efficiency
            loop.at(25.0, lambda e=efficiency, f=found: f.append(e.of(("desk", False))))
            loop.run()
            self.assertAlmostEqual(found[0] / expected, 1.0, delta=0.2)
