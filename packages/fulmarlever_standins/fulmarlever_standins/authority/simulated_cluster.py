"""A whole deployment in one process: daemons, workers, store and callers."""

from __future__ import annotations

import asyncio

from fulmarlever.outcomes import Failure
from fulmarlever_standins.authority.admission import (
    ADMISSION_ADDRESS,
    TICKET_VALIDITY_S,
)
from fulmarlever_standins.authority.network import STORE_ADDRESS, Network
from fulmarlever_standins.authority.record import RunRecord
from fulmarlever_standins.authority.virtual_time import VirtualClock
from fulmarlever_standins.authority.worker import WorkerCore
from fulmarleverd.platform.admission import AuthorityAdmission
from fulmarleverd.platform.formats import (
    CONFIG_KEY,
    OPERATOR_TABLE,
    WORKERS_TABLE,
    parse_config,
    parse_worker,
)
from fulmarleverd.platform.store import AuthorityStore
from fulmarleverd.platform.workers import AuthorityWorkers
from fulmarleverd.scheduling.intake import Intake, JobStatus
from fulmarleverd.scheduling.lease import SchedulerLease
from fulmarleverd.scheduling.owner_term import OwnerTerm
from fulmarleverd.scheduling.specs import (
    Bounds,
    JobSpec,
    QueueSpec,
    SchedulingSettings,
    StepSpec,
)

LABELS_QUEUE = QueueSpec("labels", "a.example", "/labels/", "desk", 0, 2, 1.5, 0.25)
TICKET_QUEUE = QueueSpec(
    "seals",
    "a.example",
    "/seals/",
    "desk",
    needs_ticket=True,
    ticket_validity_s=TICKET_VALIDITY_S,
)
PLANS_QUEUE = QueueSpec("plans", "a.example", "/plans/", "desk", 2, 4, 2.0, 1.0)
SUBMIT_TIMEOUT_S = 2.5


class DaemonPlatform:
    """What one daemon sees of the platform."""

    config_table = OPERATOR_TABLE
    config_key = CONFIG_KEY
    workers_table = WORKERS_TABLE
    parse_config = staticmethod(parse_config)
    parse_worker = staticmethod(parse_worker)

    def __init__(self, network: Network, vm: str, bounds: Bounds) -> None:
        http = network.client(vm)
        self.settings = SchedulingSettings(
            vm, "z", "", "", "", 0, STORE_ADDRESS, bounds=bounds
        )
        self.store = AuthorityStore(STORE_ADDRESS, http)
        self.workers = AuthorityWorkers(http)
        self.admission = AuthorityAdmission(ADMISSION_ADDRESS, http)


class Daemon:
    """One daemon without its HTTP server."""

    def __init__(self, cluster: SimulatedCluster, vm: str) -> None:
        self.vm = vm
        self.clock = VirtualClock()
        self.platform = DaemonPlatform(cluster.network, vm, cluster.bounds)
        self.intake = Intake(self.platform.store, self.clock)
        self.lease = SchedulerLease(self.platform.store, self.clock, vm)
        self.term: OwnerTerm | None = None
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while True:
            await self.lease.acquire()
            self.term = OwnerTerm(self.platform, self.lease, self.clock)
            await self.term.run()

    async def submit(
        self, spec: JobSpec, queue: QueueSpec = LABELS_QUEUE
    ) -> None | Failure:
        """Hand a job in at this daemon."""
        until_s = self.clock.monotonic() + SUBMIT_TIMEOUT_S
        return await self.intake.submit(spec, queue, until_s)

    async def state(self, job_id: str) -> JobStatus | Failure:
        """Ask this daemon for the state of a job."""
        return await self.intake.status(job_id)

    def kill_nowait(self) -> None:
        """End the process without a goodbye and without waiting for it."""
        self._task.cancel()

    async def kill(self) -> None:
        """End the process without a goodbye."""
        self.kill_nowait()
        await asyncio.gather(self._task, return_exceptions=True)


class SimulatedCluster:
    """Daemons and workers around one store, with a record of every run."""

    def __init__(self, bounds: Bounds | None = None) -> None:
        self.bounds = bounds or Bounds()
        self.network = Network()
        self.daemons: dict[str, Daemon] = {}
        self.record = RunRecord()

    def add_daemons(self, *vms: str) -> None:
        """Start daemons."""
        for vm in vms:
            self.daemons[vm] = Daemon(self, vm)

    def add_workers(self, count: int, prefix: str = "w") -> list[WorkerCore]:
        """Add workers with their entries."""
        return [self.add_worker(f"{prefix}{number}") for number in range(count)]

    def add_worker(self, worker_id: str, born: int = 1) -> WorkerCore:
        """Add one worker, or a new life of one under the same id."""
        worker = WorkerCore(worker_id, f"{worker_id}:1", "z", born)
        self.record.attach(worker)
        self.network.add_worker(worker)
        return worker

    def restart_worker(self, old: WorkerCore, entry_delay_s: float) -> WorkerCore:
        """Begin another life of a worker at once; its entry follows later."""
        self.crash_worker(old)
        worker = WorkerCore(old.id, old.address, old.zone, old.born + 1)
        worker.task_duration_s = old.task_duration_s
        self.record.attach(worker)
        self.network.workers[worker.address] = worker
        asyncio.get_running_loop().call_later(
            entry_delay_s, self.network.add_worker, worker
        )
        return worker

    def crash_worker(self, worker: WorkerCore) -> None:
        """End a worker and all that it runs, without an end that anyone sees."""
        del self.network.workers[worker.address]
        self.record.detach(worker)

    def owner(self) -> Daemon | None:
        """Return the daemon that holds the lease by its own clock."""
        valid = [d for d in self.daemons.values() if d.lease.is_valid]
        return valid[0] if valid else None

    def count_owners(self) -> int:
        """Return how many daemons believe that they may start tasks."""
        return sum(daemon.lease.is_valid for daemon in self.daemons.values())

    async def wait_for_owner(self) -> Daemon:
        """Wait until a daemon holds the lease and has found every worker."""
        while True:
            daemon = self.owner()
            if daemon and daemon.term and self._are_workers_reconciled(daemon.term):
                return daemon
            await asyncio.sleep(0.05)

    def _are_workers_reconciled(self, term: OwnerTerm) -> bool:
        fleet = list(term.owner.fleet)
        return bool(fleet) and all(worker.is_reconciled for worker in fleet)

    async def wait_for_state(
        self, daemon: Daemon, job_id: str, state: str, timeout_s: float = 60.0
    ) -> float:
        """Wait for a job's state; return the virtual seconds it took."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while loop.time() - started_s < timeout_s:
            status = await daemon.state(job_id)
            if isinstance(status, JobStatus) and status.state == state:
                return loop.time() - started_s
            await asyncio.sleep(0.05)
        raise AssertionError(f"{job_id} is not {state} after {timeout_s} s: {status}")


def job(job_id: str, *steps: StepSpec) -> JobSpec:
    """Return a job; without steps it has one of two tasks."""
    default = StepSpec(count=2, cpu_m=1000, memory_mb=100, estimate_s=0.5)
    return JobSpec(job_id, "payload", steps or (default,))
