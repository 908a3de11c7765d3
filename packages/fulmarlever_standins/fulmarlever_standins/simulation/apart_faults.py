"""Faults that are drawn apart, each kind with a generator of its own.

So a kind added here changes neither the jobs nor the other faults that a seed draws.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import TYPE_CHECKING

from fulmarlever.registry import Registry
from fulmarlever_standins.simulation.calm import SETTLED_AFTER_S
from fulmarlever_standins.simulation.plan_parts import MAX_SEED, PlannedJob

if TYPE_CHECKING:
    from fulmarlever_standins.simulation.runner import Simulation

ApartFault = Callable[["Simulation", Random], Coroutine]
APART_FAULTS: Registry[ApartFault] = Registry("fault drawn apart")
# Jobs of callers, which disturb neither the store nor a worker: the checks of calm
# parts go on.
CALM_FAULTS = frozenset({"jobs never done", "cancelled while uncertain"})
ZONES = ("x", "y", "z")
EVACUATION = "zone evacuated"
# Half of a surrogate pair, a line end, digits and letters beyond ASCII.
ODD_TEXTS = ("\udc9a", "a\r\nb", "\u0661\u0662", "w\u00f6rker", " ", "\x00", "x" * 300)
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


@APART_FAULTS.register("entries unreadable")
async def write_odd_text(sim: Simulation, rng: Random) -> None:
    """Write entries with text that nobody can use, as other workers' or of new ones.

    Those under the ids of workers are gone with the workers' next heartbeats.
    """
    for _ in range(rng.randint(1, 4)):
        worker = rng.choice(sim.workers())
        entry = worker.entry()
        field, text = rng.choice(TEXT_FIELDS), rng.choice(ODD_TEXTS)
        port = f":{rng.randrange(1, 1 << 16)}"
        odd = {"labels": [text, "r1"], "address": text + port}.get(field, text)
        key = rng.choice((worker.id, f"other-{rng.randrange(9)}", text))
        sim.cluster.network.store.put_json("servers", key, {**entry, field: odd})
        await asyncio.sleep(rng.choice((0.1, 1.1)))
        if key == worker.id and sim.is_running(worker):
            sim.cluster.network.add_worker(worker)
