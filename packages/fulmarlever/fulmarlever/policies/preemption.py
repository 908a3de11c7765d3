"""Policies that choose batch tasks to evict for more urgent work."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from fulmarlever.registry import Registry
from fulmarlever.structure.configuration import Urgency
from fulmarlever.structure.size import Size


@dataclass(slots=True, frozen=True)
class Victim:
    """A batch task that may be evicted.

    ``key`` is the key of the task's row and ``size`` its reservation.
    ``keeps_progress`` tells whether the task resumes from a checkpoint.
    """

    key: str
    urgency: Urgency
    size: Size
    keeps_progress: bool = True


@dataclass(slots=True)
class PreemptionCandidate:
    """A worker with the capacity that will be free on it and its evictable tasks.

    ``free`` includes the reservations of tasks that are being stopped.
    """

    worker: str
    free: Size
    victims: list[Victim] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Eviction:
    """The tasks to evict from one worker so that a task fits.

    ``victims`` is empty when the capacity becomes free without an eviction.
    """

    worker: str
    victims: tuple[Victim, ...] = ()


Preemption = Callable[[Size, Iterable[PreemptionCandidate]], "Eviction | None"]

PREEMPTIONS: Registry[Preemption] = Registry("preemption policy")


@PREEMPTIONS.register("none")
def preempt_none(size: Size, workers: Iterable[PreemptionCandidate]) -> Eviction | None:
    """Evict nothing; the naive baseline."""
    return None


@PREEMPTIONS.register("least-loss")
def preempt_least_loss(
    size: Size, workers: Iterable[PreemptionCandidate]
) -> Eviction | None:
    """Return the eviction with the lowest cost, or ``None`` if a task fits nowhere.

    Evictions are compared by the highest urgency among their victims, then by the
    number of victims without a checkpoint, then by the number of victims.
    """
    best: Eviction | None = None
    best_cost: tuple[float, ...] = ()
    for worker in workers:
        victims = _victims(size, worker)
        if victims is None:
            continue
        cost = _cost(victims)
        if best is None or cost < best_cost:
            best, best_cost = Eviction(worker.worker, victims), cost
        if not victims:
            return best
    return best


def _victims(size: Size, worker: PreemptionCandidate) -> tuple[Victim, ...] | None:
    free = worker.free
    chosen: list[Victim] = []
    for victim in sorted(worker.victims, key=_loss):
        if size.fits_in(free):
            break
        chosen.append(victim)
        free += victim.size
    if not size.fits_in(free):
        return None
    return tuple(_needed(size, worker.free, chosen))


def _needed(size: Size, free: Size, chosen: list[Victim]) -> Iterable[Victim]:
    """Yield the chosen victims whose reservations are needed for the size to fit."""
    free_after = sum((victim.size for victim in chosen), free)
    for victim in reversed(chosen):
        if size.fits_in(free_after - victim.size):
            free_after -= victim.size
        else:
            yield victim


def _loss(victim: Victim) -> tuple[float, ...]:
    return (-victim.urgency, not victim.keeps_progress, -victim.size.cores)


def _cost(victims: tuple[Victim, ...]) -> tuple[float, ...]:
    most_urgent = max((-victim.urgency for victim in victims), default=-len(Urgency))
    lost = sum(not victim.keeps_progress for victim in victims)
    return (most_urgent, lost, len(victims))
