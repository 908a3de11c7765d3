"""The state of accepted jobs: occurrences, steps, tasks and their runs."""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum
from typing import TYPE_CHECKING

from fulmarleverd.scheduling.jobs.number_ranges import NumberRanges
from fulmarleverd.scheduling.jobs.runs import Run, RunState
from fulmarleverd.scheduling.persistence.rows import JobRow
from fulmarleverd.scheduling.specs import StepSpec, WorkerKey

if TYPE_CHECKING:
    from fulmarleverd.scheduling.run_times.step_samples import StepSamples

# Weights of a sample above and below the current average of a step's speed. They differ
# so that the average follows the faster runs of the step.
FASTER_SAMPLE_WEIGHT = 0.3
SLOWER_SAMPLE_WEIGHT = 0.05
# How long a task avoids a worker on which it failed or was too slow. Other workers are
# free for it at once; if there are none, it must not stand still for much longer.
AVOIDANCE_S = 2.0


class JobState(StrEnum):
    """The state of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class Ticket:
    """The decision of the admission service on a step and one incarnation of a worker.

    An empty ``text`` forbids the worker for good; otherwise a start carries the text.
    ``valid_until_s`` is on the owner's clock.
    """

    __slots__ = ("text", "valid_until_s")

    def __init__(self, text: str, valid_until_s: float) -> None:
        self.text = text
        self.valid_until_s = valid_until_s


class Task:
    """One task of a step of an occurrence.

    ``last_run`` is the number of its last run, 0 before the first; ``runs`` are its
    active runs by number, two while a copy runs beside a slow run. ``checkpoint`` names
    the last checkpoint, if any. ``avoided_until_s`` maps the ids of workers on which
    the task failed or was too slow to the end of its avoidance on the owner's clock.
    ``lost_when_behind_s`` sums the seconds of the runs that were moved because they
    were far behind their estimate. ``crashes`` counts the workers that crashed under a
    run of the task which may be the cause, ``unproven_crashes`` those that crashed when
    it may have had no run there: its start had no answer, or the lease of its run had
    expired. ``isolation_wanted_s`` is since when it waits for a worker of its own, on
    the owner's clock, 0 if it does not.
    """

    __slots__ = (
        "step",
        "index",
        "is_done",
        "failures",
        "last_run",
        "checkpoint",
        "runs",
        "avoided_until_s",
        "lost_when_behind_s",
        "crashes",
        "unproven_crashes",
        "isolation_wanted_s",
    )

    def __init__(self, step: Step, index: int) -> None:
        self.step = step
        self.index = index
        self.is_done = False
        self.failures = 0
        self.last_run = 0
        self.checkpoint = ""
        self.runs: dict[int, Run] = {}
        self.avoided_until_s: dict[str, float] = {}
        self.lost_when_behind_s = 0.0
        self.crashes = 0
        self.unproven_crashes = 0
        self.isolation_wanted_s = 0.0

    @property
    def is_crash_suspect(self) -> bool:
        """Return whether the task may have crashed a worker."""
        return self.crashes + self.unproven_crashes > 0

    @property
    def name(self) -> str:
        """Return the name by which workers know the task."""
        return f"{self.step.name}.{self.index}"

    @property
    def is_waiting(self) -> bool:
        """Return whether the task is not done and has no run."""
        return not self.is_done and not self.runs

    @property
    def is_running(self) -> bool:
        """Return whether a worker has accepted or reported one of the runs."""
        return any(run.state is RunState.RUNNING for run in self.runs.values())

    def avoid(self, worker_id: str, now_s: float) -> None:
        """Keep the task from a worker for a while."""
        self.avoided_until_s[worker_id] = now_s + AVOIDANCE_S

    def avoids(self, worker_id: str, now_s: float) -> bool:
        """Return whether the task avoids a worker at a time."""
        return now_s < self.avoided_until_s.get(worker_id, 0.0)

    def avoids_any(self, now_s: float) -> bool:
        """Return whether the task avoids any worker at a time."""
        return any(now_s < until_s for until_s in self.avoided_until_s.values())

    def add_run(self, worker_key: WorkerKey, number: int = 0) -> Run:
        """Add a planned run, by default under the next number."""
        self.last_run = number or self.last_run + 1
        run = Run(self, self.last_run, worker_key)
        self.runs[run.number] = run
        return run


class Step:
    """One step of one occurrence of a job.

    ``waiting`` are the tasks that need a run, by index; ``unfinished_tasks`` counts the
    tasks that are not done. ``speed`` is the usual speed of the step's runs, in shares
    of their work per second, from ``speed_samples`` samples; 0 before the first.
    ``samples`` is what the runs have shown about the run time, if anything.
    ``tickets`` are the decisions of the admission service so far.
    """

    __slots__ = (
        "job",
        "occurrence",
        "number",
        "spec",
        "tasks",
        "waiting",
        "unfinished_tasks",
        "speed",
        "speed_samples",
        "samples",
        "tickets",
    )

    def __init__(self, job: Job, occurrence: int, number: int, spec: StepSpec) -> None:
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec = spec
        self.tasks = [Task(self, index) for index in range(spec.count)]
        self.waiting: dict[int, Task] = dict(enumerate(self.tasks))
        self.unfinished_tasks = spec.count
        self.speed = 0.0
        self.speed_samples = 0
        self.samples: StepSamples | None = None
        self.tickets: dict[WorkerKey, Ticket] = {}

    @property
    def name(self) -> str:
        """Return the name by which the admission service knows the step."""
        return f"{self.job.id}.{self.occurrence}.{self.number}"

    @property
    def is_done(self) -> bool:
        """Return whether every task is done."""
        return self.unfinished_tasks == 0

    @property
    def job_id(self) -> str:
        """Return the id of the step's job."""
        return self.job.id

    @property
    def done_tasks(self) -> int:
        """Return the number of tasks that are done."""
        return len(self.tasks) - self.unfinished_tasks

    @property
    def share_placed(self) -> float:
        """Return the share of the tasks that have a run or are done."""
        return 1.0 - len(self.waiting) / len(self.tasks)

    def refresh(self, task: Task) -> None:
        """Update the waiting tasks after a change of one task."""
        if task.is_waiting:
            self.waiting[task.index] = task
        else:
            self.waiting.pop(task.index, None)

    def complete(self, task: Task) -> None:
        """Mark a task as done."""
        if not task.is_done:
            task.is_done = True
            self.unfinished_tasks -= 1
            self.job.unfinished_steps -= self.unfinished_tasks == 0
        self.refresh(task)

    def add_speed_sample(self, speed: float) -> None:
        """Add a run's speed, in shares of its work per second, to the average."""
        self.speed_samples += 1
        if self.speed_samples == 1:
            self.speed = speed
        weight = FASTER_SAMPLE_WEIGHT if speed > self.speed else SLOWER_SAMPLE_WEIGHT
        self.speed += weight * (speed - self.speed)


class Job:
    """An accepted job and its progress.

    ``accepted_s`` is the Unix time of the daemon that accepted it, ``since_s`` the same
    moment on the owner's clock. ``occurrences`` are the steps of the occurrences that
    are due and have not ended, by number, ``ended_occurrences`` the numbers of those
    that have. ``next_occurrence`` is the first one that this owner has not yet opened,
    though an earlier owner may have. ``unfinished_steps`` counts the steps
    of all occurrences that are not done. ``has_begun`` is set once a worker says that
    it has started a run, and ``is_begin_stored`` once the stored progress tells so.
    ``first_start_s`` and ``last_start_s`` are when this owner first and last learned of
    such a start, ``last_end_s`` is when it last learned that a run is gone, 0 for
    never, and ``final_at_s`` when the job ended, all on the owner's clock; ``cause`` is
    why it ended. ``last_run`` is the run that this owner assigned last.
    ``interrupted_runs`` counts the runs at work that this owner stopped or lost.

    ``size_class`` is the class of the job's size among the jobs of its queue, from 0
    for small, ``is_outcome_counted`` whether its outcome is counted for that class, and
    ``is_size_underserved`` whether jobs of its class complete in time less often than
    others, so that it goes before them. From an age of ``hard_deadline_s`` seconds on,
    completing the job is of no use.

    ``progress_parts`` counts the rows beside the progress row that hold its value.
    """

    __slots__ = (
        "id",
        "spec",
        "queue",
        "accepted_s",
        "since_s",
        "occurrences",
        "ended_occurrences",
        "next_occurrence",
        "unfinished_steps",
        "is_cancelled",
        "has_failed",
        "has_begun",
        "is_begin_stored",
        "first_start_s",
        "last_start_s",
        "last_end_s",
        "last_run",
        "interrupted_runs",
        "final_at_s",
        "cause",
        "size_class",
        "is_outcome_counted",
        "is_size_underserved",
        "hard_deadline_s",
        "progress_parts",
    )

    def __init__(self, row: JobRow) -> None:
        self.id = row.spec.id
        self.spec = row.spec
        self.queue = row.queue
        self.accepted_s = row.accepted_s
        self.since_s = 0.0
        self.occurrences: dict[int, list[Step]] = {}
        self.ended_occurrences = NumberRanges()
        self.next_occurrence = 0
        self.unfinished_steps = row.spec.occurrences * len(row.spec.steps)
        self.is_cancelled = False
        self.has_failed = False
        self.has_begun = False
        self.is_begin_stored = False
        self.first_start_s = 0.0
        self.last_start_s = 0.0
        self.last_end_s = 0.0
        self.last_run: Run | None = None
        self.interrupted_runs = 0
        self.final_at_s = 0.0
        self.cause = ""
        self.size_class = 0
        self.is_outcome_counted = False
        self.is_size_underserved = False
        self.hard_deadline_s = 0.0
        self.progress_parts = 0

    @property
    def state(self) -> JobState:
        """Return the state of the job as callers see it."""
        if self.is_cancelled:
            return JobState.CANCELLED
        if self.has_failed:
            return JobState.FAILED
        if self.is_complete:
            return JobState.COMPLETED
        return JobState.RUNNING if self.has_begun else JobState.QUEUED

    @property
    def is_final(self) -> bool:
        """Return whether the job has ended, so that its state stays."""
        return self.is_cancelled or self.has_failed or self.is_complete

    @property
    def is_complete(self) -> bool:
        """Return whether every task of every occurrence is done."""
        return self.unfinished_steps == 0

    def steps(self) -> Iterator[Step]:
        """Yield the steps of all occurrences that exist so far."""
        for steps in self.occurrences.values():
            yield from steps

    def tasks(self) -> Iterator[Task]:
        """Yield the tasks of all occurrences that exist so far."""
        for step in self.steps():
            yield from step.tasks

    def runs(self) -> Iterator[Run]:
        """Yield every active run."""
        for task in self.tasks():
            yield from task.runs.values()

    @property
    def has_runs(self) -> bool:
        """Return whether any task has a run."""
        return any(step.unfinished_tasks > len(step.waiting) for step in self.steps())

    @property
    def run_count(self) -> int:
        """Return how many tasks have a run."""
        return sum(step.unfinished_tasks - len(step.waiting) for step in self.steps())

    @property
    def idle_since_s(self) -> float:
        """Return since when the job has had no run, if it has none.

        The result is on the owner's clock.
        """
        return max(self.since_s, self.last_start_s, self.last_end_s)

    def open_occurrence(self, occurrence: int) -> list[Step]:
        """Return the steps of an occurrence, created by the first call."""
        if occurrence not in self.occurrences:
            self.occurrences[occurrence] = [
                Step(self, occurrence, number, spec)
                for number, spec in enumerate(self.spec.steps)
            ]
        return self.occurrences[occurrence]

    def skip_known_occurrences(self) -> None:
        """Move the next occurrence to the first that is neither open nor has ended."""
        while self.next_occurrence < self.spec.occurrences:
            first = self.ended_occurrences.first_missing(self.next_occurrence)
            self.next_occurrence = first
            if first not in self.occurrences:
                return
            self.next_occurrence += 1

    def retire_occurrences(self) -> None:
        """Forget the tasks of the occurrences that have ended."""
        ended = [number for number, steps in self.occurrences.items() if _ended(steps)]
        for number in ended:
            del self.occurrences[number]
            self.ended_occurrences.add(number)

    def restore_ended_occurrences(self, ended: NumberRanges) -> None:
        """Set the occurrences that ended under earlier owners."""
        self.ended_occurrences = ended
        self.unfinished_steps -= len(ended) * len(self.spec.steps)

    @property
    def tasks_per_occurrence(self) -> int:
        """Return the number of tasks that each occurrence has."""
        return sum(step.count for step in self.spec.steps)

    @property
    def open_tasks(self) -> int:
        """Return how many tasks the occurrences so far have."""
        return sum(len(step.tasks) for step in self.steps())

    @property
    def waiting_tasks(self) -> int:
        """Return how many tasks of the occurrences so far neither run nor are done."""
        return sum(len(step.waiting) for step in self.steps())

    def sort_occurrences(self) -> None:
        """Put the occurrences in order, so that the earliest one comes first."""
        self.occurrences = dict(sorted(self.occurrences.items()))

    def ready_steps(self) -> Iterator[Step]:
        """Yield the steps with waiting tasks that depend on no unfinished step."""
        if self.is_final:
            return
        for steps in self.occurrences.values():
            for step in steps:
                if step.waiting and self.may_begin(step):
                    yield step

    def may_begin(self, step: Step) -> bool:
        """Return whether all steps are done that one of the job's steps waits for."""
        steps = self.occurrences[step.occurrence]
        return all(steps[number].is_done for number in step.spec.after)


def _ended(steps: list[Step]) -> bool:
    """Return whether all tasks of an occurrence are done and nothing of them runs."""
    return all(step.is_done for step in steps) and not any(
        task.runs for step in steps for task in step.tasks
    )
