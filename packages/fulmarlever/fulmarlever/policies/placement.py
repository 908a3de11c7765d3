"""Policies that choose the worker of a task."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from fulmarlever.outcomes import Failure
from fulmarlever.registry import Registry
from fulmarlever.structure.size import DIMENSIONS, Size


class NoRoom(Failure):
    """No worker has room for a task now.

    ``dimensions`` counts, for each dimension, the workers that it ruled out.
    """

    __slots__ = ("dimensions",)

    def __init__(self, reason: str, dimensions: dict[str, int]) -> None:
        super().__init__(reason)
        self.dimensions = dimensions


@dataclass(slots=True)
class Room:
    """One worker with what is free on it.

    ``owners`` counts the tasks of each service and job on the worker, ``services``
    the instances of each service, and ``cores`` adds up what the tasks of each batch
    kind reserve.
    """

    worker: str
    rack: str
    size: Size
    free: Size
    owners: Counter[str] = field(default_factory=Counter)
    services: Counter[str] = field(default_factory=Counter)
    cores: Counter[str] = field(default_factory=Counter)

    def take(self, wanted: Wanted) -> None:
        """Reserve the size of a task."""
        self.free -= wanted.size
        self.owners[wanted.owner] += 1
        if wanted.is_service:
            self.services[wanted.kind] += 1
        else:
            self.cores[wanted.kind] += wanted.size.cores


@dataclass(slots=True, frozen=True)
class Wanted:
    """A task that looks for a worker.

    ``kind`` is the name of a service or the kind of a batch job. ``vms`` lists the
    workers that are allowed; an empty one allows all. ``avoid`` lists workers on
    which the task failed.
    """

    owner: str
    kind: str
    size: Size
    is_service: bool = False
    spread_racks: bool = False
    vms: frozenset[str] = frozenset()
    avoid: frozenset[str] = frozenset()


@dataclass(slots=True)
class Surroundings:
    """What a placement may look at besides the room itself.

    ``slowdown`` returns the expected relative slowdown of services by a placement,
    0 for none. ``is_blocked`` returns whether a room may not be used now. ``racks``
    counts the tasks of each (owner, rack).
    """

    is_blocked: Callable[[Wanted, Room], bool] = lambda wanted, room: False
    slowdown: Callable[[Wanted, Room], float] = lambda wanted, room: 0.0
    racks: Counter[tuple[str, str]] = field(default_factory=Counter)


Placement = Callable[[Wanted, Iterable[Room], Surroundings], "Room | NoRoom"]

PLACEMENTS: Registry[Placement] = Registry("placement policy")

SLOWDOWN_WEIGHT = 4.0
"""The score of a slowdown of 100 %, against 1 for a completely idle worker."""

RACK_WEIGHT = 2.0
"""The score of each task of the same owner in the same rack."""

OWNER_WEIGHT = 0.25
"""The score of each task of the same service on the same worker."""

AVOID_WEIGHT = 100.0
"""The score of a worker on which the task failed before."""


@PLACEMENTS.register("first-fit")
def place_first_fit(
    wanted: Wanted, rooms: Iterable[Room], around: Surroundings
) -> Room | NoRoom:
    """Return the first worker with room; the naive version."""
    missed: Counter[str] = Counter()
    for room in rooms:
        if not _is_allowed(wanted, room):
            continue
        if wanted.size.fits_in(room.free):
            return room
        missed.update(wanted.size.dimensions_exceeding(room.free))
    return _no_room(missed)


@PLACEMENTS.register("scored")
def place_scored(
    wanted: Wanted, rooms: Iterable[Room], around: Surroundings
) -> Room | NoRoom:
    """Return the worker with the lowest score among those with room.

    Batch tasks are packed, so that whole workers stay free for large tasks, as long
    as they do not slow services down. Service instances are spread over racks and
    workers.
    """
    missed: Counter[str] = Counter()
    best: Room | None = None
    best_score = 0.0
    for room in rooms:
        if not _is_allowed(wanted, room):
            continue
        if not wanted.size.fits_in(room.free):
            missed.update(wanted.size.dimensions_exceeding(room.free))
            continue
        if around.is_blocked(wanted, room):
            missed["interference"] += 1
            continue
        score = _score(wanted, room, around)
        if best is None or score < best_score:
            best, best_score = room, score
    return best or _no_room(missed)


def impossible_dimensions(size: Size, workers: Iterable[Size]) -> Iterator[str]:
    """Yield a phrase for each dimension in which a size can never be held.

    When every single dimension fits somewhere but no worker holds all of them, the
    phrase names the combination.
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


def _is_allowed(wanted: Wanted, room: Room) -> bool:
    return not wanted.vms or room.worker in wanted.vms


def _score(wanted: Wanted, room: Room, around: Surroundings) -> float:
    score = SLOWDOWN_WEIGHT * around.slowdown(wanted, room)
    if wanted.spread_racks:
        score += RACK_WEIGHT * around.racks[wanted.owner, room.rack]
    if room.worker in wanted.avoid:
        score += AVOID_WEIGHT
    free = _free_fraction(room)
    if wanted.is_service:
        return score + OWNER_WEIGHT * room.owners[wanted.owner] - free
    return score + free


def _free_fraction(room: Room) -> float:
    cores = room.free.cores / room.size.cores if room.size.cores else 0.0
    memory = room.free.memory_mib / room.size.memory_mib if room.size.memory_mib else 0
    return (cores + memory) / 2


def _no_room(missed: Counter[str]) -> NoRoom:
    if not missed:
        return NoRoom("no worker may be used", {})
    names = ", ".join(f"{name} on {count}" for name, count in missed.most_common())
    return NoRoom(f"no room: {names} workers", dict(missed))
