"""The heap of candidates chooses the same workers as a full search, at less cost."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarlever.clock import ManualClock
from fulmarleverd.scheduling.jobs.tasks import Job, Step, Task
from fulmarleverd.scheduling.persistence.rows import JobRow
from fulmarleverd.scheduling.planning.candidates import Candidates
from fulmarleverd.scheduling.planning.obstacles import find_obstacle
from fulmarleverd.scheduling.planning.placement import isolate_serving
from fulmarleverd.scheduling.specs import JobSpec, QueueSpec, StepSpec, WorkerEntry
from fulmarleverd.scheduling.workers.fleet import Worker

QUEUE = QueueSpec("plans", "h", "/p/", "desk")
NOW_S = 5.0

steps = st.builds(
    StepSpec,
    count=st.integers(1, 12),
    cpu_m=st.integers(0, 9000),
    memory_mb=st.integers(0, 30000),
    max_per_worker=st.integers(0, 2),
    preferred_rack=st.sampled_from(["", "r0", "r1"]),
    image=st.sampled_from(["a", "b"]),
    latency_target_s=st.sampled_from([0.0, 0.05]),
    is_best_effort=st.booleans(),
)
# Per worker: the steps that it runs a task of, and whether every second task avoids it.
worker_states = st.lists(
    st.tuples(st.lists(steps, max_size=2), st.booleans()), max_size=6
)


def new_step(spec: StepSpec) -> Step:
    """Return the step of a new job that has no other."""
    job = Job(JobRow(JobSpec("j", "", (spec,)), QUEUE, 0.0))
    return job.open_occurrence(0)[0]


def build(spec: StepSpec, states: list) -> tuple[Step, list[Worker]]:
    """Return a step and workers with running tasks."""
    step = new_step(spec)
    workers = []
    for number, (running, is_avoided) in enumerate(states):
        labels = ("a", f"r{number % 2}")
        entry = WorkerEntry(f"w{number}", "1", "desk", "", "z", 16000, 60000, 0, labels)
        worker = Worker(entry)
        worker.is_reconciled = worker.is_reachable = True
        for other in running:
            worker.add(new_step(other).tasks[0].add_run(worker.key))
        if is_avoided:
            for task in step.tasks[::2]:
                task.avoid(worker.id, NOW_S)
        workers.append(worker)
    return step, workers


def headroom_taken(spec: StepSpec, worker: Worker) -> float | None:
    """Return a taken headroom that grows with the worker's best-effort load."""
    taken = worker.best_effort_cpu_m / 16000
    return None if taken > 0.5 else taken


def cost(spec: StepSpec, worker: Worker) -> tuple | None:
    """Return the cost of one more task."""
    return isolate_serving(spec, worker, headroom_taken)


def assign(task: Task, worker: Worker) -> None:
    """Reserve the resources of a task on a worker."""
    worker.add(task.add_run(worker.key))


def place_by_full_search(step: Step, workers: list[Worker]) -> list[str | None]:
    """Return the worker ids chosen by computing every cost again for each task."""
    found = []
    for task in step.tasks:
        costs = [
            (cost(step.spec, worker), number)
            for number, worker in enumerate(workers)
            if find_obstacle(step, worker) is None and not task.avoids(worker.id, NOW_S)
        ]
        best = min((c for c in costs if c[0] is not None), default=None)
        if best is not None:
            assign(task, workers[best[1]])
        found.append(None if best is None else workers[best[1]].id)
    return found


def place_by_heap(step: Step, workers: list[Worker]) -> list[str | None]:
    """Return the worker ids chosen by one heap for all tasks."""
    candidates = Candidates(step, workers, cost, NOW_S)
    found = [candidates.place(task, assign) for task in step.tasks]
    return [worker.id if worker else None for worker in found]


class CandidatesTests(unittest.TestCase):
    @given(steps, worker_states)
    @settings(max_examples=200, deadline=None)
    def test_heap_chooses_the_same_workers_as_full_search(self, spec, states):
        self.assertEqual(
            place_by_heap(*build(spec, states)),
            place_by_full_search(*build(spec, states)),
        )

    def test_cost_is_computed_once_per_worker_and_once_per_task(self):
        """246 workers and a step of 20 tasks.

        Guards against: all 246 costs were computed for each of the 20 tasks, which
        delayed the owner.
        """
        evaluated = []

        def counted_cost(spec: StepSpec, worker: Worker) -> tuple | None:
            evaluated.append(worker.id)
            return cost(spec, worker)

        spec = StepSpec(count=20, cpu_m=3500, is_best_effort=True)
        step, workers = build(spec, [([], False)] * 246)
        candidates = Candidates(step, workers, counted_cost, ManualClock().now)
        for task in step.tasks:
            self.assertIsNotNone(candidates.place(task, assign))
        self.assertEqual(len(evaluated), 246 + 20)
