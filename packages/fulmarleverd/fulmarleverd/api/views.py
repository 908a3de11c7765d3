"""Routes that show the state of the daemon and of the fleet."""

from __future__ import annotations

from dataclasses import fields
from typing import Any

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from fulmarlever.exceptions import KernelError
from fulmarlever.outcomes import failed
from fulmarlever.structure.configuration import ServiceSpec
from fulmarlever.structure.table import Row
from fulmarlever.timeline import TimelineQuery
from fulmarleverd.api.problems import problem
from fulmarleverd.api.routes import answer, route
from fulmarleverd.kernel import Kernel


@route("GET", "/healthz")
async def healthz(kernel: Kernel, request: web.Request) -> web.Response:
    """Answer 200 as long as the process can handle requests."""
    return answer({"status": "alive"})


@route("GET", "/readyz")
async def readyz(kernel: Kernel, request: web.Request) -> web.Response:
    """Answer 200 when the load balancer may send callers to this daemon, else 503."""
    if kernel.is_draining:
        return problem(503, "not ready", "the daemon is draining")
    if not kernel.find("config").is_loaded:
        return problem(503, "not ready", "no configuration has been loaded yet")
    return answer({"status": "ready"})


@route("GET", "/metrics")
async def metrics(kernel: Kernel, request: web.Request) -> web.Response:
    """Return the metrics of this process for Prometheus."""
    headers = {"Content-Type": CONTENT_TYPE_LATEST}
    return web.Response(body=generate_latest(), headers=headers)


@route("GET", "/v1/status")
async def status(kernel: Kernel, request: web.Request) -> web.Response:
    """Return the state of this daemon and the peers as it knows them."""
    config = kernel.find("config")
    platform = kernel.find("platform")
    age_s = platform.vms_age_s()
    return answer(
        {
            "vm": kernel.settings.vm,
            "zone": kernel.settings.zone,
            "generation": config.current().generation,
            "digest": config.current().digest,
            "is_loaded": config.is_loaded,
            "is_draining": kernel.is_draining,
            "is_table_up": platform.is_table_up,
            "vm_list_age_s": age_s if age_s != float("inf") else None,
            "is_placer": _is_placer(kernel),
            "peers": _peers(kernel),
        }
    )


def _is_placer(kernel: Kernel) -> bool:
    try:
        return bool(kernel.find("placer").is_holder)
    except KernelError:
        return False


def _peers(kernel: Kernel) -> list[dict[str, Any]]:
    try:
        peers = kernel.find("membership").peers()
    except KernelError:
        return []
    return [
        {
            "vm": peer.vm,
            "zone": peer.zone,
            "state": str(peer.state),
            "incarnation": peer.incarnation,
            "admin": f"{peer.address}:{peer.admin_port}",
        }
        for peer in peers
    ]


@route("GET", "/v1/services")
async def services(kernel: Kernel, request: web.Request) -> web.Response:
    """Return the services in force with the backend servers of every zone."""
    rows = await kernel.find("platform").read([], ["servers/"])
    if failed(rows):
        return answer(rows)
    servers = [server for row in rows.values() for server in _servers(row)]
    specs = kernel.find("config").current().services.values()
    return answer({"services": [_service(spec, servers) for spec in specs]})


def _servers(row: Row) -> list[dict[str, Any]]:
    return list(row.value["servers"].values())


def _service(spec: ServiceSpec, servers: list[dict[str, Any]]) -> dict[str, Any]:
    return {
        "name": spec.name,
        "team": spec.team,
        "urgency": spec.urgency.name.lower(),
        "target_s": spec.target_s,
        "instances": spec.instances,
        "new_share": spec.new_share,
        "servers": [s for s in servers if s["service"] == spec.name],
    }


@route("GET", "/v1/timeline")
async def timeline(kernel: Kernel, request: web.Request) -> web.Response:
    """Return the events of all daemons that match the query, merged."""
    query = _read_query(request)
    merged = await kernel.find("timeline").merged(query)
    return answer(merged.to_wire())


def _read_query(request: web.Request) -> TimelineQuery:
    """Return the query of a request; raise ``HTTPBadRequest`` for an invalid one."""
    options: dict[str, Any] = {}
    types = {field.name: type(field.default) for field in fields(TimelineQuery)}
    for name, text in request.query.items():
        if name not in types:
            raise web.HTTPBadRequest(text=f"unknown option {name!r}")
        try:
            options[name] = types[name](text)
        except ValueError:
            raise web.HTTPBadRequest(text=f"{name!r} is not a number") from None
    return TimelineQuery(**options)
