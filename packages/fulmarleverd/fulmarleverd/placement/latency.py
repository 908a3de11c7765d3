"""Latencies of backend servers, gathered from the daemons of a zone."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from fulmarlever.exceptions import KernelError
from fulmarleverd.kernel import Kernel
from fulmarleverd.requests.metrics import REQUEST_SECONDS

TOPIC = "latency"

TAIL = 0.99
"""The fraction of answers that the tail latency covers."""

LONGEST_TAIL_S = 60.0
"""The tail reported for answers beyond the last bucket."""


@dataclass(slots=True, frozen=True)
class LatencyReading:
    """One server: the mean latency, the estimated tail and the slots in use."""

    latency_s: float
    tail_s: float
    in_use: int


class LatencyFeed:
    """The latencies of one daemon, for its peers, and the view of all of them."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.own: dict[str, Any] = {"servers": {}, "tails": {}}
        self._counts: dict[tuple[str, str], float] = {}

    def refresh(self) -> None:
        """Measure this daemon's values and publish them to the peers."""
        self.own = self._sample()
        try:
            self.kernel.find("membership").publish(TOPIC, self.own)
        except (KernelError, AttributeError):
            return

    def _sample(self) -> dict[str, Any]:
        """Return this daemon's mean latencies by server and tails by service."""
        try:
            pool = self.kernel.find("slots").pool
        except (KernelError, AttributeError):
            return {"servers": {}, "tails": {}}
        servers = {
            share.server.name: [round(share.latency_s, 4), share.in_use]
            for service in pool.services()
            for share in pool.of_service(service)
            if share.limit
        }
        return {"servers": servers, "tails": self._tails()}

    def readings(self) -> dict[str, LatencyReading]:
        """Return the zone's servers with what all daemons measured."""
        samples = [self.own, *self._views()]
        tails: dict[str, float] = {}
        servers: dict[str, list[tuple[float, int]]] = {}
        for sample in samples:
            for service, tail_s in sample["tails"].items():
                tails[service] = max(tails.get(service, 0.0), tail_s)
            for name, (latency_s, in_use) in sample["servers"].items():
                servers.setdefault(name, []).append((latency_s, in_use))
        return dict(_combine(servers, tails))

    def _views(self) -> Iterator[dict[str, Any]]:
        try:
            yield from self.kernel.find("membership").view(TOPIC).values()
        except (KernelError, AttributeError):
            return

    def _tails(self) -> dict[str, float]:
        """Return the tail of the answers since the last call, by service."""
        buckets: dict[str, list[tuple[float, float]]] = {}
        for family in REQUEST_SECONDS.collect():
            for sample in family.samples:
                if not sample.name.endswith("_bucket"):
                    continue
                service, bound = sample.labels["service"], sample.labels["le"]
                before = self._counts.get((service, bound), 0.0)
                self._counts[service, bound] = sample.value
                new = (float(bound), sample.value - before)
                buckets.setdefault(service, []).append(new)
        return {s: tail for s, b in buckets.items() if (tail := _tail(b)) > 0}


def _tail(buckets: list[tuple[float, float]]) -> float:
    """Return the upper bound of the bucket that holds the tail, in seconds."""
    total = max((count for _, count in buckets), default=0.0)
    if total <= 0:
        return 0.0
    bound = next(b for b, count in sorted(buckets) if count >= TAIL * total)
    return min(bound, LONGEST_TAIL_S)


def _combine(
    servers: Mapping[str, list[tuple[float, int]]], tails: Mapping[str, float]
) -> Iterator[tuple[str, LatencyReading]]:
    means = {
        name: sum(latency_s for latency_s, _ in values) / len(values)
        for name, values in servers.items()
    }
    by_service: dict[str, list[float]] = {}
    for name, mean_s in means.items():
        by_service.setdefault(service_of(name), []).append(mean_s)
    for name, values in servers.items():
        service = service_of(name)
        typical_s = sum(by_service[service]) / len(by_service[service])
        ratio = means[name] / typical_s if typical_s else 1.0
        tail_s = tails.get(service, 0.0) * ratio
        yield name, LatencyReading(means[name], tail_s, sum(used for _, used in values))


def service_of(server: str) -> str:
    """Return the service of a server's name, ``service/index.attempt``."""
    return server.rpartition("/")[0]
