"""Planning: which waiting tasks start now, on which workers."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from fulmarleverd.scheduling.fleet import Worker
from fulmarleverd.scheduling.order import ORDERS
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.placement import PLACEMENTS, HeadroomTaken
from fulmarleverd.scheduling.tasks import Step, Task

# Starts planned in one go; the next go follows their commit without a pause.
MAX_STARTS_PER_PLAN = 200
# Best-effort steps without a worker after which the rest of them is not tried.
MAX_MISSES = 6


class Planner:
    """Gives waiting tasks to workers by an order and a placement of the registries."""

    def __init__(
        self,
        owner: Owner,
        headroom_taken: HeadroomTaken,
        order: str = "objective",
        placement: str = "apart",
    ) -> None:
        self._owner = owner
        self._sort = ORDERS.find(order)
        self._choose = PLACEMENTS.find(placement)
        self._headroom_taken = headroom_taken
        self._misses = 0
        self._usable: dict[str, list[Worker]] = {}

    def plan(self) -> int:
        """Give tasks to workers and return how many got one."""
        self._usable = {}
        self._misses = 0
        started = sum(1 for _ in self._start_copies())
        for step in self._sort(self._ready_steps(), self._owner.now_s()):
            started += sum(1 for _ in self._start_step(step))
            if started >= MAX_STARTS_PER_PLAN:
                self._owner.changed.set()
                break
        return started

    def _ready_steps(self) -> Iterator[Step]:
        for job in self._owner.jobs.values():
            yield from job.ready_steps()

    def _workers(self, step: Step) -> list[Worker]:
        service = step.job.queue.service
        if service not in self._usable:
            self._usable[service] = self._owner.fleet.usable(
                service, self._owner.now_s()
            )
        return self._usable[service]

    def _start_copies(self) -> Iterator[Task]:
        """Start the wanted second runs; a task without a worker is not asked again."""
        wanted = list(self._owner.wanted_copies)
        self._owner.wanted_copies.clear()
        for task in wanted:
            if task.is_done or len(task.runs) != 1 or task.step.job.is_final:
                continue
            used = {run.worker_key.id for run in task.runs.values()}
            workers = [
                w for w in self._open_workers(task.step, task) if w.id not in used
            ]
            worker = self._choose(task, workers, self._headroom_taken)
            if worker is not None:
                self._owner.assign(task, worker)
                yield task

    def _start_step(self, step: Step) -> Iterator[Task]:
        if step.spec.is_best_effort and self._misses >= MAX_MISSES:
            return
        if step.spec.is_gang:
            yield from self._start_gang(step)
            return
        for task in list(step.waiting.values()):
            worker = self._choose(
                task, self._open_workers(step, task), self._headroom_taken
            )
            if worker is None:
                # The other tasks are of the same size.
                self._misses += step.spec.is_best_effort
                return
            self._owner.assign(task, worker)
            yield task

    def _open_workers(self, step: Step, task: Task) -> Iterable[Worker]:
        """Return the usable workers, all of them again once a task avoids them all."""
        workers = self._workers(step)
        if task.avoid and all(worker.id in task.avoid for worker in workers):
            task.avoid.clear()
        now = self._owner.now_s()
        return (worker for worker in workers if worker.takes_starts(now))

    def _start_gang(self, step: Step) -> Iterator[Task]:
        """Start all tasks of a gang under one run number, or none."""
        if len(step.waiting) < step.left:
            return
        tasks = list(step.waiting.values())
        number = max(task.last_run for task in tasks) + 1
        checkpoint = max((task.checkpoint for task in tasks), default="")
        chosen = self._place_gang(step, tasks)
        if len(chosen) < len(tasks):
            return
        for task, worker in chosen:
            task.checkpoint = checkpoint
            self._owner.assign(task, worker, number)
            yield task

    def _place_gang(self, step: Step, tasks: list[Task]) -> list[tuple[Task, Worker]]:
        """Return a worker for each task; fewer pairs mean that they do not fit."""
        for workers in self._gang_groups(step, tasks):
            chosen = self._place_together(tasks, workers)
            if len(chosen) == len(tasks):
                return chosen
        return []

    def _gang_groups(self, step: Step, tasks: list[Task]) -> Iterator[list[Worker]]:
        """Yield the workers of each rack, then all, unless the rack must be shared."""
        workers = list(self._open_workers(step, tasks[0]))
        if step.spec.is_rack_bound:
            racks = sorted({worker.rack for worker in workers})
            yield from ([w for w in workers if w.rack == rack] for rack in racks)
        yield workers

    def _place_together(
        self, tasks: list[Task], workers: list[Worker]
    ) -> list[tuple[Task, Worker]]:
        chosen: list[tuple[Task, Worker]] = []
        for task in tasks:
            worker = self._choose(task, workers, self._headroom_taken)
            if worker is None:
                break
            run = task.add_run(worker.key)
            worker.add(run)
            chosen.append((task, worker))
        for task, worker in chosen:
            run = task.runs.pop(task.last_run)
            task.last_run -= 1
            worker.remove(run)
        return chosen
