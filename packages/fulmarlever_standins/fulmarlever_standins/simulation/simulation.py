"""The state of a play: the cluster, its callers, and what is observed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from random import Random

from fulmarlever.outcomes import NotRun, Refused, failed
from fulmarlever_standins.authority.evacuations import EvacuationObserver
from fulmarlever_standins.authority.simulated_cluster import Daemon, SimulatedCluster
from fulmarlever_standins.authority.virtual_time import START_UNIX_TIME_S
from fulmarlever_standins.authority.worker import RunKey, WorkerCore
from fulmarlever_standins.simulation.calm import Calm
from fulmarlever_standins.simulation.contact import Contact
from fulmarlever_standins.simulation.jobs import draw_job
from fulmarlever_standins.simulation.observed import CallerJob, Observed
from fulmarlever_standins.simulation.plan_parts import PlannedJob
from fulmarleverd.scheduling.specs import StepSpec
from fulmarleverd.scheduling.submission.intake import JobStatus, UnknownJob

ZONES = ("x", "y", "z")
RESTART_S = 2.0
SUBMIT_ATTEMPTS = 5
RETRY_S = 0.3
CANCEL_TIMEOUT_S = 2.5
STATE_ATTEMPTS = 20
# The labels and the memory of the first workers; all others have the defaults.
SPECIAL_WORKERS = (
    (["a", "b", "r1-0"], 256_000),
    (["a", "b", "r1-1"], 128_000),
    (["a", "c", "r1-1"], 256_000),
)
DEFAULT_WORKER = (["a", "r1-2"], 128_000)
MAX_TASK_S = 8.0
END_TIMEOUT_S = 5.0
STALLED_S = 1000.0
START_PATH = "/run-start"


class Simulation:
    """One play: the cluster, its callers, and what is observed.

    ``rng`` is the generator of the fault that begins now. ``failing``, ``stalling`` and
    ``refusing`` hold the ids of workers that fail, hold up, or refuse to start runs.
    ``idle`` maps the tasks that have waited for ``MAX_IDLE_S`` at the end of the play,
    while workers had room for them, to one of these workers. ``traits`` holds the
    labels and the memory of the workers at each address, ``cpu_m`` the cores of those
    whose kind has changed. ``has_clock_steps`` is set once a time of day was stepped.
    ``evacuations`` writes the
    operator's rows of evacuated zones. ``on_start`` is called with each run that a
    worker starts.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = Random(seed)
        self.cluster = SimulatedCluster()
        self.observed = Observed()
        self.failing: set[str] = set()
        self.stalling: set[str] = set()
        self.refusing: set[str] = set()
        self.calm = Calm()
        self.contact = Contact(self.cluster)
        self.violations: list[str] = []
        self.idle: dict[str, str] = {}
        self.evacuations = EvacuationObserver(
            self.cluster.network, self.cluster.bounds.evacuate_s
        )
        self.on_start: Callable[[WorkerCore, RunKey], None] = lambda worker, key: None
        self.traits: dict[str, tuple[list[str], int]] = {}
        self.cpu_m: dict[str, int] = {}
        self.has_clock_steps = False
        self._started = 0
        self._ended = asyncio.Event()

    def add_workers(self, count: int) -> None:
        """Add the workers of a new play; the first ones are special."""
        self.cluster.network.admission.is_admitted = self.is_admitted
        for number in range(count):
            special = number < len(SPECIAL_WORKERS)
            traits = SPECIAL_WORKERS[number] if special else DEFAULT_WORKER
            self.traits[f"w{number}:1"] = traits
            self._add_worker(f"w{number}", f"w{number}:1")

    def report(self, what: str, violation: str) -> None:
        """Record a violation that concerns a task, a job or the scheduler."""
        now_s = asyncio.get_running_loop().time()
        line = f"{now_s:.2f} {what}: {violation}"
        if line not in self.violations:
            self.violations.append(line)

    # Callers

    async def call(self, planned: PlannedJob) -> None:
        """Submit a job at its time, and cancel it if its caller wants to."""
        await asyncio.sleep(planned.at_s)
        rng = Random(planned.seed)
        job = self.add_job(planned, rng)
        drawn = job.drawn
        await self._submit(job, rng)
        if drawn.is_sent_again and job.is_accepted:
            await self._submit(job, rng)
        if job.is_accepted and drawn.cancel_after_s is not None:
            await asyncio.sleep(drawn.cancel_after_s)
            await self.cancel(job, rng)

    def add_job(self, planned: PlannedJob, rng: Random) -> CallerJob:
        """Draw a job that its caller is about to submit."""
        now_s = asyncio.get_running_loop().time()
        drawn = draw_job(f"{planned.seed:016x}", planned.features, rng, now_s)
        job = self.observed.jobs[drawn.id] = CallerJob(drawn)
        return job

    async def submit_late(self, job: CallerJob, rng: Random, late_s: float) -> None:
        """Submit a job once; its write gets no answer and takes effect late."""
        if self.cluster.daemons:
            late_jobs = self.cluster.network.late_jobs
            late_jobs[job.spec.id] = late_s
            result = await self.daemon(rng).submit(job.spec, job.drawn.queue)
            del late_jobs[job.spec.id]
            job.is_accepted = result is None
            job.accepted_at_s = asyncio.get_running_loop().time()

    def daemon(self, rng: Random) -> Daemon:
        """Return one of the daemons that run."""
        return rng.choice(
            [daemon for _, daemon in sorted(self.cluster.daemons.items())]
        )

    async def _submit(self, job: CallerJob, rng: Random) -> None:
        is_certain = True
        for _ in range(SUBMIT_ATTEMPTS):
            if not self.cluster.daemons:
                await asyncio.sleep(RETRY_S)
                continue
            result = await self.daemon(rng).submit(job.spec, job.drawn.queue)
            if result is None:
                job.is_accepted = True
                job.accepted_at_s = asyncio.get_running_loop().time()
                return
            if isinstance(result, Refused) or (
                isinstance(result, NotRun) and is_certain
            ):
                job.is_refused = not job.is_accepted
                return
            is_certain = False
            await asyncio.sleep(RETRY_S)

    async def cancel(self, job: CallerJob, rng: Random) -> None:
        """Cancel a job, with retries until that is acknowledged."""
        job.may_be_cancelled = True
        for _ in range(SUBMIT_ATTEMPTS):
            if self.cluster.daemons:
                daemon = self.daemon(rng)
                until_s = daemon.clock.monotonic() + CANCEL_TIMEOUT_S
                result = await daemon.intake.cancel(job.spec.id, until_s)
                is_unknown = isinstance(result, UnknownJob)
                if is_unknown and job.is_accepted:
                    self.report(job.spec.id, "accepted, but unknown when cancelled")
                if is_unknown or not failed(result):
                    job.cancelled_at_s = asyncio.get_running_loop().time()
                    return
            await asyncio.sleep(RETRY_S)

    # Workers

    def workers(self) -> list[WorkerCore]:
        """Return the workers that run, by address."""
        return [worker for _, worker in sorted(self.cluster.network.workers.items())]

    def draw_workers(self) -> list[WorkerCore]:
        """Return up to a third of the workers; one with a rare label at times."""
        workers = self.workers()
        count = self.rng.randint(1, max(1, len(workers) // 3))
        drawn = self.rng.sample(workers, min(count, len(workers)))
        special = self.rng.randrange(2 * len(SPECIAL_WORKERS))
        rare = [w for w in workers if w.address == f"w{special}:1" and w not in drawn]
        return drawn + rare

    def is_running(self, worker: WorkerCore) -> bool:
        """Return whether this incarnation of a worker runs."""
        return self.cluster.network.workers.get(worker.address) is worker

    def crash(self, worker: WorkerCore, is_silent: bool) -> None:
        """Crash a worker; another one comes at its address after ``RESTART_S``."""
        if not self.is_running(worker):
            return
        cuts = {(vm, worker.address) for vm in self.cluster.daemons if is_silent}
        self.cluster.network.cuts |= cuts
        self.observed.record_crash(worker)
        self.cluster.crash_worker(worker)
        loop = asyncio.get_running_loop()
        loop.call_later(RESTART_S, self._replace, worker, cuts)

    def leave(self, worker: WorkerCore) -> None:
        """Let a worker leave as planned; another one comes at its address at once."""
        self.observed.record_crash(worker)
        self.cluster.crash_worker(worker)
        self._replace(worker, set())

    def restart(self, worker: WorkerCore, entry_delay_s: float) -> None:
        """Restart a worker under its id at once; its entry comes later."""
        if self.is_running(worker):
            self.observed.record_crash(worker, is_proved=True)
            self._attach(self.cluster.restart_worker(worker, entry_delay_s))

    async def crash_and_return(
        self, worker: WorkerCore, down_s: float, entry_delay_s: float
    ) -> None:
        """Crash a worker, which returns under its id after ``down_s`` seconds."""
        self.observed.record_crash(worker)
        self.cluster.crash_worker(worker)
        await asyncio.sleep(down_s)
        self._attach(self.cluster.return_worker(worker, entry_delay_s))

    def _replace(self, worker: WorkerCore, cuts: set[tuple[str, str]]) -> None:
        self.cluster.network.cuts -= cuts
        self.cluster.network.store.remove("servers", worker.id)
        self._started += 1
        self._add_worker(f"{worker.address}-{self._started}", worker.address)

    def _add_worker(self, worker_id: str, address: str) -> None:
        number = int(address.removeprefix("w").split(":")[0])
        worker = WorkerCore(worker_id, address, ZONES[number % len(ZONES)])
        self.cluster.record.attach(worker)
        self._attach(worker)
        self.cluster.network.add_worker(worker)

    def _attach(self, worker: WorkerCore) -> None:
        """Decide on the runs of a worker, observe them and check their starts.

        The worker starts now, which is what it says of itself.
        """
        now_s = START_UNIX_TIME_S + asyncio.get_running_loop().time()
        worker.born = int(1000.0 * now_s)
        record_start, record_end = worker.on_start, worker.on_end

        def on_start(worker: WorkerCore, key: RunKey) -> None:
            record_start(worker, key)
            self.observed.record_start(worker, key)
            self.on_start(worker, key)

        def on_end(worker: WorkerCore, key: RunKey, outcome: str) -> None:
            record_end(worker, key, outcome)
            self.observed.record_end(worker, key, outcome)
            self._ended.set()

        handle = worker.handle

        async def answer(path: str, body: dict, target: str) -> tuple:
            if path == START_PATH and worker.id in self.refusing:
                return 503, {"clockMs": worker.clock_ms()}
            if path == START_PATH and self._lacks_room(worker, body["task"]):
                return 409, {"clockMs": worker.clock_ms(), "reason": "room"}
            return await handle(path, body, target)

        worker.handle = answer
        labels, worker.memory_mb = self.traits[worker.address]
        worker.labels = list(labels)
        worker.cpu = self.cpu_m.get(worker.address, worker.cpu)
        worker.on_start, worker.on_end = on_start, on_end
        worker.task_fails = lambda task: self._fails(worker, task)
        worker.task_duration_s = lambda task: self._duration_s(worker, task)

    def _lacks_room(self, worker: WorkerCore, task: str) -> bool:
        """Return whether a worker of another kind has no room for a task.

        Those whose kind stays do not guard their capacity.
        """
        if worker.address not in self.cpu_m or self.observed.job_of(task) is None:
            return False
        step = self.step_of(task)
        cpu_m, memory_mb = self.used(worker)
        needed_m = 0 if step.is_best_effort else step.cpu_m
        is_over = cpu_m + needed_m > worker.cpu
        return is_over or memory_mb + step.memory_mb > worker.memory_mb

    def _fails(self, worker: WorkerCore, task: str) -> bool:
        is_never_done = self.observed.job_of(task).drawn.is_never_done
        return is_never_done or worker.id in self.failing

    def _duration_s(self, worker: WorkerCore, task: str) -> float | None:
        if worker.id in self.stalling:
            return STALLED_S
        step = self.step_of(task)
        if step.is_long_running and worker.id not in self.failing:
            return None
        job = self.observed.job_of(task)
        factor = 1.0 if job.drawn.is_even else Random(task).uniform(0.5, 2.0)
        return min(MAX_TASK_S, step.estimate_s * factor)

    async def wait_for_end(self) -> None:
        """Wait until the next run ends, for ``END_TIMEOUT_S`` at most."""
        self._ended.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(END_TIMEOUT_S):
                await self._ended.wait()

    # What checks ask for

    def step_of(self, task: str) -> StepSpec:
        """Return the step of a task."""
        return self.observed.job_of(task).step_of(task)

    def used(self, worker: WorkerCore) -> tuple[int, int]:
        """Return the reserved thousandths of a core and megabytes of a worker."""
        steps = [self.step_of(task) for task, _ in worker.running]
        cpu_m = sum(step.cpu_m for step in steps if not step.is_best_effort)
        return cpu_m, sum(step.memory_mb for step in steps)

    def is_admitted(self, step: str, worker_id: str) -> bool:
        """Return whether the policy allows a step on a worker.

        Special workers are allowed for all steps, others for half of them. For a third
        of the steps, special workers alone are allowed.
        """
        address = worker_id.split(":")[0]
        is_special = address in [f"w{n}" for n in range(len(SPECIAL_WORKERS))]
        is_strict = Random(step).random() < 1.0 / 3.0
        is_allowed = Random(f"{step} {address}").random() < 0.5
        return is_special or (is_allowed and not is_strict)

    async def state_of(self, job: CallerJob) -> str:
        """Return the state of a job as a daemon tells it, or why it does not."""
        daemon = self.daemon(self.rng)
        for _ in range(STATE_ATTEMPTS):
            status = await daemon.state(job.spec.id)
            if isinstance(status, JobStatus):
                return str(status.state)
            if isinstance(status, Refused):
                return "unknown"
            await asyncio.sleep(RETRY_S)
        return "no answer"
