"""Mixed load with interference on the sizes of both users."""

from __future__ import annotations

import math
from collections.abc import Mapping

from fulmarlever.policies.sizes import percentile
from fulmarlever.structure.configuration import Configuration, JobSpec, ServiceSpec
from fulmarlever.structure.size import Size
from fulmarlever_standins.measurements.site import Site, Variant
from fulmarlever_standins.measurements.tables import MEASUREMENTS, print_head, print_row
from fulmarleverd.placement.latency import LatencyReading
from fulmarleverd.placement.metrics import EVICTIONS

SECONDS = 400
PERIOD_S = 200
LAG_S = 2
BASE_S = 0.030
TARGET_S = 0.25
TAIL_FACTOR = 2.5
SLOWDOWNS = {"labels": 2.5, "blends": 0.8, "dryers": 0.05}
ANSWERS_PER_STEP = 5

SITES = (
    ("Portland", 35, 35, Size(32, 125000)),
    ("Iceland", 25, 25, Size(64, 250000)),
)

VARIANTS = (
    Variant("first fit, no control", placement="first-fit", interference="none"),
    Variant("no control", interference="none"),
    Variant("static: 30 % for batch", interference="none", static_part=0.3),
    Variant("chosen"),
)


class MixedSite(Site):
    """A site whose services slow down by load and by the batch beside them."""

    def __init__(self, workers: int, size: Size, variant: Variant) -> None:
        super().__init__(workers, size, variant)
        self.past: list[dict[str, LatencyReading]] = []
        self.on_latency = self._measure

    def load(self) -> float:
        """Return the part of its slots that each instance uses now."""
        phase = 2 * math.pi * self.cluster.clock.monotonic() / PERIOD_S
        return 0.45 + 0.3 * math.sin(phase)

    def _measure(self) -> Mapping[str, LatencyReading]:
        now: dict[str, LatencyReading] = {}
        load = self.load()
        for worker in self.cluster.fleet.workers.values():
            parts = self.pressures(worker)
            slowdown = 1 + sum(SLOWDOWNS[kind] * p for kind, p in parts.items())
            mean_s = BASE_S * (1 + 1.5 * load) * slowdown
            for name, run in worker.running().items():
                if run.order.service is not None:
                    server = run.order.service["name"]
                    tail_s = TAIL_FACTOR * mean_s
                    now[server] = LatencyReading(mean_s, tail_s, round(8 * load))
                    self._answer(mean_s, name)
        self.past.append(now)
        return self.past[-LAG_S - 1] if len(self.past) > LAG_S else {}

    def _answer(self, mean_s: float, name: str) -> None:
        for _ in range(ANSWERS_PER_STEP):
            # The 99th percentile of this distribution is TAIL_FACTOR times the mean.
            draw = self.random.gammavariate(4.0, mean_s / 4.0)
            self.totals.latencies_s.append(draw)


@MEASUREMENTS.register("mixed")
async def measure_mixed() -> None:
    """Measure tail latency, batch throughput, evictions and deadlines."""
    print_head(
        f"Mixed load with interference: {SECONDS} s, target {1000 * TARGET_S:.0f} ms",
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
    for place, workers, instances, size in SITES:
        for variant in VARIANTS:
            print_row([place, *await _run(workers, instances, size, variant)])


async def _run(workers: int, instances: int, size: Size, variant: Variant) -> list:
    site = MixedSite(workers, size, variant)
    unit = size.cores / 32
    service = ServiceSpec(
        "intake",
        "orders",
        instances=instances,
        target_s=TARGET_S,
        size=Size(8 * unit, 16000),
    )
    evicted = EVICTIONS._value.get()
    await site.begin(Configuration(services={"intake": service}))
    await site.run(5)
    await _submit_batch(site, workers, unit)
    await site.run(SECONDS)
    totals = site.totals
    over = sum(latency_s > TARGET_S for latency_s in totals.latencies_s)
    return [
        variant.name,
        1000 * percentile(totals.latencies_s, 0.99),
        100 * over / len(totals.latencies_s),
        totals.done,
        int(EVICTIONS._value.get() - evicted),
        100 * totals.late / max(1, totals.done),
    ]


async def _submit_batch(site: Site, workers: int, unit: float) -> None:
    now_s = site.cluster.clock.wall()
    for number in range(30):
        for kind in SLOWDOWNS:
            spec = JobSpec(
                f"{kind}{number}",
                "packing",
                kind,
                tasks=workers,
                size=Size(2 * unit, 4000),
                run_s=60.0,
                deadline_s=now_s + 120 + 30 * number,
            )
            await site.submit(spec)
