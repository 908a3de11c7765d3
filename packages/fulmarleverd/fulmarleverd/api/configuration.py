"""Routes that read and change the configuration."""

from __future__ import annotations

import asyncio

from aiohttp import web
from loguru import logger as log

from fulmarlever.config.plan import diff_configurations
from fulmarlever.config.reader import check_configuration
from fulmarlever.findings import Findings
from fulmarlever.outcomes import failed
from fulmarleverd.api.access_control import OPERATOR
from fulmarleverd.api.problems import from_failure
from fulmarleverd.api.routes import answer, read_options, route
from fulmarleverd.kernel import Kernel

OPTIONAL_NUMBER = (int, type(None))
OPTIONAL_TEXT = (str, type(None))


@route("POST", "/v1/check")
async def check(kernel: Kernel, request: web.Request) -> web.Response:
    """Check a file against the current fleet and return the plan, without applying it.

    The plan lists the changes from the configuration in force.
    """
    options = await read_options(request, text=str, file=OPTIONAL_TEXT)
    config = kernel.find("config")
    accepted = config.accepted()
    checked = await asyncio.to_thread(
        check_configuration,
        options["text"],
        options["file"] or "configuration",
        kernel.clock.wall(),
        accepted.submissions if accepted else None,
        list(kernel.find("platform").vms().values()),
        config.current(),
    )
    if checked.configuration is None:
        return from_failure(Findings(checked.findings))
    steps = diff_configurations(config.current(), checked.configuration)
    return answer(
        {
            "generation": config.current().generation,
            "plan": [step.to_wire() for step in steps],
            "findings": [finding.to_wire() for finding in checked.findings],
        }
    )


@route("POST", "/v1/apply")
async def apply(kernel: Kernel, request: web.Request) -> web.Response:
    """Apply a file as the next configuration and return its generation."""
    options = await read_options(
        request, text=str, apply_id=str, if_generation=OPTIONAL_NUMBER
    )
    apply_id = options["apply_id"]
    result = await kernel.find("config").apply(
        options["text"], options["if_generation"], apply_id
    )
    outcome = result.reason if failed(result) else f"generation {result}"
    log.info("apply {} by {}: {}", apply_id, request[OPERATOR], outcome)
    return answer(result if failed(result) else {"generation": result})


@route("GET", "/v1/configuration")
async def configuration(kernel: Kernel, request: web.Request) -> web.Response:
    """Return the text and the generation of the configuration in force."""
    config = kernel.find("config")
    accepted = config.accepted()
    text = accepted.text if accepted else ""
    generation = config.current().generation
    return answer({"generation": generation, "text": text})
