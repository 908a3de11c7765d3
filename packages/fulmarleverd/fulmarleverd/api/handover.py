"""The route that moves services and jobs between the old setup and the new one."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web
from loguru import logger as log

from fulmarlever.config.edit import set_option
from fulmarlever.config.plan import diff_configurations
from fulmarlever.config.reader import parse_configuration
from fulmarlever.config.units import parse_fraction
from fulmarlever.findings import Findings
from fulmarlever.outcomes import Failure, Refused, failed
from fulmarleverd.api.access_control import OPERATOR
from fulmarleverd.api.routes import answer, read_options, route
from fulmarleverd.kernel import Kernel

SETUPS = ("old", "new")


@route("POST", "/v1/handover")
async def handover(kernel: Kernel, request: web.Request) -> web.Response:
    """Assign a share of a service's requests, or a job, to one of the two setups."""
    options = await read_options(request, name=str, to=str, share=str)
    name, setup = options["name"], options["to"]
    if setup not in SETUPS:
        raise web.HTTPBadRequest(text=f"'to' is not one of {', '.join(SETUPS)}")
    if name in kernel.find("config").current().services:
        result = await _move_service(kernel, name, setup, options["share"])
    else:
        result = await _move_job(kernel, name, setup)
    outcome = result.reason if failed(result) else result
    log.info("handover of {} by {}: {}", name, request[OPERATOR], outcome)
    return answer(result)


async def _move_job(kernel: Kernel, name: str, setup: str) -> dict[str, Any] | Failure:
    """Assign a job to a setup; the returned state tells whether it is still moving."""
    row = await kernel.find("jobs").handover(name, setup)
    if failed(row):
        return row
    return {"name": name, "setup": row.setup, "state": str(row.state)}


async def _move_service(
    kernel: Kernel, name: str, setup: str, share: str
) -> dict[str, Any] | Failure:
    """Apply the configuration in force with a changed ``new_share`` of one service."""
    try:
        fraction = parse_fraction(share)
    except ValueError as exc:
        return Refused(str(exc))
    if not 0 <= fraction <= 1:
        return Refused(f"the share {share} is not between 0 and 100%")
    new_share = fraction if setup == "new" else 1 - fraction
    config = kernel.find("config")
    accepted = config.accepted()
    text = set_option(
        accepted.text, ("services", name, "new_share"), f"{new_share:.6g}"
    )
    if failed(text):
        return text
    refusal = await _check_edit(kernel, name, text)
    if refusal is not None:
        return refusal
    # A request that is repeated while the same generation is in force has the same id,
    # so it returns the result of the first one, whose answer may have been lost.
    apply_id = f"handover-{accepted.generation}-{name}-{new_share:.6g}"
    result = await config.apply(text, accepted.generation, apply_id)
    if failed(result):
        return result
    return {"name": name, "new_share": new_share, "generation": result}


async def _check_edit(kernel: Kernel, name: str, text: str) -> Failure | None:
    """Return a failure if an edited text is invalid or changes anything else."""
    config = kernel.find("config")
    submissions = config.accepted().submissions
    parsed = await asyncio.to_thread(
        parse_configuration, text, "configuration", 0.0, submissions
    )
    if isinstance(parsed, Findings):
        return parsed
    other_steps = [
        step
        for step in diff_configurations(config.current(), parsed)
        if step.name != name
    ]
    if other_steps:
        return Refused(
            f"the file shares options between {name} and {other_steps[0].name}"
        )
    return None
