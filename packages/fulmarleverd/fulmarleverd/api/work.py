"""Routes that show and change jobs."""

from __future__ import annotations

import inspect
from typing import Any

from aiohttp import web
from loguru import logger as log

from fulmarlever.outcomes import failed
from fulmarleverd.api.guard import OPERATOR
from fulmarleverd.api.routes import answer, read_options, route
from fulmarleverd.kernel import Kernel


async def settle(result: Any) -> Any:
    """Return the result of a call that may be a coroutine."""
    return await result if inspect.isawaitable(result) else result


@route("GET", "/v1/jobs")
async def jobs(kernel: Kernel, request: web.Request) -> web.Response:
    """Return every batch job with its state."""
    listing = await settle(kernel.find("jobs").listing())
    return answer(listing if failed(listing) else {"jobs": listing})


@route("POST", "/v1/jobs")
async def submit(kernel: Kernel, request: web.Request) -> web.Response:
    """Submit the jobs of a file; a job that exists with the same text stays."""
    options = await read_options(request, text=str)
    result = await settle(kernel.find("jobs").submit(options["text"]))
    log.info("submit by {}: {}", request[OPERATOR], result)
    return answer(result if failed(result) else {"jobs": result})


@route("POST", "/v1/jobs/{name}/cancel")
async def cancel(kernel: Kernel, request: web.Request) -> web.Response:
    """Cancel a job; cancelling it again changes nothing."""
    name = request.match_info["name"]
    result = await settle(kernel.find("jobs").cancel(name))
    log.info("cancel of {} by {}: {}", name, request[OPERATOR], result)
    return answer(result if failed(result) else {"job": name, "result": result})
