"""Faults that are drawn apart, each kind with a generator of its own.

So a kind added here changes neither the jobs nor the other faults that a seed draws.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from random import Random

from fulmarlever.registry import Registry
from fulmarlever_standins.simulation.calm import SETTLED_AFTER_S
from fulmarlever_standins.simulation.plan_parts import MAX_SEED, PlannedJob
from fulmarlever_standins.simulation.simulation import ZONES, Simulation

ApartFault = Callable[["Simulation", Random], Coroutine]
APART_FAULTS: Registry[ApartFault] = Registry("fault drawn apart")
# These disturb neither the store nor a connection, so the checks of calm parts go on.
CALM_FAULTS = frozenset(
    {
        "jobs never done",
        "cancelled while uncertain",
        "starts refused",
        "entries unreadable",
        "entries misdirected",
    }
)
HEARTBEAT_S = 1.1
EVACUATION = "zone evacuated"
# What no encoding can express, and texts that can be stored but not sent as they are.
HALF_PAIR = "\udc9a"
ODD_TEXTS = ("a\r\nb", "\u0661\u0662", "w\u00f6rker", " ", "\x00", "x" * 300)
# The workers with a rare label or much memory.
SPECIAL_ADDRESSES = ("w0:1", "w1:1", "w2:1")
TEXT_FIELDS = ("address", "service", "zone", "machine", "labels")


@APART_FAULTS.register(EVACUATION)
async def evacuate_zone(sim: Simulation, rng: Random) -> None:
    """Evacuate a zone for a while; take it back and ask again at times."""
    zone = rng.choice(ZONES)
    for _ in range(rng.choice((1, 1, 2, 3))):
        if not sim.evacuations.evacuate(zone):
            return
        # In sum short enough for the jobs of a play to end on the other zones' workers.
        await asyncio.sleep(rng.choice((0.01, 1.0, 6.5, 9.0)))
        sim.evacuations.restore(zone)
        await asyncio.sleep(rng.choice((0.001, 0.2, 2.0)))


@APART_FAULTS.register("jobs never done")
async def submit_failing_jobs(sim: Simulation, rng: Random) -> None:
    """Submit jobs that always fail, beside long-running ones, in a calm part."""
    await sim.calm.wait(SETTLED_AFTER_S)

    async def call(*features: str) -> None:
        await sim.call(PlannedJob(0.0, rng.randrange(MAX_SEED), features))

    await call("long-running", "on every worker")
    for _ in range(rng.choice((1, 1, 2, 5))):
        await call("never done")
    for _ in range(rng.randint(1, 4)):
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        await call(*rng.choice((("long-running",), ())))


@APART_FAULTS.register("cancelled while uncertain")
async def cancel_uncertain_job(sim: Simulation, rng: Random) -> None:
    """Cancel a job whose submission had no answer and takes effect sooner or later."""
    await sim.calm.wait(SETTLED_AFTER_S)
    for _ in range(rng.randint(1, 3)):
        features = rng.choice((("long-running",), (), ("wide",)))
        planned = PlannedJob(0.0, rng.randrange(MAX_SEED), features)
        job = sim.add_job(planned, rng)
        await sim.submit_late(job, rng, rng.uniform(2.5, 9.0))
        await asyncio.sleep(rng.choice((0.0, 0.5, 3.0)))
        await sim.cancel(job, rng)


@APART_FAULTS.register("starts refused")
async def refuse_starts(sim: Simulation, rng: Random) -> None:
    """Let workers refuse all starts, those with a rare label and memory at times."""
    await sim.calm.wait(SETTLED_AFTER_S)
    for _ in range(rng.randint(1, 2)):
        special = [w for w in sim.workers() if w.address in SPECIAL_ADDRESSES]
        ids = {w.id for w in rng.choice((special, special, sim.workers()))}
        sim.refusing |= ids
        for _ in range(rng.randint(1, 4)):
            features = rng.choice((("rare label",), ("large",), ("long-running",)))
            await sim.call(PlannedJob(0.0, rng.randrange(MAX_SEED), features))
        await asyncio.sleep(rng.uniform(1.0, 9.0))
        sim.refusing -= ids
        await asyncio.sleep(1.0)


@APART_FAULTS.register("entries unreadable")
async def write_odd_text(sim: Simulation, rng: Random) -> None:
    """Write entries with text that nobody can use, as other workers' or of new ones.

    Those under the ids of workers are gone with the workers' next heartbeats.
    """
    await sim.calm.wait(SETTLED_AFTER_S)
    for _ in range(rng.randint(2, 8)):
        odd_texts = rng.choice(((HALF_PAIR,), ODD_TEXTS))
        worker = rng.choice(sim.workers())
        entry = worker.entry()
        field, text = rng.choice(TEXT_FIELDS), rng.choice(odd_texts)
        port = f":{rng.randrange(1, 1 << 16)}"
        odd = {"labels": [text, "r1"], "address": text + port}.get(field, text)
        key = rng.choice((worker.id, f"other-{rng.randrange(9)}", text))
        sim.cluster.network.store.put_json("servers", key, {**entry, field: odd})
        await asyncio.sleep(rng.choice((0.1, 1.1)))
        if key == worker.id and sim.is_running(worker):
            sim.cluster.network.add_worker(worker)


@APART_FAULTS.register("entries misdirected")
async def write_wrong_addresses(sim: Simulation, rng: Random) -> None:
    """Write entries under workers' ids that lead elsewhere, or to another service.

    They stand until the workers' next heartbeats.
    """
    await sim.calm.wait(SETTLED_AFTER_S)
    for _ in range(rng.randint(1, 3)):
        workers = rng.sample(sim.workers(), rng.randint(1, len(sim.workers())))
        address = rng.choice((rng.choice(workers).address, "nobody:1"))
        fields = {"address": address, "service": "mail-desk"}
        kept = rng.choice((("address",), ("service",), ("address", "service")))
        wrong = {name: fields[name] for name in kept}
        for worker in workers:
            entry = {**worker.entry(), **wrong}
            sim.cluster.network.store.put_json("servers", worker.id, entry)
        await asyncio.sleep(HEARTBEAT_S)
        for worker in workers:
            if sim.is_running(worker):
                sim.cluster.network.add_worker(worker)
        await asyncio.sleep(HEARTBEAT_S)
