"""The simulated platform: table service, object store and VM list over HTTP."""

from __future__ import annotations

import asyncio
import json
from collections import Counter

import xxhash
from aiohttp import web

from fulmarlever.clock import Clock
from fulmarlever.structure.table import Applied, Change
from fulmarlever_standins.faults import ComponentState, PlatformFaults
from fulmarlever_standins.http import (
    MAX_BODY_BYTES,
    Handler,
    abort_connection,
    read_json,
    wait_for_disconnect,
)
from fulmarlever_standins.table import MemoryTable
from fulmarlever_standins.vm_list import VMList

MAX_ROWS = 200


class Platform:
    """The state of the platform and the handlers of its HTTP interface."""

    def __init__(self, clock: Clock | None = None) -> None:
        self.table = MemoryTable(clock or Clock())
        self.vms = VMList(self.table.clock)
        self.objects: dict[str, bytes] = {}
        self.faults = PlatformFaults()
        self.counts: Counter[str] = Counter()
        self.calls_by_vm: Counter[str] = Counter()

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(
            middlewares=[self._apply_faults], client_max_size=MAX_BODY_BYTES
        )
        app.router.add_post("/v1/table/read", self.read_table)
        app.router.add_post("/v1/table/write", self.write_table)
        app.router.add_put("/v1/objects/{name:.+}", self.put_object)
        app.router.add_get("/v1/objects/{name:.+}", self.get_object)
        app.router.add_delete("/v1/objects/{name:.+}", self.delete_object)
        app.router.add_get("/v1/vms", self.list_vms)
        app.router.add_post("/v1/vms", self.put_vm)
        app.router.add_delete("/v1/vms/{name}", self.delete_vm)
        app.router.add_post("/faults", self.set_faults)
        app.router.add_get("/counters", self.get_counters)
        return app

    async def read_table(self, request: web.Request) -> web.Response:
        """Return the rows of the given keys and key prefixes."""
        data = await read_json(request)
        rows = self.table.read(data.get("keys", ()), data.get("prefixes", ()))
        fields = [{"key": r.key, "value": r.value, "version": r.version} for r in rows]
        return web.json_response({"rows": fields})

    async def write_table(self, request: web.Request) -> web.Response:
        """Apply one conditional transaction; answer 409 with the keys in conflict."""
        data = await read_json(request)
        change = Change(
            data.get("conditions", {}),
            data.get("writes", {}),
            data.get("deletes", []),
            data.get("ttl_s", {}),
        )
        if len(change.writes) + len(change.deletes) > MAX_ROWS:
            return web.json_response({"reason": "too many rows"}, status=413)
        result = self.table.write(change)
        if isinstance(result, Applied):
            return web.json_response({"versions": result.versions})
        return web.json_response({"conflicts": result}, status=409)

    async def put_object(self, request: web.Request) -> web.Response:
        """Store an object; answer 412 if it exists and ``If-None-Match`` is ``*``."""
        name = request.match_info["name"]
        data = await request.read()
        if request.headers.get("If-None-Match") == "*" and name in self.objects:
            return web.Response(status=412)
        self.objects[name] = data
        self.counts["objects_put"] += 1
        return web.Response(status=204)

    async def get_object(self, request: web.Request) -> web.Response:
        """Return an object, or 404."""
        self.counts["objects_read"] += 1
        data = self.objects.get(request.match_info["name"])
        if data is None:
            return web.Response(status=404)
        return web.Response(body=data)

    async def delete_object(self, request: web.Request) -> web.Response:
        """Delete an object, or answer 404."""
        found = self.objects.pop(request.match_info["name"], None)
        return web.Response(status=404 if found is None else 204)

    async def list_vms(self, request: web.Request) -> web.Response:
        """Return the VM list as it was ``list_lag_s`` ago, or 304 if unchanged."""
        self.counts["list_reads"] += 1
        body = json.dumps({"vms": self.vms.read(self.faults.list_lag_s)}).encode()
        tag = f'"{xxhash.xxh3_64_hexdigest(body)}"'
        headers = {"ETag": tag}
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=304, headers=headers)
        return web.Response(body=body, headers=headers, content_type="application/json")

    async def put_vm(self, request: web.Request) -> web.Response:
        """Add or replace one VM."""
        self.vms.put(await read_json(request))
        return web.Response(status=204)

    async def delete_vm(self, request: web.Request) -> web.Response:
        """Remove one VM."""
        self.vms.remove(request.match_info["name"])
        return web.Response(status=204)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Change the given faults and return all; answer 400 for an unknown one."""
        try:
            self.faults.update(await read_json(request))
        except (TypeError, ValueError) as exc:
            raise web.HTTPBadRequest(text=str(exc)) from exc
        return web.json_response(self.faults.to_wire())

    async def get_counters(self, request: web.Request) -> web.Response:
        """Return the numbers of calls, rows and objects."""
        table = self.table
        counters = {
            "reads": table.reads,
            "writes": table.writes,
            "rows_written": table.rows_written,
            "rows": table.row_count,
            "objects": len(self.objects),
            "calls_by_vm": dict(self.calls_by_vm),
        }
        return web.json_response(counters | dict(self.counts))

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        component = self._component_of(request)
        if not component:
            return await handler(request)
        self.calls_by_vm[request.headers.get("X-VM", "")] += 1
        if self.faults.is_cut(request):
            return await wait_for_disconnect(request)
        return await self._run(request, handler, getattr(self.faults, component))

    async def _run(
        self, request: web.Request, handler: Handler, state: ComponentState
    ) -> web.StreamResponse:
        if state is ComponentState.HOLD:
            return await wait_for_disconnect(request)
        if state is ComponentState.DOWN:
            return web.json_response({"reason": "down"}, status=503)
        if state is ComponentState.SLOW:
            await request.read()
            await asyncio.sleep(self.faults.slow_s)
        answer = await handler(request)
        is_write = request.path == "/v1/table/write"
        if is_write and self.faults.is_answer_lost():
            self.counts["answers_lost"] += 1
            return abort_connection(request)
        return answer

    def _component_of(self, request: web.Request) -> str:
        """Return the component called, or an empty text for a control call."""
        if request.path.startswith("/v1/table/"):
            return "table"
        if request.path.startswith("/v1/objects/"):
            return "objects"
        is_list = request.path == "/v1/vms" and request.method == "GET"
        return "list" if is_list else ""
