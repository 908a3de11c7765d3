"""What must hold after a soak, from what callers and workers saw."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterator

from fulmarlever.log_story import Story
from fulmarlever_standins.processes import ProcessError
from fulmarlever_standins.soak.callers import CallerJob, Callers, Outcome
from fulmarlever_standins.soak.deployment import Deployment

FINISH_TIMEOUT_S = 30.0
READY_TIMEOUT_S = 12.0
CANCEL_GRACE_S = 5.0
POLL_INTERVAL_S = 0.3
GONE = 410
FINAL_STATES = ("completed", "failed", "cancelled")


async def find_violations(
    deployment: Deployment, callers: Callers
) -> AsyncIterator[str]:
    """Yield a line per broken promise, once every fault is over."""
    async for line in find_unready(deployment):
        yield line
    for line in callers.unexpected_answers:
        yield f"answer that the interface does not have: {line}"
    states = await asyncio.gather(
        *(wait_for_final_state(callers, job) for job in callers.jobs)
    )
    await asyncio.sleep(CANCEL_GRACE_S)
    for job, state in zip(callers.jobs, states, strict=True):
        for line in find_job_violations(job, state, deployment):
            yield f"job {job.id} ({job.outcome}, {state}): {line}"
    record = deployment.record
    for task in record.overlaps:
        yield f"task {task} ran twice at the same time"
    for task in record.restarted_after_known_end():
        yield f"task {task} started again after its end was known"


async def find_unready(deployment: Deployment) -> AsyncIterator[str]:
    """Yield a line per daemon that is not ready some time after the faults."""
    for daemon in deployment.daemons:
        try:
            await deployment.wait_until_ready(daemon, READY_TIMEOUT_S)
        except TimeoutError:
            yield f"{daemon.name} is not ready {READY_TIMEOUT_S:.0f} s after the faults"
        except ProcessError as exc:
            yield str(exc)


def is_explained(job: CallerJob, deployment: Deployment) -> bool:
    """Return whether the daemons' logs alone tell why a job was refused or failed."""
    return bool(Story.from_lines(job.id, deployment.log_lines()).causes())


async def wait_for_final_state(callers: Callers, job: CallerJob) -> str:
    """Return the last state of a job that its callers are told."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + FINISH_TIMEOUT_S
    state = "no answer"
    while loop.time() < until_s:
        status, body = await callers.call("GET", job)
        if status == GONE:
            return "unknown"
        state = body.get("state", state)
        if state in FINAL_STATES:
            return state
        await asyncio.sleep(POLL_INTERVAL_S)
    return state


def find_job_violations(
    job: CallerJob, state: str, deployment: Deployment
) -> Iterator[str]:
    """Yield what is wrong with one job."""
    record = deployment.record
    tasks = [
        f"{job.id}.0.{step}.{index}"
        for step, count in enumerate(job.counts)
        for index in range(count)
    ]
    started = sum(record.starts[task] > 0 for task in tasks)
    not_done = [task for task in tasks if not record.done[task]]
    if state == "completed" and not_done:
        yield f"shown as completed, but {not_done[0]} has not ended as done"
    must_end = job.outcome is Outcome.ACCEPTED and not job.may_be_cancelled
    if must_end and state not in ("completed", "failed"):
        yield "accepted, and not brought to its end"
    if job.outcome is Outcome.REFUSED and (started or state != "unknown"):
        yield "answered as not run, and known or run"
    if job.outcome is Outcome.CANCELLED and state not in FINAL_STATES:
        yield "its cancellation was acknowledged, and it has no final state"
    if state == "unknown" and started:
        yield "has run, and is not known"
    if state in FINAL_STATES and record.running().intersection(tasks):
        yield "has a final state and runs on"
    needs_cause = job.outcome is Outcome.REFUSED or state == "failed"
    if needs_cause and not is_explained(job, deployment):
        yield "the logs do not tell why"
