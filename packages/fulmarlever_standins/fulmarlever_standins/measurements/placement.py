"""Measurements of placement on simulated zones, printed as Markdown tables.

Run ``python -m fulmarlever_standins.measurements.placement [NAME...]``. Without names,
all of them run, one after the other in one process.
"""

from __future__ import annotations

import asyncio
import gc
import statistics
import sys
import time
import tracemalloc
from collections.abc import Iterator
from importlib import import_module

from loguru import logger as log

from fulmarlever.policies.placement import PlacementContext
from fulmarlever.structure.configuration import (
    Configuration,
    JobSpec,
    ServiceSpec,
    Urgency,
)
from fulmarlever.structure.size import Size
from fulmarlever_standins.measurements.tables import (
    MEASUREMENTS,
    print_head,
    print_row,
    print_table,
)
from fulmarlever_standins.measurements.zone_simulation import (
    PolicyVariant,
    ZoneSimulation,
)
from fulmarleverd.placement.quotas import ZoneQuotas

WORKER_SIZE = Size(32, 125000)
TASK_SIZE = Size(1, 2000)
FLEET_SIZES = (25, 35, 400, 1600)
TASKS_PER_WORKER = 20
REPEATS = 3

CHOSEN = PolicyVariant("chosen")
FIRST_FIT = PolicyVariant("first fit", placement="first-fit", order="submission")
NAIVE = PolicyVariant(
    "naive",
    "first-fit",
    "submission",
    "none",
    "declared",
    interference="none",
    evicts_from_workers=False,
)


def batch(name: str, tasks: int, **fields: object) -> JobSpec:
    """Return a job of small tasks that keep their checkpoints; ``fields`` override."""
    fields = {"team": "packing", "kind": name, "size": TASK_SIZE, **fields}
    return JobSpec(name, tasks=tasks, **fields)


@MEASUREMENTS.register("decisions")
async def measure_decisions() -> None:
    """Print the processor time of a start and the memory of a zone by fleet size."""
    head = ["workers", "policy", "choice, µs a start", "rounds, µs a start"]
    print_head(
        "Decisions: one zone, 20 tasks running on each worker; medians",
        [*head, "reports of one second, ms", "idle round, µs", "memory, MB"],
    )
    for workers in FLEET_SIZES:
        for variant in (FIRST_FIT, CHOSEN):
            print_row([workers, variant.name, *await _measure_fleet(workers, variant)])


async def _measure_fleet(workers: int, variant: PolicyVariant) -> Iterator[float]:
    simulation = ZoneSimulation(workers, WORKER_SIZE, variant)
    spec = batch("base", workers * TASKS_PER_WORKER, run_s=1e9)
    simulation.prefill(spec, TASKS_PER_WORKER)
    gc.collect()
    tracemalloc.start()
    await simulation.take_over(Configuration())
    await simulation.run(3)
    gc.collect()
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    choice_times, start_and_finish_times, idle_times = [], [], []
    for number in range(REPEATS):
        tasks = min(100, 2 * workers)
        choice_times.append(await _time_choice(simulation, f"probe{number}", tasks))
        start_and_finish_times.append(
            await _time_start_and_finish(simulation, f"whole{number}", tasks)
        )
        idle_times.append(await _time_idle(simulation))
    return (
        statistics.median(choice_times),
        statistics.median(start_and_finish_times),
        await _time_reports(simulation) / 1e3,
        statistics.median(idle_times),
        memory / 1e6,
    )


async def _time_choice(simulation: ZoneSimulation, name: str, tasks: int) -> float:
    """Return the microseconds of choosing a worker and reserving its capacity."""
    zone = simulation.daemon.placer.zone
    decide = zone.queue.decide
    spent: list[float] = []

    def timed(
        candidates: list, quotas: ZoneQuotas, context: PlacementContext
    ) -> Iterator:
        cpu_before_s = time.process_time()
        chosen = list(decide(candidates, quotas, context))
        if chosen:
            spent.append((time.process_time() - cpu_before_s) / len(chosen))
        return iter(chosen)

    zone.queue.decide = timed
    await simulation.submit(batch(name, tasks, run_s=1.0))
    await simulation.run(8)
    zone.queue.decide = decide
    return 1e6 * statistics.median(spent)


async def _time_start_and_finish(
    simulation: ZoneSimulation, name: str, tasks: int
) -> float:
    """Return the microseconds that one start and finish add to the placer's rounds."""
    placer = simulation.daemon.placer
    round_ = placer.round
    spent = 0.0

    async def timed() -> None:
        nonlocal spent
        cpu_before_s = time.process_time()
        await round_()
        spent += time.process_time() - cpu_before_s

    placer.round = timed
    steps = 8
    await simulation.run(steps)
    idle, spent = spent, 0.0
    await simulation.submit(batch(name, tasks, run_s=1.0))
    await simulation.run(steps)
    placer.round = round_
    return 1e6 * (spent - idle) / tasks


async def _time_reports(simulation: ZoneSimulation) -> float:
    """Return the microseconds of the first round after reports of all workers."""
    times = []
    for _ in range(4):
        simulation.cluster.clock.advance(1.0)
        await simulation.daemon.placer.step()
        await simulation.daemon.sync()
        cpu_before_s = time.process_time()
        await simulation.daemon.placer.round()
        times.append(time.process_time() - cpu_before_s)
    return 1e6 * statistics.mean(times)


async def _time_idle(simulation: ZoneSimulation) -> float:
    """Return the microseconds of a round that has nothing to do."""
    times = []
    for _ in range(20):
        cpu_before_s = time.process_time()
        await simulation.daemon.placer.zone.round(simulation.daemon.config.current())
        times.append(time.process_time() - cpu_before_s)
    return 1e6 * statistics.median(times)


@MEASUREMENTS.register("table")
async def measure_table() -> None:
    """Print the reads and writes of the table, when idle and per start and finish."""
    rows = []
    for workers in (25, 35, 178):
        simulation = ZoneSimulation(workers, WORKER_SIZE, CHOSEN)
        other = simulation.cluster.add_daemon("entry-a-2")
        await simulation.take_over(Configuration())
        await simulation.run(5)
        idle = await _count_table_calls(simulation, 60, None)
        observer = await _count_observer_reads(simulation, other, 60)
        tasks = workers * 10
        busy = await _count_table_calls(
            simulation, 60, batch("wave", tasks, run_s=20.0)
        )
        rows.append(
            [
                workers,
                idle[0] / 60,
                idle[1] / 60,
                observer,
                tasks,
                (busy[1] - idle[1]) / tasks,
                (busy[2] - idle[2]) / tasks,
            ]
        )
    print_table(
        "Table: one zone; starts and finishes of one wave of 20 s tasks",
        [
            "workers",
            "holder idle, reads a second",
            "holder idle, writes a second",
            "other daemon, reads a second",
            "tasks",
            "writes for a start and a finish",
            "rows for a start and a finish",
        ],
        rows,
    )


async def _count_table_calls(
    simulation: ZoneSimulation, seconds: int, spec: JobSpec | None
) -> tuple[int, int, int]:
    table = simulation.cluster.table
    before = (table.reads, table.writes, table.rows_written)
    if spec is not None:
        await simulation.submit(spec)
    lease_step = simulation.daemon.placer.step
    for second in range(seconds):
        # The lease is renewed every 2 s; a step of the simulation lasts 1 s.
        simulation.daemon.placer.step = lease_step if second % 2 else _skip_lease_step
        await simulation.step()
    simulation.daemon.placer.step = lease_step
    after = (table.reads, table.writes, table.rows_written)
    return tuple(b - a for a, b in zip(before, after, strict=True))


async def _skip_lease_step() -> None:
    return None


async def _count_observer_reads(
    simulation: ZoneSimulation, other: object, seconds: int
) -> float:
    before = simulation.cluster.table.reads
    for _ in range(seconds):
        await other.placer.lease.step()
    return (simulation.cluster.table.reads - before) / seconds


@MEASUREMENTS.register("sizes")
async def measure_sizes() -> None:
    """Print overruns and utilisation if tasks use 0.3 to 3 times their size."""
    variants = (
        NAIVE,
        PolicyVariant("declared, relieved", sizes="declared"),
        CHOSEN,
        PolicyVariant("chosen, unknown kinds times 3", unproven_factor=3.0),
    )
    rows = []
    for variant in variants:
        simulation = ZoneSimulation(35, WORKER_SIZE, variant)
        await simulation.take_over(Configuration())
        factors = (0.3, 0.5, 0.8, 1.0, 1.5, 2.0, 3.0)
        for number, factor in enumerate(factors):
            kind = f"kind{number}"
            simulation.usage_factor[kind] = factor
            size = Size(2, 6000)
            await simulation.submit(batch(kind, 300, kind=kind, size=size, run_s=40.0))
        await simulation.run(300)
        totals = simulation.totals
        rows.append(
            [
                variant.name,
                totals.overloaded_worker_s,
                100 * totals.overloaded_worker_s / (35 * 300),
                100 * totals.used_core_s / totals.capacity_core_s,
                totals.done_tasks,
            ]
        )
    print_table(
        "Sizes wrong by 0.3 to 3 times: 35 workers, 300 s, 7 kinds of 300 tasks",
        [
            "policy",
            "overrun, worker seconds",
            "of all, %",
            "cores used, %",
            "tasks done",
        ],
        rows,
    )


@MEASUREMENTS.register("floods")
async def measure_floods() -> None:
    """Print how a flood of batch work or of service instances affects other work.

    During the flood of batch, it measures the delay until urgent tasks start; during
    the flood of services, the cores that batch keeps.
    """
    rows = []
    for variant in (NAIVE, FIRST_FIT, CHOSEN):
        start_delays = await _flood_of_batch(variant)
        kept_core_share, running = await _flood_of_services(variant)
        rows.append(
            [
                variant.name,
                f"{len(start_delays)} of 40",
                statistics.median(start_delays) if start_delays else "-",
                max(start_delays) if start_delays else "-",
                100 * kept_core_share,
                running,
            ]
        )
    print_table(
        "Floods: 35 workers; batch of 5 times the fleet, then services of 2 times",
        [
            "policy",
            "urgent tasks started in 60 s",
            "median, s",
            "longest, s",
            "cores batch keeps in the flood of services, %",
            "instances running",
        ],
        rows,
    )


async def _flood_of_batch(variant: PolicyVariant) -> list[float]:
    simulation = ZoneSimulation(35, WORKER_SIZE, variant)
    await simulation.take_over(Configuration())
    for number in range(50):
        await simulation.submit(
            batch(f"flood{number}", 112, run_s=600, urgency=Urgency.LOW)
        )
    await simulation.run(30)
    for number in range(20):
        spec = batch(f"urgent{number}", 2, run_s=30, urgency=Urgency.CRITICAL)
        await simulation.submit(spec)
        await simulation.run(1, step_s=0.5)
    await simulation.run(40, step_s=0.5)
    return [
        start_s - simulation.submitted_s[name.rpartition("/")[0]]
        for name, start_s in simulation.started_s.items()
        if name.startswith("urgent")
    ]


async def _flood_of_services(variant: PolicyVariant) -> tuple[float, int]:
    simulation = ZoneSimulation(35, WORKER_SIZE, variant)
    await simulation.take_over(Configuration())
    await simulation.submit(batch("labels", 1120, run_s=1e6))
    await simulation.run(30)
    service = ServiceSpec("flood", "orders", instances=560, size=Size(4, 4000))
    await simulation.take_over(Configuration(services={"flood": service}))
    await simulation.run(60)
    cores, instances = 0.0, 0
    for worker in simulation.cluster.fleet.workers.values():
        for run in worker.running().values():
            instances += run.order.service is not None
            cores += 0.0 if run.order.service else run.order.size.cores
    return cores / (35 * WORKER_SIZE.cores), instances


async def main(names: list[str]) -> None:
    """Run the named measurements, by default all."""
    import_module("fulmarlever_standins.measurements.mixed")
    log.disable("fulmarleverd")
    for name in names or list(MEASUREMENTS):
        await MEASUREMENTS.find(name)()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
