"""Routes that list, submit and cancel batch jobs, and drain workers."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from aiohttp import web
from loguru import logger as log

from fulmarlever.config.reader import parse_jobs
from fulmarlever.findings import Findings
from fulmarlever.outcomes import Conflict, Failure, failed
from fulmarlever.structure.configuration import JobSpec
from fulmarleverd.api.access_control import OPERATOR
from fulmarleverd.api.problems import from_failure
from fulmarleverd.api.routes import answer, read_options, route
from fulmarleverd.kernel import Kernel
from fulmarleverd.placement.job_rows import JobRow

# A repeated submission computes its relative deadline from the submission time in the
# job's row, which is slightly later than the time used for the first submission.
DEADLINE_TOLERANCE_S = 5.0


@route("GET", "/v1/jobs")
async def jobs(kernel: Kernel, request: web.Request) -> web.Response:
    """Return every batch job with its state."""
    listing = await kernel.find("jobs").listing()
    if failed(listing):
        return answer(listing)
    return answer({"jobs": [view.to_wire() for view in listing]})


@route("POST", "/v1/jobs")
async def submit(kernel: Kernel, request: web.Request) -> web.Response:
    """Submit the jobs of a file; jobs that exist already are left unchanged."""
    options = await read_options(request, text=str, file=(str, type(None)))
    file_name = options["file"] or "jobs"
    specs = await _read_specs(kernel, options["text"], file_name)
    if isinstance(specs, Failure):
        return from_failure(specs)
    submitted = []
    for spec in specs.values():
        result = await _submit_one(kernel, spec)
        outcome = result.reason if result else "accepted"
        log.info("submit of {} by {}: {}", spec.name, request[OPERATOR], outcome)
        if result is not None:
            earlier = f"; submitted before it: {', '.join(submitted) or 'none'}"
            result.reason = f"job {spec.name!r}: {result.reason}{earlier}"
            return from_failure(result, submitted=submitted)
        submitted.append(spec.name)
    return answer({"jobs": submitted})


async def _read_specs(
    kernel: Kernel, text: str, file_name: str
) -> dict[str, JobSpec] | Failure:
    cfg = kernel.find("config").current()
    now = kernel.clock.wall()
    specs = await asyncio.to_thread(parse_jobs, text, file_name, cfg, now)
    if isinstance(specs, Findings):
        return specs
    rows = await _read_rows(kernel, list(specs))
    if failed(rows):
        return rows
    submissions = {name: row.submitted for name, row in rows.items()}
    return parse_jobs(text, file_name, cfg, now, submissions)


async def _read_rows(kernel: Kernel, names: list[str]) -> dict[str, JobRow] | Failure:
    keys = [f"job/{name}" for name in names]
    rows = await kernel.find("platform").read(keys)
    if failed(rows):
        return rows
    found = [JobRow.from_wire(row.value) for row in rows.values()]
    return {row.spec.name: row for row in found}


async def _submit_one(kernel: Kernel, spec: JobSpec) -> Failure | None:
    """Submit one job; return the failure, or ``None`` if the job is accepted.

    A job that exists already with the same declaration counts as accepted.
    """
    result = await kernel.find("jobs").submit_spec(spec)
    if not failed(result):
        return None
    if isinstance(result, Conflict):
        rows = await _read_rows(kernel, [spec.name])
        if not failed(rows) and spec.name in rows:
            return None if is_same_job(spec, rows[spec.name].spec) else result
    return result


def is_same_job(spec: JobSpec, other: JobSpec) -> bool:
    """Return whether two declarations differ at most in the time of submission."""
    if replace(spec, deadline_s=other.deadline_s) != other:
        return False
    if spec.deadline_s is None or other.deadline_s is None:
        return spec.deadline_s == other.deadline_s
    return abs(spec.deadline_s - other.deadline_s) <= DEADLINE_TOLERANCE_S


@route("POST", "/v1/jobs/{name}/cancel")
async def cancel(kernel: Kernel, request: web.Request) -> web.Response:
    """Cancel a job and return its state; a repeated call changes nothing.

    A job that has ended already keeps its final state.
    """
    name = request.match_info["name"]
    row = await kernel.find("jobs").cancel(name)
    if failed(row):
        return from_failure(row)
    state = str(row.state) if row.state.is_final else "cancelling"
    log.info("cancel of {} by {}: {}", name, request[OPERATOR], state)
    return answer({"job": name, "state": state})


@route("POST", "/v1/drain")
async def drain(kernel: Kernel, request: web.Request) -> web.Response:
    """Drain a worker VM, or end its drain."""
    options = await read_options(request, worker=str, is_draining=bool)
    worker, is_draining = options["worker"], options["is_draining"]
    operator = request[OPERATOR]
    result = await kernel.find("config").drain_worker(worker, operator, is_draining)
    if failed(result):
        return from_failure(result)
    log.info("drain of {} by {}: {}", worker, operator, is_draining)
    return answer({"worker": worker, "is_draining": is_draining})
