"""The invariants of the scheduler, checked on what callers and workers observed."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterator

from fulmarlever.history import JobHistory
from fulmarlever_standins.processes import ProcessError
from fulmarlever_standins.soak.callers import (
    FINAL_STATES,
    CallerJob,
    Callers,
    Outcome,
)
from fulmarlever_standins.soak.deployment import Deployment
from fulmarlever_standins.soak.idle import IdleWatch

FINISH_TIMEOUT_S = 30.0
READY_TIMEOUT_S = 12.0
CANCEL_GRACE_S = 5.0
POLL_INTERVAL_S = 0.3
GONE = 410


async def find_violations(
    deployment: Deployment, callers: Callers
) -> AsyncIterator[str]:
    """Yield one line per violated invariant; call it when all faults have ended.

    It waits until each job has a final state, for up to ``FINISH_TIMEOUT_S``, and then
    for ``CANCEL_GRACE_S``, in which the runs of cancelled jobs have to stop. Meanwhile
    no job may wait for long if it could run.
    """
    idle = IdleWatch(deployment, callers)
    watch = asyncio.create_task(idle.run())
    async for line in find_unready(deployment):
        yield line
    for line in callers.unexpected_answers:
        yield f"answer that the interface does not define: {line}"
    states = await asyncio.gather(
        *(wait_for_final_state(callers, job) for job in callers.jobs)
    )
    await asyncio.sleep(CANCEL_GRACE_S)
    if watch.done():
        watch.result()
    watch.cancel()
    for line in idle.violations:
        yield line
    for job, state in zip(callers.jobs, states, strict=True):
        for line in find_job_violations(job, state, deployment):
            yield f"job {job.id} ({job.outcome}, {state}): {line}"
    for line in deployment.late_starts:
        yield line
    record = deployment.record
    for task in record.overlaps:
        yield f"task {task} ran twice at the same time"
    for task in record.restarted_after_known_end():
        yield f"task {task} started again after its end was known"


async def find_unready(deployment: Deployment) -> AsyncIterator[str]:
    """Yield a line per daemon that is not ready within ``READY_TIMEOUT_S``."""
    for daemon in deployment.daemons:
        try:
            await deployment.wait_until_ready(daemon, READY_TIMEOUT_S)
        except TimeoutError:
            yield f"{daemon.name} is not ready {READY_TIMEOUT_S:.0f} s after the faults"
        except ProcessError as exc:
            yield str(exc)


def is_explained(job: CallerJob, deployment: Deployment) -> bool:
    """Return whether the daemons' logs state why a job was refused or failed."""
    return bool(JobHistory.from_lines(job.id, deployment.log_lines()).causes())


async def wait_for_final_state(callers: Callers, job: CallerJob) -> str:
    """Poll random daemons for the state of a job and return its final state.

    Return ``unknown`` if the job does not exist. After ``FINISH_TIMEOUT_S``, return the
    latest state, or ``no answer`` if there is none.
    """
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
    """Yield one line per invariant that a job violates."""
    record = deployment.record
    tasks = [
        f"{job.id}.0.{step}.{index}"
        for step, count in enumerate(job.counts)
        for index in range(count)
    ]
    started = sum(record.starts[task] > 0 for task in tasks)
    not_done = [task for task in tasks if not record.done[task]]
    if state == "completed" and not_done:
        yield f"completed, but task {not_done[0]} has no run that ended as done"
    must_end = job.outcome is Outcome.ACCEPTED and not job.may_be_cancelled
    if must_end and state not in ("completed", "failed"):
        yield "accepted, but neither completed nor failed"
    if job.outcome is Outcome.REFUSED and (started or state != "unknown"):
        yield "refused, but it is known or a task has started"
    if job.outcome is Outcome.CANCELLED and state not in FINAL_STATES:
        yield "cancellation acknowledged, but it has no final state"
    if state == "unknown" and started:
        yield "a task has started, but the job is unknown"
    if state in FINAL_STATES and record.running().intersection(tasks):
        yield "has a final state, but a task is still running"
    needs_cause = job.outcome is Outcome.REFUSED or state == "failed"
    if needs_cause and not is_explained(job, deployment):
        yield "the logs do not state the cause"
