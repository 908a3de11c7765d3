"""Fair shares of long-running jobs in a full fleet.

The share of a step is the fraction of its tasks that have a run or a worker reserved
for them. Long-running tasks keep their workers, so a step that finds the fleet full
would get no capacity until others end. A step with much less than the mean share of its
service is starved. Tasks of steps that still have a larger share afterwards are then
preempted (max-min fairness), within the number of tasks that may be unavailable, and
the worker is reserved for the starved step.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from heapq import nlargest
from itertools import combinations, islice
from operator import itemgetter

from fulmarleverd.scheduling.decisions import record
from fulmarleverd.scheduling.jobs.runs import FULL_PERCENT, Run, RunState
from fulmarleverd.scheduling.jobs.tasks import Step, Task
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.planning.planner import Planner
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.workers.fleet import Worker

CHECK_PERIOD_S = 1.0
# A step is starved if its share is below this fraction of the mean share.
STARVATION_THRESHOLD = 0.75
# How long a step must be starved before tasks are preempted for it: capacity may become
# free without a preemption when jobs end or workers return.
PREEMPTION_TIMEOUT_S = 2.0
# Covers the stop, the commit of the end and the next plan, also with a slow store.
RESERVATION_S = 4.0
# Limits the open reservations, and with them the preemptions of one check.
MAX_RESERVATIONS = 8
# Limits the runs that one preemption stops.
MAX_RUNS_PER_PREEMPTION = 2
# All pairs of the largest runs of each of these workers are considered, one run a step.
MAX_WORKERS_PER_CHECK = 100
MAX_STEPS_PER_WORKER = 24


class FairShares:
    """Preempts tasks of long-running steps for starved ones."""

    def __init__(self, owner: Owner, planner: Planner) -> None:
        self._owner = owner
        self._planner = planner
        self._checked_at_s = 0.0
        self._reservations: list[Reservation] = []
        self._starved_since: dict[str, float] = {}
        self._first_worker_index = 0

    def tick(self) -> None:
        """Release reservations that are over and preempt tasks for starved steps.

        Does nothing if the last check is less than ``CHECK_PERIOD_S`` ago.
        """
        now = self._owner.now_s()
        if now - self._checked_at_s < CHECK_PERIOD_S:
            return
        self._checked_at_s = now
        self._release_reservations(now)
        by_service: dict[str, list[Step]] = {}
        for step in self._long_running_steps():
            by_service.setdefault(step.job.queue.service, []).append(step)
        starved: dict[Step, list[Step]] = {}
        for steps in by_service.values():
            starved.update((step, steps) for step in _starved_steps(steps))
        for step in self._steps_past_timeout(starved, now):
            self._preempt_for(step, starved[step], now)

    def _release_reservations(self, now_s: float) -> None:
        """Drop reservations that are used, expired or no longer needed."""
        kept: list[Reservation] = []
        for reservation in self._reservations:
            is_used = reservation.worker.reserved_for is not reservation.step
            if (
                is_used
                or now_s >= reservation.until_s
                or not _has_waiting_tasks(reservation.step)
            ):
                if not is_used:
                    reservation.worker.reserved_for = None
            else:
                kept.append(reservation)
        self._reservations = kept

    def _long_running_steps(self) -> Iterator[Step]:
        """Yield the long-running steps that wait for no other step."""
        for job in self._owner.jobs.values():
            if job.spec.is_long_running:
                steps = (s for s in job.steps() if s.spec.is_long_running)
                yield from (step for step in steps if job.may_begin(step))

    def _steps_past_timeout(self, starved: Iterable[Step], now_s: float) -> list[Step]:
        """Return the steps starved for the preemption timeout, smallest share first."""
        steps = list(starved)
        since = {s.name: self._starved_since.get(s.name, now_s) for s in steps}
        self._starved_since = since
        timed_out = [s for s in steps if now_s - since[s.name] >= PREEMPTION_TIMEOUT_S]
        return sorted(timed_out, key=lambda step: (step.share_placed, step.name))

    def _preempt_for(self, step: Step, service_steps: list[Step], now_s: float) -> None:
        """Preempt tasks for a step until it is not starved or no step may lose one."""
        by_step = {
            other: StepShare(
                other,
                sum(reservation.step is other for reservation in self._reservations),
            )
            for other in service_steps
        }
        starved = by_step[step]
        task = next(iter(step.waiting.values()))
        for preemption in self._find_preemptions(task, starved, by_step):
            has_enough = starved.reserved >= len(step.waiting)
            is_limit = len(self._reservations) >= MAX_RESERVATIONS
            if has_enough or is_limit or not is_starved(starved, by_step):
                return
            # Earlier preemptions of this check may have used up what a step may lose.
            if all(
                by_step[run.task.step].may_lose_task_to(starved)
                for run in preemption.runs
            ):
                self._preempt(preemption, starved, by_step, now_s)

    def _find_preemptions(
        self, task: Task, starved: StepShare, by_step: dict[Step, StepShare]
    ) -> list[Preemption]:
        """Return the best preemption of each worker, the cheapest first."""
        spec = task.step.spec
        found: list[tuple[tuple, Preemption]] = []
        for worker in islice(self._eligible_workers(task), MAX_WORKERS_PER_CHECK):
            preemptions = [
                Preemption(worker, runs)
                for runs in _sufficient_runs(task, worker, starved, by_step)
            ]
            costs = [
                (preemption.cost(spec, by_step), preemption)
                for preemption in preemptions
            ]
            found += [min(costs, key=itemgetter(0))] if costs else []
        return [preemption for _, preemption in sorted(found, key=itemgetter(0))]

    def _eligible_workers(self, task: Task) -> Iterator[Worker]:
        """Yield the workers that may run a task once they have enough capacity.

        Each call starts at a later worker than the one before, as the caller considers
        only a part of a large fleet.
        """
        workers = list(self._owner.fleet)
        first = self._first_worker_index % max(1, len(workers))
        self._first_worker_index = first + MAX_WORKERS_PER_CHECK
        for worker in workers[first:] + workers[:first]:
            is_of_service = worker.entry.service == task.step.job.queue.service
            if not is_of_service or worker.reserved_for is not None:
                continue
            if self._planner.find_constraint_obstacle(task, worker) is None:
                yield worker

    def _preempt(
        self,
        preemption: Preemption,
        starved: StepShare,
        by_step: dict[Step, StepShare],
        now_s: float,
    ) -> None:
        preemption.worker.reserved_for = starved.step
        self._reservations.append(
            Reservation(preemption.worker, starved.step, now_s + RESERVATION_S)
        )
        starved.reserved += 1
        record(
            "room-moved",
            "the step has less than its fair share",
            step=starved.step.name,
            worker=preemption.worker.id,
            share=round(starved.value, 2),
            stopped=[run.task.name for run in preemption.runs],
            their_shares=[
                round(by_step[r.task.step].value, 2) for r in preemption.runs
            ],
        )
        for run in preemption.runs:
            by_step[run.task.step].count_preemption()
            self._owner.stop_run(run, "preempted for a step with a smaller share")


class StepShare:
    """How many tasks of a step have a run or a worker reserved for them.

    ``placed`` counts the runs that are not being stopped, ``ready`` those of them whose
    start-up is complete, and ``reserved`` the workers reserved for the step.
    """

    __slots__ = ("step", "placed", "ready", "reserved")

    def __init__(self, step: Step, reserved: int) -> None:
        self.step = step
        runs = [run for task in step.tasks for run in task.runs.values()]
        active = [run for run in runs if run.state is not RunState.STOPPING]
        self.placed = len(active)
        self.ready = sum(run.progress_percent >= FULL_PERCENT for run in active)
        self.reserved = reserved

    @property
    def value(self) -> float:
        """Return the fraction of the step's tasks that are placed or reserved."""
        return (self.placed + self.reserved) / len(self.step.tasks)

    def count_preemption(self) -> None:
        """Count that a ready task of the step is preempted."""
        self.placed -= 1
        self.ready -= 1

    def may_lose_task_to(self, starved: StepShare) -> bool:
        """Return whether the step may lose a task to a starved one.

        It may if it stays within its unavailable tasks, and if its share after the loss
        is at least the share of the starved step with one more task.
        """
        tasks = len(self.step.tasks)
        limit = self.step.spec.max_unavailable
        if limit is not None and tasks - self.ready >= limit:
            return False
        gaining_share = (starved.placed + starved.reserved + 1) / len(
            starved.step.tasks
        )
        return (self.placed - 1) / tasks >= gaining_share


class Preemption:
    """Runs to stop on a worker so that it can run a task of a starved step."""

    __slots__ = ("worker", "runs")

    def __init__(self, worker: Worker, runs: tuple[Run, ...]) -> None:
        self.worker = worker
        self.runs = runs

    def cost(self, spec: StepSpec, by_step: dict[Step, StepShare]) -> tuple:
        """Return the sort key of the preemptions for one task, the best first.

        Preferred are those that free as many cores as the task takes, so that other
        work can still use the free cores; then those with the fewest runs, the largest
        shares of the steps that lose them and the fewest cores.
        """
        smallest_share = min(by_step[run.task.step].value for run in self.runs)
        cpu_m = sum(run.task.step.spec.cpu_m for run in self.runs)
        extra_cpu_m = max(0, spec.cpu_m - cpu_m)
        return (extra_cpu_m, len(self.runs), -smallest_share, cpu_m, self.worker.id)


class Reservation:
    """A worker reserved for a step until ``until_s`` on the owner's clock."""

    __slots__ = ("worker", "step", "until_s")

    def __init__(self, worker: Worker, step: Step, until_s: float) -> None:
        self.worker = worker
        self.step = step
        self.until_s = until_s


def is_starved(share: StepShare, by_step: dict[Step, StepShare]) -> bool:
    """Return whether a step has much less than the mean share of its service."""
    values = [other.value for other in by_step.values()]
    return share.value < STARVATION_THRESHOLD * sum(values) / len(values)


def _starved_steps(steps: list[Step]) -> Iterator[Step]:
    """Yield steps of one service with waiting tasks and much less than the mean share.

    Gangs are left out: they start with all of their tasks or none.
    """
    mean = sum(step.share_placed for step in steps) / len(steps)
    for step in steps:
        may_be_starved = _has_waiting_tasks(step) and not step.spec.is_gang
        if may_be_starved and step.share_placed < STARVATION_THRESHOLD * mean:
            yield step


def _has_waiting_tasks(step: Step) -> bool:
    return bool(step.waiting) and not step.job.is_final


def _sufficient_runs(
    task: Task, worker: Worker, starved: StepShare, by_step: dict[Step, StepShare]
) -> Iterator[tuple[Run, ...]]:
    """Yield groups of preemptible runs whose end frees enough capacity for a task.

    The runs of a group are of different steps. All runs of a step free the same, so one
    of each is considered.
    """
    by_step_of_run: dict[Step, Run] = {}
    for run in worker.runs.values():
        if run.task.step in by_step_of_run:
            continue
        if _is_preemptible(run, task, starved, by_step):
            by_step_of_run[run.task.step] = run
    runs = nlargest(MAX_STEPS_PER_WORKER, by_step_of_run.values(), key=_freed)
    for count in range(1, MAX_RUNS_PER_PREEMPTION + 1):
        for chosen in combinations(runs, count):
            if _fits_without(chosen, task.step.spec, worker):
                yield chosen


def _freed(run: Run) -> tuple[int, int, int]:
    """Return the accelerators, cores and memory that the end of a run frees."""
    spec = run.task.step.spec
    return spec.gpus, spec.cpu_m, spec.memory_mb


def _fits_without(runs: Iterable[Run], spec: StepSpec, worker: Worker) -> bool:
    """Return whether one more task fits on a worker once some of its runs ended."""
    entry = worker.entry
    cpu_m = worker.reserved_cpu_m + spec.cpu_m
    memory_mb = worker.reserved_memory_mb + spec.memory_mb
    gpus = worker.reserved_gpus + spec.gpus
    for run in runs:
        cpu_m -= run.task.step.spec.cpu_m
        memory_mb -= run.task.step.spec.memory_mb
        gpus -= run.task.step.spec.gpus
    return cpu_m <= entry.cpu_m and memory_mb <= entry.memory_mb and gpus <= entry.gpus


def _is_preemptible(
    run: Run, task: Task, starved: StepShare, by_step: dict[Step, StepShare]
) -> bool:
    """Return whether a ready run may be stopped for a task of another step."""
    step = run.task.step
    share = by_step.get(step)
    return (
        share is not None
        and step is not task.step
        and run.state is RunState.RUNNING
        and run.progress_percent >= FULL_PERCENT
        and not step.spec.is_gang
        and step.job.queue.priority >= task.step.job.queue.priority
        and share.may_lose_task_to(starved)
    )
