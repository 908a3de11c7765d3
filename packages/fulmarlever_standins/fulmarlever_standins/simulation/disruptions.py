"""Faults drawn apart that disturb workers, their connections, daemons or the store."""

from __future__ import annotations

import asyncio
from random import Random

from fulmarlever_standins.simulation.apart_faults import APART_FAULTS, HEARTBEAT_S
from fulmarlever_standins.simulation.simulation import RESTART_S, Simulation
from fulmarleverd.scheduling.persistence.rows import PROGRESS_TABLE

POWER_LOSS = "power lost at the end"
# The store removes an entry after three missed heartbeats.
ENTRY_EXPIRY_S = 3.3
# Writes that are to be late are awaited for this long.
WRITE_TIMEOUT_S = 2.0
MAX_LATE_S = 6.0
# Capacity (thousandths of a core) and memory (MB) of workers of other kinds.
OTHER_KINDS = ((4_000, 16_000), (16_000, 256_000), (64_000, 128_000))
DEFAULT_CPU_M = 32_000
OTHER_LABELS = (["a", "r1-0"], ["a", "b", "c", "r1-1"], ["r1-2"])


@APART_FAULTS.register("workers cut from the store")
async def expire_entries(sim: Simulation, rng: Random) -> None:
    """Let the entries of some workers expire, which daemons still reach."""
    workers = rng.sample(sim.workers(), rng.randint(1, len(sim.workers())))
    await asyncio.sleep(ENTRY_EXPIRY_S)
    for worker in workers:
        sim.cluster.network.store.remove("servers", worker.id)
    await asyncio.sleep(rng.choice((0.1, 1.0, 4.0, 9.0)))
    # A worker that has restarted meanwhile writes its entry like any other.
    addresses = {worker.address for worker in workers}
    for worker in sim.workers():
        if worker.address in addresses:
            sim.cluster.network.add_worker(worker)


@APART_FAULTS.register("workers of another kind")
async def change_kinds(sim: Simulation, rng: Random) -> None:
    """Restart some workers with another capacity, and the same ones once more.

    Under their ids they have their labels, under others they may have other labels.
    """
    workers = rng.sample(sim.workers(), rng.randint(1, 3))
    addresses = [worker.address for worker in workers]
    traits = {address: sim.traits[address] for address in addresses}
    keeps_id = rng.random() < 0.5
    for kind in (rng.choice(OTHER_KINDS), None):
        for address in addresses:
            labels, memory_mb = traits[address]
            cpu_m, other_mb = kind or (DEFAULT_CPU_M, memory_mb)
            if kind and not keeps_id:
                labels = rng.choice(OTHER_LABELS)
            sim.traits[address] = (labels, other_mb)
            sim.cpu_m[address] = cpu_m
            await _begin_again(sim, address, keeps_id, rng.choice((0.003, 0.4)))
        await asyncio.sleep(rng.choice((0.5, 2.0, 6.0)))


async def _begin_again(
    sim: Simulation, address: str, keeps_id: bool, entry_delay_s: float
) -> None:
    """Restart the worker at an address, under its id or under another one."""
    worker = sim.cluster.network.workers.get(address)
    if worker is None:
        return
    if keeps_id:
        sim.restart(worker, entry_delay_s)
        return
    sim.crash(worker, is_silent=False)
    await asyncio.sleep(RESTART_S)


@APART_FAULTS.register("entries flap")
async def flap_entries(sim: Simulation, rng: Random) -> None:
    """Let some workers drain and be ready again, several times."""
    workers = rng.sample(sim.workers(), rng.randint(1, 4))
    for _ in range(rng.randint(1, 4)):
        for state in ("draining", "ready"):
            for worker in filter(sim.is_running, workers):
                worker.state = state
                sim.cluster.network.add_worker(worker)
            await asyncio.sleep(rng.choice((0.01, 0.3, 2.5)))


@APART_FAULTS.register("answers of workers lost")
async def lose_worker_answers(sim: Simulation, rng: Random) -> None:
    """Reset a daemon's connections to workers, or let no answer come back on them."""
    if not sim.cluster.daemons:
        return
    vm = rng.choice(sorted(sim.cluster.daemons))
    workers = rng.sample(sim.workers(), rng.randint(1, len(sim.workers())))
    pairs = {(vm, worker.address) for worker in workers}
    network = sim.cluster.network
    lost = rng.choice((network.resets, network.lost_answers))
    lost |= pairs
    await asyncio.sleep(rng.choice((0.05, 0.7, 3.0, 9.0)))
    lost -= pairs


@APART_FAULTS.register("clock stepped")
async def step_clock(sim: Simulation, rng: Random) -> None:
    """Step the time of day of a daemon, and back after a while."""
    if not sim.cluster.daemons:
        return
    daemon = sim.daemon(rng)
    sim.has_clock_steps = True
    daemon.clock.stepped_s = rng.choice((-5.0, -1.0, 0.4, 5.0))
    await asyncio.sleep(rng.choice((0.5, 3.0, 8.0)))
    daemon.clock.stepped_s = 0.0


@APART_FAULTS.register("owners killed beside a crash")
async def kill_owners_at_a_crash(sim: Simulation, rng: Random) -> None:
    """Crash workers and kill the owner, and the next one soon after it took over."""
    killed = []
    for worker in rng.sample(sim.workers(), rng.randint(1, 3)):
        sim.crash(worker, is_silent=rng.random() < 0.5)
    for _ in range(2):
        await asyncio.sleep(rng.choice((0.0, 0.1, 1.0)))
        while (owner := sim.cluster.owner()) is None and sim.cluster.daemons:
            await asyncio.sleep(0.05)
        if owner is not None:
            killed.append(owner.vm)
            sim.cluster.daemons.pop(owner.vm)
            owner.kill_nowait()
    await asyncio.sleep(rng.choice((0.5, 3.0)))
    sim.cluster.add_daemons(*killed)
    await asyncio.sleep(RESTART_S)


@APART_FAULTS.register("progress written late")
async def delay_progress(sim: Simulation, rng: Random) -> None:
    """Let some writes of the progress of jobs take effect late and unanswered."""
    late_rows = sim.cluster.network.late_rows
    late_rows[PROGRESS_TABLE] = [
        rng.uniform(1.0, MAX_LATE_S) for _ in range(rng.randint(1, 3))
    ]
    await asyncio.sleep(WRITE_TIMEOUT_S)
    late_rows.pop(PROGRESS_TABLE, None)
    await asyncio.sleep(MAX_LATE_S)


@APART_FAULTS.register(POWER_LOSS)
async def lose_power(sim: Simulation, rng: Random) -> None:
    """Kill all daemons at once, and crash all workers beside them at times."""
    vms = sorted(sim.cluster.daemons)
    for vm in vms:
        sim.cluster.daemons.pop(vm).kill_nowait()
    if rng.random() < 0.5:
        for worker in sim.workers():
            sim.crash(worker, is_silent=False)
    await asyncio.sleep(rng.uniform(RESTART_S, 2.0 * RESTART_S))
    sim.cluster.add_daemons(*vms)
    await asyncio.sleep(HEARTBEAT_S)
