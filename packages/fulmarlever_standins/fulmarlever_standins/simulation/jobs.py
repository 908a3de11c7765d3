"""Random jobs: each feature that a caller may ask for is a function in a registry."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from fulmarlever.registry import Registry
from fulmarlever_standins.authority.simulated_cluster import (
    LABELS_QUEUE,
    PLANS_QUEUE,
    TICKET_QUEUE,
)
from fulmarlever_standins.authority.virtual_time import START_UNIX_TIME_S
from fulmarleverd.scheduling.specs import JobSpec, QueueSpec, StepSpec

RARE_LABELS = ("b", "c")
LARGE_MEMORY_MB = 200_000
MAX_FEATURES = 3
ADVISED_QUEUE = replace(TICKET_QUEUE, max_attempts=3)


class DrawnJob:
    """A job under construction, and what its caller does with it.

    ``steps`` holds the fields of each step. ``cancel_after_s`` is when the caller
    cancels the job after its acceptance, ``None`` for never. A job that
    ``is_sent_again`` is submitted twice; the tasks of one that ``is_even`` take the
    same time, and those of one that ``is_never_done`` always fail. ``features`` names
    what has been drawn.
    """

    __slots__ = (
        "id",
        "rng",
        "now_s",
        "steps",
        "queue",
        "repetitions",
        "start_at_s",
        "interval_s",
        "cancel_after_s",
        "is_sent_again",
        "is_even",
        "is_never_done",
        "features",
    )

    def __init__(self, job_id: str, rng: Random, now_s: float) -> None:
        self.id = job_id
        self.rng = rng
        self.now_s = now_s
        self.steps: list[dict] = [
            {
                "count": rng.choice((1, 2, 3, 5, 8, 13, 36)),
                "cpu_m": rng.choice((100, 1000, 3100, 8000)),
                "memory_mb": rng.choice((100, 2000, 6000)),
                "estimate_s": rng.choice((0.3, 0.6, 1.7)),
            }
        ]
        self.queue: QueueSpec = rng.choice((LABELS_QUEUE, PLANS_QUEUE))
        self.repetitions = 0
        self.start_at_s = 0.0
        self.interval_s = 0.0
        self.cancel_after_s: float | None = None
        self.is_sent_again = False
        self.is_even = False
        self.is_never_done = False
        self.features: list[str] = []

    def set_all(self, **fields: object) -> None:
        """Set fields of all steps."""
        for step in self.steps:
            step.update(fields)

    def spec(self) -> JobSpec:
        """Return the specification of the job."""
        return JobSpec(
            self.id,
            "payload",
            tuple(StepSpec(**step) for step in self.steps),
            self.repetitions,
            self.start_at_s,
            self.interval_s,
        )


Feature = Callable[[DrawnJob], None]
FEATURES: Registry[Feature] = Registry("feature of a job")
# Not drawn; faults submit jobs with these.
APART_FEATURES: Registry[Feature] = Registry("feature of a job of a fault")


def draw_features(rng: Random) -> tuple[str, ...]:
    """Return the names of up to ``MAX_FEATURES`` features."""
    return tuple(rng.sample(list(FEATURES), rng.randint(0, MAX_FEATURES)))


def draw_job(
    job_id: str, features: tuple[str, ...], rng: Random, now_s: float
) -> DrawnJob:
    """Return a job with the given features, drawn in their order."""
    drawn = DrawnJob(job_id, rng, now_s)
    drawn.features = list(features)
    for name in features:
        registry = APART_FEATURES if name in list(APART_FEATURES) else FEATURES
        registry.find(name)(drawn)
    return drawn


@FEATURES.register("more steps")
def add_steps(job: DrawnJob) -> None:
    """Add a step that waits for the first one, and perhaps one that waits for both."""
    for number in range(1, job.rng.choice((2, 3))):
        step = {**job.steps[0], "count": job.rng.randint(1, 4)}
        job.steps.append({**step, "after": tuple(range(number))})


@FEATURES.register("wide")
def widen(job: DrawnJob) -> None:
    """Make a step so wide that a worker has more ends than a report holds."""
    count = job.rng.choice((200, 700, 1300))
    job.steps[0].update(count=count, cpu_m=20, memory_mb=10)
    job.repetitions = min(job.repetitions, 2)


@FEATURES.register("even")
def even_out(job: DrawnJob) -> None:
    """Let all tasks of a step take the same time, so that many end at once."""
    job.is_even = True


@FEATURES.register("slow")
def slow_down(job: DrawnJob) -> None:
    """Let few tasks take many cores for long, so that others wait for them."""
    job.set_all(count=job.rng.randint(1, 3), cpu_m=16_000, estimate_s=6.0)


@FEATURES.register("rare label")
def require_rare_label(job: DrawnJob) -> None:
    """Require a label that few workers have."""
    job.set_all(required_label=job.rng.choice(RARE_LABELS))


@FEATURES.register("large")
def enlarge(job: DrawnJob) -> None:
    """Require more memory than most workers have."""
    job.set_all(memory_mb=LARGE_MEMORY_MB, count=1)


@FEATURES.register("anti-affinity")
def limit_per_worker(job: DrawnJob) -> None:
    """Allow few tasks of a step on each worker."""
    job.set_all(max_per_worker=job.rng.randint(1, 2))
    job.steps[0]["count"] = min(job.steps[0]["count"], 8)


@FEATURES.register("copies")
def allow_copies(job: DrawnJob) -> None:
    """Allow speculative runs."""
    job.set_all(is_speculative=True)


@FEATURES.register("checkpoints")
def save_checkpoints(job: DrawnJob) -> None:
    """Let the tasks save checkpoints."""
    job.set_all(checkpoints=True)


@FEATURES.register("best effort")
def use_leftovers(job: DrawnJob) -> None:
    """Let the tasks use capacity that others leave."""
    job.set_all(is_best_effort=True)


@FEATURES.register("long-running")
def last(job: DrawnJob) -> None:
    """Let the tasks run until the job is cancelled."""
    del job.steps[1:]
    job.set_all(is_long_running=True, count=job.rng.randint(1, 4), cpu_m=1000)


@FEATURES.register("tickets")
def ask_for_tickets(job: DrawnJob) -> None:
    """Use a queue whose steps only some workers may run."""
    job.queue = ADVISED_QUEUE


@FEATURES.register("repetitions")
def repeat(job: DrawnJob) -> None:
    """Run the steps several times; some times may have passed, or overlap."""
    job.repetitions = job.rng.choice((2, 4, 12))
    job.interval_s = job.rng.choice((0.5, 2.0))
    begin_s = START_UNIX_TIME_S + job.now_s
    job.start_at_s = begin_s + job.rng.choice((-3600.0, -2.0, 1.0, 4.0))
    job.steps[0]["count"] = min(job.steps[0]["count"], 5)


@FEATURES.register("cancelled")
def cancel(job: DrawnJob) -> None:
    """Cancel the job at some moment."""
    job.cancel_after_s = job.rng.choice((0.0, 0.02, 0.5, 3.0))


@FEATURES.register("sent again")
def send_again(job: DrawnJob) -> None:
    """Submit the job a second time under its id."""
    job.is_sent_again = True


@APART_FEATURES.register("never done")
def fail_always(job: DrawnJob) -> None:
    """Let every run of the job fail."""
    job.is_never_done = True


@APART_FEATURES.register("on every worker")
def spread_out(job: DrawnJob) -> None:
    """Place one task on each of many workers."""
    job.set_all(max_per_worker=1, count=8)
