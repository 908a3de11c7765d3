"""Faults from outside the processes, drawn by a seed; each one ends by itself."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from random import Random

from fulmarlever.registry import Registry
from fulmarlever_standins.relay import Link, LinkMode
from fulmarlever_standins.soak.deployment import Deployment, SoakDaemon

Fault = Callable[[Deployment, Random], Awaitable[str]]
FAULTS: Registry[Fault] = Registry("fault of the soak")

MAX_FAULT_S = 4.0
MAX_DOWN_S = 3.0
STOP_LIMIT_S = 8.0
# Until then no code of the daemon runs, and any signal ends the process.
INTERPRETER_START_S = 0.4
# A worker's entry is removed after three missed heartbeats.
ENTRY_KEPT_S = 3.3


def pick_daemon(deployment: Deployment, dice: Random) -> SoakDaemon | None:
    """Return a daemon that no other fault has stopped, started or frozen."""
    free = [daemon for daemon in deployment.daemons if not daemon.is_in_use]
    return dice.choice(free) if free else None


async def use_process(
    deployment: Deployment, dice: Random, act: Callable[[SoakDaemon], Awaitable[None]]
) -> str:
    """Run a fault on the process of a daemon that has no other one."""
    daemon = pick_daemon(deployment, dice)
    if daemon is None:
        return "none"
    daemon.is_in_use = True
    try:
        await act(daemon)
    finally:
        daemon.is_in_use = False
    return daemon.name


async def start_again(daemon: SoakDaemon) -> None:
    """Start the process of a daemon, and wait until signals do it no harm."""
    await daemon.start()
    await asyncio.sleep(INTERPRETER_START_S)


@FAULTS.register("kill")
async def kill(deployment: Deployment, dice: Random) -> str:
    """Kill a daemon and start it again."""

    async def act(daemon: SoakDaemon) -> None:
        await daemon.process.kill()
        await asyncio.sleep(dice.uniform(0.0, MAX_DOWN_S))
        await start_again(daemon)

    return await use_process(deployment, dice, act)


@FAULTS.register("stop")
async def stop(deployment: Deployment, dice: Random) -> str:
    """Stop a daemon gracefully and start it again."""

    async def act(daemon: SoakDaemon) -> None:
        await daemon.process.stop(STOP_LIMIT_S)
        await start_again(daemon)

    return await use_process(deployment, dice, act)


@FAULTS.register("freeze")
async def freeze(deployment: Deployment, dice: Random) -> str:
    """Suspend a daemon for some time."""

    async def act(daemon: SoakDaemon) -> None:
        daemon.process.freeze()
        await asyncio.sleep(dice.uniform(0.1, MAX_FAULT_S))
        daemon.process.thaw()

    return await use_process(deployment, dice, act)


@FAULTS.register("reload")
async def reload(deployment: Deployment, dice: Random) -> str:
    """Change the settings file of a daemon and tell it so."""

    async def act(daemon: SoakDaemon) -> None:
        daemon.write_settings(dice.randint(4, 8))
        daemon.process.signal(signal.SIGHUP)

    return await use_process(deployment, dice, act)


@FAULTS.register("store-link")
async def disturb_store_link(deployment: Deployment, dice: Random) -> str:
    """Disturb the connections of one daemon to the store."""
    return await disturb(dice.choice(deployment.daemons).link, dice)


@FAULTS.register("worker-link")
async def disturb_worker_link(deployment: Deployment, dice: Random) -> str:
    """Disturb the connections of all daemons to one worker."""
    return await disturb(dice.choice(list(deployment.worker_links.values())), dice)


async def disturb(link: Link, dice: Random) -> str:
    """Put a link into a mode for some time, or reset its connections."""
    if link.mode is not LinkMode.OPEN:
        return "none"
    mode = dice.choice([mode for mode in LinkMode if mode is not LinkMode.OPEN])
    await link.switch(mode, dice.uniform(0.05, 0.8))
    await asyncio.sleep(dice.uniform(0.1, MAX_FAULT_S))
    await link.switch(LinkMode.OPEN)
    if dice.random() < 0.3:
        link.reset()
    return f"{link.name} {mode}"


@FAULTS.register("store-refuses")
async def refuse(deployment: Deployment, dice: Random) -> str:
    """Let the store answer 503 to some daemons."""
    count = dice.randint(1, len(deployment.daemons))
    names = {daemon.name for daemon in dice.sample(deployment.daemons, count)}
    deployment.network.refused_vms |= names
    await asyncio.sleep(dice.uniform(0.1, MAX_FAULT_S))
    deployment.network.refused_vms -= names
    return " ".join(sorted(names))


@FAULTS.register("store-silent")
async def silence_store(deployment: Deployment, dice: Random) -> str:
    """Let the store answer nothing."""
    deployment.network.is_store_down = True
    await asyncio.sleep(dice.uniform(0.1, MAX_FAULT_S))
    deployment.network.is_store_down = False
    return "all"


@FAULTS.register("lost-answers")
async def lose_answers(deployment: Deployment, dice: Random) -> str:
    """Lose the answers of some transactions, and carry others out late."""
    deployment.network.lose_answers += dice.randint(1, 8)
    deployment.network.late_transactions += dice.randint(0, 3)
    return "store"


@FAULTS.register("history")
async def drop_history(deployment: Deployment, dice: Random) -> str:
    """Let the store forget its history of changes."""
    deployment.network.store.drop_history()
    return "store"


@FAULTS.register("config")
async def change_config(deployment: Deployment, dice: Random) -> str:
    """Change the operator's configuration, once or in quick succession."""
    for _ in range(dice.choice((1, 1, 4))):
        deployment.change_config()
        await asyncio.sleep(0.05)
    return "operator"


@FAULTS.register("late-orders")
async def delay_orders(deployment: Deployment, dice: Random) -> str:
    """Leave some starts unanswered and carry them out late."""
    deployment.network.late_starts += dice.randint(1, 6)
    return "workers"


@FAULTS.register("worker-crash")
async def crash_worker(deployment: Deployment, dice: Random) -> str:
    """End a worker; it comes back under its id, before or after its entry is gone."""
    name = dice.choice(list(deployment.workers))
    if deployment.workers[name].address not in deployment.network.workers:
        return "none"
    deployment.crash_worker(name)
    down_s = dice.uniform(0.0, 2.0 * ENTRY_KEPT_S)
    await asyncio.sleep(min(down_s, ENTRY_KEPT_S))
    if down_s > ENTRY_KEPT_S:
        deployment.unlist_worker(name)
        await asyncio.sleep(down_s - ENTRY_KEPT_S)
    deployment.restart_worker(name)
    return name


@FAULTS.register("failing-worker")
async def fail_tasks(deployment: Deployment, dice: Random) -> str:
    """Let all that a worker starts fail, or stand still, for some time."""
    worker = dice.choice(list(deployment.workers.values()))
    if dice.random() < 0.5:
        worker.task_fails = lambda task: True
    else:
        worker.task_duration_s = lambda task: 60.0
    await asyncio.sleep(dice.uniform(0.1, MAX_FAULT_S))
    worker.task_fails = lambda task: False
    worker.task_duration_s = lambda task: 0.5
    return worker.id
