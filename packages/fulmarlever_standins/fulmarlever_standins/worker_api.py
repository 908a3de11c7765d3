"""The HTTP interface of the simulated worker."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from aiohttp import web

from fulmarlever.structure.size import Size
from fulmarlever_standins.http import MAX_BODY_BYTES, read_json
from fulmarlever_standins.orders import StartOrder, StopOrder
from fulmarlever_standins.runs import Run, ServiceRun
from fulmarlever_standins.worker import Refusal, Worker

Order = TypeVar("Order", StartOrder, StopOrder)


class WorkerApi:
    """The request handlers of one worker."""

    def __init__(self, worker: Worker) -> None:
        self.worker = worker

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/v1/start", self.start)
        app.router.add_post("/v1/stop", self.stop)
        app.router.add_post("/v1/sync", self.sync)
        app.router.add_post("/v1/throttle", self.throttle)
        app.router.add_post("/faults", self.set_faults)
        app.router.add_get("/record", self.get_record)
        app.router.add_get("/record/{task:.+}", self.get_backend_record)
        return app

    async def start(self, request: web.Request) -> web.Response:
        """Start a task under a lease that counts from the receipt of the request.

        The answer of a service instance has its address and port.
        """
        received = self.worker.clock.monotonic()
        order = await _read_order(request, StartOrder.from_wire)
        result = await self.worker.start(order, received)
        if isinstance(result, Refusal):
            return _build_refusal_answer(result)
        answer = {"state": result.state}
        if isinstance(result, ServiceRun):
            answer["address"] = result.server.address
            answer["port"] = result.server.port
        return web.json_response(answer)

    async def stop(self, request: web.Request) -> web.Response:
        """Stop a task and answer after it has ended."""
        order = await _read_order(request, StopOrder.from_wire)
        result = await self.worker.stop(order)
        if isinstance(result, Refusal):
            return _build_refusal_answer(result)
        if result is None:
            return web.json_response(
                {"state": "stopped", "checkpoint": "", "progress": 0.0}
            )
        return web.json_response(
            {
                "state": result.state,
                "reason": result.reason,
                "result": result.result,
                "checkpoint": result.checkpoint,
                "progress": result.progress,
            }
        )

    async def sync(self, request: web.Request) -> web.Response:
        """Renew leases, drop acknowledged ends and report every task."""
        data = await read_json(request)
        worker = self.worker
        refusal = await worker.renew(
            int(data["epoch"]), data.get("renew", []), data.get("not_after_s")
        )
        if refusal is not None:
            return _build_refusal_answer(refusal)
        worker.acknowledge(data.get("acknowledge", []))
        tasks = [self._report(run) for run in worker.runs.values()]
        return web.json_response(
            {
                "worker": worker.name,
                "size": worker.size.to_wire(),
                "clock_s": worker.clock.monotonic(),
                "tasks": tasks,
            }
        )

    async def throttle(self, request: web.Request) -> web.Response:
        """Limit a task to a share of its full speed."""
        data = await read_json(request)
        refusal = self.worker.throttle(
            data["task"],
            int(data["attempt"]),
            int(data["epoch"]),
            float(data["share"]),
        )
        if refusal is not None:
            return _build_refusal_answer(refusal)
        return web.json_response({})

    async def set_faults(self, request: web.Request) -> web.Response:
        """Change the given faults; answer 400 for an unknown one."""
        try:
            self.worker.faults.update(await read_json(request))
        except ValueError as exc:
            raise web.HTTPBadRequest(text=str(exc)) from exc
        return web.json_response({})

    async def get_record(self, request: web.Request) -> web.Response:
        """Return the record: all runs, overruns and the maximum of reserved sizes."""
        worker = self.worker
        return web.json_response(
            {
                "runs": [run.to_record() for run in worker.history],
                "services": sorted(
                    {run.order.task for run in worker.history if run.is_service}
                ),
                "overruns": worker.overruns,
                "max_reserved": worker.max_reserved.to_wire(),
            }
        )

    async def get_backend_record(self, request: web.Request) -> web.Response:
        """Return the merged backend records of all attempts of a task, or 404."""
        task = request.match_info["task"]
        records = [
            run.backend.record.to_wire()
            for run in self.worker.history
            if isinstance(run, ServiceRun) and run.order.task == task
        ]
        if not records:
            raise web.HTTPNotFound
        return web.json_response(merge_records(records))

    def _report(self, run: Run) -> dict:
        used, age_s = run.reported_usage(self.worker.faults.usage_lag_s)
        return {
            "task": run.order.task,
            "attempt": run.order.attempt,
            "state": run.state,
            "reason": run.reason,
            "result": run.result,
            "checkpoint": run.checkpoint,
            "progress": run.progress,
            "usage": _usage_to_wire(used),
            "usage_age_s": age_s,
            "in_progress": run.in_progress,
        }


def merge_records(records: list[dict]) -> dict:
    """Merge ``BackendRecord`` JSON objects: add counts, keep maxima of the rest."""
    merged: dict = {"runs": {}, "keys": {}}
    for record in records:
        for name, value in record.items():
            if isinstance(value, dict):
                _add_counts(merged[name], value)
            elif name == "overruns":
                merged[name] = merged.get(name, 0) + value
            else:
                merged[name] = max(merged.get(name, 0), value)
    return merged


def _add_counts(total: dict[str, int], counts: dict[str, int]) -> None:
    for key, count in counts.items():
        total[key] = total.get(key, 0) + count


async def _read_order(
    request: web.Request, from_wire: Callable[[dict], Order]
) -> Order:
    """Return the order in the body of a request; raise ``HTTPBadRequest`` for none."""
    try:
        return from_wire(await read_json(request))
    except (KeyError, TypeError, ValueError) as exc:
        raise web.HTTPBadRequest(text=f"malformed order: {exc!r}") from exc


def _usage_to_wire(size: Size) -> dict:
    return {"cores": size.cores, "memory_mib": size.memory_mib}


def _build_refusal_answer(refusal: Refusal) -> web.Response:
    fields = {
        "reason": refusal.reason,
        "attempt": refusal.attempt,
        "epoch": refusal.epoch,
    }
    return web.json_response(fields, status=refusal.status)
