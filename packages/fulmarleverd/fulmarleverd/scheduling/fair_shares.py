"""Fair shares of long-running jobs in a full fleet.

Long-running tasks keep their room, so a job that finds the fleet full would get
nothing for as long as the others last. A job with much less than the mean share of its
tasks gets room from jobs that still have a larger share afterwards (max-min fairness).
Their tasks are stopped within the number that may be unavailable, and the worker is
held for the task that needs the room.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import combinations

from fulmarleverd.scheduling.decisions import record
from fulmarleverd.scheduling.fleet import Worker
from fulmarleverd.scheduling.owner import Owner
from fulmarleverd.scheduling.planner import Planner
from fulmarleverd.scheduling.runs import Run, RunState
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
COMPLETE_PERCENT = 100.0


class FairShares:
    """Moves room between long-running jobs when some are short of it."""

    def __init__(self, owner: Owner, planner: Planner) -> None:
        self._owner = owner
        self._planner = planner
        self._look_at_s = 0.0
        self._holds: list[Hold] = []
        self._short_since: dict[str, float] = {}

    def tick(self) -> None:
        """Release what is not needed any more, and give room to one that is short."""
        now = self._owner.now_s()
        if now - self._look_at_s < LOOK_PERIOD_S:
            return
        self._look_at_s = now
        self._release(now)
        by_service: dict[str, list[Share]] = {}
        for step in self._long_running_steps():
            share = Share(step, sum(hold.step is step for hold in self._holds))
            by_service.setdefault(step.job.queue.service, []).append(share)
        short = [s for shares in by_service.values() for s in _short_ones(shares)]
        for share in self._patient(short, now):
            self._fill(share, by_service[share.step.job.queue.service], now)

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

    def _patient(self, short: list[Share], now_s: float) -> list[Share]:
        """Return those that have been short for long, the smallest share first."""
        names = {share.step.name for share in short}
        since = {name: self._short_since.get(name, now_s) for name in names}
        self._short_since = since
        long_short = [s for s in short if now_s - since[s.step.name] >= PATIENCE_S]
        return sorted(long_short, key=lambda share: (share.value, share.step.name))

    def _fill(self, short: Share, shares: list[Share], now_s: float) -> None:
        """Make room for tasks of a step until it is not short or nobody can give."""
        by_step = {share.step: share for share in shares}
        task = next(iter(short.step.waiting.values()))
        while len(self._holds) < MAX_SWAPS_PER_LOOK and is_short(short, shares):
            if short.coming >= len(short.step.waiting):
                return
            swap = self._find_swap(task, short, by_step)
            if swap is None:
                return
            self._carry_out(swap, short, by_step, now_s)

    def _find_swap(
        self, task: Task, short: Share, by_step: dict[Step, Share]
    ) -> Swap | None:
        """Return the worker where the fewest runs of those best off make room."""
        swaps = (
            Swap(worker, runs)
            for worker in self._owner.fleet
            if worker.entry.service == task.step.job.queue.service
            and worker.held_for is None
            and self._planner.find_rule_obstacle(task, worker) is None
            for runs in _sufficient_runs(task, worker, short, by_step)
        )
        spec = task.step.spec
        return min(swaps, key=lambda swap: swap.cost(spec, by_step), default=None)

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
            by_step[run.task.step].at_work -= 1
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
        self.at_work = sum(run.percent >= COMPLETE_PERCENT for run in kept)
        self.coming = coming

    @property
    def value(self) -> float:
        """Return the share of the step's tasks that run or have room."""
        return (self.placed + self.coming) / len(self.step.tasks)

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


def is_short(share: Share, shares: Iterable[Share]) -> bool:
    """Return whether a step has much less than the mean share."""
    values = [other.value for other in shares]
    return share.value < SHORT_OF_MEAN * sum(values) / len(values)


def _short_ones(shares: list[Share]) -> Iterator[Share]:
    mean = sum(share.value for share in shares) / len(shares)
    for share in shares:
        is_waiting = _waits(share.step) and not share.step.spec.is_gang
        if is_waiting and share.value < SHORT_OF_MEAN * mean:
            yield share


def _waits(step: Step) -> bool:
    return bool(step.waiting) and not step.job.is_final


def _sufficient_runs(
    task: Task, worker: Worker, short: Share, by_step: dict[Step, Share]
) -> Iterator[tuple[Run, ...]]:
    """Yield runs of a worker, of different steps, whose end would make enough room."""
    spec = task.step.spec
    cpu_m = spec.cpu_m - worker.free_cpu_m()
    memory_mb = spec.memory_mb + worker.reserved_memory_mb - worker.entry.memory_mb
    runs = [run for run in worker.runs.values() if _may_stop(run, task, short, by_step)]
    for count in range(1, MAX_VICTIMS + 1):
        for chosen in combinations(runs, count):
            specs = [run.task.step.spec for run in chosen]
            has_one_each = len({run.task.step for run in chosen}) == count
            has_cpu = sum(spec.cpu_m for spec in specs) >= cpu_m
            has_memory = sum(spec.memory_mb for spec in specs) >= memory_mb
            if has_one_each and has_cpu and has_memory:
                yield chosen


def _may_stop(run: Run, task: Task, short: Share, by_step: dict[Step, Share]) -> bool:
    step = run.task.step
    share = by_step.get(step)
    return (
        share is not None
        and step is not task.step
        and run.state is RunState.RUNNING
        and run.percent >= COMPLETE_PERCENT
        and not step.spec.is_gang
        and step.job.queue.priority >= task.step.job.queue.priority
        and share.may_give(short)
    )
