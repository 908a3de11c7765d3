"""The callers of the soak test, which submit, cancel and query jobs at any daemon."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from aiohttp import ClientError, ClientSession

from fulmarlever_standins.soak.deployment import HOST, QUEUES, SoakDaemon

ATTEMPTS = 5
RETRY_INTERVAL_S = 0.3
JOBS_PER_S = 4.0
CANCEL_SHARE = 0.1
MAX_CANCEL_DELAY_S = 1.5
ACCEPTED = 200
REFUSED = (429, 503)
FINAL_STATES = ("completed", "failed", "cancelled")
# The thousandths of a core that each task reserves.
STEP_CPU_M = 1000
# More than any worker has.
TOO_LARGE_CPU_M = 1_000_000
# The sizes of the bursts of such jobs: an old number is under half of the next one.
TOO_LARGE_JOBS = (2, 6, 18)
# The request may have taken effect, so it is repeated with the same id.
UNCERTAIN = (502, 504)


class Outcome(StrEnum):
    """The outcome of a job as its caller knows it."""

    UNKNOWN = "unknown"
    ACCEPTED = "accepted"
    REFUSED = "refused"
    CANCELLED = "cancelled"


@dataclass(slots=True)
class CallerJob:
    """One job of a caller.

    ``counts`` has the number of tasks of each step; each step waits for the one before.
    ``cpu_m`` is what each task reserves, in thousandths of a core.
    ``accepted_at_s`` is when that was acknowledged, on the event loop's clock.
    ``may_be_cancelled`` is set before the first attempt to cancel the job.
    """

    id: str
    queue: str
    counts: tuple[int, ...]
    outcome: Outcome = Outcome.UNKNOWN
    accepted_at_s: float = 0.0
    may_be_cancelled: bool = False
    cpu_m: int = STEP_CPU_M

    @property
    def path(self) -> str:
        """Return the URL path of calls about the job."""
        return f"/{self.queue}/{self.id}"

    def body(self) -> dict:
        """Return the JSON body of the request that submits the job."""
        steps = [
            {"count": count, "cpu": self.cpu_m, "memMb": 100, "estimateMs": 500}
            | ({"after": [number - 1]} if number else {})
            for number, count in enumerate(self.counts)
        ]
        return {"spec": "text", "phases": steps}


class Callers:
    """Callers that submit jobs at random times and cancel some of them.

    ``unexpected_answers`` describes the answers that the interface does not define.
    """

    def __init__(
        self, daemons: list[SoakDaemon], session: ClientSession, rng: Random
    ) -> None:
        self.jobs: list[CallerJob] = []
        self.unexpected_answers: list[str] = []
        self._daemons = daemons
        self._session = session
        self._rng = rng

    async def run(self, seconds: float) -> None:
        """Submit jobs for some seconds, then wait for the outcome of each."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + seconds
        tasks = []
        while loop.time() < until_s:
            await asyncio.sleep(self._rng.expovariate(JOBS_PER_S))
            job = self._draw_job()
            self.jobs.append(job)
            tasks.append(asyncio.create_task(self._submit_and_maybe_cancel(job)))
        await asyncio.gather(*tasks)

    async def keep_waiting(self, seconds: float, rng: Random) -> None:
        """Submit bursts of jobs that no worker has room for; cancel them at the end.

        So daemons have jobs to count at any time.
        """
        jobs: list[CallerJob] = []
        for count in TOO_LARGE_JOBS:
            burst = [
                CallerJob(f"{rng.getrandbits(64):016x}", QUEUES[0], (1,))
                for _ in range(count)
            ]
            for job in burst:
                job.cpu_m = TOO_LARGE_CPU_M
            self.jobs += burst
            jobs += burst
            await asyncio.gather(*map(self._submit, burst))
            await asyncio.sleep(seconds / len(TOO_LARGE_JOBS))
        accepted = [job for job in jobs if job.outcome is Outcome.ACCEPTED]
        await asyncio.gather(*map(self._cancel, accepted))

    def _draw_job(self) -> CallerJob:
        counts = tuple(self._rng.randint(1, 4) for _ in range(self._rng.randint(1, 3)))
        number = f"{self._rng.getrandbits(64):016x}"
        return CallerJob(number, self._rng.choice(QUEUES), counts)

    async def _submit_and_maybe_cancel(self, job: CallerJob) -> None:
        await self._submit(job)
        if job.outcome is Outcome.ACCEPTED and self._rng.random() < CANCEL_SHARE:
            await asyncio.sleep(self._rng.uniform(0.0, MAX_CANCEL_DELAY_S))
            await self._cancel(job)

    async def _submit(self, job: CallerJob) -> None:
        is_certain = True
        for _ in range(ATTEMPTS):
            status, _ = await self.call("POST", job, job.body())
            if status == ACCEPTED:
                job.outcome = Outcome.ACCEPTED
                job.accepted_at_s = asyncio.get_running_loop().time()
                return
            if status in REFUSED and is_certain:
                job.outcome = Outcome.REFUSED
                return
            if status and status not in (*REFUSED, *UNCERTAIN):
                self.unexpected_answers.append(f"POST {job.id}: {status}")
            # A refusal does not tell whether an earlier unanswered attempt took effect.
            is_certain &= status in REFUSED
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _cancel(self, job: CallerJob) -> None:
        job.may_be_cancelled = True
        for _ in range(ATTEMPTS):
            status, _ = await self.call("DELETE", job)
            if status == ACCEPTED:
                job.outcome = Outcome.CANCELLED
                return
            if status == 410:
                self.unexpected_answers.append(f"DELETE of accepted {job.id}: {status}")
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def call(
        self, method: str, job: CallerJob, body: dict | None = None
    ) -> tuple[int, dict]:
        """Make one call at a random daemon; return the status and the JSON body.

        Status 0 means that there was no valid answer.
        """
        daemon = self._rng.choice(self._daemons)
        url = f"http://{daemon.caller_address}{job.path}"
        headers = {"Host": HOST}
        try:
            async with self._session.request(
                method, url, json=body, headers=headers
            ) as resp:
                is_json = resp.content_type == "application/json"
                return resp.status, await resp.json() if is_json else {}
        except (TimeoutError, OSError, ClientError, ValueError):
            return 0, {}
