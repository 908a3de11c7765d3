"""Latencies of backend servers, measured by the daemons and shared among them."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from fulmarlever.exceptions import KernelError
from fulmarleverd.kernel import Kernel
from fulmarleverd.requests.metrics import REQUEST_SECONDS

TOPIC = "latency"

TAIL_QUANTILE = 0.99
"""The quantile that is reported as the tail latency."""

MAX_TAIL_S = 60.0
"""The tail latency reported when it lies beyond the last finite histogram bucket."""


@dataclass(slots=True, frozen=True)
class LatencyReading:
    """The mean latency, estimated tail latency and slots in use of one server."""

    latency_s: float
    tail_s: float
    in_use: int


class LatencyFeed:
    """Publishes this daemon's latencies to its peers and combines those of all daemons.

    ``own`` is the last published sample: ``servers`` maps a server name to its mean
    latency in seconds and its slots in use, ``tails`` a service to its tail latency in
    seconds.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.own: dict[str, Any] = {"servers": {}, "tails": {}}
        self._counts: dict[tuple[str, str], float] = {}

    def refresh(self) -> None:
        """Take a sample of this daemon's latencies and publish it to the peers."""
        self.own = self._sample()
        try:
            self.kernel.find("membership").publish(TOPIC, self.own)
        except (KernelError, AttributeError):
            return

    def _sample(self) -> dict[str, Any]:
        """Return mean latencies by server and tail latencies by service, in seconds."""
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
        """Return a reading for each server name, combined from all daemons.

        A server's mean latency is averaged over the daemons and its slots in use are
        added up. Its tail is the largest tail of its service, scaled by the server's
        mean relative to the average of the service's servers.
        """
        samples = [self.own, *self._peer_samples()]
        tails: dict[str, float] = {}
        servers: dict[str, list[tuple[float, int]]] = {}
        for sample in samples:
            for service, tail_s in sample["tails"].items():
                tails[service] = max(tails.get(service, 0.0), tail_s)
            for name, (latency_s, in_use) in sample["servers"].items():
                servers.setdefault(name, []).append((latency_s, in_use))
        return dict(_combine(servers, tails))

    def _peer_samples(self) -> Iterator[dict[str, Any]]:
        try:
            yield from self.kernel.find("membership").view(TOPIC).values()
        except (KernelError, AttributeError):
            return

    def _tails(self) -> dict[str, float]:
        """Return the tail latency since the last call by service, in seconds."""
        buckets: dict[str, list[tuple[float, float]]] = {}
        for family in REQUEST_SECONDS.collect():
            for sample in family.samples:
                if not sample.name.endswith("_bucket"):
                    continue
                service, bound = sample.labels["service"], sample.labels["le"]
                previous = self._counts.get((service, bound), 0.0)
                self._counts[service, bound] = sample.value
                increase = (float(bound), sample.value - previous)
                buckets.setdefault(service, []).append(increase)
        return {s: tail for s, b in buckets.items() if (tail := _tail(b)) > 0}


def _tail(buckets: list[tuple[float, float]]) -> float:
    """Return the bound in seconds of the cumulative bucket with the tail quantile.

    ``buckets`` are pairs of an upper bound and a count; without counts return 0.
    """
    total = max((count for _, count in buckets), default=0.0)
    if total <= 0:
        return 0.0
    bound = next(b for b, count in sorted(buckets) if count >= TAIL_QUANTILE * total)
    return min(bound, MAX_TAIL_S)


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
        average_s = sum(by_service[service]) / len(by_service[service])
        ratio = means[name] / average_s if average_s else 1.0
        tail_s = tails.get(service, 0.0) * ratio
        yield name, LatencyReading(means[name], tail_s, sum(used for _, used in values))


def service_of(server: str) -> str:
    """Return the service in a server name of the form ``service/index.attempt``."""
    return server.rpartition("/")[0]
