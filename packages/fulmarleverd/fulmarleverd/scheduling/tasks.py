"""The state of accepted jobs: occurrences, steps, tasks and their runs."""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum

from fulmarleverd.scheduling.rows import JobRow
from fulmarleverd.scheduling.runs import Run, RunState, WorkerKey
from fulmarleverd.scheduling.specs import StepSpec

# Weights of a sample above and below the present mean: the speed of a step is that of
# its faster runs.
FAST_WEIGHT = 0.3
SLOW_WEIGHT = 0.05


class JobState(StrEnum):
    """What a caller is told about a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class Ticket:
    """What the admission service said of a step on one life of a worker.

    An empty ``text`` forbids the worker for good. ``valid_until_s`` is on the owner's
    clock.
    """

    __slots__ = ("text", "valid_until_s")

    def __init__(self, text: str, valid_until_s: float) -> None:
        self.text = text
        self.valid_until_s = valid_until_s


class Task:
    """One task of a step of an occurrence."""

    __slots__ = (
        "step",
        "index",
        "is_done",
        "failures",
        "last_run",
        "checkpoint",
        "runs",
        "avoid",
        "free_at_s",
        "moves_as_behind",
    )

    def __init__(self, step: Step, index: int) -> None:
        self.step = step
        self.index = index
        self.is_done = False
        self.failures = 0
        self.last_run = 0
        self.checkpoint = ""
        self.runs: dict[int, Run] = {}
        self.avoid: set[str] = set()
        self.free_at_s = 0.0
        # How often a run was stopped because it was far behind its estimate.
        self.moves_as_behind = 0

    @property
    def name(self) -> str:
        """Return the name that workers know the task by."""
        return f"{self.step.name}.{self.index}"

    @property
    def is_waiting(self) -> bool:
        """Return whether the task needs a run."""
        return not self.is_done and not self.runs

    @property
    def is_running(self) -> bool:
        """Return whether a worker has reported a run as present."""
        return any(run.state is RunState.RUNNING for run in self.runs.values())

    def add_run(self, worker_key: WorkerKey, number: int = 0) -> Run:
        """Add the next run of the task."""
        self.last_run = number or self.last_run + 1
        run = Run(self, self.last_run, worker_key)
        self.runs[run.number] = run
        return run


class Step:
    """One step of one occurrence of a job."""

    __slots__ = (
        "job",
        "occurrence",
        "number",
        "spec",
        "tasks",
        "waiting",
        "left",
        "speed",
        "speed_samples",
        "tickets",
    )

    def __init__(self, job: Job, occurrence: int, number: int, spec: StepSpec) -> None:
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec = spec
        self.tasks = [Task(self, index) for index in range(spec.count)]
        self.waiting: dict[int, Task] = dict(enumerate(self.tasks))
        self.left = spec.count
        self.speed = 0.0
        self.speed_samples = 0
        self.tickets: dict[WorkerKey, Ticket] = {}

    @property
    def name(self) -> str:
        """Return the name that the admission service knows the step by."""
        return f"{self.job.id}.{self.occurrence}.{self.number}"

    @property
    def is_done(self) -> bool:
        """Return whether every task has ended as done."""
        return self.left == 0

    @property
    def share_placed(self) -> float:
        """Return the share of the tasks that have a run or are done."""
        return 1.0 - len(self.waiting) / len(self.tasks)

    def refresh(self, task: Task) -> None:
        """Bring the set of waiting tasks up to date after a change of one task."""
        if task.is_waiting:
            self.waiting[task.index] = task
        else:
            self.waiting.pop(task.index, None)

    def complete(self, task: Task) -> None:
        """Take note that a task has ended as done."""
        if not task.is_done:
            task.is_done = True
            self.left -= 1
            self.job.unfinished -= self.left == 0
        self.refresh(task)

    def note_speed(self, speed: float) -> None:
        """Add the speed of a run, a share of its work a second, to the mean."""
        self.speed_samples += 1
        if self.speed_samples == 1:
            self.speed = speed
        weight = FAST_WEIGHT if speed > self.speed else SLOW_WEIGHT
        self.speed += weight * (speed - self.speed)

    def work_left_s(self) -> float:
        """Return the estimated core-seconds of the tasks that are not done."""
        return self.spec.work_s(self.left)


class Job:
    """An accepted job with everything that is known about its progress.

    ``accepted_s`` is the Unix time of the daemon that accepted it, ``since_s`` the same
    moment on the clock of the owner. ``unfinished`` counts the steps of all
    occurrences that are not done. ``size_class`` tells how large the job is among
    those of its queue, ``is_size_underserved`` whether jobs of that size are served
    less often than others, ``is_outcome_counted`` whether its outcome is counted there.
    ``hard_deadline_s`` is the age in seconds from which on it earns nothing.
    """

    __slots__ = (
        "id",
        "spec",
        "queue",
        "accepted_s",
        "since_s",
        "occurrences",
        "unfinished",
        "is_cancelled",
        "has_failed",
        "has_begun",
        "is_dirty",
        "final_at_s",
        "cause",
        "size_class",
        "is_outcome_counted",
        "is_size_underserved",
        "hard_deadline_s",
    )

    def __init__(self, row: JobRow) -> None:
        self.id = row.spec.id
        self.spec = row.spec
        self.queue = row.queue
        self.accepted_s = row.accepted_s
        self.since_s = 0.0
        self.occurrences: dict[int, list[Step]] = {}
        self.unfinished = row.spec.occurrences * len(row.spec.steps)
        self.is_cancelled = False
        self.has_failed = False
        self.has_begun = False
        self.is_dirty = False
        self.final_at_s = 0.0
        self.cause = ""
        self.size_class = 0
        self.is_outcome_counted = False
        self.is_size_underserved = False
        self.hard_deadline_s = 0.0

    @property
    def state(self) -> JobState:
        """Return what a caller may be told about the job."""
        if self.is_cancelled:
            return JobState.CANCELLED
        if self.has_failed:
            return JobState.FAILED
        if self.is_complete:
            return JobState.COMPLETED
        return JobState.RUNNING if self.has_begun else JobState.QUEUED

    @property
    def is_final(self) -> bool:
        """Return whether the state will never change again."""
        return self.is_cancelled or self.has_failed or self.is_complete

    @property
    def is_complete(self) -> bool:
        """Return whether every task of every occurrence has ended as done."""
        return self.unfinished == 0

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
        return any(step.left > len(step.waiting) for step in self.steps())

    def open_occurrence(self, occurrence: int) -> list[Step]:
        """Create the steps of an occurrence, once."""
        if occurrence not in self.occurrences:
            self.occurrences[occurrence] = [
                Step(self, occurrence, number, spec)
                for number, spec in enumerate(self.spec.steps)
            ]
        return self.occurrences[occurrence]

    def ready_steps(self) -> Iterator[Step]:
        """Yield the steps with waiting tasks whose earlier steps are all done."""
        if self.is_final:
            return
        for steps in self.occurrences.values():
            for step in steps:
                if step.waiting and all(steps[n].is_done for n in step.spec.after):
                    yield step
