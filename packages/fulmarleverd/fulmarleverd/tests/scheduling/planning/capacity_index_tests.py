"""The index leaves out the workers without enough cores, and no others.

Pattern: many ready steps and a full fleet, so that few pairs of them go together.
"""

from __future__ import annotations

import unittest

from hypothesis import given

from fulmarleverd.scheduling.planning.capacity_index import CapacityIndex
from fulmarleverd.scheduling.planning.obstacles import min_free_cpu_m
from fulmarleverd.scheduling.planning.planner import Planner
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.workers.fleet import Worker
from fulmarleverd.tests.scheduling.base import OwnerTestCase
from fulmarleverd.tests.scheduling.planning.candidates_tests import (
    build,
    steps,
    worker_states,
)


def has_cores(spec: StepSpec, worker: Worker) -> bool:
    """Look at one worker, as a planner without an index does."""
    if spec.is_best_effort:
        return worker.free_best_effort_cpu_m() >= min_free_cpu_m(spec)
    return worker.free_cpu_m() >= min_free_cpu_m(spec)


class CapacityIndexTests(unittest.TestCase):
    @given(spec=steps, states=worker_states)
    def test_the_index_finds_the_workers_that_a_full_search_finds(self, spec, states):
        _, workers = build(spec, states)
        index = CapacityIndex(workers)
        found = {worker.id for worker in index.with_room(spec)}
        expected = {worker.id for worker in workers if has_cores(spec, worker)}
        self.assertEqual(found, expected)
        self.assertEqual(index.has_room(spec), bool(expected))


class FullFleetTests(OwnerTestCase):
    def test_steps_without_room_cost_no_look_at_each_worker(self):
        for worker in self.workers:
            full = self.add_job(f"f{worker.id}", StepSpec(count=1, cpu_m=32000))
            self.start(full, worker)
        ordered = []
        planner = Planner(self.owner, lambda spec, worker: 0.0)
        order = planner._order

        def count(ready, now_s, run_times):
            ready = list(ready)
            ordered.extend(ready)
            return order(ready, now_s, run_times)

        planner._order = count
        for number in range(50):
            self.add_job(f"j{number}", StepSpec(count=4, cpu_m=1000))
        self.assertEqual(planner.plan(), 0)
        self.assertEqual(ordered, [])
        self.workers[0].remove(next(iter(self.workers[0].runs.values())))
        self.assertEqual(planner.plan(), 32)

    def test_a_task_that_fits_in_part_of_the_fleet_is_placed_there(self):
        full = self.add_job("f", StepSpec(count=1, cpu_m=31000))
        self.start(full, self.workers[0])
        job = self.add_job("j", StepSpec(count=3, cpu_m=2000))
        Planner(self.owner, lambda spec, worker: 0.0).plan()
        self.assertEqual({run.worker_key.id for run in job.runs()}, {"w2"})
