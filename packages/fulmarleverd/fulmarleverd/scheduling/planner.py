"""Planning: which waiting tasks start now, on which workers."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from fulmarleverd.scheduling.candidates import Candidates
from fulmarleverd.scheduling.fleet import Worker
from fulmarleverd.scheduling.obstacles import (
    Obstacle,
    find_room_obstacle,
    find_rule_obstacle,
)
from fulmarleverd.scheduling.order import ORDERS
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.placement import PLACEMENTS, HeadroomTaken
from fulmarleverd.scheduling.runs import Run
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.tasks import Step, Task
from fulmarleverd.scheduling.tickets import TicketRequester, has_ticket

# Starts planned in one go; the next go follows their commit without a pause.
MAX_STARTS_PER_PLAN = 200


class Planner:
    """Gives waiting tasks to workers by an order and a placement of the registries."""

    def __init__(
        self,
        owner: Owner,
        headroom_taken: HeadroomTaken,
        order: str = "objective",
        placement: str = "apart",
        tickets: TicketRequester | None = None,
    ) -> None:
        self._owner = owner
        self._order = ORDERS.find(order)
        self._placement = PLACEMENTS.find(placement)
        self._headroom_taken = headroom_taken
        self._tickets = tickets
        self._unplaced = Unplaced(())
        self._usable: dict[str, list[Worker]] = {}

    def plan(self) -> int:
        """Give tasks to workers and return how many got one."""
        self._usable = {}
        self._unplaced = Unplaced(worker.held_for for worker in self._owner.fleet)
        started = sum(1 for _ in self._start_copies())
        unadmitted: list[Step] = []
        turns = self._order(self._owner.ready_steps(), self._owner.now_s())
        for turn in turns:
            step = turn.step
            started += sum(1 for _ in self._start_step(step, turn.limit))
            if step.waiting and step.job.queue.needs_ticket:
                unadmitted.append(step)
            if started >= MAX_STARTS_PER_PLAN:
                self._owner.changed.set()
                break
        if self._tickets is not None:
            self._tickets.request(dict.fromkeys(unadmitted))
        return started

    def _workers(self, step: Step) -> list[Worker]:
        """Return the workers that the step may be started on, as far as is known."""
        workers = self._usable_workers(step.job.queue.service)
        if not step.job.queue.needs_ticket:
            return workers
        now = self._owner.now_s()
        return [worker for worker in workers if has_ticket(step, worker, now)]

    def _usable_workers(self, service: str) -> list[Worker]:
        if service not in self._usable:
            self._usable[service] = self._owner.fleet.usable(
                service, self._owner.now_s()
            )
        return self._usable[service]

    def _cost(self, spec: StepSpec, worker: Worker) -> tuple | None:
        return self._placement(spec, worker, self._headroom_taken)

    def find_obstacle(self, task: Task, worker: Worker) -> Obstacle | None:
        """Return what keeps a worker from a waiting task, if anything does."""
        found = self.find_rule_obstacle(task, worker)
        found = found or find_room_obstacle(task.step.spec, worker)
        if found is None and self._cost(task.step.spec, worker) is None:
            return Obstacle.PLACEMENT
        return found

    def find_rule_obstacle(self, task: Task, worker: Worker) -> Obstacle | None:
        """Return what other than a lack of room keeps a worker from a waiting task."""
        step = task.step
        if not worker.takes_starts(self._owner.now_s()):
            return Obstacle.NO_STARTS
        if worker.id in task.avoid:
            return Obstacle.AVOIDED
        needs_ticket = step.job.queue.needs_ticket
        if needs_ticket and not has_ticket(step, worker, self._owner.now_s()):
            return Obstacle.TICKET
        return find_rule_obstacle(step, worker)

    def _candidates(self, step: Step, workers: list[Worker]) -> Candidates:
        return Candidates(step, workers, self._cost, self._owner.now_s())

    def _start_copies(self) -> Iterator[Task]:
        """Start the wanted second runs; a task without a worker is not asked again."""
        wanted = list(self._owner.wanted_copies)
        self._owner.wanted_copies.clear()
        for task in wanted:
            if task.is_done or len(task.runs) != 1 or task.step.job.is_final:
                continue
            used = {run.worker_key.id for run in task.runs.values()}
            found = self._candidates(task.step, self._workers(task.step))
            if found.place(task, self._owner.assign, used):
                yield task

    def _start_step(self, step: Step, limit: int) -> Iterator[Task]:
        if self._unplaced.covers(step):
            return
        if step.spec.is_gang:
            yield from self._start_gang(step)
            return
        workers = self._workers(step)
        found = self._candidates(step, workers)
        for task in list(step.waiting.values())[:limit]:
            _forgive(task, workers)
            if not found.place(task, self._owner.assign):
                # The other tasks are of the same size.
                self._unplaced.note(task)
                return
            yield task

    def _start_gang(self, step: Step) -> Iterator[Task]:
        """Start all tasks of a gang under one run number, or none."""
        if len(step.waiting) < step.unfinished_tasks:
            return
        tasks = list(step.waiting.values())
        number = max(task.last_run for task in tasks) + 1
        checkpoint = max((task.checkpoint for task in tasks), default="")
        for task, worker in self._place_gang(step, tasks):
            task.checkpoint = checkpoint
            self._owner.assign(task, worker, number)
            yield task

    def _place_gang(self, step: Step, tasks: list[Task]) -> list[tuple[Task, Worker]]:
        """Return a worker for each task, or nothing."""
        for workers in self._gang_groups(step, tasks):
            chosen = self._place_together(step, tasks, workers)
            if len(chosen) == len(tasks):
                return chosen
        return []

    def _gang_groups(self, step: Step, tasks: list[Task]) -> Iterator[list[Worker]]:
        """Yield the workers of each rack, then all, unless the rack must be shared."""
        workers = self._workers(step)
        for task in tasks:
            _forgive(task, workers)
        if step.spec.is_rack_bound:
            racks = sorted({worker.rack for worker in workers})
            yield from ([w for w in workers if w.rack == rack] for rack in racks)
        yield workers

    def _place_together(
        self, step: Step, tasks: list[Task], workers: list[Worker]
    ) -> list[tuple[Task, Worker]]:
        """Return workers for as many tasks as find one; no room stays reserved."""
        reserved: list[Run] = []

        def reserve(task: Task, worker: Worker) -> None:
            run = Run(task, task.last_run + 1, worker.key)
            worker.add(run)
            reserved.append(run)

        found = self._candidates(step, workers)
        for task in tasks:
            if not found.place(task, reserve):
                break
        chosen = [(run.task, run.worker) for run in reserved]
        for run in reserved:
            run.worker.remove(run)
        return chosen


class Unplaced:
    """The sizes of tasks that found no worker in this plan, by service and image.

    A task that needs at least as much finds none either, unless a worker is held for
    its step. So each image is tried about once, and one that disturbs too much does not
    hold up the others behind it.
    """

    __slots__ = ("_sizes", "_has_room_held")

    def __init__(self, held_for: Iterable[Step | None]) -> None:
        self._has_room_held = set(held_for)
        self._sizes: dict[tuple[str, str, bool], tuple[int, int]] = {}

    def note(self, task: Task) -> None:
        """Take note of a task without a worker, unless that has a cause of its own."""
        spec = task.step.spec
        has_own_cause = (
            task.avoid
            or spec.required_label
            or spec.max_per_worker
            or spec.gpus
            or task.step.job.queue.needs_ticket
        )
        if not has_own_cause:
            self._sizes[_kind(task.step)] = (spec.cpu_m, spec.memory_mb)

    def covers(self, step: Step) -> bool:
        """Return whether the tasks of a step certainly find no worker."""
        size = self._sizes.get(_kind(step))
        if size is None or step in self._has_room_held:
            return False
        return step.spec.cpu_m >= size[0] and step.spec.memory_mb >= size[1]


def _kind(step: Step) -> tuple[str, str, bool]:
    return step.job.queue.service, step.spec.image, step.spec.is_best_effort


def _forgive(task: Task, workers: list[Worker]) -> None:
    """Let a task go anywhere again once it avoids every worker."""
    if task.avoid and all(worker.id in task.avoid for worker in workers):
        task.avoid.clear()
