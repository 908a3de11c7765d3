"""A fault of the soak in which calls for a worker's former life reach the next one."""

from __future__ import annotations

import asyncio
from random import Random

from fulmarlever_standins.authority.network import (
    START_PATH,
    WORKER_PATHS,
    LateCalls,
)
from fulmarlever_standins.relay import LinkMode
from fulmarlever_standins.soak.deployment import Deployment, SoakDaemon
from fulmarlever_standins.soak.faults import restart

MIN_LATE_S = 2.0
MAX_LATE_S = 12.0
MAX_WORKERS = 2
MAX_LATE_CALLS = 6
MAX_DOWN_S = 1.0
# The longest cut is longer than the longest lease of a worker.
CUTS_S = (0.0, 4.0, 12.0, 12.0)
# So long are the tasks that a worker starts after its return; longer than a lease.
LONG_TASK_S = 12.0
TASK_S = 0.5
MAX_KILL_DELAY_S = 4.0


async def return_workers(deployment: Deployment, rng: Random) -> str:
    """Crash workers that return under their ids, while calls to them arrive late.

    They are cut off from all daemons soon after each return at times, for longer than
    their leases at times, and the owner is killed meanwhile at times. It ends once all
    late calls have arrived. It is drawn apart from ``FAULTS``, so that a seed draws the
    same other faults with and without it.
    """
    names = rng.sample(sorted(deployment.workers), rng.randint(1, MAX_WORKERS))
    addresses = [deployment.workers[name].address for name in names]
    late = LateCalls((), addresses=addresses)
    deployment.network.late_calls.append(late)
    for _ in range(rng.randint(1, 4)):
        _delay_next_calls(late, rng)
        await asyncio.sleep(rng.uniform(0.0, 3.0))
        rngs = [Random(rng.random()) for _ in names]
        await asyncio.gather(
            *(
                _return(deployment, own_rng, name)
                for own_rng, name in zip(rngs, names, strict=True)
            )
        )
    deployment.network.late_calls.remove(late)
    await asyncio.sleep(MAX_LATE_S)
    return " ".join(names)


def _delay_next_calls(late: LateCalls, rng: Random) -> None:
    """Draw how late the next calls are: calls of all kinds, or starts alone."""
    late.paths = rng.choice((WORKER_PATHS, (START_PATH,)))
    count = rng.randint(0, MAX_LATE_CALLS)
    late.delays_s = [rng.uniform(MIN_LATE_S, MAX_LATE_S) for _ in range(count)]


async def _return(deployment: Deployment, rng: Random, name: str) -> None:
    """Crash one worker, let it return within a second, and cut it off at times."""
    worker = deployment.workers[name]
    if deployment.network.workers.get(worker.address) is not worker:
        return
    deployment.crash_worker(name)
    await asyncio.sleep(rng.choice((0.0, rng.uniform(0.0, MAX_DOWN_S))))
    deployment.restart_worker(name)
    returned = deployment.workers[name]
    task_s = rng.choice((TASK_S, LONG_TASK_S))
    returned.task_duration_s = lambda task: task_s
    await asyncio.sleep(rng.choice((0.0, 0.01, 0.3, 1.0)))
    await _cut_off(deployment, rng, name, rng.choice(CUTS_S))
    returned.task_duration_s = lambda task: TASK_S


async def _cut_off(
    deployment: Deployment, rng: Random, name: str, seconds: float
) -> None:
    """Hold the connections of a worker, and kill the owner meanwhile at times."""
    link = deployment.worker_links[name]
    if not seconds or link.mode is not LinkMode.OPEN:
        return
    await link.switch(LinkMode.HOLD)
    killed_after_s = min(seconds, rng.uniform(0.0, MAX_KILL_DELAY_S))
    await asyncio.sleep(killed_after_s)
    if rng.random() < 0.3:
        await _restart_owner(deployment.find_owner())
    await asyncio.sleep(seconds - killed_after_s)
    await link.switch(LinkMode.OPEN)


async def _restart_owner(owner: SoakDaemon | None) -> None:
    """Kill the owner and start its process again, if no other fault holds it."""
    if owner is None or owner.has_active_fault:
        return
    owner.has_active_fault = True
    try:
        await owner.process.kill()
        await restart(owner)
    finally:
        owner.has_active_fault = False
