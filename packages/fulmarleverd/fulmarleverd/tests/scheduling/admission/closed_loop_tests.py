"""Refusals in a closed loop of callers, daemons, the owner and workers."""

from __future__ import annotations

from dataclasses import replace
from functools import cache

from fulmarlever.tests.base import TableTestCase
from fulmarleverd.scheduling.specs import DEFAULT_ROW_BYTES
from fulmarleverd.tests.scheduling.admission.closed_loop import ClosedLoop, Load

# With the urgent queue's tenth of the capacity: 1.5 and 0.8 times the capacity.
OVERLOAD = Load(share=1.4, urgent_share=0.1, workers=12, load_s=90.0)
MODERATE = Load(share=0.7, urgent_share=0.1, workers=20, load_s=60.0)
# The requirement: accepted jobs that are of no use are fewer than this share.
MAX_USELESS_SHARE = 0.05


@cache
def sustained(seed: int = 1, *, is_admission_on: bool = True) -> ClosedLoop:
    load = replace(OVERLOAD, seed=seed, is_admission_on=is_admission_on)
    return ClosedLoop(load).run()


class OverloadTests(TableTestCase):
    def test_few_accepted_jobs_are_useless_and_more_are_useful(self):
        # Load: a sustained overload whose callers return as told.
        all_accepted = sustained(2, is_admission_on=False)
        self.assertGreater(all_accepted.share("useless"), 3 * MAX_USELESS_SHARE)
        for seed in (1, 2):
            self.assertLess(sustained(seed).share("useless"), MAX_USELESS_SHARE)
        self.assertGreater(sustained(2).share("useful"), all_accepted.share("useful"))

    def test_no_size_and_no_zone_is_served_less_than_half_as_often_as_the_rest(self):
        loop = sustained()
        self.assertGreater(loop.share("useful", 2), 0.5 * loop.share("useful"))
        zones = [loop.share("useful", zone=zone) for zone in range(3)]
        self.assertGreater(min(zones), 0.5 * max(zones))

    def test_urgent_jobs_meet_their_objective(self):
        self.assertEqual(sustained().urgent_late, 0)

    def test_the_rows_stay_small(self):
        self.assertLess(sustained().largest_row, DEFAULT_ROW_BYTES / 16)

    # Name, what changes against the overload.
    CALLER_ROWS = (
        ("callers that never return", {"returns": lambda told_s: None}),
        ("callers that return late", {"returns": lambda told_s: told_s + 3.0}),
        ("callers that return early", {"returns": lambda told_s: 0.4 * told_s}),
    )

    def test_returns_at_any_time_leave_few_useless_jobs(self):
        for _, changes in self.each(self.CALLER_ROWS):
            loop = ClosedLoop(replace(OVERLOAD, **changes)).run()
            self.assertLess(loop.share("useless"), MAX_USELESS_SHARE)

    def test_a_surge_in_one_zone_leaves_the_others_their_share(self):
        load = replace(
            OVERLOAD,
            zone=lambda rng, now_s: rng.choice((0, 0, 0, 0, 1, 2)),
            load_s=90.0,
        )
        loop = ClosedLoop(load).run()
        zones = [loop.share("useful", zone=zone) for zone in range(3)]
        self.assertGreater(min(zones), 0.5 * max(zones))


class NoOverloadTests(TableTestCase):
    # Name, what changes against the moderate load.
    ROWS = (
        ("four fifths of the capacity", {}),
        ("without best-effort steps", {"is_best_effort": False}),
        ("an idle fleet", {"share": 0.1}),
        (
            "declarations off by 0.9",
            {
                # Runs take 1.64 times the declared time on average. The load differs
                # much by chance, so that 0.8 times the capacity is exceeded for long.
                "share": 0.5 / 1.64,
                "error": lambda rng: 1.0 / rng.uniform(0.1, 1.9),
            },
        ),
        (
            # For 3 s, twice the capacity.
            "a burst that is completed in time",
            {"share": lambda now_s: 2.0 if 20.0 < now_s < 23.0 else 0.4},
        ),
    )

    def test_nothing_is_refused(self):
        for _, changes in self.each(self.ROWS):
            loop = ClosedLoop(replace(MODERATE, **changes)).run()
            self.assertEqual(loop.share("refused"), 0.0)
