"""The route that returns this daemon's measurements for ``fulmarlever report``."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from typing import Any

from aiohttp import web
from prometheus_client import REGISTRY
from prometheus_client.samples import Sample

from fulmarleverd.api.routes import answer, route
from fulmarleverd.kernel import Kernel

LATENCY_BUCKET = "fulmarlever_request_seconds_bucket"
ANSWERED = "fulmarlever_requests_total"
REFUSED = "fulmarlever_refused_total"
EVICTIONS = "fulmarlever_evictions_total"


@route("GET", "/v1/report")
async def report(kernel: Kernel, request: web.Request) -> web.Response:
    """Return latencies and counts by service since this daemon started.

    ``buckets`` maps an upper bound in seconds to the number of requests that took at
    most that time. ``answered`` counts requests by status class, ``refused`` by cause.
    ``evictions`` is null when this daemon does not count them.
    """
    services: dict[str, dict[str, Any]] = defaultdict(_empty_entry)
    evictions: float | None = None
    for sample in _samples():
        if sample.name == EVICTIONS:
            evictions = (evictions or 0.0) + sample.value
        elif "service" in sample.labels:
            _add_sample(services[sample.labels["service"]], sample)
    specs = kernel.find("config").current().services
    for name, entry in services.items():
        entry["team"] = specs[name].team if name in specs else ""
        entry["target_s"] = specs[name].target_s if name in specs else None
        entry["guaranteed"] = specs[name].guaranteed_share if name in specs else None
    return answer(
        {"vm": kernel.settings.vm, "services": services, "evictions": evictions}
    )


def _empty_entry() -> dict[str, Any]:
    return {"buckets": {}, "answered": {}, "refused": {}}


def _samples() -> Iterator[Sample]:
    for family in REGISTRY.collect():
        yield from family.samples


def _add_sample(entry: dict[str, Any], sample: Sample) -> None:
    labels = sample.labels
    if sample.name == LATENCY_BUCKET:
        entry["buckets"][labels["le"]] = sample.value
    elif sample.name == ANSWERED:
        entry["answered"][labels["status"]] = sample.value
    elif sample.name == REFUSED:
        entry["refused"][labels["cause"]] = sample.value
