"""The measurement ``mixed``: services beside batch jobs that slow them down.

It simulates both users' sites with their numbers and sizes of workers.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from fulmarlever.policies.sizes import percentile
from fulmarlever.structure.configuration import Configuration, JobSpec, ServiceSpec
from fulmarlever.structure.size import Size
from fulmarlever_standins.measurements.tables import MEASUREMENTS, print_head, print_row
from fulmarlever_standins.measurements.zone_simulation import (
    PolicyVariant,
    ZoneSimulation,
)
from fulmarleverd.placement.latency import LatencyReading
from fulmarleverd.placement.metrics import EVICTIONS

DURATION_S = 400
LOAD_PERIOD_S = 200
LATENCY_LAG_S = 2
BASE_LATENCY_S = 0.030
LATENCY_TARGET_S = 0.25
TAIL_FACTOR = 2.5
SLOWDOWN_PER_CORE_SHARE = {"labels": 2.5, "blends": 0.8, "dryers": 0.05}
RESPONSES_PER_STEP = 5

USER_SITES = (
    ("Portland", 35, 35, Size(32, 125000)),
    ("Iceland", 25, 25, Size(64, 250000)),
)

VARIANTS = (
    PolicyVariant("first fit, no control", placement="first-fit", interference="none"),
    PolicyVariant("no control", interference="none"),
    PolicyVariant("static: 30 % for batch", interference="none", static_part=0.3),
    PolicyVariant("chosen"),
)


class MixedLoadSimulation(ZoneSimulation):
    """A zone whose services slow down with their load and with batch beside them."""

    def __init__(self, workers: int, size: Size, variant: PolicyVariant) -> None:
        super().__init__(workers, size, variant)
        self.latency_history: list[dict[str, LatencyReading]] = []
        self.on_latency = self._measure_latency

    def slot_share(self) -> float:
        """Return the share of its slots that each instance uses now, from 0 to 1."""
        phase = 2 * math.pi * self.cluster.clock.monotonic() / LOAD_PERIOD_S
        return 0.45 + 0.3 * math.sin(phase)

    def _measure_latency(self) -> Mapping[str, LatencyReading]:
        now: dict[str, LatencyReading] = {}
        slot_share = self.slot_share()
        for worker in self.cluster.fleet.workers.values():
            core_shares = self.batch_core_shares(worker)
            slowdown = 1 + sum(
                SLOWDOWN_PER_CORE_SHARE[kind] * core_share
                for kind, core_share in core_shares.items()
            )
            mean_s = BASE_LATENCY_S * (1 + 1.5 * slot_share) * slowdown
            for name, run in worker.running().items():
                if run.order.service is not None:
                    server = run.order.service["name"]
                    tail_s = TAIL_FACTOR * mean_s
                    now[server] = LatencyReading(mean_s, tail_s, round(8 * slot_share))
                    self._record_responses(mean_s, name)
        self.latency_history.append(now)
        return (
            self.latency_history[-LATENCY_LAG_S - 1]
            if len(self.latency_history) > LATENCY_LAG_S
            else {}
        )

    def _record_responses(self, mean_s: float, name: str) -> None:
        for _ in range(RESPONSES_PER_STEP):
            # The 99th percentile of this distribution is TAIL_FACTOR times the mean.
            sample_s = self.random.gammavariate(4.0, mean_s / 4.0)
            self.totals.latencies_s.append(sample_s)


@MEASUREMENTS.register("mixed")
async def measure_mixed() -> None:
    """Print tail latency, batch throughput, evictions and late tasks by policy."""
    print_head(
        f"Mixed load with interference: {DURATION_S} s, "
        f"target {1000 * LATENCY_TARGET_S:.0f} ms",
        [
            "user",
            "policy",
            "service p99, ms",
            "answers over the target, %",
            "batch tasks done",
            "evictions",
            "done after the deadline, %",
        ],
    )
    for user_site, workers, instances, size in USER_SITES:
        for variant in VARIANTS:
            print_row(
                [user_site, *await _measure_variant(workers, instances, size, variant)]
            )


async def _measure_variant(
    workers: int, instances: int, size: Size, variant: PolicyVariant
) -> list:
    simulation = MixedLoadSimulation(workers, size, variant)
    size_factor = size.cores / 32
    service = ServiceSpec(
        "intake",
        "orders",
        instances=instances,
        target_s=LATENCY_TARGET_S,
        size=Size(8 * size_factor, 16000),
    )
    evicted = EVICTIONS._value.get()
    await simulation.take_over(Configuration(services={"intake": service}))
    await simulation.run(5)
    await _submit_batch(simulation, workers, size_factor)
    await simulation.run(DURATION_S)
    totals = simulation.totals
    responses_over_target = sum(
        latency_s > LATENCY_TARGET_S for latency_s in totals.latencies_s
    )
    return [
        variant.name,
        1000 * percentile(totals.latencies_s, 0.99),
        100 * responses_over_target / len(totals.latencies_s),
        totals.done_tasks,
        int(EVICTIONS._value.get() - evicted),
        100 * totals.late_tasks / max(1, totals.done_tasks),
    ]


async def _submit_batch(
    simulation: ZoneSimulation, workers: int, size_factor: float
) -> None:
    now_s = simulation.cluster.clock.wall()
    for number in range(30):
        for kind in SLOWDOWN_PER_CORE_SHARE:
            spec = JobSpec(
                f"{kind}{number}",
                "packing",
                kind,
                tasks=workers,
                size=Size(2 * size_factor, 4000),
                run_s=60.0,
                deadline_s=now_s + 120 + 30 * number,
            )
            await simulation.submit(spec)
