"""Fair shares of long-running jobs in a full fleet.

Long-running tasks keep their room, so a job that finds the fleet full would get
nothing for as long as the others last. A job with much less than the mean share of its
tasks gets room from jobs that still have a larger share afterwards (max-min fairness).
Their tasks are stopped within the number that may be unavailable, and the worker is
held for the task that needs the room.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import combinations, islice
from operator import itemgetter

from fulmarleverd.scheduling.decisions import record
from fulmarleverd.scheduling.fleet import Worker
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.planner import Planner
from fulmarleverd.scheduling.runs import FULL_PERCENT, Run, RunState
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.tasks import Step, Task

LOOK_PERIOD_S = 1.0
# A job below this part of the mean share is short of tasks.
SHORT_OF_MEAN = 0.75
# Room is set free by others first: jobs end, and workers come back.
PATIENCE_S = 2.0
# Covers the stop, the commit of its end and the next plan, also with a slow store.
HOLD_S = 4.0
MAX_SWAPS_PER_LOOK = 8
MAX_VICTIMS = 2
# Each of these is looked at with all pairs of its runs.
MAX_WORKERS_PER_LOOK = 100


class FairShares:
    """Moves room between long-running jobs when some are short of it."""

    def __init__(self, owner: Owner, planner: Planner) -> None:
        self._owner = owner
        self._planner = planner
        self._look_at_s = 0.0
        self._holds: list[Hold] = []
        self._short_since: dict[str, float] = {}
        self._first_worker = 0

    def tick(self) -> None:
        """Release what is not needed any more, and give room to one that is short."""
        now = self._owner.now_s()
        if now - self._look_at_s < LOOK_PERIOD_S:
            return
        self._look_at_s = now
        self._release(now)
        by_service: dict[str, list[Step]] = {}
        for step in self._long_running_steps():
            by_service.setdefault(step.job.queue.service, []).append(step)
        short: dict[Step, list[Step]] = {}
        for steps in by_service.values():
            short.update((step, steps) for step in _short_ones(steps))
        for step in self._patient(short, now):
            self._fill(step, short[step], now)

    def _release(self, now_s: float) -> None:
        """Drop the holds that were used, have lapsed or whose step needs none."""
        kept: list[Hold] = []
        for hold in self._holds:
            is_used = hold.worker.held_for is not hold.step
            if is_used or now_s >= hold.until_s or not _waits(hold.step):
                if not is_used:
                    hold.worker.held_for = None
            else:
                kept.append(hold)
        self._holds = kept

    def _long_running_steps(self) -> Iterator[Step]:
        for job in self._owner.jobs.values():
            if job.spec.is_long_running:
                yield from (s for s in job.steps() if s.spec.is_long_running)

    def _patient(self, short: Iterable[Step], now_s: float) -> list[Step]:
        """Return those that have been short for long, the smallest share first."""
        steps = list(short)
        since = {s.name: self._short_since.get(s.name, now_s) for s in steps}
        self._short_since = since
        patient = [s for s in steps if now_s - since[s.name] >= PATIENCE_S]
        return sorted(patient, key=lambda step: (step.share_placed, step.name))

    def _fill(self, step: Step, others: list[Step], now_s: float) -> None:
        """Make room for tasks of a step until it is not short or nobody can give."""
        by_step = {
            other: Share(other, sum(hold.step is other for hold in self._holds))
            for other in others
        }
        short = by_step[step]
        task = next(iter(step.waiting.values()))
        for swap in self._find_swaps(task, short, by_step):
            has_enough = short.coming >= len(step.waiting)
            is_limit = len(self._holds) >= MAX_SWAPS_PER_LOOK
            if has_enough or is_limit or not is_short(short, by_step):
                return
            # What was carried out before may have changed who can give.
            if all(by_step[run.task.step].may_give(short) for run in swap.runs):
                self._carry_out(swap, short, by_step, now_s)

    def _find_swaps(
        self, task: Task, short: Share, by_step: dict[Step, Share]
    ) -> list[Swap]:
        """Return the best swap of each worker, the cheapest first."""
        spec = task.step.spec
        found: list[tuple[tuple, Swap]] = []
        for worker in islice(self._eligible(task), MAX_WORKERS_PER_LOOK):
            swaps = [
                Swap(worker, runs)
                for runs in _sufficient_runs(task, worker, short, by_step)
            ]
            costs = [(swap.cost(spec, by_step), swap) for swap in swaps]
            found += [min(costs, key=itemgetter(0))] if costs else []
        return [swap for _, swap in sorted(found, key=itemgetter(0))]

    def _eligible(self, task: Task) -> Iterator[Worker]:
        """Yield the workers that could take a task if they had room for it.

        Each call begins further on, as only some of a large fleet are looked at.
        """
        workers = list(self._owner.fleet)
        first = self._first_worker % max(1, len(workers))
        self._first_worker = first + MAX_WORKERS_PER_LOOK
        for worker in workers[first:] + workers[:first]:
            is_of_service = worker.entry.service == task.step.job.queue.service
            if not is_of_service or worker.held_for is not None:
                continue
            if self._planner.find_rule_obstacle(task, worker) is None:
                yield worker

    def _carry_out(
        self, swap: Swap, short: Share, by_step: dict[Step, Share], now_s: float
    ) -> None:
        swap.worker.held_for = short.step
        self._holds.append(Hold(swap.worker, short.step, now_s + HOLD_S))
        short.coming += 1
        record(
            "room-moved",
            "its job has a smaller share of its tasks",
            step=short.step.name,
            worker=swap.worker.id,
            share=round(short.value, 2),
            stopped=[run.task.name for run in swap.runs],
            their_shares=[round(by_step[r.task.step].value, 2) for r in swap.runs],
        )
        for run in swap.runs:
            by_step[run.task.step].give()
            self._owner.stop_run(run, "a job with a smaller share needs its room")


class Share:
    """How many tasks of a step are given to workers, or have room held for them.

    ``at_work`` counts only tasks that have started up completely.
    """

    __slots__ = ("step", "placed", "at_work", "coming")

    def __init__(self, step: Step, coming: int) -> None:
        self.step = step
        runs = [run for task in step.tasks for run in task.runs.values()]
        kept = [run for run in runs if run.state is not RunState.STOPPING]
        self.placed = len(kept)
        self.at_work = sum(run.progress_percent >= FULL_PERCENT for run in kept)
        self.coming = coming

    @property
    def value(self) -> float:
        """Return the share of the step's tasks that run or have room."""
        return (self.placed + self.coming) / len(self.step.tasks)

    def give(self) -> None:
        """Take note that a task of the step is stopped."""
        self.placed -= 1
        self.at_work -= 1

    def may_give(self, short: Share) -> bool:
        """Return whether one task less still leaves more than the other would get."""
        tasks = len(self.step.tasks)
        limit = self.step.spec.max_unavailable
        if limit is not None and tasks - self.at_work >= limit:
            return False
        gained = (short.placed + short.coming + 1) / len(short.step.tasks)
        return (self.placed - 1) / tasks >= gained


class Swap:
    """Runs that would be stopped on a worker to make room for a task of another."""

    __slots__ = ("worker", "runs")

    def __init__(self, worker: Worker, runs: tuple[Run, ...]) -> None:
        self.worker = worker
        self.runs = runs

    def cost(self, spec: StepSpec, by_step: dict[Step, Share]) -> tuple:
        """Return what orders swaps for a task.

        First those that set free what the task takes, so that other work keeps its
        room; then few runs, of those best off, with few cores.
        """
        least = min(by_step[run.task.step].value for run in self.runs)
        cpu_m = sum(run.task.step.spec.cpu_m for run in self.runs)
        lost_m = max(0, spec.cpu_m - cpu_m)
        return (lost_m, len(self.runs), -least, cpu_m, self.worker.id)


class Hold:
    """A worker that is kept for a step until a moment on the owner's clock."""

    __slots__ = ("worker", "step", "until_s")

    def __init__(self, worker: Worker, step: Step, until_s: float) -> None:
        self.worker = worker
        self.step = step
        self.until_s = until_s


def is_short(share: Share, by_step: dict[Step, Share]) -> bool:
    """Return whether a step has much less than the mean share."""
    values = [other.value for other in by_step.values()]
    return share.value < SHORT_OF_MEAN * sum(values) / len(values)


def _short_ones(steps: list[Step]) -> Iterator[Step]:
    """Yield the steps of a service that wait with much less than the mean share."""
    mean = sum(step.share_placed for step in steps) / len(steps)
    for step in steps:
        is_waiting = _waits(step) and not step.spec.is_gang
        if is_waiting and step.share_placed < SHORT_OF_MEAN * mean:
            yield step


def _waits(step: Step) -> bool:
    return bool(step.waiting) and not step.job.is_final


def _sufficient_runs(
    task: Task, worker: Worker, short: Share, by_step: dict[Step, Share]
) -> Iterator[tuple[Run, ...]]:
    """Yield runs of a worker, of different steps, whose end would make enough room."""
    runs = [run for run in worker.runs.values() if _may_stop(run, task, short, by_step)]
    for count in range(1, MAX_VICTIMS + 1):
        for chosen in combinations(runs, count):
            has_one_each = len({run.task.step for run in chosen}) == count
            if has_one_each and _make_room(chosen, task.step.spec, worker):
                yield chosen


def _make_room(runs: Iterable[Run], spec: StepSpec, worker: Worker) -> bool:
    """Return whether a task would fit once some runs have ended."""
    entry = worker.entry
    cpu_m = worker.reserved_cpu_m + spec.cpu_m
    memory_mb = worker.reserved_memory_mb + spec.memory_mb
    gpus = worker.reserved_gpus + spec.gpus
    for run in runs:
        cpu_m -= run.task.step.spec.cpu_m
        memory_mb -= run.task.step.spec.memory_mb
        gpus -= run.task.step.spec.gpus
    return cpu_m <= entry.cpu_m and memory_mb <= entry.memory_mb and gpus <= entry.gpus


def _may_stop(run: Run, task: Task, short: Share, by_step: dict[Step, Share]) -> bool:
    step = run.task.step
    share = by_step.get(step)
    return (
        share is not None
        and step is not task.step
        and run.state is RunState.RUNNING
        and run.progress_percent >= FULL_PERCENT
        and not step.spec.is_gang
        and step.job.queue.priority >= task.step.job.queue.priority
        and share.may_give(short)
    )
