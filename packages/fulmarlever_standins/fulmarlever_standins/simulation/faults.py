"""Random faults: each kind is a coroutine in a registry that ends with the fault."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from fulmarlever.registry import Registry
from fulmarlever_standins.authority.network import STORE_ADDRESS
from fulmarlever_standins.simulation.simulation import RESTART_S, Simulation

Fault = Callable[["Simulation"], Coroutine]
FAULTS: Registry[Fault] = Registry("fault")

DRAIN_S = 4.0
HEARTBEAT_S = 1.1


@FAULTS.register("owner killed")
async def kill_owner(sim: Simulation) -> None:
    """Kill the owner; its daemon starts again later."""
    owner = sim.cluster.owner()
    if owner is None:
        return
    sim.cluster.daemons.pop(owner.vm, None)
    owner.kill_nowait()
    await asyncio.sleep(sim.rng.uniform(0.5, 3.5))
    sim.cluster.add_daemons(owner.vm)


@FAULTS.register("owner killed as a run ends")
async def kill_owner_at_an_end(sim: Simulation) -> None:
    """Kill the owner at the moment at which the next run ends."""
    await sim.wait_for_end()
    await kill_owner(sim)


@FAULTS.register("owners killed in turn")
async def kill_owners(sim: Simulation) -> None:
    """Kill the owner, and the next one as it takes over."""
    for _ in range(2):
        await kill_owner(sim)
        await asyncio.sleep(sim.rng.choice((0.05, 0.5, 2.0)))


@FAULTS.register("owner cut from the store")
async def cut_owner(sim: Simulation) -> None:
    """Cut the owner off from the store for a while."""
    owner = sim.cluster.owner()
    if owner is not None:
        await _cut(sim, [owner.vm], [STORE_ADDRESS], sim.rng.uniform(0.5, 4.0))


@FAULTS.register("owner refused")
async def refuse_owner(sim: Simulation) -> None:
    """Let the store refuse the owner for a while."""
    owner = sim.cluster.owner()
    if owner is None:
        return
    sim.cluster.network.refused_vms.add(owner.vm)
    await asyncio.sleep(sim.rng.uniform(0.5, 4.0))
    sim.cluster.network.refused_vms.discard(owner.vm)


@FAULTS.register("workers cut off")
async def cut_workers(sim: Simulation) -> None:
    """Cut some workers off from all daemons, for longer than their leases at times."""
    addresses = [worker.address for worker in sim.draw_workers()]
    seconds = sim.rng.choice((0.5, 2.0, 5.0, 12.0))
    await _cut(sim, list(sim.cluster.daemons), addresses, seconds)


async def _cut(
    sim: Simulation, vms: list[str], addresses: list[str], seconds: float
) -> None:
    cuts = {(vm, address) for vm in vms for address in addresses}
    sim.cluster.network.cuts |= cuts
    await asyncio.sleep(seconds)
    sim.cluster.network.cuts -= cuts


@FAULTS.register("workers crash")
async def crash_workers(sim: Simulation) -> None:
    """Crash some workers, which answer nothing or refuse, and come back anew."""
    for worker in sim.draw_workers():
        sim.crash(worker, is_silent=sim.rng.random() < 0.7)
    await asyncio.sleep(RESTART_S)


@FAULTS.register("crash waves")
async def crash_in_waves(sim: Simulation) -> None:
    """Crash some workers again and again."""
    for _ in range(5):
        await crash_workers(sim)
        await asyncio.sleep(0.5)


@FAULTS.register("workers restart under their ids")
async def restart_workers(sim: Simulation) -> None:
    """Let workers start again at once, with an entry that comes later at times."""
    for worker in sim.draw_workers():
        sim.restart(worker, sim.rng.choice((0.003, 0.4)))


@FAULTS.register("workers fail")
async def fail_tasks(sim: Simulation) -> None:
    """Let some workers fail all that they start, the only one with a label at times."""
    await _mark(sim, sim.failing, sim.rng.choice((1.0, 6.5)))


@FAULTS.register("workers stand still")
async def stall_tasks(sim: Simulation) -> None:
    """Let the tasks that some workers start make no progress."""
    await _mark(sim, sim.stalling, sim.rng.choice((1.0, 4.0)))


async def _mark(sim: Simulation, marked: set[str], seconds: float) -> None:
    ids = {worker.id for worker in sim.draw_workers()}
    marked |= ids
    await asyncio.sleep(seconds)
    marked -= ids


@FAULTS.register("answers lost")
async def lose_answers(sim: Simulation) -> None:
    """Lose the answers to some transactions."""
    sim.cluster.network.lose_answers += sim.rng.randint(1, 4)


@FAULTS.register("transactions late")
async def delay_transactions(sim: Simulation) -> None:
    """Let some transactions take effect late and without an answer."""
    sim.cluster.network.late_transactions += sim.rng.randint(1, 2)


@FAULTS.register("starts late")
async def delay_starts(sim: Simulation) -> None:
    """Let some starts take effect late and without an answer."""
    sim.cluster.network.late_starts += sim.rng.randint(1, 6)


@FAULTS.register("store down")
async def stop_store(sim: Simulation) -> None:
    """Let the store answer nobody for a while."""
    sim.cluster.network.is_store_down = True
    await asyncio.sleep(sim.rng.uniform(0.5, 4.0))
    sim.cluster.network.is_store_down = False


@FAULTS.register("history dropped")
async def drop_history(sim: Simulation) -> None:
    """Drop the store's history of changes."""
    sim.cluster.network.store.drop_history()


@FAULTS.register("other writer")
async def write_entries(sim: Simulation) -> None:
    """Write entries under the keys of workers that another writer got wrong."""
    wrong = sim.rng.choice(
        (
            {"born": None},
            {"born": 0},
            {"state": "odd"},
            {"capacity": None},
            {"zone": 3},
            {"state": "draining", "slots": None, "version": None, "sequence": None},
        )
    )
    workers = sim.draw_workers()
    for _ in range(4):
        for worker in workers:
            entry = {**worker.entry(), **wrong}
            entry = {key: value for key, value in entry.items() if value is not None}
            sim.cluster.network.store.put_json("servers", worker.id, entry)
        await asyncio.sleep(HEARTBEAT_S / 2)
        for worker in workers:
            if sim.is_running(worker):
                sim.cluster.network.add_worker(worker)
        await asyncio.sleep(HEARTBEAT_S / 2)


@FAULTS.register("worker leaves")
async def drain_worker(sim: Simulation) -> None:
    """Drain one worker, which is gone afterwards; another one comes."""
    worker = sim.rng.choice(sim.workers())
    worker.state = "draining"
    sim.cluster.network.add_worker(worker)
    await asyncio.sleep(DRAIN_S)
    if sim.is_running(worker):
        sim.leave(worker)
