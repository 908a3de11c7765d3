"""The API of jobs for callers, which the platform's interface exposes over HTTP."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger as log

from fulmarlever.clock import Clock
from fulmarlever.outcomes import NotRun, OutcomeUnknown, Refused, Unavailable, failed
from fulmarleverd.scheduling.persistence.config_watcher import (
    RETRY_AFTER_S,
    ConfigWatcher,
)
from fulmarleverd.scheduling.specs import JobSpec, QueueSpec, SchedulingConfig
from fulmarleverd.scheduling.submission.intake import Intake, JobStatus, UnknownJob

# The answer has to be sent before the caller stops waiting for it.
ANSWER_MARGIN_S = 0.1
MAX_WAIT_S = 3.0


class QueueNotFound(Refused):
    """The configuration has no queue for the host and path of a request."""

    __slots__ = ()


class JobCalls:
    """Finds the queue of a call and executes the call."""

    def __init__(
        self,
        intake: Intake,
        queues: ConfigWatcher,
        clock: Clock,
        is_draining: Callable[[], bool] = lambda: False,
    ) -> None:
        self._intake = intake
        self._queues = queues
        self._clock = clock
        self._is_draining = is_draining

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers to this daemon."""
        return self._queues.is_ready() and not self._is_draining()

    def max_body_bytes(self) -> int:
        """Return the size limit of the body of a submitted job, in bytes."""
        return self._queues.config.max_body_bytes

    def config(self) -> SchedulingConfig:
        """Return the operator's configuration, with defaults before it is known."""
        return self._queues.config

    def find_queue(self, host: str, path: str) -> QueueSpec | QueueNotFound | NotRun:
        """Return the queue of a request according to the current configuration.

        ``NotRun`` means that a newer configuration may exist, as the store has not
        answered for too long.
        """
        if not self._queues.is_fresh():
            reason = f"no answer of the store for {self._queues.age_s():.1f} s"
            return NotRun(reason, RETRY_AFTER_S)
        found = self._queues.config.find_queue(host, path)
        return found or QueueNotFound(f"no queue at {host}{path}")

    def until_s(self, queue: QueueSpec, wait_s: float) -> float:
        """Return when attempts to reach the store end, in seconds on the steady clock.

        ``wait_s`` is the time for which the caller waits, 0 if it does not say.
        """
        limits = [queue.timeout_s, MAX_WAIT_S]
        if wait_s:
            limits.append(wait_s)
        return self._clock.monotonic() + max(0.0, min(limits) - ANSWER_MARGIN_S)

    async def submit(
        self, job: JobSpec, queue: QueueSpec, until_s: float
    ) -> None | NotRun | OutcomeUnknown | Refused:
        """Store a job; see ``Intake.submit``."""
        result = await self._intake.submit(job, queue, until_s)
        if not failed(result):
            log.bind(
                event="job-accepted",
                job=job.id,
                queue=queue.name,
                config_version=self._queues.config.version,
                config_age_s=round(self._queues.age_s(), 2),
            ).info("")
        return result

    async def status(self, job_id: str) -> JobStatus | UnknownJob | Unavailable:
        """Return the state of a job."""
        return await self._intake.status(job_id)

    async def cancel(
        self, job_id: str, until_s: float
    ) -> JobStatus | UnknownJob | NotRun | OutcomeUnknown | Unavailable:
        """Request the cancellation of a job; see ``Intake.cancel``."""
        result = await self._intake.cancel(job_id, until_s)
        log.bind(event="job-cancel", job=job_id).info(repr(result))
        return result

    async def pending(self, queue: QueueSpec) -> int | Unavailable:
        """Return the number of jobs of a queue that have not begun."""
        return await self._intake.pending(queue.name)
