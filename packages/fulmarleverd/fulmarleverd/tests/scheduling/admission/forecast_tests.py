"""Forecasts of completion: by room, by the order of steps, and as published data."""

from __future__ import annotations

import random
from dataclasses import replace

from fulmarlever.outcomes import failed
from fulmarlever.tests.base import TableTestCase
from fulmarleverd.scheduling.admission.forecast import (
    MAX_GROUPS,
    MAX_POINTS,
    MAX_RATIOS,
    ROOM_SIZES_M,
    Candidate,
    Forecast,
    GroupLoad,
    JobLoad,
)
from fulmarleverd.scheduling.admission.times import StepRatios
from fulmarleverd.scheduling.persistence.rows import pack
from fulmarleverd.scheduling.planning.order import Rank
from fulmarleverd.scheduling.specs import DEFAULT_ROW_BYTES

KEY = ("desk", 2, True)
LOAD = GroupLoad(*KEY, cores=100.0, jobs=())
JOB = Candidate(10.0, 1.0, 3.0, 9.0)
LARGE = Candidate(500.0, 4.0, 9.0, 27.0)
TIMELY, LATE = Rank.MEETS_OBJECTIVE, Rank.MISSES_OBJECTIVE
FIRST, HOPELESS = Rank.UNDERSERVED_SIZE, Rank.MISSES_HARD_DEADLINE


def room(cores: float, up_to_m: int = ROOM_SIZES_M[-1]) -> tuple[float, ...]:
    """Return free cores for tasks up to a size."""
    return tuple(cores if size <= up_to_m else 0.0 for size in ROOM_SIZES_M)


class CompletionTests(TableTestCase):
    # Name, changes of the load, the new job, earliest and latest expected seconds.
    ROWS = (
        ("an idle fleet", {}, JOB, 1.0, 1.0),
        ("more urgent work", {"urgent_work_core_s": 1000.0}, JOB, 11.0, 11.1),
        ("smaller work", {"jobs": [JobLoad(9.0, TIMELY)] * 100}, JOB, 10.0, 10.1),
        ("larger work", {"jobs": [JobLoad(900.0, TIMELY)] * 10}, JOB, 1.0, 2.1),
        (
            "larger work that goes first, as its size is underserved",
            {"jobs": [JobLoad(900.0, FIRST)] * 2},
            JOB,
            19.0,
            19.1,
        ),
        ("hopeless work, last", {"jobs": [JobLoad(1.0, HOPELESS)] * 999}, JOB, 1, 1.1),
        (
            "late work goes after a job that meets its objective",
            {"jobs": [JobLoad(9.0, LATE)] * 900},
            JOB,
            1.0,
            1.2,
        ),
        (
            "late work goes before a job that is late as well",
            {"jobs": [JobLoad(400.0, TIMELY)] * 3 + [JobLoad(400.0, LATE)] * 3},
            LARGE,
            28.0,
            29.1,
        ),
        (
            "smaller jobs that keep coming",
            {
                "jobs": [JobLoad(9.0, TIMELY)] * 20,
                "arrivals": [(9.0, 50.0)],
            },
            JOB,
            4.5,
            4.7,
        ),
        (
            # A surge must not count as if it went on.
            "more work than cores arrives",
            {"jobs": [JobLoad(9.0, TIMELY)] * 20, "arrivals": [(9.0, 500.0)]},
            JOB,
            9.0,
            11.0,
        ),
        (
            "room that the waiting tasks can't use",
            {"jobs": [JobLoad(9.0, TIMELY)] * 999, "room": room(20.0)},
            JOB,
            1.0,
            1.0,
        ),
        (
            "a wide job in a fleet with room for narrow ones",
            {"jobs": [JobLoad(9.0, TIMELY)] * 1000, "room": room(20.0, 4000)},
            replace(JOB, task_cpu_m=16000),
            90.0,
            92.0,
        ),
        (
            "a narrow job in that fleet",
            {"jobs": [JobLoad(9.0, TIMELY)] * 1000, "room": room(20.0, 4000)},
            replace(JOB, task_cpu_m=2000),
            1.0,
            1.0,
        ),
        (
            "work accepted since the forecast",
            {},
            replace(JOB, unpublished_work_core_s=500.0),
            6.0,
            6.0,
        ),
    )

    def test_a_job_waits_for_the_work_that_the_order_puts_before_it(self):
        for _, changes, job, low_s, high_s in self.each(self.ROWS):
            forecast = Forecast.from_loads([replace(LOAD, **changes)], {})
            completion_s = forecast.find(*KEY).completion_s(job)
            self.assertGreaterEqual(completion_s, low_s)
            self.assertLessEqual(completion_s, high_s)

    def test_errors_shown_by_ended_jobs_correct_the_wait_but_not_the_run_time(self):
        load = replace(LOAD, urgent_work_core_s=1000.0)
        for factor in (0.25, 1.0, 2.0):
            group = Forecast.from_loads([load], {KEY: factor}).find(*KEY)
            self.assertAlmostEqual(group.completion_s(JOB), 1.0 + factor * 10.0)

    def test_backlog_is_limited_for_smaller_jobs_only_while_sizes_go_first(self):
        # Load: classes that go first in turn, which made accepted small jobs late.
        jobs = [JobLoad(100.0, TIMELY)] * 10
        for protected_s, job, limit_s in (
            (0.0, LARGE, LARGE.deadline_s),
            (4.0, LARGE, 4.0),
            (8.0, JOB, JOB.deadline_s),
        ):
            load = replace(LOAD, jobs=jobs, protected_s=protected_s)
            group = Forecast.from_loads([load], {}).find(*KEY)
            self.assertEqual(group.estimate(job).limit_s, limit_s)

    def test_forecasts_are_finite_and_grow_with_the_load_ahead(self):
        # Load: any. A forecast that falls as work is added would admit by mistake.
        rng = random.Random(5)
        for _ in range(200):
            jobs = [
                JobLoad(rng.expovariate(0.02), rng.choice(list(Rank)))
                for _ in range(rng.randrange(30))
            ]
            load = replace(LOAD, jobs=jobs, cores=rng.uniform(0.1, 500.0))
            more = replace(load, urgent_work_core_s=rng.uniform(0.0, 1000.0))
            job = replace(LARGE, work_core_s=rng.uniform(0.1, 900.0))
            before, after = (
                Forecast.from_loads([item], {}).find(*KEY).completion_s(job)
                for item in (load, more)
            )
            self.assertTrue(0.0 < before <= after < 1e9, (before, after))

    def test_a_group_without_cores_has_no_forecast(self):
        # Load: a new owner that has not heard from any worker.
        forecast = Forecast.from_loads([replace(LOAD, cores=0.0)], {})
        self.assertIsNone(forecast.find(*KEY))


class RowTests(TableTestCase):
    def test_a_published_forecast_is_read_as_written(self):
        load = replace(
            LOAD,
            jobs=[JobLoad(9.0, TIMELY), JobLoad(50.0, LATE)],
            arrivals=[(9.0, 5.0)],
            room=room(4.0),
            protected_s=3.5,
        )
        ratios = StepRatios({("plans", 0): 1.5})
        forecast = Forecast.from_loads([load], {KEY: 0.5}, ratios, [("plans", 2)])
        read = Forecast.unpack(pack(forecast.to_data()))
        self.assertEqual(read.groups, forecast.groups)
        self.assertEqual(read.ratios.by_step, ratios.by_step)
        self.assertEqual(read.underserved, forecast.underserved)

    def test_the_row_is_bounded(self):
        # Load: more services, priorities, queues and sizes than any deployment has.
        jobs = [JobLoad(float(size), TIMELY) for size in range(1000)]
        loads = [
            replace(LOAD, service=f"service-{n}", jobs=jobs, room=room(1234.5))
            for n in range(100)
        ]
        ratios = StepRatios({(f"queue-{n}", s): 1.5 for n in range(99) for s in (0, 1)})
        sizes = [(f"queue-{n}", 2) for n in range(500)]
        forecast = Forecast.from_loads(loads, {}, ratios, sizes)
        data = forecast.to_data()
        self.assertLess(len(pack(data)), DEFAULT_ROW_BYTES / 2)
        self.assertEqual(len(forecast.groups), MAX_GROUPS)
        self.assertLessEqual(len(data[2]), MAX_RATIOS)
        points = [len(group.points) for group in forecast.groups.values()]
        self.assertLessEqual(max(points), MAX_POINTS)

    def test_malformed_rows_are_refused(self):
        data = Forecast.from_loads([LOAD], {}).to_data()
        group = data[1][0]
        rows = (
            ("empty", b""),
            ("no msgpack", b"\xc1"),
            ("a number", pack(5)),
            ("another version", pack([2, *data[1:]])),
            ("missing fields", pack(data[:2])),
            ("more fields", pack([*data, 1])),
            ("no cores", pack([*data[:1], [[*group[:3], 0.0, *group[4:]]], [], []])),
            ("negative", pack([*data[:1], [[*group[:3], -1.0, *group[4:]]], [], []])),
            (
                "not a number",
                pack([*data[:1], [[*group[:3], "x", *group[4:]]], [], []]),
            ),
            (
                "infinite",
                pack([*data[:1], [[*group[:3], float("inf"), *group[4:]]], [], []]),
            ),
            ("no points", pack([*data[:1], [[*group[:8], [], []]], [], []])),
            ("sizes missing", pack([*data[:1], [[*group[:9], [1.0]]], [], []])),
            ("ratios", pack([*data[:2], [["plans", 0, float("nan")]], []])),
            ("classes", pack([*data[:3], [3]])),
        )
        for _, value in self.each(rows):
            self.assertTrue(failed(Forecast.unpack(value)))
