"""The faults of the soak test.

Each fault is registered under its name. It draws its details from a seeded generator,
ends by itself, and returns what it was applied to, or ``none``.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from random import Random

from fulmarlever.registry import Registry
from fulmarlever_standins.relay import Link, LinkMode
from fulmarlever_standins.soak.deployment import ZONES, Deployment, SoakDaemon

Fault = Callable[[Deployment, Random], Awaitable[str]]
FAULTS: Registry[Fault] = Registry("fault of the soak")

MAX_FAULT_DURATION_S = 4.0
MAX_DOWNTIME_S = 3.0
STOP_TIMEOUT_S = 8.0
# Longer than the bound from which nothing may begin in an evacuated zone.
MAX_EVACUATION_S = 9.0
# Before that, no code of the daemon runs and any signal ends the process.
INTERPRETER_START_S = 0.4
# A daemon short of processor time runs for a share of each of these turns.
STARVED_TURN_S = 0.1
MIN_CPU_SHARE = 0.1
MAX_CPU_SHARE = 0.5
# The platform removes a worker's entry after three missed heartbeats.
ENTRY_EXPIRY_S = 3.3


def pick_daemon(deployment: Deployment, rng: Random) -> SoakDaemon | None:
    """Return a random daemon whose process has no active fault, if there is one."""
    free = [daemon for daemon in deployment.daemons if not daemon.has_active_fault]
    return rng.choice(free) if free else None


async def inject_process_fault(
    deployment: Deployment, rng: Random, inject: Callable[[SoakDaemon], Awaitable[None]]
) -> str:
    """Apply a fault to the process of a random daemon that has no active fault.

    Return the daemon's name, or ``none`` if there is no such daemon.
    """
    daemon = pick_daemon(deployment, rng)
    if daemon is None:
        return "none"
    daemon.has_active_fault = True
    try:
        await inject(daemon)
    finally:
        daemon.has_active_fault = False
    return daemon.name


async def restart(daemon: SoakDaemon) -> None:
    """Start the process of a daemon and wait until the interpreter has started."""
    await daemon.start()
    await asyncio.sleep(INTERPRETER_START_S)


@FAULTS.register("kill")
async def kill(deployment: Deployment, rng: Random) -> str:
    """Kill a daemon and start it again."""

    async def inject(daemon: SoakDaemon) -> None:
        await daemon.process.kill()
        await asyncio.sleep(rng.uniform(0.0, MAX_DOWNTIME_S))
        await restart(daemon)

    return await inject_process_fault(deployment, rng, inject)


@FAULTS.register("stop")
async def stop(deployment: Deployment, rng: Random) -> str:
    """Stop a daemon gracefully and start it again."""

    async def inject(daemon: SoakDaemon) -> None:
        await daemon.process.stop(STOP_TIMEOUT_S)
        await restart(daemon)

    return await inject_process_fault(deployment, rng, inject)


@FAULTS.register("freeze")
async def freeze(deployment: Deployment, rng: Random) -> str:
    """Suspend a daemon for some time."""

    async def inject(daemon: SoakDaemon) -> None:
        daemon.process.freeze()
        await asyncio.sleep(rng.uniform(0.1, MAX_FAULT_DURATION_S))
        daemon.process.thaw()

    return await inject_process_fault(deployment, rng, inject)


async def starve(deployment: Deployment, rng: Random) -> str:
    """Let a daemon run for only a share of each short turn, for some seconds.

    It is drawn apart from ``FAULTS``, so that a seed draws the same other faults with
    and without it.
    """

    async def inject(daemon: SoakDaemon) -> None:
        running_s = STARVED_TURN_S * rng.uniform(MIN_CPU_SHARE, MAX_CPU_SHARE)
        turns = round(rng.uniform(0.5, MAX_FAULT_DURATION_S) / STARVED_TURN_S)
        for _ in range(turns):
            daemon.process.freeze()
            await asyncio.sleep(STARVED_TURN_S - running_s)
            daemon.process.thaw()
            await asyncio.sleep(running_s)

    return await inject_process_fault(deployment, rng, inject)


async def evacuate(deployment: Deployment, rng: Random) -> str:
    """Evacuate a zone for some seconds; take it back and ask again at times.

    It is drawn apart from ``FAULTS``, so that a seed draws the same other faults with
    and without it.
    """
    zone = rng.choice(ZONES)
    for _ in range(rng.choice((1, 1, 3))):
        if not deployment.evacuations.evacuate(zone):
            return "none"
        await asyncio.sleep(rng.uniform(0.0, MAX_EVACUATION_S))
        deployment.evacuations.restore(zone)
        await asyncio.sleep(rng.uniform(0.0, 0.2))
    return zone


@FAULTS.register("reload")
async def reload(deployment: Deployment, rng: Random) -> str:
    """Change the settings file of a daemon and send it SIGHUP."""

    async def inject(daemon: SoakDaemon) -> None:
        daemon.write_settings(rng.randint(4, 8))
        daemon.process.signal(signal.SIGHUP)

    return await inject_process_fault(deployment, rng, inject)


@FAULTS.register("store-link")
async def degrade_store_link(deployment: Deployment, rng: Random) -> str:
    """Degrade the connections of one daemon to the store."""
    return await degrade_link(rng.choice(deployment.daemons).link, rng)


@FAULTS.register("worker-link")
async def degrade_worker_link(deployment: Deployment, rng: Random) -> str:
    """Degrade the connections of all daemons to one worker."""
    return await degrade_link(rng.choice(list(deployment.worker_links.values())), rng)


async def degrade_link(link: Link, rng: Random) -> str:
    """Put a link into a random mode for some seconds.

    Some links also have their connections reset when the mode ends.
    """
    if link.mode is not LinkMode.OPEN:
        return "none"
    mode = rng.choice([mode for mode in LinkMode if mode is not LinkMode.OPEN])
    await link.switch(mode, rng.uniform(0.05, 0.8))
    await asyncio.sleep(rng.uniform(0.1, MAX_FAULT_DURATION_S))
    await link.switch(LinkMode.OPEN)
    if rng.random() < 0.3:
        link.reset()
    return f"{link.name} {mode}"


@FAULTS.register("store-refuses")
async def refuse_store_calls(deployment: Deployment, rng: Random) -> str:
    """Make the store answer 503 to some daemons."""
    count = rng.randint(1, len(deployment.daemons))
    names = {daemon.name for daemon in rng.sample(deployment.daemons, count)}
    deployment.network.refused_vms |= names
    await asyncio.sleep(rng.uniform(0.1, MAX_FAULT_DURATION_S))
    deployment.network.refused_vms -= names
    return " ".join(sorted(names))


@FAULTS.register("store-silent")
async def silence_store(deployment: Deployment, rng: Random) -> str:
    """Make the store leave all calls unanswered."""
    deployment.network.is_store_down = True
    await asyncio.sleep(rng.uniform(0.1, MAX_FAULT_DURATION_S))
    deployment.network.is_store_down = False
    return "all"


@FAULTS.register("lost-answers")
async def lose_answers(deployment: Deployment, rng: Random) -> str:
    """Lose the answers of some transactions and apply others late."""
    deployment.network.lose_answers += rng.randint(1, 8)
    deployment.network.late_transactions += rng.randint(0, 3)
    return "store"


@FAULTS.register("history")
async def drop_history(deployment: Deployment, rng: Random) -> str:
    """Make the store drop its history of changes."""
    deployment.network.store.drop_history()
    return "store"


@FAULTS.register("config")
async def change_config(deployment: Deployment, rng: Random) -> str:
    """Change the operator's configuration, once or in quick succession."""
    for _ in range(rng.choice((1, 1, 4))):
        deployment.change_config()
        await asyncio.sleep(0.05)
    return "operator"


@FAULTS.register("late-orders")
async def delay_orders(deployment: Deployment, rng: Random) -> str:
    """Leave some starts of runs unanswered and apply them late."""
    deployment.network.late_starts += rng.randint(1, 6)
    return "workers"


@FAULTS.register("worker-crash")
async def crash_worker(deployment: Deployment, rng: Random) -> str:
    """Crash a worker and restart it, before or after the removal of its entry."""
    name = rng.choice(list(deployment.workers))
    if deployment.workers[name].address not in deployment.network.workers:
        return "none"
    deployment.crash_worker(name)
    down_s = rng.uniform(0.0, 2.0 * ENTRY_EXPIRY_S)
    await asyncio.sleep(min(down_s, ENTRY_EXPIRY_S))
    if down_s > ENTRY_EXPIRY_S:
        deployment.remove_worker_entry(name)
        await asyncio.sleep(down_s - ENTRY_EXPIRY_S)
    deployment.restart_worker(name)
    return name


@FAULTS.register("failing-worker")
async def fail_tasks(deployment: Deployment, rng: Random) -> str:
    """Make the tasks that a worker starts fail, or take 60 s, for some seconds."""
    worker = rng.choice(list(deployment.workers.values()))
    if rng.random() < 0.5:
        worker.task_fails = lambda task: True
    else:
        worker.task_duration_s = lambda task: 60.0
    await asyncio.sleep(rng.uniform(0.1, MAX_FAULT_DURATION_S))
    worker.task_fails = lambda task: False
    worker.task_duration_s = lambda task: 0.5
    return worker.id
