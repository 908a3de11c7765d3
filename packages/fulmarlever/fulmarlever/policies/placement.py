"""Policies that choose the worker of a task."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from fulmarlever.outcomes import Failure
from fulmarlever.registry import Registry
from fulmarlever.structure.size import DIMENSIONS, Size


class InsufficientCapacity(Failure):
    """No worker has enough free capacity for a task now.

    ``dimensions`` counts, by dimension, the workers that have too little of it free.
    Workers on which batch work is blocked are counted under ``interference``.
    """

    __slots__ = ("dimensions",)

    def __init__(self, reason: str, dimensions: dict[str, int]) -> None:
        super().__init__(reason)
        self.dimensions = dimensions


@dataclass(slots=True)
class WorkerCapacity:
    """The total and the free capacity of one worker, and what uses it.

    ``size`` is the worker's capacity and ``free`` the part of it that a task may
    reserve; ``free`` has negative dimensions on an overcommitted worker.
    ``tasks_by_owner`` counts the tasks of each service and job on the worker,
    ``instances_by_service`` the instances of each service, and
    ``batch_cores_by_kind`` holds the cores reserved by the tasks of each batch kind.
    """

    worker: str
    rack: str
    size: Size
    free: Size
    tasks_by_owner: Counter[str] = field(default_factory=Counter)
    instances_by_service: Counter[str] = field(default_factory=Counter)
    batch_cores_by_kind: Counter[str] = field(default_factory=Counter)

    def reserve(self, requirements: TaskRequirements) -> None:
        """Reserve the capacity that a task requires."""
        self.free -= requirements.size
        self.tasks_by_owner[requirements.owner] += 1
        if requirements.is_service:
            self.instances_by_service[requirements.kind] += 1
        else:
            self.batch_cores_by_kind[requirements.kind] += requirements.size.cores


@dataclass(slots=True, frozen=True)
class TaskRequirements:
    """The requirements of a task that is to be placed on a worker.

    ``owner`` is the name of the service or job, ``kind`` the name of a service or the
    kind of a batch job. ``size`` is the capacity to reserve. ``spread_racks`` asks for
    as few tasks of the owner in one rack as possible. ``vms`` holds the names of the
    allowed workers; an empty set allows all. ``avoid`` holds the workers on which the
    task failed; they are used only when no other worker is possible.
    """

    owner: str
    kind: str
    size: Size
    is_service: bool = False
    spread_racks: bool = False
    vms: frozenset[str] = frozenset()
    avoid: frozenset[str] = frozenset()


@dataclass(slots=True)
class PlacementContext:
    """The inputs of a placement decision besides the candidate worker itself.

    ``is_blocked`` returns whether the task must not be placed on a worker now.
    ``slowdown`` returns the expected relative slowdown of services caused by a
    placement: 0.0 for none, 1.0 for doubled latency. ``racks`` counts tasks by
    (owner, rack).
    """

    is_blocked: Callable[[TaskRequirements, WorkerCapacity], bool] = (
        lambda requirements, candidate: False
    )
    slowdown: Callable[[TaskRequirements, WorkerCapacity], float] = (
        lambda requirements, candidate: 0.0
    )
    racks: Counter[tuple[str, str]] = field(default_factory=Counter)


Placement = Callable[
    [TaskRequirements, Iterable[WorkerCapacity], PlacementContext],
    "WorkerCapacity | InsufficientCapacity",
]

PLACEMENTS: Registry[Placement] = Registry("placement policy")

SLOWDOWN_WEIGHT = 4.0
"""The score of a slowdown of 100 %; the free fraction of a worker scores up to 1."""

RACK_WEIGHT = 2.0
"""The score added for each task of the same owner in the same rack."""

OWNER_WEIGHT = 0.25
"""The score added for each instance of the same service on the same worker."""

AVOID_WEIGHT = 100.0
"""The score added for a worker on which the task failed."""


@PLACEMENTS.register("first-fit")
def place_first_fit(
    requirements: TaskRequirements,
    candidates: Iterable[WorkerCapacity],
    context: PlacementContext,
) -> WorkerCapacity | InsufficientCapacity:
    """Return the first worker with enough free capacity; the naive baseline."""
    missed: Counter[str] = Counter()
    for candidate in candidates:
        if not _is_allowed(requirements, candidate):
            continue
        if requirements.size.fits_in(candidate.free):
            return candidate
        missed.update(requirements.size.dimensions_exceeding(candidate.free))
    return _insufficient_capacity(missed)


@PLACEMENTS.register("scored")
def place_scored(
    requirements: TaskRequirements,
    candidates: Iterable[WorkerCapacity],
    context: PlacementContext,
) -> WorkerCapacity | InsufficientCapacity:
    """Return the worker with the lowest score among those with enough free capacity.

    Batch tasks go to the fullest worker, so that whole workers stay free for large
    tasks, unless they would slow services down there. Service instances are spread
    over racks and workers.
    """
    missed: Counter[str] = Counter()
    best: WorkerCapacity | None = None
    best_score = 0.0
    for candidate in candidates:
        if not _is_allowed(requirements, candidate):
            continue
        if not requirements.size.fits_in(candidate.free):
            missed.update(requirements.size.dimensions_exceeding(candidate.free))
            continue
        if context.is_blocked(requirements, candidate):
            missed["interference"] += 1
            continue
        score = _score(requirements, candidate, context)
        if best is None or score < best_score:
            best, best_score = candidate, score
    return best or _insufficient_capacity(missed)


def impossible_dimensions(size: Size, workers: Iterable[Size]) -> Iterator[str]:
    """Yield a message for each dimension in which no worker is large enough.

    When each dimension fits on some worker but no worker has enough of all of them,
    the only message is about the combination.
    """
    sizes = list(workers)
    if not sizes:
        yield "workers: none may be used"
        return
    found = False
    for name in DIMENSIONS:
        largest = max(getattr(worker, name) for worker in sizes)
        if getattr(size, name) > largest:
            found = True
            yield f"{name}: {getattr(size, name):g} wanted, largest worker {largest:g}"
    if not found and not any(size.fits_in(worker) for worker in sizes):
        yield "combination: no single worker has all of the dimensions wanted"


def _is_allowed(requirements: TaskRequirements, candidate: WorkerCapacity) -> bool:
    return not requirements.vms or candidate.worker in requirements.vms


def _score(
    requirements: TaskRequirements, candidate: WorkerCapacity, context: PlacementContext
) -> float:
    score = SLOWDOWN_WEIGHT * context.slowdown(requirements, candidate)
    if requirements.spread_racks:
        score += RACK_WEIGHT * context.racks[requirements.owner, candidate.rack]
    if candidate.worker in requirements.avoid:
        score += AVOID_WEIGHT
    free = _free_fraction(candidate)
    if requirements.is_service:
        return (
            score + OWNER_WEIGHT * candidate.tasks_by_owner[requirements.owner] - free
        )
    return score + free


def _free_fraction(candidate: WorkerCapacity) -> float:
    cores = candidate.free.cores / candidate.size.cores if candidate.size.cores else 0.0
    memory = (
        candidate.free.memory_mib / candidate.size.memory_mib
        if candidate.size.memory_mib
        else 0
    )
    return (cores + memory) / 2


def _insufficient_capacity(missed: Counter[str]) -> InsufficientCapacity:
    if not missed:
        return InsufficientCapacity("no worker may be used", {})
    names = ", ".join(f"{name} on {count}" for name, count in missed.most_common())
    return InsufficientCapacity(f"no room: {names} workers", dict(missed))
