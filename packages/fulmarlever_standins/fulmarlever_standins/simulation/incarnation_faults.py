"""Faults drawn apart in which calls for a worker's former life reach the next one."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from random import Random

from fulmarlever_standins.authority.network import (
    START_PATH,
    WORKER_PATHS,
    LateCalls,
)
from fulmarlever_standins.authority.worker import WorkerCore
from fulmarlever_standins.simulation.apart_faults import APART_FAULTS
from fulmarlever_standins.simulation.plan_parts import MAX_SEED, PlannedJob
from fulmarlever_standins.simulation.simulation import Simulation

MIN_LATE_S = 2.0
MAX_LATE_S = 12.0
MAX_LATE_CALLS = 8
MAX_WORKERS = 3
MAX_DOWN_S = 1.0
# From the submission of a job to the crash: before, at or after the starts of runs.
UNTIL_CRASH_S = (0.0, 0.006, 0.3)
# For how long a worker that has returned answers; a report may or may not come first.
ANSWERING_S = (0.0, 0.006, 0.3, 1.5)
# Some are longer than the longest lease of a worker.
CUTS_S = (0.5, 4.0, 12.0, 12.0)
EVERYWHERE = ("long-running", "on every worker")
# Jobs submitted as the workers return: their runs outlast a cut, or end soon.
JOB_KINDS = (EVERYWHERE, EVERYWHERE, ("long-running",), ("slow",), ())


@APART_FAULTS.register("calls for a former life")
async def return_repeatedly(sim: Simulation, rng: Random) -> None:
    """Crash workers that return under their ids, while calls to them arrive late."""
    await _return_in_rounds(sim, rng, rounds=rng.randint(3, 6), cuts_s=(0.0,))


@APART_FAULTS.register("returned and cut off")
async def return_and_cut(sim: Simulation, rng: Random) -> None:
    """The same; no daemon reaches the workers from soon after each return.

    Some are cut off before their first report. The owner is killed at times.
    """
    await _return_in_rounds(sim, rng, rounds=rng.randint(1, 3), cuts_s=CUTS_S)


async def _return_in_rounds(
    sim: Simulation, rng: Random, rounds: int, cuts_s: tuple[float, ...]
) -> None:
    """Let the same workers return again and again.

    It ends once all late calls have arrived.
    """
    addresses = [worker.address for worker in sim.workers()]
    if not addresses:
        return
    addresses = rng.sample(addresses, min(len(addresses), rng.randint(1, MAX_WORKERS)))
    late = LateCalls((), addresses=addresses)
    sim.cluster.network.late_calls.append(late)
    for _ in range(rounds):
        await asyncio.sleep(rng.uniform(0.0, 3.0))
        _delay_next_calls(late, rng)
        is_sent_before = rng.random() < 0.5
        if is_sent_before:
            await _submit(sim, rng)
            await asyncio.sleep(rng.choice(UNTIL_CRASH_S))
        await asyncio.gather(
            *(_return(sim, Random(rng.random()), address) for address in addresses)
        )
        if not is_sent_before:
            await _submit(sim, rng)
        await asyncio.sleep(rng.choice(ANSWERING_S))
        await _cut_off(sim, rng, addresses, rng.choice(cuts_s))
    sim.cluster.network.late_calls.remove(late)
    await asyncio.sleep(MAX_LATE_S)


def _delay_next_calls(late: LateCalls, rng: Random) -> None:
    """Draw how late the next calls are: calls of all kinds, or starts alone."""
    late.paths = rng.choice((WORKER_PATHS, (START_PATH,)))
    count = rng.randint(0, MAX_LATE_CALLS)
    late.delays_s = [rng.uniform(MIN_LATE_S, MAX_LATE_S) for _ in range(count)]


async def _submit(sim: Simulation, rng: Random) -> None:
    """Submit a job to be placed on the workers that crash, or have returned."""
    features = rng.choice(JOB_KINDS)
    await sim.call(PlannedJob(0.0, rng.randrange(MAX_SEED), features))


async def _return(sim: Simulation, rng: Random, address: str) -> None:
    """Crash the worker at an address; it returns under its id within a second."""
    worker: WorkerCore | None = sim.cluster.network.workers.get(address)
    if worker is not None:
        down_s = rng.choice((0.0, rng.uniform(0.0, MAX_DOWN_S)))
        await sim.crash_and_return(worker, down_s, rng.choice((0.003, 0.4, 2.0)))


async def _cut_off(
    sim: Simulation, rng: Random, addresses: list[str], seconds: float
) -> None:
    """Cut workers off from all daemons, and kill the owner meanwhile at times."""
    cuts = {(vm, address) for vm in sim.cluster.daemons for address in addresses}
    sim.cluster.network.cuts |= cuts
    killed_after_s = rng.uniform(0.0, 4.0)
    with suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            if rng.random() < 0.3:
                await asyncio.sleep(killed_after_s)
                await _restart_owner(sim)
            await asyncio.Event().wait()
    sim.cluster.network.cuts -= cuts


async def _restart_owner(sim: Simulation) -> None:
    """Kill the owner; its daemon starts again at once."""
    owner = sim.cluster.owner()
    if owner is not None:
        sim.cluster.daemons.pop(owner.vm, None)
        owner.kill_nowait()
        sim.cluster.add_daemons(owner.vm)
