"""Faults drawn apart that strike owners of the lease one after the other."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from random import Random

from fulmarlever.registry import Registry
from fulmarlever_standins.authority.network import STORE_ADDRESS
from fulmarlever_standins.authority.simulated_cluster import Daemon
from fulmarlever_standins.simulation.apart_faults import APART_FAULTS
from fulmarlever_standins.simulation.simulation import Simulation

Strike = Callable[["Simulation", Daemon, float], Coroutine]
# What can happen to an owner; each ends when the owner is back.
STRIKES: Registry[Strike] = Registry("fault of an owner")

# With these, there are daemons enough that some are struck and others are not.
MORE_VMS = ("more-0", "more-1", "more-2", "more-3")
# How long an owner holds the lease before it is struck: less or more than it takes to
# read all jobs, or to publish something.
HELD_S = (0.0, 0.05, 0.15, 0.3, 0.45, 0.6)
DOWN_S = (0.5, 3.5)
OWNER_POLL_S = 0.01


@STRIKES.register("killed")
async def kill(sim: Simulation, owner: Daemon, seconds: float) -> None:
    """Kill an owner and start its daemon again later."""
    del sim.cluster.daemons[owner.vm]
    owner.kill_nowait()
    await asyncio.sleep(seconds)
    sim.cluster.add_daemons(owner.vm)


@STRIKES.register("cut from the store")
async def cut(sim: Simulation, owner: Daemon, seconds: float) -> None:
    """Cut an owner off from the store for a while."""
    pair = (owner.vm, STORE_ADDRESS)
    sim.cluster.network.cuts.add(pair)
    await asyncio.sleep(seconds)
    sim.cluster.network.cuts.discard(pair)


@STRIKES.register("refused by the store")
async def refuse(sim: Simulation, owner: Daemon, seconds: float) -> None:
    """Let the store refuse an owner for a while."""
    sim.cluster.network.refused_vms.add(owner.vm)
    await asyncio.sleep(seconds)
    sim.cluster.network.refused_vms.discard(owner.vm)


@APART_FAULTS.register("owners struck as they take over")
async def strike_owners(sim: Simulation, rng: Random) -> None:
    """Strike one owner after the other, each soon after it took the lease.

    The history of the store's changes is dropped between two of them at times.
    """
    new = [vm for vm in MORE_VMS if vm not in sim.cluster.daemons]
    sim.cluster.add_daemons(*new)
    kinds = rng.choice((["killed"], ["cut from the store"], list(STRIKES)))
    held_s = rng.choice(HELD_S)
    strikes = []
    for _ in range(rng.randint(3, 6)):
        owner = await _next_owner(sim)
        await asyncio.sleep(held_s)
        if sim.cluster.daemons.get(owner.vm) is not owner:
            continue
        strike = STRIKES.find(rng.choice(kinds))
        strikes.append(asyncio.create_task(strike(sim, owner, rng.uniform(*DOWN_S))))
        if rng.random() < 0.2:
            sim.cluster.network.store.drop_history()
        # The owner notices at its next call that it is struck.
        while owner.lease.is_valid and not strikes[-1].done():
            await asyncio.sleep(OWNER_POLL_S)
    await asyncio.gather(*strikes)


async def _next_owner(sim: Simulation) -> Daemon:
    while (owner := sim.cluster.owner()) is None:
        await asyncio.sleep(OWNER_POLL_S)
    return owner
