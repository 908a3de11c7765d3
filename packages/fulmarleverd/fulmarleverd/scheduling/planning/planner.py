"""Planning: which waiting tasks start now, and on which workers."""

from __future__ import annotations

from collections.abc import Iterator

from fulmarleverd.scheduling.health.tolerance import (
    ANY_WORKER,
    SOUND_ONLY,
    Tolerance,
)
from fulmarleverd.scheduling.jobs.runs import Run
from fulmarleverd.scheduling.jobs.tasks import Step, Task
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.planning.candidates import Candidates
from fulmarleverd.scheduling.planning.capacity_index import CapacityIndex
from fulmarleverd.scheduling.planning.long_waits import LongWaits
from fulmarleverd.scheduling.planning.obstacles import (
    Obstacle,
    find_capacity_obstacle,
    find_constraint_obstacle,
)
from fulmarleverd.scheduling.planning.order import (
    ORDERS,
    StartQuota,
    first_tasks_of_idle_jobs,
)
from fulmarleverd.scheduling.planning.placement import (
    PLACEMENTS,
    HeadroomTaken,
    kept_place_cost,
    low_headroom_cost,
)
from fulmarleverd.scheduling.planning.start_rate import StartRate
from fulmarleverd.scheduling.planning.tickets import TicketRequester, has_ticket
from fulmarleverd.scheduling.planning.tolerances import Tolerances
from fulmarleverd.scheduling.planning.turns import Turns
from fulmarleverd.scheduling.planning.unplaced_sizes import UnplacedSizes
from fulmarleverd.scheduling.planning.worker_search import batch_size, search_order
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.workers.fleet import Worker

# Limits the starts of one plan.
MAX_STARTS_PER_PLAN = 200


class Planner:
    """Assigns waiting tasks to workers by an order policy and a placement policy.

    ``order`` and ``placement`` are names in ``ORDERS`` and ``PLACEMENTS``; an unknown
    one raises ``KernelError``. ``headroom_taken`` estimates the effect of best-effort
    tasks on serving tasks. Without ``tickets`` no ticket is requested from the
    admission service; without ``start_rate`` starts are not limited.
    """

    def __init__(
        self,
        owner: Owner,
        headroom_taken: HeadroomTaken,
        order: str = "objective",
        placement: str = "apart",
        tickets: TicketRequester | None = None,
        start_rate: StartRate | None = None,
    ) -> None:
        self._owner = owner
        self._order = ORDERS.find(order)
        self._placement = PLACEMENTS.find(placement)
        self._headroom_taken = headroom_taken
        self._tickets = tickets
        self._start_rate = start_rate
        self._tolerances = Tolerances(owner)
        self._unplaced_sizes: dict[Tolerance, UnplacedSizes] = {}
        self._indexes: dict[tuple[str, Tolerance], CapacityIndex] = {}
        self._long_waits = LongWaits()
        self._plans = 0

    def plan(self) -> int:
        """Assign waiting tasks to workers and return how many were assigned.

        If a limit of starts is reached, another plan is requested for the rest.
        """
        limit = MAX_STARTS_PER_PLAN
        if self._start_rate is not None:
            limit = min(limit, self._start_rate.available())
        started = self._plan(limit) if limit else 0
        if self._start_rate is not None:
            self._start_rate.take(started)
        if started >= limit:
            self._owner.changed.set()
        return started

    def _plan(self, limit: int) -> int:
        """Assign waiting tasks up to a limit, which the last gang may exceed."""
        self._plans += 1
        self._indexes = {}
        self._unplaced_sizes = {}
        self._tolerances = Tolerances(self._owner)
        started = sum(1 for _ in self._start_speculative_copies())
        lacking_tickets: list[Step] = []
        for quota in self._quotas(limit):
            step = quota.step
            most = min(quota.limit, limit - started)
            if self._start_in_place(step):
                started += 1
            else:
                started += sum(1 for _ in self._start_step(step, most))
            if step.waiting and step.job.queue.needs_ticket:
                lacking_tickets.append(step)
            if started >= limit:
                break
        if self._tickets is not None:
            self._tickets.request(dict.fromkeys(lacking_tickets))
        return started

    def _quotas(self, limit: int) -> Iterator[StartQuota]:
        """Yield the steps to start tasks of, the most urgent first."""
        ready = list(self._owner.open_jobs.ready_steps())
        turns = Turns(self._owner, self._tolerances, ready)
        yield from turns.limit(self._ordered_quotas(ready, limit))

    def _ordered_quotas(self, ready: list[Step], limit: int) -> Iterator[StartQuota]:
        now = self._owner.now_s()
        self._long_waits.update(ready, now)
        steps = [step for step in ready if self._may_start(step)]
        if self._start_rate is not None and self._start_rate.is_limiting:
            yield from self._long_waits.quotas(steps, limit, now)
            yield from first_tasks_of_idle_jobs(steps, now)
        yield from self._order(steps, now, self._owner.run_times)

    def _may_start(self, step: Step) -> bool:
        """Return whether a worker may have room for a task, or a ticket is needed.

        So steps that a full fleet has no room for are not even put in order.
        """
        return step.job.queue.needs_ticket or self._index(step).has_room(step.spec)

    def _startable_workers(self, step: Step) -> list[Worker]:
        """Return the workers of the step's service that accept runs of the step."""
        return self._with_ticket(step, self._index(step).workers)

    def _workers_with_room(self, step: Step) -> list[Worker]:
        """Return the startable workers with enough cores when the plan began."""
        return self._with_ticket(step, self._index(step).with_room(step.spec))

    def _with_ticket(self, step: Step, workers: list[Worker]) -> list[Worker]:
        """Return the workers with a valid ticket if the step's queue needs one."""
        if not step.job.queue.needs_ticket:
            return workers
        now = self._owner.now_s()
        return [worker for worker in workers if has_ticket(step, worker, now)]

    def _index(self, step: Step) -> CapacityIndex:
        key = step.job.queue.service, self._tolerances.find(step)
        if key not in self._indexes:
            now = self._owner.now_s()
            workers = self._owner.fleet.workers_accepting_runs(key[0], now, key[1])
            self._indexes[key] = CapacityIndex(workers)
        return self._indexes[key]

    def _unplaced_sizes_for(self, tolerance: Tolerance) -> UnplacedSizes:
        if tolerance not in self._unplaced_sizes:
            reserved_for = (worker.reserved_for for worker in self._owner.fleet)
            self._unplaced_sizes[tolerance] = UnplacedSizes(reserved_for)
        return self._unplaced_sizes[tolerance]

    def _cost(self, spec: StepSpec, worker: Worker) -> tuple | None:
        return self._placement(spec, worker, self._headroom_taken)

    def _cost_of_any(self, spec: StepSpec, worker: Worker) -> tuple | None:
        """Return the cost of a task that also runs where headroom is low."""
        cost = self._cost(spec, worker)
        return low_headroom_cost(worker) if cost is None else cost

    def find_obstacle(self, task: Task, worker: Worker) -> Obstacle | None:
        """Return why a worker cannot run a waiting task, None if it can."""
        spec = task.step.spec
        found = self.find_constraint_obstacle(task, worker)
        found = found or find_capacity_obstacle(spec, worker)
        if found is not None or self._tolerances.find(task.step).low_headroom:
            return found
        return Obstacle.PLACEMENT if self._cost(spec, worker) is None else None

    def find_constraint_obstacle(self, task: Task, worker: Worker) -> Obstacle | None:
        """Return why a worker with enough capacity may not run a waiting task."""
        step = task.step
        if worker.is_evacuated:
            return find_constraint_obstacle(step, worker) or Obstacle.EVACUATED
        now = self._owner.now_s()
        if not worker.accepts_runs(now, ANY_WORKER):
            return Obstacle.NO_STARTS
        if not worker.accepts_runs(now, self._tolerances.find(step)):
            return Obstacle.IMPAIRED
        if task.avoids(worker.id, self._owner.now_s()):
            return Obstacle.AVOIDED
        needs_ticket = step.job.queue.needs_ticket
        if needs_ticket and not has_ticket(step, worker, self._owner.now_s()):
            return Obstacle.TICKET
        return find_constraint_obstacle(step, worker)

    def _candidates(self, step: Step, workers: list[Worker]) -> Candidates:
        now = self._owner.now_s()
        tolerance = self._tolerances.find(step)
        cost = self._cost_of_any if tolerance.low_headroom else self._cost
        return Candidates(step, workers, cost, now, tolerance=tolerance)

    def _candidates_for_some(self, step: Step, tasks: int) -> Candidates:
        """Return candidates for some tasks, in a large fleet only a part of them."""
        workers = self._workers_with_room(step)
        size = None if step.job.queue.needs_ticket else batch_size(step.spec)
        if size is not None and len(workers) > size:
            workers = search_order(step.spec, workers, self._plans)
        now = self._owner.now_s()
        if self._tolerances.has_last_workers and size is not None:
            # The search ends with the first batches.
            workers = sorted(workers, key=lambda worker: worker.comes_last_at(now))
        tolerance = self._tolerances.find(step)
        found = Candidates(step, workers, self._cost, now, size, tasks, tolerance)
        if tolerance.low_headroom and found.is_empty:
            cost = self._cost_of_any
            return Candidates(step, workers, cost, now, size, tasks, tolerance)
        return found

    def _start_speculative_copies(self) -> Iterator[Task]:
        """Start the requested second runs and yield their tasks.

        A request is dropped if no worker can run the copy.
        """
        requested = list(self._owner.requested_copies)
        self._owner.requested_copies.clear()
        for task in requested:
            if task.is_done or len(task.runs) != 1 or task.step.job.is_final:
                continue
            used = {run.worker_key.id for run in task.runs.values()}
            candidates = self._candidates(task.step, self._workers_with_room(task.step))
            if candidates.place(task, self._owner.assign, used):
                yield task

    def _start_step(self, step: Step, limit: int) -> Iterator[Task]:
        """Start up to ``limit`` tasks of a step, or its whole gang, and yield them."""
        tolerance = self._tolerances.find(step)
        unplaced_sizes = self._unplaced_sizes_for(tolerance)
        if unplaced_sizes.excludes(step):
            return
        if step.spec.is_gang:
            yield from self._start_gang(step)
            return
        # The other tasks of a job that tolerates more workers wait for the next plan,
        # in which the job has a run.
        is_tolerant = tolerance != SOUND_ONLY
        is_one_at_a_time = is_tolerant and not step.spec.is_long_running and limit > 1
        limit = 1 if is_one_at_a_time else limit
        candidates = self._candidates_for_some(step, limit)
        started = 0
        for task in list(step.waiting.values()):
            if started >= limit:
                if is_one_at_a_time:
                    self._owner.changed.set()
                return
            if task.is_crash_suspect:
                # It may wait for isolation, which the other tasks need not.
                started += self._place_suspect(task, candidates) is not None
            elif candidates.place(task, self._owner.assign):
                started += 1
            elif not task.avoids_any(self._owner.now_s()):
                # The remaining tasks have the same size.
                unplaced_sizes.record_size(task)
                return
            if not task.is_waiting:
                self._tolerances.record_start(step.job)
                yield task

    def _start_in_place(self, step: Step) -> bool:
        """Start a task where one of its job has just ended; return whether it did.

        The other tasks wait for the next plan, in which the job has a run.
        """
        worker = self._tolerances.kept_place(step)
        task = next(iter(step.waiting.values()), None)
        if worker is None or task is None or task.is_crash_suspect:
            return False
        workers = self._with_ticket(step, [worker])
        candidates = Candidates(step, workers, kept_place_cost, self._owner.now_s())
        if candidates.place(task, self._owner.assign) is None:
            return False
        self._tolerances.record_start(step.job)
        self._owner.changed.set()
        return True

    def _place_suspect(self, task: Task, candidates: Candidates) -> Worker | None:
        """Start a task that may have crashed a worker, if possible in isolation."""
        crashes = self._owner.crashes
        worker = None
        if crashes.may_isolate():
            busy = crashes.recently_started_ids(self._index(task.step).workers)
            worker = candidates.place(task, self._assign_isolated, busy)
        if worker is None and not crashes.must_wait(task):
            if task.isolation_wanted_s:
                return self._place_unisolated(task, candidates)
            worker = candidates.place(task, self._owner.assign)
        return worker

    def _place_unisolated(self, task: Task, candidates: Candidates) -> Worker | None:
        """Start a task that waited for isolation in vain, if possible apart.

        A job without a run does not wait any longer for that.
        """
        apart = self._owner.crashes.unisolated_ids(task.step.job)
        worker = candidates.place(task, self._assign_unisolated, apart)
        if worker is None and not task.step.job.has_runs:
            worker = candidates.place(task, self._assign_unisolated)
        return worker

    def _assign_unisolated(self, task: Task, worker: Worker) -> None:
        run = self._owner.assign(task, worker)
        self._owner.crashes.record_unisolated(run)

    def _assign_isolated(self, task: Task, worker: Worker) -> None:
        run = self._owner.assign(task, worker)
        self._owner.crashes.isolate(run)

    def _start_gang(self, step: Step) -> Iterator[Task]:
        """Start all tasks of a gang with the same run number, or none of them."""
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
        """Return each task with a worker, an empty list if not all can be placed."""
        for workers in self._gang_worker_groups(step, tasks):
            chosen = self._place_on(step, tasks, workers)
            if len(chosen) == len(tasks):
                return chosen
        return []

    def _gang_worker_groups(
        self, step: Step, tasks: list[Task]
    ) -> Iterator[list[Worker]]:
        """Yield the workers of each rack for a rack-bound step, then all workers."""
        workers = self._startable_workers(step)
        if step.spec.is_rack_bound:
            racks = sorted({worker.rack for worker in workers})
            yield from ([w for w in workers if w.rack == rack] for rack in racks)
        yield workers

    def _place_on(
        self, step: Step, tasks: list[Task], workers: list[Worker]
    ) -> list[tuple[Task, Worker]]:
        """Return tasks with workers until one cannot be placed; reserve nothing."""
        reserved: list[Run] = []

        def reserve(task: Task, worker: Worker) -> None:
            run = Run(task, task.last_run + 1, worker.key)
            worker.add(run)
            reserved.append(run)

        candidates = self._candidates(step, workers)
        for task in tasks:
            if not candidates.place(task, reserve):
                break
        chosen = [(run.task, run.worker) for run in reserved]
        for run in reserved:
            run.worker.remove(run)
        return chosen
