"""A fault of the soak that strikes owners of the lease soon after they took it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from fulmarlever.registry import Registry
from fulmarlever_standins.relay import LinkMode
from fulmarlever_standins.soak.deployment import Deployment, SoakDaemon
from fulmarlever_standins.soak.faults import restart

Strike = Callable[[SoakDaemon, float], Awaitable[None]]
# What can happen to an owner; each ends when the owner is back.
STRIKES: Registry[Strike] = Registry("fault of an owner")
HELD_S = (0.0, 0.1, 0.3, 0.45, 0.6)
STRIKES_IN_TURN = (3, 6)
# How many daemons are without a fault at any time, the owner included.
MIN_SOUND = 2
MIN_DOWN_S = 0.5
MAX_DOWN_S = 4.0
# Until then, the next owner has taken the lease if any daemon can.
TAKE_TIMEOUT_S = 5.0
POLL_S = 0.02


@STRIKES.register("killed")
async def kill(owner: SoakDaemon, seconds: float) -> None:
    """Kill an owner and start it again later."""
    await owner.process.kill()
    await asyncio.sleep(seconds)
    await restart(owner)


@STRIKES.register("suspended")
async def suspend(owner: SoakDaemon, seconds: float) -> None:
    """Suspend an owner for a while."""
    owner.process.freeze()
    await asyncio.sleep(seconds)
    owner.process.thaw()


@STRIKES.register("cut from the store")
async def cut(owner: SoakDaemon, seconds: float) -> None:
    """Hold the connections of an owner to the store for a while."""
    if owner.link.mode is LinkMode.OPEN:
        await owner.link.switch(LinkMode.HOLD)
        await asyncio.sleep(seconds)
        await owner.link.switch(LinkMode.OPEN)


async def strike_owners(deployment: Deployment, rng: Random) -> str:
    """Strike one owner after the other, each soon after its take.

    Some daemons are left alone. It is drawn apart from ``FAULTS``, so that a seed draws
    the same other faults with and without it.
    """
    held_s = rng.choice(HELD_S)
    strikes: list[asyncio.Task] = []
    struck: list[str] = []
    earlier: SoakDaemon | None = None
    for _ in range(rng.randint(*STRIKES_IN_TURN)):
        owner = await _next_owner(deployment, earlier)
        sound = [d for d in deployment.daemons if not d.has_active_fault]
        if owner not in sound or len(sound) <= MIN_SOUND:
            break
        await asyncio.sleep(held_s)
        kind = rng.choice(list(STRIKES))
        seconds = rng.uniform(MIN_DOWN_S, MAX_DOWN_S)
        strikes.append(asyncio.create_task(_strike(owner, kind, seconds)))
        struck.append(f"{owner.name} {kind}")
        earlier = owner
    await asyncio.gather(*strikes)
    return ", ".join(struck) or "none"


async def _strike(owner: SoakDaemon, kind: str, seconds: float) -> None:
    if owner.has_active_fault:
        return
    owner.has_active_fault = True
    try:
        await STRIKES.find(kind)(owner, seconds)
    finally:
        owner.has_active_fault = False


async def _next_owner(
    deployment: Deployment, earlier: SoakDaemon | None
) -> SoakDaemon | None:
    """Wait for an owner after an earlier one; return ``None`` if none comes."""
    until_s = asyncio.get_running_loop().time() + TAKE_TIMEOUT_S
    while asyncio.get_running_loop().time() < until_s:
        owner = deployment.find_owner()
        if owner is not None and owner is not earlier:
            return owner
        await asyncio.sleep(POLL_S)
    return None
